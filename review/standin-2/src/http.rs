//! Just enough of HTTP/1.1 over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a message: its first line and its headers as bytes, names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, Vec<u8>)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| &value[..])
    }

    pub fn text(&self, name: &str) -> Option<String> {
        self.get(name)
            .map(|value| String::from_utf8_lossy(value).into_owned())
    }

    pub fn number(&self, name: &str) -> Option<usize> {
        self.text(name)?.parse().ok()
    }
}

/// An answer that came whole.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
}

/// Reads up to the end of a head. `rest` holds bytes that were read beyond it.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Head> {
    let mut block = [0; 4096];
    loop {
        if let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = parse_head(&rest[..end]);
            rest.drain(..end + 4);
            return Some(head);
        }
        let count = stream.read(&mut block).ok().filter(|count| *count > 0)?;
        rest.extend(&block[..count]);
    }
}

fn parse_head(bytes: &[u8]) -> Head {
    let mut lines = bytes.split(|byte| *byte == b'\n').map(|line| {
        let end = line.len() - usize::from(line.ends_with(b"\r"));
        &line[..end]
    });
    let first = String::from_utf8_lossy(lines.next().unwrap_or_default()).into_owned();
    let headers = lines.filter_map(|line| {
        let colon = line.iter().position(|byte| *byte == b':')?;
        let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
        Some((name, line[colon + 1..].trim_ascii().to_vec()))
    });
    Head {
        first,
        headers: headers.collect(),
    }
}

/// Reads exactly `length` bytes, those in `rest` first.
pub fn read_exact(stream: &mut TcpStream, rest: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    let mut block = [0; 65536];
    while rest.len() < length {
        let count = stream.read(&mut block).ok().filter(|count| *count > 0)?;
        rest.extend(&block[..count]);
    }
    Some(rest.drain(..length).collect())
}

/// Reads an answer with a declared length, or in chunks.
pub fn read_answer(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Answer> {
    let head = read_head(stream, rest)?;
    let status = head.first.split(' ').nth(1)?.parse().ok()?;
    let chunked = head
        .text("transfer-encoding")
        .is_some_and(|text| text.contains("chunked"));
    if chunked {
        loop {
            let line = read_line(stream, rest)?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            read_exact(stream, rest, length)?;
            read_exact(stream, rest, 2)?;
            if length == 0 {
                break;
            }
        }
    } else {
        let length = head.number("content-length").unwrap_or(0);
        read_exact(stream, rest, length)?;
    }
    Some(Answer { status })
}

fn read_line(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = rest.drain(..=end).collect::<Vec<u8>>();
            return Some(String::from_utf8_lossy(&line).into_owned());
        }
        let mut block = [0; 4096];
        let count = stream.read(&mut block).ok().filter(|count| *count > 0)?;
        rest.extend(&block[..count]);
    }
}

/// One call on a connection of its own.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    read_answer(&mut stream, &mut Vec::new())
}
