//! Stand-ins of backends: they register, take orders, run requests and keep a record of each run.

use crate::clock::Clock;
use crate::history::{OrderSeen, Recorder, Run, Stage, Staged};
use crate::settings::HEARTBEAT_MS;
use crate::way::Way;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

/// Requests that a backend runs at once.
const SLOTS: usize = 6;
/// How long new weights take.
const LOAD: Duration = Duration::from_millis(290);
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
        Arc::new(Surroundings { clock, recorder, control, client, address, newest_weights, next })
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
        let way = Way::to(SocketAddrV4::new(around.address, listener.local_addr()?.port())).await?;
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
        state.note(Stage::Started { version: state.version.load(Ordering::Relaxed) });
        let serving = tokio::spawn(serve(listener, state.clone()));
        let beating = tokio::spawn(beat(state.clone()));
        Ok(Backend { state, way, serving, beating })
    }

    /// The version of its weights.
    pub fn version(&self) -> u64 {
        self.state.version.load(Ordering::Relaxed)
    }

    /// It takes connections and answers nothing, or goes on.
    pub fn hang(&self, hangs: bool) {
        self.state.is_hanging.store(hangs, Ordering::Relaxed);
        self.state.note(if hangs { Stage::Hanging } else { Stage::Answering });
    }

    /// The way to it is cut, or heals.
    pub fn cut(&self, is_cut: bool) {
        self.way.cut(is_cut);
        self.state.note(if is_cut { Stage::Cut } else { Stage::Healed });
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

/// What a backend does ends with it: else it would go on sending heartbeats to the routers of the next run.
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
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

async fn beat(state: Arc<State>) {
    loop {
        if !state.is_draining.load(Ordering::Relaxed) && !state.is_hanging.load(Ordering::Relaxed) {
            state.call("heartbeat").await;
        }
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

/// A run that is recorded; it ends when this is dropped.
struct Running {
    state: Arc<State>,
    at: usize,
}

impl Running {
    fn arrive(state: &Arc<State>, request: u64) -> Self {
        let run = Run {
            request,
            backend: state.number,
            version: 0,
            arrived_at: state.around.clock.now(),
            begun_at: None,
            ended_at: None,
            broke_off: false,
        };
        let mut history = state.around.recorder.open();
        history.runs.push(run);
        Running { state: state.clone(), at: history.runs.len() - 1 }
    }

    fn begin(&self, version: u64) {
        let now = self.state.around.clock.now();
        let run = &mut self.state.around.recorder.open().runs[self.at];
        (run.version, run.begun_at) = (version, Some(now));
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let now = self.state.around.clock.now();
        let run = &mut self.state.around.recorder.open().runs[self.at];
        run.ended_at = Some(now);
        run.broke_off = self.state.has_crashed.load(Ordering::Relaxed);
    }
}

/// What a request's headers ask of a stand-in.
struct Asked {
    request: u64,
    work_ms: u64,
    events: u64,
    expected_version: Option<u64>,
    last_event: u64,
}

impl Asked {
    fn read(request: &Request<Incoming>) -> Option<Self> {
        let text = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let (work_ms, events) = text(WORK_HEADER)?.split_once(',')?;
        Some(Asked {
            request: u64::from_str_radix(text("x-request-id")?, 16).ok()?,
            work_ms: work_ms.parse().ok()?,
            events: events.parse().ok()?,
            expected_version: text("expect-version").and_then(|text| text.parse().ok()),
            last_event: text("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0),
        })
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
        self.around.recorder.open().backends.push(Staged { backend: self.number, at, stage });
    }

    async fn hang(&self) {
        if self.is_hanging.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    /// Takes an order as the published protocol says: also one for an older version, unless it expects another state of this backend.
    async fn take_order(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.hang().await;
        if self.is_misdirected(&request) {
            return answer(421, Bytes::new());
        }
        let Ok(body) = request.into_body().collect().await else { return answer(400, Bytes::new()) };
        let order: serde_json::Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let (Some(holder), Some(fence), Some(version)) =
            (order["holder"].as_str(), order["fenceToken"].as_u64(), order["version"].as_u64())
        else {
            return answer(400, Bytes::new());
        };
        let at = self.around.clock.now();
        let seen = OrderSeen { backend: self.number, at, holder: holder.to_owned(), fence };
        self.around.recorder.open().orders.push(seen);
        {
            let mut highest = self.highest_fence.lock().unwrap_or_else(PoisonError::into_inner);
            if fence < *highest {
                return answer(412, Bytes::new());
            }
            *highest = fence;
        }
        let expected = order["ifRevision"].as_u64();
        if expected.is_some_and(|expected| expected != self.orders.load(Ordering::Relaxed)) {
            return answer(409, Bytes::new());
        }
        if self.is_loading.load(Ordering::Relaxed) {
            return answer(409, Bytes::new());
        }
        if self.version.load(Ordering::Relaxed) == version {
            return answer(200, Bytes::new());
        }
        self.is_loading.store(true, Ordering::Relaxed);
        self.orders.fetch_add(1, Ordering::Relaxed);
        let state = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(LOAD).await;
            state.version.store(version, Ordering::Relaxed);
            state.note(Stage::Loaded { version });
            state.is_loading.store(false, Ordering::Relaxed);
        });
        answer(202, Bytes::new())
    }

    async fn report(&self) -> Response<Body> {
        self.hang().await;
        let report = serde_json::json!({
            "stage": "both", "busy": self.is_loading.load(Ordering::Relaxed),
            "models": [{"name": "m", "version": self.version.load(Ordering::Relaxed), "adapters": []}],
            "sequence": self.orders.load(Ordering::Relaxed), "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 1, "handles": 0,
        });
        answer(200, report.to_string().into())
    }

    /// Whether a call is meant for another incarnation.
    fn is_misdirected(&self, request: &Request<Incoming>) -> bool {
        let expected = request.headers().get("x-expect-instance");
        expected.is_some_and(|expected| expected.as_bytes() != self.id().as_bytes())
    }

    async fn run(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(asked) = Asked::read(&request) else { return answer(400, Bytes::new()) };
        if self.is_misdirected(&request) {
            return answer(421, Bytes::new());
        }
        let running = Running::arrive(&self, asked.request);
        self.hang().await;
        let Ok(_slot) = self.slots.acquire().await else { return answer(503, Bytes::new()) };
        let version = self.version.load(Ordering::Relaxed);
        if asked.expected_version.is_some_and(|expected| expected != version) {
            let mut response = answer(421, Bytes::new());
            response.headers_mut().insert("versions", version.into());
            return response;
        }
        if self.is_loading.load(Ordering::Relaxed) {
            let mut response = answer(503, Bytes::new());
            response.headers_mut().insert("x-not-executed", 1.into());
            return response;
        }
        running.begin(version);
        tokio::time::sleep(Duration::from_millis(asked.work_ms)).await;
        self.word(asked, version, running)
    }

    fn word(&self, asked: Asked, version: u64, running: Running) -> Response<Body> {
        let id = asked.request;
        let mut response = if asked.events == 0 {
            answer(200, format!("done {id:016x}").into())
        } else {
            let mut response = Response::new(events(id, asked.last_event + 1, asked.events, running));
            let kind = hyper::header::HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert("content-type", kind);
            response
        };
        let head = response.headers_mut();
        let load = format!("{},0,{SLOTS}", SLOTS - self.slots.available_permits());
        for (name, value) in [
            ("x-request-id", format!("{id:016x}")),
            ("x-response-seal", format!("seal-{id:016x}")),
            ("x-server-load", load),
            ("versions", version.to_string()),
        ] {
            if let Ok(value) = value.parse() {
                head.insert(name, value);
            }
        }
        response
    }

    /// Says something of itself to the routers, one after the other. Whether it was acknowledged.
    async fn call(&self, what: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let body = serde_json::json!({
            "service": "s", "address": self.address.to_string(), "zone": format!("z{}", self.number % 3), "version": "v1",
            "slots": SLOTS, "state": state, "coldRemainingMs": 0, "sequence": sequence, "stage": "both",
            "models": [{"name": "m", "version": self.version.load(Ordering::Relaxed), "adapters": []}],
        });
        let control = &self.around.control;
        let first = fastrand::usize(..control.len());
        for address in control.iter().cycle().skip(first).take(control.len().min(4)) {
            let url = format!("http://{address}/v1/instances/{}/{what}", self.id());
            let call = self.around.client.post(url).body(body.to_string()).timeout(HEARTBEAT_PATIENCE);
            if call.send().await.is_ok_and(|answer| answer.status().is_success()) {
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

/// The pause between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(15);

/// The events of a stream from one number to another. The run lasts as long as somebody reads them.
fn events(id: u64, first: u64, last: u64, running: Running) -> Body {
    let events = stream::unfold((first, running), move |(number, running)| async move {
        if number > last {
            return None;
        }
        if number > first {
            tokio::time::sleep(EVENT_GAP).await;
        }
        let text = event(id, number);
        Some((Ok::<_, Infallible>(Frame::data(Bytes::from(text))), (number + 1, running)))
    });
    StreamBody::new(events).boxed_unsync()
}

/// The text of one event.
pub fn event(id: u64, number: u64) -> String {
    format!("id: {number}\ndata: {id:016x}-{number}\n\n")
}
