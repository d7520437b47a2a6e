//! A client that keeps its connection.

use crate::http;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A client's kept connection to a router.
pub struct Client {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Client {
            stream,
            rest: Vec::new(),
        })
    }

    pub fn send(&mut self, request: &str) -> Option<()> {
        self.stream.write_all(request.as_bytes()).ok()
    }

    pub fn status(&mut self) -> Option<u16> {
        http::read_answer(&mut self.stream, &mut self.rest).map(|answer| answer.status)
    }
}
