//! Assembles a gatherer from its configuration and runs the event loop.

use crate::admin::Orders;
use crate::admin::listener::AdminListener;
use crate::config::{self, Config, ConfigError};
use crate::core::Core;
use crate::core::settings::{self, Deployment};
use crate::front::catalogue::link::{CreateHostProtocol, SerialConnector};
use crate::front::catalogue::session::SessionConnection;
use crate::front::catalogue::setup::{self, HostProtocolName, OperatorSetup, Setup, StoreSetup};
use crate::front::catalogue::sru::Sru;
use crate::front::catalogue::sru_host::SruHost;
use crate::front::catalogue::z3950_host::Z3950Host;
use crate::front::catalogue::{Catalogue, Shared, operation_bounds};
use crate::front::clients::ClientTable;
use crate::front::hosts::{Connector, HostTable};
use crate::front::listener::{Accept, Listener};
use crate::front::platform::client::Platform;
use crate::front::platform::discovery::{Discovery, Names, read_list};
use crate::front::platform::link::FrameConnector;
use crate::front::rejections::Rejections;
use crate::front::server::HttpConnection;
use crate::front::signals::{
    ConfigReader, NewSettings, ReloadSignal, ReloadedConfig, ShutdownSignal,
};
use crate::front::{Gatherer, Phase, Wait};
use crate::learned::{LearnedState, LearningSetup};
use crate::limits::Limits;
use crate::net::{self, Clock, Net, Reactor};
use crate::recovery::{RecoveryService, RecoverySetup};
use crate::store::disk::{Disk, DiskOptions};
use crate::store::server::Incoming;
use crate::store::service::StoreService;
use crate::versions::{self, Prepare, Versions, VersionsSetup};
use catalogue::session;
use dispatch::interface::{ListKind, Settings, Time};
use learning::snapshot::Fleet;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use store::member::{Bounds, Membership, Store, Timing};

/// An error that prevents the program from serving.
pub type ServeError = Box<dyn std::error::Error>;

/// The components of a gatherer, for the platform or the catalogue.
struct Plan {
    name: String,
    settings: (Settings, Deployment),
    limits: Rc<Limits>,
    seed: u64,
    connector: Box<dyn Connector>,
    discovery: Option<SocketAddr>,
    /// The address for operators. If set, the address for clients is shared with a successor
    /// process.
    admin: Option<SocketAddr>,
    known_members: Json,
    listeners: Vec<(SocketAddr, Accept)>,
    reload: ConfigReader,
    store: Option<StoreSetup>,
    learning: Option<LearningSetup>,
    recovery: Option<RecoverySetup>,
    /// The setup for configuration versions, and the function that makes settings from a document.
    versions: Option<(VersionsSetup, Prepare)>,
    /// The description of this gatherer that is written to the store.
    setup: Json,
}

fn limits((settings, deployment): &(Settings, Deployment), sockets: usize) -> Limits {
    let latency_targets = || settings.classes.iter().map(|class| class.latency_target);
    let deadline = settings
        .classes
        .iter()
        .map(|class| class.deadline)
        .max()
        .unwrap_or(0);
    let mut limits = Limits::default()
        .with_descriptors(sockets)
        .with_latency_target(latency_targets().min().unwrap_or(Time::MAX))
        .with_shutdown(deadline, latency_targets().max().unwrap_or(0));
    limits.parts_per_connection = deployment.parts_per_connection;
    limits.connect = deployment.connect.unwrap_or(limits.connect);
    limits.drain_grace = deployment.drain_grace.unwrap_or(limits.drain_grace);
    match deployment.host_idle {
        Some(idle) => limits.with_host_idle(idle),
        None => limits,
    }
}

/// The system's limit on descriptors. Whatever is configured, clients must not use up all of these.
fn descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |most| {
        usize::try_from(most).unwrap_or(usize::MAX)
    })
}

/// Serves the platform until SIGTERM. `operator` holds the settings that the platform's
/// configuration has no place for.
pub fn platform(config: Config, operator: OperatorSetup) -> Result<(), ServeError> {
    let settings = settings::read(&config.settings).map_err(ConfigError::Settings)?;
    let (sockets, memory_mb, shape) = (
        config.sockets.min(descriptors()),
        config.memory_mb,
        config.shape,
    );
    let bounds = move |settings: &(Settings, Deployment)| {
        Rc::new(limits(settings, sockets).with_memory(memory_mb))
    };
    let limits = bounds(&settings);
    let accept: Accept =
        Box::new(|stream, world| HttpConnection::accept(Box::new(Platform), stream, world));
    let new_settings = move |json: &Json| -> Result<NewSettings, ConfigError> {
        let settings = settings::read(json).map_err(ConfigError::Settings)?;
        let limits = bounds(&settings);
        let connector = Box::new(FrameConnector {
            limits: limits.clone(),
        });
        let (settings, deployment) = settings;
        Ok(NewSettings {
            settings,
            deployment,
            limits,
            connector,
        })
    };
    let prepare: Prepare = Box::new(new_settings);
    run(Plan {
        name: config.name,
        settings,
        connector: Box::new(FrameConnector {
            limits: limits.clone(),
        }),
        limits,
        seed: config.seed,
        discovery: Some(config.discovery),
        admin: config.admin,
        known_members: config.known,
        listeners: vec![(config.listen, accept)],
        reload: Box::new(move || {
            let (reloaded, make_settings) =
                (config::load(Some(config.path.clone()))?, new_settings);
            reloaded.shape.fits(&shape).map_err(ConfigError::Shape)?;
            let settings = Some(make_settings(&reloaded.settings)?);
            Ok(ReloadedConfig {
                discovery: Some(reloaded.discovery),
                members: Json::Null,
                settings,
            })
        }),
        store: operator.store,
        learning: operator.learning,
        recovery: operator.recovery,
        versions: operator.versions.map(|setup| (setup, prepare)),
        setup: json!({"front": "platform", "listen": config.listen.to_string()}),
    })
}

/// Serves an operator's catalogue until SIGTERM.
pub fn catalogue(setup: Setup) -> Result<(), ServeError> {
    let mut limits = limits(&setup.settings, setup.sockets.min(descriptors()));
    limits.clients = limits.clients.min(limits.sessions);
    // Here most clients send a single request, so their idle connections are not limited further.
    limits.single_request_clients = limits.clients;
    limits.single_request_idle = limits.client_idle;
    limits.connections_per_host = setup.host_sessions.unwrap_or(limits.host_sessions);
    limits.set_ttl = setup.sets.idle.unwrap_or(limits.set_ttl);
    limits.all_sets.0 = setup.sets.count.unwrap_or(limits.all_sets.0);
    limits.all_sets.1 = setup.sets.bytes.unwrap_or(limits.all_sets.1);
    let limits = Rc::new(limits);
    let seed = setup.seed.unwrap_or_else(random_seed);
    let description = json!({
        "front": "catalogue",
        "database": setup.database,
        "title": setup.title,
        "sru": setup.sru.map(|a| a.to_string()),
        "z3950": setup.z3950.map(|a| a.to_string()),
    });
    let create_protocol: CreateHostProtocol = match setup.host_protocol {
        HostProtocolName::Sru => SruHost::create,
        HostProtocolName::Z3950 => Z3950Host::create,
    };
    let (settings, deployment) = &setup.settings;
    let session = session::Config {
        database: setup.database.clone(),
        slices: (0..deployment.shards).collect(),
        access: setup.access,
        bounds: operation_bounds(&limits, settings.classes[setup.classes.search].floor),
        clauses: limits.clauses,
        sets: limits.result_sets,
        operations: limits.operations,
        output: limits.output_bytes,
        name_bytes: limits.name_bytes,
        message: limits.client_message_bytes,
        terms: limits.scan_terms,
        sort_keys: limits.sort_keys,
        ttl: limits.set_ttl,
    };
    let names = (setup.database, setup.title);
    let shared: Shared = Rc::new(Catalogue::new(
        names,
        setup.classes,
        setup.budget,
        setup.sru,
        session,
        &limits,
        seed,
    ));
    let mut listeners: Vec<(SocketAddr, Accept)> = Vec::new();
    if let Some(address) = setup.sru {
        let shared = shared.clone();
        let accept: Accept = Box::new(move |stream, world| {
            HttpConnection::accept(Box::new(Sru::new(shared.clone())), stream, world)
        });
        listeners.push((address, accept));
    }
    if let Some(address) = setup.z3950 {
        let accept: Accept =
            Box::new(move |stream, _| SessionConnection::accept(shared.clone(), stream));
        listeners.push((address, accept));
    }
    run(Plan {
        name: setup.name,
        settings: setup.settings,
        connector: Box::new(SerialConnector::new(
            limits.clone(),
            create_protocol,
            &setup.slice_database,
        )),
        limits,
        seed,
        discovery: setup.discovery,
        admin: None,
        known_members: setup.members,
        listeners,
        reload: Box::new(move || {
            let reloaded = setup::load(&setup.path)?;
            Ok(ReloadedConfig {
                discovery: reloaded.discovery,
                members: reloaded.members,
                settings: None,
            })
        }),
        store: setup.store,
        learning: setup.learning,
        recovery: setup.recovery,
        versions: None,
        setup: description,
    })
}

/// Returns a random seed for configurations without one. The names of result sets are derived from
/// the seed and must not be guessable.
pub(crate) fn random_seed() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    // The standard library seeds its hash tables from the system's random numbers.
    RandomState::new().build_hasher().finish()
}

/// A store member, the addresses of its peers, and its file if it is persistent.
type Member = (Store, BTreeMap<u64, SocketAddr>, Option<Disk>);

/// Opens the store: without a setup a single member in memory, else one of several with a file.
fn open_store(
    setup: Option<&StoreSetup>,
    limits: &Limits,
    seed: u64,
    now: Time,
) -> Result<Member, ServeError> {
    let timing = Timing {
        heartbeat: limits.store_heartbeat,
        election: limits.store_election,
    };
    let bounds = Bounds {
        log: limits.store_log,
        keys: limits.store_keys,
        value_bytes: limits.body_bytes,
        sessions: limits.store_sessions,
        txn_keys: limits.store_txn_keys,
        calls: limits.store_calls,
        history: limits.store_history,
    };
    let Some(setup) = setup else {
        let single = Membership {
            id: 0,
            members: BTreeSet::from([0]),
            bootstraps: true,
            era: 0,
        };
        return Ok((
            Store::start(&single, timing, bounds, seed, None, now),
            BTreeMap::new(),
            None,
        ));
    };
    let members = setup.members.keys().copied().collect();
    let era = now / 1_000_000_000;
    let membership = Membership {
        id: setup.member,
        members,
        bootstraps: setup.begins,
        era,
    };
    let full_retry_delay = std::time::Duration::from_nanos(limits.disk_full_backoff);
    let options = DiskOptions {
        extra_sync_delay: setup.test_sync,
        full_marker: setup.test_full_while.clone(),
        full_retry_delay,
    };
    let (disk, persisted) = Disk::open(&setup.file, limits.store_log, options)?;
    let store = Store::start(
        &membership,
        timing,
        bounds,
        seed ^ setup.member,
        Some(persisted),
        now,
    );
    tracing::info!(
        member = setup.member,
        start = store.starts(),
        store = %format_args!("{:016x}", store.cluster()),
        "store opened"
    );
    let mut peers = setup.members.clone();
    peers.remove(&setup.member);
    Ok((store, peers, Some(disk)))
}

/// Opens the components of a plan and runs the event loop until shutdown.
fn run(plan: Plan) -> Result<(), ServeError> {
    let (settings, deployment) = plan.settings;
    let limits = plan.limits;
    let clock = Clock::start();
    let now = clock.now();
    let mut names = Names {
        zones: deployment.zones.clone(),
        kinds: deployment.kinds.clone(),
    };
    let fleet = Fleet {
        classes: deployment.classes.clone(),
        cells: settings.cells,
        reach: settings.replication_factor,
    };
    let learned_state = plan
        .learning
        .as_ref()
        .and_then(|setup| LearnedState::open(setup, fleet, now));
    let folder = plan
        .admin
        .and_then(|_| std::env::var_os("TMPDIR"))
        .map(PathBuf::from);
    let gatherer = Gatherer {
        core: Core::new(settings, deployment, limits.clone(), plan.seed),
        hosts: HostTable::new(plan.connector, limits.clone()),
        clients: ClientTable::default(),
        limits: limits.clone(),
        phase: Phase::Serving,
        directory: None,
        orders: Orders::open(&plan.name, folder.as_deref(), now, &limits),
        has_successor: false,
        ready_deadline: plan.discovery.map(|_| now + limits.first_endpoints_timeout),
        listeners: Vec::new(),
        store_service: None,
        learned_state,
        returning: None,
        versions: None,
        started: now,
        rejections: Rejections::default(),
        // The first turn logs the readiness.
        last_reported_wait: Some(Wait::FirstList),
    };
    let (shutdown, reload) = (
        ShutdownSignal::install()?,
        ReloadSignal::install(plan.reload, names.clone())?,
    );
    let mut reactor = Reactor::new(gatherer, clock)?;
    let (net, gatherer) = reactor.parts();
    net.open(Box::new(shutdown));
    net.open(Box::new(reload));
    let (store, peers, disk) = open_store(plan.store.as_ref(), &limits, plan.seed, now)?;
    let store_peers = peers.clone();
    gatherer.store_service = Some(StoreService::new(
        store,
        plan.name.clone(),
        &peers,
        disk,
        limits.store_log_interval,
        net,
    ));
    let own = plan.store.as_ref().and_then(|s| s.members.get(&s.member));
    let store_listener = own.map(|address| (*address, Box::new(Incoming::accept) as Accept));
    let listeners = plan.listeners.into_iter().chain(store_listener);
    open_listeners(listeners, plan.admin, &plan.name, net, gatherer)?;
    gatherer.apply_exclusions(net, now);
    gatherer.orders.announce();
    let version = restore_endpoints(
        plan.recovery,
        &plan.known_members,
        &mut names,
        &store_peers,
        plan.seed,
        net,
        gatherer,
    );
    if let Some((setup, prepare)) = plan.versions {
        let incarnation = random_seed();
        gatherer.versions = Some(Versions::start(
            setup,
            plan.name.clone(),
            incarnation,
            prepare,
            net,
        ));
        versions::connect(gatherer, net);
    }
    gatherer.record("setup", &plan.setup.to_string(), net);
    gatherer.record_members(net);
    if let Some(address) = plan.discovery {
        gatherer.directory = Some(net.open(Box::new(Discovery::new(address, names, version))));
    }
    reactor.run()?;
    let (net, gatherer) = reactor.parts();
    finish(net, gatherer, limits.final_snapshot_timeout);
    tracing::info!("shutdown complete");
    Ok(())
}

/// Opens the listeners for clients, for store members and for operators.
fn open_listeners(
    listeners: impl Iterator<Item = (SocketAddr, Accept)>,
    admin: Option<SocketAddr>,
    name: &str,
    net: &mut Net<Gatherer>,
    gatherer: &mut Gatherer,
) -> Result<(), ServeError> {
    for (address, accept) in listeners {
        let token = net.open(Box::new(Listener::new(
            net::listen(address, admin.is_some())?,
            accept,
        )));
        gatherer.listeners.push(token);
        tracing::info!(name, listen = %address, "serving");
    }
    if let Some(address) = admin {
        net.open_first(Box::new(AdminListener::new(
            net::listen(address, false)?,
            &gatherer.limits,
        )));
        tracing::info!(admin = %address, "serving operators");
    }
    Ok(())
}

/// Starts with the endpoint list known before the start. Returns its version, if it has one.
fn restore_endpoints(
    recovery: Option<RecoverySetup>,
    known_members: &Json,
    names: &mut Names,
    store_peers: &BTreeMap<u64, SocketAddr>,
    seed: u64,
    net: &mut Net<Gatherer>,
    gatherer: &mut Gatherer,
) -> Option<u64> {
    // The list may be outdated or absent. Without one the dispatcher starts with an empty list.
    let (version, members) = match read_list(known_members, names) {
        Ok((version, _, members)) => (Some(version), members),
        Err(_) => (None, Vec::new()),
    };
    match recovery {
        // The peers must be queried before the list can be trusted.
        Some(setup) => {
            let settings = gatherer.core.settings();
            gatherer.returning = Some(RecoveryService::start(
                setup,
                settings,
                store_peers,
                members,
                gatherer.limits.first_endpoints_timeout,
                seed,
                net,
            ));
            // An empty update runs the dispatcher's first turn, which requests the list from
            // discovery without waiting for a client.
            gatherer
                .core
                .update_endpoints(ListKind::Persisted, Vec::new());
        }
        None => {
            let entries =
                gatherer
                    .hosts
                    .update(ListKind::Persisted, members, net, gatherer.started);
            gatherer.core.update_endpoints(ListKind::Persisted, entries);
        }
    }
    // Start serving with a known list at once, as other gatherers may be shutting down.
    if gatherer.hosts.any_active() {
        gatherer.ready_deadline = None;
    }
    version
}

/// Persists the state for the next start, after the event loop has ended.
fn finish(net: &mut Net<Gatherer>, gatherer: &mut Gatherer, timeout: Time) {
    let timeout = std::time::Duration::from_nanos(timeout);
    if let Some(learned_state) = gatherer.learned_state.take() {
        learned_state.finish(&mut gatherer.core, &gatherer.hosts, net.now(), timeout);
    }
    gatherer.record_finished_queries(net, net.now());
    if let Some(versions) = gatherer.versions.take() {
        versions.finish(net.now(), timeout);
    }
}
