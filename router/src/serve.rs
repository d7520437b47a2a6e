//! Running a router: starting its parts, answering whether it is ready, and ending in order.

use crate::control_api::ControlApi;
use crate::disk::{self, Disk, DiskError};
use crate::fleet::Fleet;
use crate::links::{self, lock};
use crate::listener::{ClientAcceptor, ClientConnections};
use crate::membership;
use crate::metrics::MetricsPage;
use crate::proxy::exchange::Exchanges;
use crate::proxy::fault_log;
use crate::proxy::ingress::Ingress;
use crate::proxy::kept;
use crate::proxy::locator::Locator;
use crate::proxy::stores;
use crate::proxy::table::{self, Table};
use crate::replica::{self, ReplicaHandle};
use crate::settings::{Settings, SettingsError};
use crate::upstreams;
use crate::weights::Orders;
use control::node::{ControlNode, Identity, Timing};
use control::storage::Recovered;
use control::view::{Incarnation, ReplicaId};
use poem::http::StatusCode;
use poem::listener::TcpListener;
use poem::{Endpoint, Request, Response, Result, Server};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

/// A router without any backend calls itself ready so long after it has a configuration.
const BACKENDS_PATIENCE: Duration = Duration::from_millis(3_000);
/// After SIGTERM new connections are taken for so long, as the platform takes two questions to stay
/// away.
const STILL_TAKING: Duration = Duration::from_millis(2_300);
/// Part of the grace period within which everything has to be over.
const GRACE_SHARE: f64 = 0.9;
/// Idle connections of clients are closed after this.
const CLIENT_IDLE: Duration = Duration::from_secs(20);

/// Why a router can't run.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The data directory can't be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// An address can't be listened on.
    #[error(
        "{address}: {problem}; check that the address is this machine's and that no other process has it"
    )]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// What the system said.
        problem: io::Error,
    },
    /// The system refuses something that every process needs.
    #[error("{0}; check the limits of the process")]
    System(#[from] io::Error),
    /// A client for calls can't be made.
    #[error("calls to backends can't be made: {0}")]
    Client(#[from] reqwest::Error),
}

/// Runs a router until it is told to end.
pub fn run(path: &Path, metrics_port: Option<u16>) -> std::result::Result<(), ServeError> {
    let settings = Settings::read(path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings, path.to_owned(), metrics_port))
}

/// The signals of the platform.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn take() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// The replica of a node with a disk.
struct Replica {
    node: ControlNode,
    disk: Disk,
    stored: mpsc::UnboundedReceiver<u64>,
    handle: ReplicaHandle,
    inputs: replica::Inputs,
}

fn open_replica(
    settings: &Settings,
    incarnation: Incarnation,
) -> std::result::Result<Option<Replica>, ServeError> {
    let Some(folder) = settings
        .data_directory
        .as_ref()
        .filter(|_| settings.has_replica())
    else {
        return Ok(None);
    };
    let found = disk::read_or_set_aside(folder)?;
    let recovered: Recovered = found.unwrap_or_else(|| disk::empty(fastrand::u64(1..)));
    let (done, stored) = mpsc::unbounded_channel();
    let disk = Disk::open(folder, &recovered, done)?;
    let id = ReplicaId {
        disk: recovered.disk,
        node: settings.node_name.clone(),
        address: settings.internal_address(),
    };
    let timing = Timing::tolerating(settings.fault_tolerance.machines);
    let identity = Identity {
        id: id.clone(),
        incarnation,
        may_bootstrap: settings.bootstrap,
    };
    let node = ControlNode::new(identity, recovered, timing, crate::clock::now());
    let (handle, inputs) = ReplicaHandle::new(id);
    Ok(Some(Replica {
        node,
        disk,
        stored,
        handle,
        inputs,
    }))
}

async fn serve(
    settings: Settings,
    path: PathBuf,
    metrics_port: Option<u16>,
) -> std::result::Result<(), ServeError> {
    // First of all: a signal that comes before would end the process at once.
    let signals = Signals::take()?;
    let settings = Arc::new(settings);
    let incarnation = fastrand::u64(1..);
    let replica = open_replica(&settings, incarnation)?;
    let handle = replica.as_ref().map(|replica| replica.handle.clone());
    let fleet = Fleet::new(settings.clone(), handle.clone(), incarnation);
    if let Some(folder) = settings
        .data_directory
        .as_ref()
        .filter(|_| settings.has_replica())
    {
        fleet.restore(disk::read_fleet(folder));
    }
    let internal = settings.internal_address();
    let failed = |address: SocketAddrV4| move |problem| ServeError::Listen { address, problem };
    let listener = tokio::net::TcpListener::bind(internal)
        .await
        .map_err(failed(internal))?;
    let socket = UdpSocket::bind(internal).await.map_err(failed(internal))?;
    // Orders that are given up are not to be sent on for minutes.
    let client = reqwest::Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .tcp_user_timeout(links::USER_TIMEOUT)
        .build()?;
    let table = Arc::new(Table::default());
    let locator = Locator::new(fleet.clone());
    let exchanges = Exchanges::new(fleet.clone(), table.clone(), locator.clone());

    let traffic = fleet.links.traffic().clone();
    tokio::spawn(links::serve(listener, fleet.clone(), traffic));
    let orders = replica.map(|replica| start_replica(replica, &fleet, &client));
    tokio::spawn(upstreams::keep_pulling(fleet.clone()));
    tokio::spawn(membership::monitor(fleet.clone(), socket));
    tokio::spawn(membership::watch_backends(fleet.clone()));
    tokio::spawn(membership::found(fleet.clone()));
    tokio::spawn(membership::repair(fleet.clone()));
    tokio::spawn(membership::prune(fleet.clone()));
    tokio::spawn(kept::keep_reading(
        fleet.clone(),
        locator.clone(),
        client.clone(),
    ));
    tokio::spawn(stores::keep_watch(fleet.clone(), locator, client));
    tokio::spawn(table::keep_in_step(table.clone(), fleet.clone()));
    tokio::spawn(fault_log::keep_telling(table.faults(), fleet.clone()));

    let metrics = MetricsPage::new(fleet.clone(), table.clone(), orders);
    let ready = Ready::new(fleet.clone(), table);
    listen(settings.listen.readiness, ready);
    listen(
        settings.listen.control_plane,
        ControlApi::new(fleet.clone()),
    );
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let clients = match settings.listen.frontend {
        Some(address) => {
            let listener = tokio::net::TcpListener::bind(address)
                .await
                .map_err(failed(address))?;
            Some(tokio::spawn(take_clients(listener, exchanges, stopped)))
        }
        None => None,
    };
    // Last, so that no interface that somebody needs finds its port taken by this one.
    listen(
        metrics_port.map(|port| SocketAddrV4::new(settings.ip_address, port)),
        metrics,
    );
    log::info!(
        "{} serves, with settings from {}",
        settings.node_name,
        path.display()
    );

    end_in_order(&fleet, &settings, signals, stop, clients).await
}

/// Runs the replica, and the task that gives orders while it leads.
fn start_replica(replica: Replica, fleet: &Arc<Fleet>, client: &reqwest::Client) -> Arc<Orders> {
    let Replica {
        node,
        disk,
        stored,
        handle,
        inputs,
    } = replica;
    let orders = Orders::new(fleet.clone(), handle.clone(), client.clone());
    tokio::spawn(replica::run(
        node,
        disk,
        stored,
        fleet.clone(),
        handle,
        inputs,
    ));
    tokio::spawn(orders.clone().run());
    orders
}

/// Serves an interface for as long as the process lives.
fn listen(address: Option<SocketAddrV4>, endpoint: impl Endpoint<Output = Response> + 'static) {
    let Some(address) = address else { return };
    tokio::spawn(async move {
        let server = Server::new(TcpListener::bind(address.to_string())).idle_timeout(CLIENT_IDLE);
        if let Err(problem) = server.run(endpoint).await {
            log::error!("{address}: {problem}; check that no other process has the address");
        }
    });
}

/// Serves clients until told to stop; ends once every answer is out.
async fn take_clients(
    listener: tokio::net::TcpListener,
    exchanges: Arc<Exchanges>,
    mut stopped: tokio::sync::watch::Receiver<bool>,
) {
    let connections = ClientConnections::default();
    let acceptor = ClientAcceptor::new(listener, connections.clone());
    let stop = async move {
        // The sender lives until the process ends.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    let server = Server::new_with_acceptor(acceptor).idle_timeout(CLIENT_IDLE);
    let ended = server
        .run_with_graceful_shutdown(Ingress::new(exchanges, connections), stop, None)
        .await;
    if let Err(problem) = ended {
        log::error!("clients are taken no more: {problem}");
    }
}

/// Waits for SIGTERM, then serves on until the platform stays away, and ends once every answer is
/// out.
async fn end_in_order(
    fleet: &Fleet,
    settings: &Settings,
    mut signals: Signals,
    stop: tokio::sync::watch::Sender<bool>,
    clients: Option<tokio::task::JoinHandle<()>>,
) -> std::result::Result<(), ServeError> {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => log::info!("SIGHUP: nothing in the settings changes while the process runs"),
        }
    }
    log::info!("SIGTERM: no new clients, open requests are finished");
    let grace = Duration::from_secs_f64(settings.bounds.grace_period_s * GRACE_SHARE);
    let begun = Instant::now();
    fleet.leave();
    if let Some(replica) = &fleet.replica {
        replica.leave().await;
    }
    tokio::time::sleep(STILL_TAKING.min(grace / 2)).await;
    // Nobody waits any more where the interface has ended by itself.
    let _ = stop.send(true);
    if let Some(clients) = clients {
        let left = grace.saturating_sub(begun.elapsed());
        if tokio::time::timeout(left, clients).await.is_err() {
            log::warn!("the grace period is over and requests are still open");
        }
    }
    if let Some(replica) = &fleet.replica {
        wait_for_other_copies(replica, grace.saturating_sub(begun.elapsed())).await;
    }
    Ok(())
}

/// Stays until the control state stands elsewhere as often as it has to, as far as there is time.
async fn wait_for_other_copies(replica: &ReplicaHandle, patience: Duration) {
    const LOOK: Duration = Duration::from_millis(50);
    let begun = Instant::now();
    if !replica.can_shut_down() {
        log::info!(
            "this node's copy of the control state is still needed: waiting for another one"
        );
    }
    while !replica.can_shut_down() {
        if begun.elapsed() >= patience {
            log::warn!(
                "the grace period is over and this node's copy is still needed: start it again soon"
            );
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Whether clients may come.
struct Ready {
    fleet: Arc<Fleet>,
    table: Arc<Table>,
    configured: std::sync::Mutex<Option<Instant>>,
}

impl Ready {
    fn new(fleet: Arc<Fleet>, table: Arc<Table>) -> Self {
        Ready {
            fleet,
            table,
            configured: std::sync::Mutex::new(None),
        }
    }

    fn is_ready(&self) -> bool {
        if self.fleet.is_leaving() || lock(&self.fleet.published).configuration().is_none() {
            return false;
        }
        let since = *lock(&self.configured).get_or_insert_with(Instant::now);
        !self.table.is_empty() || since.elapsed() > BACKENDS_PATIENCE
    }
}

impl Endpoint for Ready {
    type Output = Response;

    async fn call(&self, _: Request) -> Result<Self::Output> {
        let status = if self.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Ok(Response::builder().status(status).finish())
    }
}
