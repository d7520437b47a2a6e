//! A fleet of router processes with an environment for backends and an operator.

use crate::backend::Environment;
use crate::clock::Clock;
use crate::history::{Policy, Recorder, Reply};
use crate::network::Network;
use crate::operator::Operator;
use crate::settings::{Addresses, Size};
use crate::supervisor::{self, FleetConfig, RouterFault, Supervisor};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinHandle;

/// The time-out of the first configuration, which includes the start of the routers.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The time-out of reading the metrics of a router.
const METRICS_TIMEOUT: Duration = Duration::from_millis(800);

/// The reason why a fleet could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// An operation of the system failed.
    #[error("{0}; check the path of the program, free ports and resource limits")]
    System(#[from] io::Error),
    /// The HTTP client cannot be created.
    #[error("HTTP client cannot be created: {0}")]
    Client(#[from] reqwest::Error),
    /// No router accepted the first configuration.
    #[error(
        "no router accepted the first configuration within {START_TIMEOUT:?}; their logs are in {0}"
    )]
    NotStarted(PathBuf),
}

/// Running routers, which are restarted after each exit until [`Fleet::stop`].
pub struct Fleet {
    /// The number of routers.
    pub size: Size,
    /// The clock of all records.
    pub clock: Clock,
    /// Where all observations are recorded.
    pub recorder: Arc<Recorder>,
    /// The addresses of the routers and backends.
    pub addresses: Addresses,
    /// The environment in which backends are started.
    pub environment: Arc<Environment>,
    /// The operator.
    pub operator: Operator,
    /// An HTTP client.
    pub client: reqwest::Client,
    supervisors: Vec<Supervisor>,
    supervisions: Mutex<Vec<JoinHandle<io::Result<()>>>>,
    _network: Network,
}

impl Fleet {
    /// Starts the routers. Their settings, data and logs go to `folder`, whose former contents are
    /// deleted: the data of an earlier run contains addresses that may belong to another run now.
    ///
    /// # Errors
    /// A process or a socket can't be started.
    pub fn start(program: &Path, folder: &Path, size: Size) -> Result<Self, StartError> {
        match fs::remove_dir_all(folder) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
            _ => fs::create_dir_all(folder)?,
        }
        let network = Network::claim()?;
        let addresses = network.addresses;
        let (clock, recorder) = (Clock::start(), Arc::new(Recorder::default()));
        recorder.lock().replicas = size.replicas;
        let client = reqwest::Client::builder().no_proxy().build()?;
        let config = FleetConfig {
            program: program.to_owned(),
            folder: folder.to_owned(),
            size,
            addresses,
        };
        let (mut supervisors, mut supervisions) = (Vec::new(), Vec::new());
        for number in 0..size.routers {
            let (supervisor, supervision) = supervisor::start(&config, number, clock, &recorder)?;
            supervisors.push(supervisor);
            supervisions.push(supervision);
        }
        let control: Vec<_> = (0..size.routers)
            .map(|number| addresses.control(number))
            .collect();
        let environment = Environment::new(
            clock,
            recorder.clone(),
            control.clone(),
            client.clone(),
            addresses.backends(),
        );
        let operator = Operator {
            clock,
            recorder: recorder.clone(),
            control,
            client: client.clone(),
            variants: AtomicU64::new(1),
        };
        Ok(Fleet {
            size,
            clock,
            recorder,
            addresses,
            environment,
            operator,
            client,
            supervisors,
            supervisions: Mutex::new(supervisions),
            _network: network,
        })
    }

    /// Sends the first configuration until it is acknowledged.
    ///
    /// # Errors
    /// It is not acknowledged in time.
    pub async fn configure(&self, folder: &Path) -> Result<(), StartError> {
        let configured = tokio::time::timeout(START_TIMEOUT, async {
            while self.operator.configure(0, 1, Policy::Relaxed).await != Reply::Acknowledged {}
        });
        configured
            .await
            .map_err(|_| StartError::NotStarted(folder.to_owned()))
    }

    /// The value of a metric of a router.
    pub async fn metric(&self, router: usize, name: &str) -> Option<u64> {
        let url = format!("http://{}/metrics", self.addresses.metrics(router));
        let request = self.client.get(url).timeout(METRICS_TIMEOUT);
        let body = request.send().await.ok()?.bytes().await.ok()?;
        let text = String::from_utf8_lossy(&body);
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// Injects a fault into a router.
    pub fn inject(&self, router: usize, fault: RouterFault) {
        self.supervisors[router].inject(fault);
    }

    /// Kills all routers with a replica at the same moment.
    pub fn kill_replicas(&self) {
        (0..self.size.replicas).for_each(|number| self.inject(number, RouterFault::Kill));
    }

    /// Kills all routers for good, and waits for their ends.
    pub async fn stop(&self) {
        (0..self.size.routers).for_each(|number| self.inject(number, RouterFault::Shutdown));
        let supervisions = std::mem::take(
            &mut *self
                .supervisions
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
        for supervision in supervisions {
            // If a supervisor has failed, its router does not respond, which the checks report.
            let _ = supervision.await;
        }
    }
}
