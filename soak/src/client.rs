//! Clients, which reuse connections until the router closes them, and sometimes cancel early.

use crate::backend::{WORK_HEADER, event};
use crate::clock::Clock;
use crate::history::{Kind, Outcome, Recorder, Request, Tenant};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The deadline that a client sends with each request.
const DEADLINE_MS: u64 = 3_000;
/// How long a client waits after the deadline for a response in flight.
const DEADLINE_SLACK_MS: u64 = 1_000;
/// The time-out of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that all clients share.
pub struct Clients {
    /// The run's clock.
    pub clock: Clock,
    /// The recorder for requests.
    pub recorder: Arc<Recorder>,
    /// The frontend addresses of the routers.
    pub frontends: Vec<SocketAddrV4>,
    /// The number of cancelled requests per thousand.
    pub cancelled_permille: u64,
    /// The id of the next request.
    pub next_id: AtomicU64,
}

/// A connection to a router, closed on drop.
struct Connection {
    router: usize,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The parameters of one request.
struct RequestSpec {
    id: u64,
    kind: Kind,
    tenant: Tenant,
    work_ms: u64,
    events: u64,
}

impl RequestSpec {
    /// Draws a random request. A request that will be cancelled asks for long work, so that the
    /// backend's history shows whether the work is cancelled as well.
    fn draw(id: u64, will_cancel: bool) -> Self {
        const KINDS: [Kind; 4] = [Kind::Unsafe, Kind::Safe, Kind::Resumable, Kind::Configured];
        let kind = KINDS[fastrand::usize(..KINDS.len())];
        let tenant = [Tenant::First, Tenant::Second][fastrand::usize(..2)];
        let is_long = fastrand::u8(..20) == 0;
        let work_ms = match (will_cancel, is_long) {
            (true, _) => fastrand::u64(1_200..2_400),
            (false, true) => fastrand::u64(300..900),
            (false, false) => fastrand::u64(2..60),
        };
        let events = if kind == Kind::Resumable {
            fastrand::u64(2..12)
        } else {
            0
        };
        RequestSpec {
            id,
            kind,
            tenant,
            work_ms,
            events,
        }
    }

    fn path(&self) -> &'static str {
        match self.kind {
            Kind::Unsafe => "/unsafe/x",
            Kind::Safe => "/safe/x",
            Kind::Resumable => "/resumable/x",
            Kind::Configured => "/configured/x",
        }
    }

    fn request(&self) -> Option<hyper::Request<Full<Bytes>>> {
        let builder = hyper::Request::post(self.path())
            .header("host", "h")
            .header("authorization", format!("Bearer {}", self.tenant.api_key()))
            .header("x-request-id", format!("{:016x}", self.id))
            .header("x-deadline-ms", DEADLINE_MS.to_string())
            .header("x-model-name", "m")
            .header("x-token-counts", "200,10")
            .header("x-prompt-prefix", format!("aa:50,{:x}:150", self.id))
            .header(WORK_HEADER, format!("{},{}", self.work_ms, self.events));
        builder.body(Full::new(Bytes::from_static(b"body"))).ok()
    }

    /// The body of a complete response.
    fn expected_body(&self) -> String {
        if self.events == 0 {
            return format!("done {:016x}", self.id);
        }
        (1..=self.events)
            .map(|number| event(self.id, number))
            .collect()
    }
}

impl Clients {
    /// Runs one client until `stopped` is true, with a random pause of up to `pause` before each
    /// request.
    pub async fn run(self: Arc<Self>, pause: Duration, mut stopped: watch::Receiver<bool>) {
        let mut connection: Option<Connection> = None;
        while !*stopped.borrow_and_update() {
            tokio::time::sleep(pause.mul_f64(fastrand::f64())).await;
            let Some(mut current) = self.reuse_or_connect(connection.take()).await else {
                continue;
            };
            if self.send_request(&mut current).await {
                connection = Some(current);
            }
        }
    }

    /// Returns the existing connection if it is still open, or else a new one to a random router.
    async fn reuse_or_connect(&self, existing: Option<Connection>) -> Option<Connection> {
        if let Some(mut existing) = existing {
            if existing.sender.ready().await.is_ok() {
                return Some(existing);
            }
        }
        let router = fastrand::usize(..self.frontends.len());
        let connecting = TcpStream::connect(self.frontends[router]);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .ok()?
            .ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::spawn(async move {
            // A connection error is returned by the pending request.
            let _ = connection.await;
        });
        Some(Connection {
            router,
            sender,
            task,
        })
    }

    /// Sends one request and records it. Returns whether the connection may be reused.
    async fn send_request(&self, connection: &mut Connection) -> bool {
        let will_cancel = fastrand::u64(..1_000) < self.cancelled_permille;
        let spec = RequestSpec::draw(self.next_id.fetch_add(1, Ordering::Relaxed), will_cancel);
        let Some(request) = spec.request() else {
            return false;
        };
        let sent_at = self.clock.now();
        let timeout = Duration::from_millis(DEADLINE_MS + DEADLINE_SLACK_MS);
        let cancel_after = Duration::from_millis(if will_cancel {
            fastrand::u64(1..250)
        } else {
            u64::from(u32::MAX)
        });
        let outcome = tokio::select! {
            outcome = exchange(&mut connection.sender, request, &spec) => outcome,
            () = tokio::time::sleep(cancel_after) => Outcome::Cancelled,
            () = tokio::time::sleep(timeout) => Outcome::TimedOut,
        };
        let record = Request {
            id: spec.id,
            kind: spec.kind,
            tenant: spec.tenant,
            router: connection.router,
            sent_at,
            ended_at: self.clock.now(),
            outcome,
        };
        self.recorder.lock().requests.push(record);
        matches!(outcome, Outcome::Served | Outcome::Status(_))
    }
}

/// Sends a request and checks the response.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: hyper::Request<Full<Bytes>>,
    spec: &RequestSpec,
) -> Outcome {
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut failure) => {
            let was_sent = failure.take_message().is_none();
            return if was_sent {
                Outcome::NoResponse
            } else {
                Outcome::NotSent
            };
        }
    };
    let status = response.status().as_u16();
    let (head, body) = response.into_parts();
    let text = |name: &str| {
        head.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
    };
    let id = format!("{:016x}", spec.id);
    let (id_matches, seal_matches) = (
        text("x-request-id") == id,
        text("x-response-seal") == format!("seal-{id}"),
    );
    let Some(body) = read_body(body).await else {
        return Outcome::Truncated;
    };
    match status {
        200 if !id_matches => Outcome::Corrupted("the response has the id of another request"),
        200 if !seal_matches => {
            Outcome::Corrupted("the response has no seal or that of another request")
        }
        200 if body != spec.expected_body() => {
            Outcome::Corrupted("the body differs from the one that the backend sent")
        }
        200 => Outcome::Served,
        other => Outcome::Status(other),
    }
}

/// Returns the complete body, or `None` if it was truncated.
async fn read_body(body: Incoming) -> Option<String> {
    let bytes = body.collect().await.ok()?.to_bytes();
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
