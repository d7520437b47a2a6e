//! Loopback addresses, a clock, a record of events, and a small blocking HTTP/1.1 client.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Milliseconds since the first call.
pub fn now() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Opens the record of this run.
pub fn open_record(path: &str) -> io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set(Mutex::new(file));
    Ok(())
}

/// Writes a line with the current time to the record.
pub fn record(line: &str) {
    let at = now();
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{at:>7} ms  {line}");
    }
}

/// A network 127.N.0.0/16 that no other run uses while the listener exists.
pub struct Network {
    n: u8,
    _claim: TcpListener,
}

impl Network {
    /// Claims a free network whose ports for routers are free as well.
    pub fn claim(ports: &[u16]) -> Option<Self> {
        (100..200).find_map(|n| {
            let claim = TcpListener::bind((Ipv4Addr::new(127, n, 255, 1), 7_003)).ok()?;
            let free = (1..=6).all(|host| {
                let ip = Ipv4Addr::new(127, n, 0, host);
                ports
                    .iter()
                    .all(|port| TcpListener::bind((ip, *port)).is_ok())
            });
            free.then_some(Network { n, _claim: claim })
        })
    }

    /// The address of a router.
    pub fn router(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.n, 0, 1 + number as u8)
    }

    /// The address of a backend.
    pub fn backend(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.n, 64, 1 + number as u8)
    }
}

/// A message of HTTP/1.1: its first line, its headers in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of a response; 0 where there is none.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a length; `None` at the end of the connection or after a failure.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first: lines.next()?.to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = bytes[head_end..].to_vec();
    while message.body.len() < length {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => message.body.extend(&chunk[..count]),
        }
    }
    Some(message)
}

/// Connects with time limits for connecting, reading and writing.
pub fn connect(address: SocketAddrV4, limit: Duration) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address.into(), limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    Some(stream)
}

/// One call on a connection of its own; `None` without a whole answer within the limit.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let mut stream = connect(address, limit)?;
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Type: application/json\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut stream)
}
