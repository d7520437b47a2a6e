//! Supervises router processes: starts them, injects faults by signals, and restarts them as a
//! process manager would.

use crate::clock::Clock;
use crate::history::{ProcessEvent, Recorder, RouterEvent};
use crate::settings::{self, Addresses, GRACE_PERIOD_MS, Size};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The minimum delay before an exited process is restarted; the maximum is twice as long.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(400);

/// A fault of a router, injected by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterFault {
    /// SIGTERM, and SIGKILL if the process still runs at the end of the grace period.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGKILL, and a restart after this time.
    Outage(Duration),
    /// SIGKILL, and a restart with an empty data folder.
    Wipe,
    /// SIGSTOP, and SIGCONT after this time.
    Suspend(Duration),
    /// SIGHUP.
    Reload,
    /// SIGKILL without a restart, at the end of the run.
    Shutdown,
}

/// The settings that all routers of a run share.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The router program.
    pub program: PathBuf,
    /// The folder of the run: settings, data and logs.
    pub folder: PathBuf,
    /// The number of routers.
    pub size: Size,
    /// The addresses of the routers.
    pub addresses: Addresses,
}

/// One router, across restarts of its process.
struct Router {
    fleet: FleetConfig,
    number: usize,
    clock: Clock,
    recorder: Arc<Recorder>,
}

/// A handle to the supervisor of one router.
#[derive(Debug, Clone)]
pub struct Supervisor(mpsc::UnboundedSender<RouterFault>);

impl Supervisor {
    /// Injects a fault.
    pub fn inject(&self, fault: RouterFault) {
        // The queue is closed after the shutdown.
        let _ = self.0.send(fault);
    }
}

/// Starts a router, and restarts its process until the shutdown.
///
/// # Errors
/// Files cannot be written, or the process cannot be started.
pub fn start(
    fleet: &FleetConfig,
    number: usize,
    clock: Clock,
    recorder: &Arc<Recorder>,
) -> io::Result<(Supervisor, tokio::task::JoinHandle<io::Result<()>>)> {
    let (faults, queue) = mpsc::unbounded_channel();
    let router = Router {
        fleet: fleet.clone(),
        number,
        clock,
        recorder: recorder.clone(),
    };
    let child = router.start(true)?;
    let supervision = tokio::spawn(async move { router.supervise(child, queue).await });
    Ok((Supervisor(faults), supervision))
}

impl Router {
    fn data_folder(&self) -> PathBuf {
        self.fleet.folder.join(format!("data-{}", self.number))
    }

    fn record(&self, event: ProcessEvent) {
        let record = RouterEvent {
            router: self.number,
            at: self.clock.now(),
            event,
        };
        self.recorder.lock().router_events.push(record);
    }

    fn start(&self, bootstrap: bool) -> io::Result<Child> {
        let data = self.data_folder();
        fs::create_dir_all(&data)?;
        let file = self
            .fleet
            .folder
            .join(format!("settings-{}.json", self.number));
        let settings = settings::router_settings(
            self.fleet.size,
            self.fleet.addresses,
            self.number,
            &data,
            bootstrap,
        );
        fs::write(&file, settings.to_string())?;
        let log = self
            .fleet
            .folder
            .join(format!("router-{}.log", self.number));
        let log = File::options().append(true).create(true).open(log)?;
        let child = Command::new(&self.fleet.program)
            .arg("router")
            .arg("--settings")
            .arg(&file)
            .args(["--metrics-port", &settings::metrics_port()])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.record(ProcessEvent::Started);
        Ok(child)
    }

    async fn supervise(
        self,
        mut child: Child,
        mut faults: mpsc::UnboundedReceiver<RouterFault>,
    ) -> io::Result<()> {
        let mut kill_at: Option<Instant> = None;
        let mut resume_at: Option<Instant> = None;
        let mut wipe_on_exit = false;
        let mut restart_delay: Option<Duration> = None;
        loop {
            tokio::select! {
                exited = child.wait() => {
                    self.record(ProcessEvent::Exited(exited?.into()));
                    if std::mem::take(&mut wipe_on_exit) {
                        clear_folder(&self.data_folder())?;
                    }
                    (kill_at, resume_at) = (None, None);
                    let delay = restart_delay.take().unwrap_or_else(random_restart_delay);
                    tokio::time::sleep(delay).await;
                    child = self.start(false)?;
                }
                fault = faults.recv() => match fault {
                    None | Some(RouterFault::Shutdown) => {
                        self.signal(&child, Signal::KILL);
                        child.wait().await?;
                        return Ok(());
                    }
                    Some(RouterFault::Terminate) => {
                        self.signal(&child, Signal::TERM);
                        kill_at.get_or_insert_with(|| Instant::now() + Duration::from_millis(GRACE_PERIOD_MS));
                    }
                    Some(RouterFault::Kill) => self.signal(&child, Signal::KILL),
                    Some(RouterFault::Outage(duration)) => {
                        restart_delay = Some(duration);
                        self.signal(&child, Signal::KILL);
                    }
                    Some(RouterFault::Wipe) => {
                        wipe_on_exit = true;
                        self.signal(&child, Signal::KILL);
                    }
                    Some(RouterFault::Suspend(duration)) => {
                        self.signal(&child, Signal::STOP);
                        resume_at = Some(Instant::now() + duration);
                    }
                    Some(RouterFault::Reload) => self.signal(&child, Signal::HUP),
                },
                () = wait_until(kill_at) => {
                    kill_at = None;
                    self.signal(&child, Signal::KILL);
                }
                () = wait_until(resume_at) => {
                    resume_at = None;
                    self.signal(&child, Signal::CONT);
                }
            }
        }
    }

    /// Sends a signal to the current process of this router.
    fn signal(&self, child: &Child, signal: Signal) {
        let id = child.id().and_then(|id| Pid::from_raw(id as i32));
        let Some(id) = id else { return };
        let event = match signal {
            Signal::TERM => ProcessEvent::Terminated,
            Signal::STOP => ProcessEvent::Suspended,
            Signal::CONT => ProcessEvent::Resumed,
            Signal::HUP => ProcessEvent::Reloaded,
            _ => ProcessEvent::Killed,
        };
        self.record(event);
        // The process may have exited in the meantime.
        let _ = kill_process(id, signal);
    }
}

fn random_restart_delay() -> Duration {
    MIN_RESTART_DELAY.mul_f64(1.0 + fastrand::f64())
}

/// Waits until a time; forever if there is none.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

fn clear_folder(folder: &Path) -> io::Result<()> {
    fs::remove_dir_all(folder)?;
    fs::create_dir_all(folder)
}
