//! Clients: each sends one request after the other on a kept connection to one router.

use crate::net::{connect, now, read_message};
use std::io::Write;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Longer than the deadline that the clients send.
const ANSWER_LIMIT: Duration = Duration::from_millis(3_500);

/// One try of a client.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub router: usize,
    pub at: u64,
    pub ended: u64,
    /// 0 where no whole answer came.
    pub status: u16,
    /// The stamp of the answer.
    pub seal: String,
}

#[derive(Default)]
pub struct Clients {
    pub sent: Mutex<Vec<Sent>>,
    pub stop: AtomicBool,
    next: AtomicU64,
}

impl Clients {
    /// Starts a client of a router; it pauses this long between two requests.
    pub fn start(
        self: &Arc<Self>,
        router: usize,
        address: SocketAddrV4,
        pause: Duration,
    ) -> JoinHandle<()> {
        let clients = self.clone();
        thread::spawn(move || {
            let mut stream: Option<TcpStream> = None;
            while !clients.stop.load(Ordering::Relaxed) {
                thread::sleep(pause);
                stream = stream.or_else(|| connect(address, ANSWER_LIMIT));
                if let Some(open) = stream.take() {
                    stream = clients.send(router, open);
                }
            }
        })
    }

    /// Sends one request; returns the connection if it may be used again.
    fn send(&self, router: usize, mut stream: TcpStream) -> Option<TcpStream> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", 0x5eed_0000 + number);
        let text = format!(
            "POST /bib/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
             Authorization: Bearer key-one\r\nContent-Length: 4\r\n\r\nbody"
        );
        let at = now();
        let answer = match stream.write_all(text.as_bytes()) {
            Ok(()) => read_message(&mut stream),
            Err(_) => None,
        };
        let header = |name: &str| {
            answer
                .as_ref()
                .map_or(String::new(), |answer| answer.header(name).to_owned())
        };
        let keeps = answer.is_some() && !header("connection").eq_ignore_ascii_case("close");
        self.sent.lock().unwrap().push(Sent {
            id,
            router,
            at,
            ended: now(),
            status: answer.as_ref().map_or(0, |answer| answer.status()),
            seal: header("x-response-seal"),
        });
        keeps.then_some(stream)
    }
}
