//! A host of a service: it registers, runs requests and reports its load as the pages say.

use crate::fleet::HEARTBEAT_MS;
use crate::net::{Message, call, now, read_message, record};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that reached a host with its own instance id, and was neither 421 nor turned away.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: u64,
    pub host: String,
    pub request: String,
}

/// What all hosts of a run share.
#[derive(Default)]
pub struct Runs(pub Mutex<Vec<Run>>);

/// One incarnation of a host.
pub struct Host {
    pub id: String,
    pub address: SocketAddrV4,
    service: &'static str,
    zone: usize,
    control: Vec<SocketAddrV4>,
    slots: usize,
    queue: usize,
    work: Duration,
    running: Mutex<usize>,
    waiting: Mutex<usize>,
    sequence: AtomicU64,
    beats: AtomicBool,
    ended: AtomicBool,
    runs: Arc<Runs>,
}

/// How a host is set up.
pub struct Setup {
    pub id: String,
    pub ip: Ipv4Addr,
    pub service: &'static str,
    pub zone: usize,
    pub control: Vec<SocketAddrV4>,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
}

impl Host {
    /// Starts to listen and to send heartbeats.
    pub fn start(setup: Setup, runs: Arc<Runs>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((setup.ip, 0))?;
        let address = SocketAddrV4::new(setup.ip, listener.local_addr()?.port());
        let Setup {
            id,
            service,
            zone,
            control,
            slots,
            queue,
            work,
            ..
        } = setup;
        let host = Arc::new(Host {
            id,
            address,
            service,
            zone,
            control,
            slots,
            queue,
            work,
            running: Mutex::new(0),
            waiting: Mutex::new(0),
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            runs,
        });
        let serving = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::Relaxed) {
                    return;
                }
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = host.clone();
        thread::spawn(move || {
            while beating.beats.load(Ordering::Relaxed) {
                beating.heartbeat();
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        Ok(host)
    }

    /// One heartbeat, to one gatherer after the other until one acknowledges it within a second.
    fn heartbeat(&self) -> bool {
        let body = self.next_heartbeat();
        self.call_control("heartbeat", &body)
    }

    /// Sends a heartbeat of now that the network holds back for a while.
    pub fn send_late_heartbeat(self: &Arc<Self>, late: Duration) {
        let (host, body) = (self.clone(), self.next_heartbeat());
        record(&format!(
            "host {} sends a heartbeat that will be late",
            host.id
        ));
        thread::spawn(move || {
            thread::sleep(late);
            let acknowledged = host.call_control("heartbeat", &body);
            record(&format!(
                "the late heartbeat of {} arrived, acknowledged: {acknowledged}",
                host.id
            ));
        });
    }

    /// The body of the next heartbeat.
    fn next_heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            r#"{{"service":"{}","address":"{}","zone":"z{}","version":"v1","slots":{},"state":"ready","coldRemainingMs":0,"stage":"both","models":[],"sequence":{sequence}}}"#,
            self.service, self.address, self.zone, self.slots
        )
    }

    fn call_control(&self, what: &str, body: &str) -> bool {
        let path = format!("/v1/instances/{}/{what}", self.id);
        let first = self.zone % self.control.len();
        let gatherers = self
            .control
            .iter()
            .cycle()
            .skip(first)
            .take(self.control.len());
        for gatherer in gatherers {
            let answer = call(*gatherer, "POST", &path, "", body, Duration::from_secs(1));
            if answer.is_some_and(|answer| (200..300).contains(&answer.status())) {
                return true;
            }
        }
        false
    }

    /// Ends the heartbeats, and says that the host leaves. Returns when this was acknowledged.
    pub fn deregister(&self) -> Option<u64> {
        self.beats.store(false, Ordering::Relaxed);
        let acknowledged = (0..10).find_map(|_| self.call_control("deregister", "{}").then(now));
        record(&format!(
            "deregistration of {} acknowledged: {acknowledged:?}",
            self.id
        ));
        acknowledged
    }

    /// Takes no more connections and requests.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        record(&format!("host {} ends", self.id));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_message(&mut stream) {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            let answer = self.answer(&request);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn load(&self) -> String {
        format!(
            "X-Server-Load: {},{},{}\r\n",
            self.running.lock().unwrap(),
            self.waiting.lock().unwrap(),
            self.slots
        )
    }

    fn answer(&self, request: &Message) -> String {
        let id = request.header("x-request-id").to_owned();
        let head = |status: &str, more: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{}{more}Content-Length: {}\r\n\r\n{body}",
                self.load(),
                body.len()
            )
        };
        if request.first.starts_with("GET /health") {
            return head("200 OK", &format!("X-Instance-Id: {}\r\n", self.id), "");
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return head(
                "421 Misdirected Request",
                &format!("X-Instance-Id: {}\r\n", self.id),
                "",
            );
        }
        if id.is_empty() {
            return head("400 Bad Request", "X-Not-Executed: 1\r\n", "");
        }
        if !self.enter() {
            return head("503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
        }
        self.runs.0.lock().unwrap().push(Run {
            at: now(),
            host: self.id.clone(),
            request: id.clone(),
        });
        thread::sleep(self.work);
        *self.running.lock().unwrap() -= 1;
        head(
            "200 OK",
            &format!("X-Response-Seal: {}.{id}\r\n", self.id),
            &format!("done by {}", self.id),
        )
    }

    /// Takes a slot, after a wait in the queue where there is room; false if the host is full.
    fn enter(&self) -> bool {
        {
            let mut running = self.running.lock().unwrap();
            if *running < self.slots {
                *running += 1;
                return true;
            }
            let mut waiting = self.waiting.lock().unwrap();
            if *waiting >= self.queue {
                return false;
            }
            *waiting += 1;
        }
        loop {
            thread::sleep(Duration::from_millis(1));
            let mut running = self.running.lock().unwrap();
            if *running < self.slots {
                *running += 1;
                *self.waiting.lock().unwrap() -= 1;
                return true;
            }
        }
    }
}
