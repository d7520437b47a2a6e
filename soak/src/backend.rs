//! Simulated backends, which register, accept orders, and execute and record requests.

mod execution;
mod orders;
mod registration;
mod segment_cache;

pub use execution::event;
pub use registration::{LateHeartbeat, Withdrawal};

use crate::clock::Clock;
use crate::history::{BackendEvent, BackendState, Recorder};
use crate::link::Link;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use segment_cache::SegmentCache;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

/// The number of requests that a backend executes concurrently.
const SLOTS: usize = 6;
/// The header with the duration of the work in milliseconds and the number of events.
pub const WORK_HEADER: &str = "x-soak-work";

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// The state that all backends of a run share.
pub struct Environment {
    /// The run's clock.
    pub clock: Clock,
    /// The recorder for executions, orders and states.
    pub recorder: Arc<Recorder>,
    /// The control addresses of the routers.
    pub control: Vec<SocketAddrV4>,
    /// The HTTP client for calls to routers.
    pub client: reqwest::Client,
    /// The IP address of all backends.
    pub address: Ipv4Addr,
    /// The newest acknowledged version of the weights. New backends start with it.
    pub newest_weights: AtomicU64,
    next_number: AtomicU64,
}

impl Environment {
    /// Creates the environment of a run without backends.
    pub fn new(
        clock: Clock,
        recorder: Arc<Recorder>,
        control: Vec<SocketAddrV4>,
        client: reqwest::Client,
        address: Ipv4Addr,
    ) -> Arc<Self> {
        let (newest_weights, next_number) = (AtomicU64::new(1), AtomicU64::new(1));
        Arc::new(Environment {
            clock,
            recorder,
            control,
            client,
            address,
            newest_weights,
            next_number,
        })
    }
}

/// One incarnation of a backend.
pub struct Backend {
    state: Arc<State>,
    link: Link,
    server: JoinHandle<()>,
    heartbeats: JoinHandle<()>,
}

struct State {
    number: u64,
    address: SocketAddrV4,
    environment: Arc<Environment>,
    version: AtomicU64,
    is_loading: AtomicBool,
    is_hanging: AtomicBool,
    has_crashed: AtomicBool,
    is_draining: AtomicBool,
    highest_fencing_token: Mutex<u64>,
    orders: AtomicU64,
    sequence: AtomicU64,
    slots: Semaphore,
    cache: SegmentCache,
}

impl Backend {
    /// Starts an incarnation with the newest acknowledged weights.
    pub async fn start(environment: Arc<Environment>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((environment.address, 0)).await?;
        let link = Link::to(SocketAddrV4::new(
            environment.address,
            listener.local_addr()?.port(),
        ))
        .await?;
        let address = link.address;
        let state = Arc::new(State {
            number: environment.next_number.fetch_add(1, Ordering::Relaxed),
            address,
            version: AtomicU64::new(environment.newest_weights.load(Ordering::Relaxed)),
            environment,
            is_loading: AtomicBool::new(false),
            is_hanging: AtomicBool::new(false),
            has_crashed: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            highest_fencing_token: Mutex::new(0),
            orders: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            slots: Semaphore::new(SLOTS),
            cache: SegmentCache::default(),
        });
        state.record(BackendState::Started {
            version: state.version.load(Ordering::Relaxed),
        });
        let server = tokio::spawn(serve(listener, state.clone()));
        let heartbeats = tokio::spawn(registration::send_heartbeats(state.clone()));
        Ok(Backend {
            state,
            link,
            server,
            heartbeats,
        })
    }

    /// The version of the loaded weights.
    pub fn version(&self) -> u64 {
        self.state.version.load(Ordering::Relaxed)
    }

    /// Sets whether the backend accepts connections without responding.
    pub fn set_hanging(&self, is_hanging: bool) {
        self.state.is_hanging.store(is_hanging, Ordering::Relaxed);
        self.state.record(if is_hanging {
            BackendState::Unresponsive
        } else {
            BackendState::Responding
        });
    }

    /// Starts or ends a partition of the link to the backend.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.link.set_partitioned(is_partitioned);
        self.state.record(if is_partitioned {
            BackendState::Partitioned
        } else {
            BackendState::Reachable
        });
    }

    /// Stops the backend at once and drops all requests in flight.
    pub fn crash(self) {
        self.state.has_crashed.store(true, Ordering::Relaxed);
        self.state.record(BackendState::Stopping);
    }
}

/// Stops the tasks of the backend, which would otherwise send heartbeats to the routers of the next
/// run.
impl Drop for Backend {
    fn drop(&mut self) {
        self.server.abort();
        self.heartbeats.abort();
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
    // An error means that the caller closed the connection, which drops its requests.
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
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
            "/health" => response(200, Bytes::new()),
            _ => self.execute(request).await,
        }
    }

    fn record(&self, state: BackendState) {
        let at = self.environment.clock.now();
        self.environment
            .recorder
            .lock()
            .backends
            .push(BackendEvent {
                backend: self.number,
                at,
                state,
            });
    }

    /// Waits forever if the backend hangs.
    async fn wait_if_hanging(&self) {
        if self.is_hanging.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    /// Whether a request is meant for another incarnation.
    fn is_misdirected(&self, request: &Request<Incoming>) -> bool {
        let expected = request.headers().get("x-expect-instance");
        expected.is_some_and(|expected| expected.as_bytes() != self.id().as_bytes())
    }
}

fn response(status: u16, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}
