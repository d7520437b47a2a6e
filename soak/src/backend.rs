//! Stand-ins of backends: they register, take orders, run requests and keep a record of each run.

mod orders;
mod running;

pub use running::event;

use crate::clock::Clock;
use crate::history::{Recorder, Stage, Staged};
use crate::settings::HEARTBEAT_MS;
use crate::way::Way;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

/// Requests that a backend runs at once.
const SLOTS: usize = 6;
/// Patience for an answer to a heartbeat.
const HEARTBEAT_PATIENCE: Duration = Duration::from_secs(1);
/// A draining backend serves on for so long after it was acknowledged.
const SERVES_ON: Duration = Duration::from_millis(2_200);
/// The longest that a backend waits for its end to be acknowledged.
const END_PATIENCE: Duration = Duration::from_secs(12);
/// Names how long a request works, and how many events its answer has.
pub const WORK_HEADER: &str = "x-soak-work";

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// What all incarnations of all backends share.
pub struct Surroundings {
    /// The run's clock.
    pub clock: Clock,
    /// Where runs are recorded.
    pub recorder: Arc<Recorder>,
    /// Where routers take heartbeats.
    pub control: Vec<SocketAddrV4>,
    /// For heartbeats.
    pub client: reqwest::Client,
    /// Where backends listen.
    pub address: Ipv4Addr,
    /// The newest version of the weights that was named, with which a new backend starts.
    pub newest_weights: AtomicU64,
    next: AtomicU64,
}

impl Surroundings {
    /// Before any backend has started.
    pub fn new(
        clock: Clock,
        recorder: Arc<Recorder>,
        control: Vec<SocketAddrV4>,
        client: reqwest::Client,
        address: Ipv4Addr,
    ) -> Arc<Self> {
        let (newest_weights, next) = (AtomicU64::new(1), AtomicU64::new(1));
        Arc::new(Surroundings {
            clock,
            recorder,
            control,
            client,
            address,
            newest_weights,
            next,
        })
    }
}

/// One incarnation of a backend.
pub struct Backend {
    state: Arc<State>,
    way: Way,
    serving: JoinHandle<()>,
    beating: JoinHandle<()>,
}

struct State {
    number: u64,
    address: SocketAddrV4,
    around: Arc<Surroundings>,
    version: AtomicU64,
    is_loading: AtomicBool,
    is_hanging: AtomicBool,
    has_crashed: AtomicBool,
    is_draining: AtomicBool,
    highest_fence: Mutex<u64>,
    orders: AtomicU64,
    sequence: AtomicU64,
    slots: Semaphore,
}

impl Backend {
    /// Starts an incarnation with the newest weights.
    pub async fn start(around: Arc<Surroundings>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((around.address, 0)).await?;
        let way = Way::to(SocketAddrV4::new(
            around.address,
            listener.local_addr()?.port(),
        ))
        .await?;
        let address = way.address;
        let state = Arc::new(State {
            number: around.next.fetch_add(1, Ordering::Relaxed),
            address,
            version: AtomicU64::new(around.newest_weights.load(Ordering::Relaxed)),
            around,
            is_loading: AtomicBool::new(false),
            is_hanging: AtomicBool::new(false),
            has_crashed: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            highest_fence: Mutex::new(0),
            orders: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            slots: Semaphore::new(SLOTS),
        });
        state.note(Stage::Started {
            version: state.version.load(Ordering::Relaxed),
        });
        let serving = tokio::spawn(serve(listener, state.clone()));
        let beating = tokio::spawn(beat(state.clone()));
        Ok(Backend {
            state,
            way,
            serving,
            beating,
        })
    }

    /// The version of its weights.
    pub fn version(&self) -> u64 {
        self.state.version.load(Ordering::Relaxed)
    }

    /// It takes connections and answers nothing, or goes on.
    pub fn hang(&self, hangs: bool) {
        self.state.is_hanging.store(hangs, Ordering::Relaxed);
        self.state.note(if hangs {
            Stage::Hanging
        } else {
            Stage::Answering
        });
    }

    /// The way to it is cut, or heals.
    pub fn cut(&self, is_cut: bool) {
        self.way.cut(is_cut);
        self.state
            .note(if is_cut { Stage::Cut } else { Stage::Healed });
    }

    /// It ends at once, with everything that it does.
    pub fn crash(self) {
        self.state.has_crashed.store(true, Ordering::Relaxed);
        self.state.note(Stage::Leaving);
    }

    /// It leaves in order: says so, serves on for a while, and ends.
    pub async fn leave(self) {
        self.state.is_draining.store(true, Ordering::Relaxed);
        self.state.note(Stage::Leaving);
        let acknowledged = async {
            while !self.state.call("heartbeat").await {}
            tokio::time::sleep(SERVES_ON).await;
            while !self.state.call("deregister").await {}
        };
        // Without an acknowledgement it ends all the same.
        let _ = tokio::time::timeout(END_PATIENCE, acknowledged).await;
        self.crash();
    }
}

/// What a backend does ends with it: else it would go on sending heartbeats to the routers of the
/// next run.
impl Drop for Backend {
    fn drop(&mut self) {
        self.serving.abort();
        self.beating.abort();
    }
}

async fn serve(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(serve_connection(stream, state.clone()));
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<State>) {
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(state.handle(request).await) }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    // The caller may have closed; what it asked for is dropped with the connection.
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn beat(state: Arc<State>) {
    loop {
        if !state.is_draining.load(Ordering::Relaxed) && !state.is_hanging.load(Ordering::Relaxed) {
            state.call("heartbeat").await;
        }
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

impl State {
    fn id(&self) -> String {
        format!("i-{}", self.number)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/order" => self.take_order(request).await,
            "/v1/report" => self.report().await,
            "/health" => answer(200, Bytes::new()),
            _ => self.run(request).await,
        }
    }

    fn note(&self, stage: Stage) {
        let at = self.around.clock.now();
        self.around.recorder.open().backends.push(Staged {
            backend: self.number,
            at,
            stage,
        });
    }

    async fn hang(&self) {
        if self.is_hanging.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    /// Whether a call is meant for another incarnation.
    fn is_misdirected(&self, request: &Request<Incoming>) -> bool {
        let expected = request.headers().get("x-expect-instance");
        expected.is_some_and(|expected| expected.as_bytes() != self.id().as_bytes())
    }

    /// Says something of itself to the routers, one after the other. Whether it was acknowledged.
    async fn call(&self, what: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.is_draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let body = serde_json::json!({
            "service": "s", "address": self.address.to_string(), "zone": format!("z{}", self.number % 3), "version": "v1",
            "slots": SLOTS, "state": state, "coldRemainingMs": 0, "sequence": sequence, "stage": "both",
            "models": [{"name": "m", "version": self.version.load(Ordering::Relaxed), "adapters": []}],
        });
        let control = &self.around.control;
        let first = fastrand::usize(..control.len());
        for address in control
            .iter()
            .cycle()
            .skip(first)
            .take(control.len().min(4))
        {
            let url = format!("http://{address}/v1/instances/{}/{what}", self.id());
            let call = self
                .around
                .client
                .post(url)
                .body(body.to_string())
                .timeout(HEARTBEAT_PATIENCE);
            if call
                .send()
                .await
                .is_ok_and(|answer| answer.status().is_success())
            {
                return true;
            }
        }
        false
    }
}

fn answer(status: u16, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}
