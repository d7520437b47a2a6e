//! Runs a router: starts its components, serves its interfaces, and shuts down gracefully.

use crate::client_server::serve_clients;
use crate::clock;
use crate::control_api::ControlApi;
use crate::disk::{self, DiskError};
use crate::fleet::Fleet;
use crate::links;
use crate::membership;
use crate::metrics::MetricsPage;
use crate::proxy::backend_table::{self, BackendTable};
use crate::proxy::cache_watcher;
use crate::proxy::failure_log;
use crate::proxy::forwarder::Forwarder;
use crate::proxy::kv_store_monitor;
use crate::proxy::prefix_locator::PrefixLocator;
use crate::readiness::Readiness;
use crate::replica::startup::{self, Replica};
use crate::replica::task;
use crate::settings::{Settings, SettingsError};
use crate::shutdown::{Signals, shut_down};
use crate::socket;
use crate::upstreams;
use crate::weights::RolloutController;
use compact_str::CompactString;
use control::state::WeightsTarget;
use poem::listener::TcpListener;
use poem::{Endpoint, Response, Server};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::UdpSocket;

/// Idle connections are closed after this time, except on the clients' interface.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a router can't run.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The data directory can't be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// An address can't be bound.
    #[error(
        "{address}: {error}; check that the address belongs to this machine and that no other process uses it"
    )]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        error: io::Error,
    },
    /// A system resource is unavailable.
    #[error("{0}; check the limits of the process")]
    System(#[from] io::Error),
    /// The HTTP client can't be created.
    #[error("the HTTP client for calls to backends can't be created: {0}")]
    Client(#[from] reqwest::Error),
}

/// Runs a router until it is terminated.
pub fn run(path: &Path, metrics_port: Option<u16>) -> Result<(), ServeError> {
    let settings = Settings::read(path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings, path.to_owned(), metrics_port))
}

async fn serve(
    settings: Settings,
    path: PathBuf,
    metrics_port: Option<u16>,
) -> Result<(), ServeError> {
    // Registered first: before that, a signal terminates the process immediately.
    let signals = Signals::register()?;
    let settings = Arc::new(settings);
    let incarnation = fastrand::u64(1..);
    let replica = startup::open(&settings, incarnation)?;
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
    let failed = |address: SocketAddrV4| move |error| ServeError::Listen { address, error };
    let listener = tokio::net::TcpListener::bind(internal)
        .await
        .map_err(failed(internal))?;
    let socket = UdpSocket::bind(internal).await.map_err(failed(internal))?;
    // Without this time-out the kernel would retransmit abandoned orders for minutes.
    let client = reqwest::Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .tcp_user_timeout(socket::USER_TIMEOUT)
        .build()?;
    let table = Arc::new(BackendTable::default());
    let locator = PrefixLocator::new(fleet.clone());
    let forwarder = Forwarder::new(fleet.clone(), table.clone(), locator.clone());

    let traffic = fleet.links.traffic().clone();
    tokio::spawn(links::serve(listener, fleet.clone(), traffic));
    let rollout = replica.map(|replica| start_replica(replica, &fleet, &client));
    spawn_fleet_tasks(&fleet, socket);
    spawn_proxy_tasks(&fleet, &table, locator, client);

    let metrics = MetricsPage::new(fleet.clone(), table.clone(), rollout);
    let ready = Readiness::new(fleet.clone(), table);
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
            Some(tokio::spawn(serve_clients(listener, forwarder, stopped)))
        }
        None => None,
    };
    // Bound last, so that the metrics page can't take the port of another interface.
    listen(
        metrics_port.map(|port| SocketAddrV4::new(settings.ip_address, port)),
        metrics,
    );
    log::info!(
        "{} started with settings from {}",
        settings.node_name,
        path.display()
    );

    shut_down(&fleet, &settings, signals, stop, clients).await;
    Ok(())
}

/// Starts the tasks that exchange state and heartbeats with the fleet.
fn spawn_fleet_tasks(fleet: &Arc<Fleet>, socket: UdpSocket) {
    tokio::spawn(upstreams::run(fleet.clone()));
    tokio::spawn(membership::heartbeats::monitor(fleet.clone(), socket));
    tokio::spawn(membership::heartbeats::watch_backends(fleet.clone()));
    tokio::spawn(membership::bootstrap::run(fleet.clone()));
    tokio::spawn(membership::anti_entropy::repair(fleet.clone()));
    tokio::spawn(membership::anti_entropy::prune(fleet.clone()));
}

/// Starts the tasks that keep the data plane up to date.
fn spawn_proxy_tasks(
    fleet: &Arc<Fleet>,
    table: &Arc<BackendTable>,
    locator: Arc<PrefixLocator>,
    client: reqwest::Client,
) {
    tokio::spawn(cache_watcher::run(
        fleet.clone(),
        locator.clone(),
        client.clone(),
    ));
    tokio::spawn(kv_store_monitor::run(fleet.clone(), locator, client));
    tokio::spawn(backend_table::keep_synchronized(
        table.clone(),
        fleet.clone(),
    ));
    tokio::spawn(failure_log::run(table.failures(), fleet.clone()));
}

/// Starts the replica and the rollout controller.
fn start_replica(
    replica: Replica,
    fleet: &Arc<Fleet>,
    client: &reqwest::Client,
) -> Arc<RolloutController> {
    let Replica {
        node,
        disk,
        stored,
        handle,
        inputs,
    } = replica;
    let rollout = RolloutController::new(fleet.clone(), handle.clone(), client.clone());
    tokio::spawn(assume_announcements(
        fleet.clone(),
        node.state().weights.clone(),
    ));
    tokio::spawn(task::run(node, disk, stored, fleet.clone(), handle, inputs));
    tokio::spawn(rollout.clone().run());
    rollout
}

/// Waits for other nodes to report the ages of the recovered versions of weights, and then assumes
/// the ages that no node knows.
async fn assume_announcements(
    fleet: Arc<Fleet>,
    recovered: BTreeMap<CompactString, WeightsTarget>,
) {
    let started_at = clock::now();
    let contact = Duration::from_millis(fleet.settings.bounds.contact_ms);
    tokio::time::sleep(contact / 2).await;
    fleet.assume_announcements(&recovered, started_at);
}

/// Serves an interface until the process ends.
fn listen(address: Option<SocketAddrV4>, endpoint: impl Endpoint<Output = Response> + 'static) {
    let Some(address) = address else { return };
    tokio::spawn(async move {
        let server = Server::new(TcpListener::bind(address.to_string())).idle_timeout(IDLE_TIMEOUT);
        if let Err(error) = server.run(endpoint).await {
            log::error!("{address}: {error}; check that no other process uses the address");
        }
    });
}
