//! Supervises router processes: starts them, injects faults by signals, and restarts them as the
//! platform would.

use crate::clock::Clock;
use crate::history::{ProcessEvent, Recorder, RouterEvent};
use crate::settings::{self, Addresses, GRACE_MS, Size};
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

/// The least delay before a process that ended is restarted; at most it is twice as long.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// A fault of a router, injected by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterFault {
    /// SIGTERM, and SIGKILL at the end of the grace period.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGKILL, and its disk is empty after the restart.
    Wipe,
    /// SIGSTOP, and SIGCONT after this time.
    Suspend(Duration),
    /// SIGHUP.
    Reload,
    /// SIGKILL without a restart, at the end of the run.
    Shutdown,
}

/// What all routers of a run share.
#[derive(Debug, Clone)]
pub struct Site {
    /// The program.
    pub program: PathBuf,
    /// The folder of the run: settings, data and logs.
    pub folder: PathBuf,
    /// How many routers there are.
    pub size: Size,
    /// Their addresses.
    pub addresses: Addresses,
}

/// One router, over all its processes.
struct Router {
    site: Site,
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
        // After the shutdown nobody receives faults.
        let _ = self.0.send(fault);
    }
}

/// Starts a router and restarts it until the shutdown.
///
/// # Errors
/// Its files cannot be written, or the process cannot be started.
pub fn start(
    site: &Site,
    number: usize,
    clock: Clock,
    recorder: &Arc<Recorder>,
) -> io::Result<(Supervisor, tokio::task::JoinHandle<io::Result<()>>)> {
    let (faults, queue) = mpsc::unbounded_channel();
    let router = Router {
        site: site.clone(),
        number,
        clock,
        recorder: recorder.clone(),
    };
    let child = router.start(true)?;
    let supervision = tokio::spawn(async move { router.supervise(child, queue).await });
    Ok((Supervisor(faults), supervision))
}

impl Router {
    fn data(&self) -> PathBuf {
        self.site.folder.join(format!("data-{}", self.number))
    }

    fn record(&self, event: ProcessEvent) {
        let record = RouterEvent {
            router: self.number,
            at: self.clock.now(),
            event,
        };
        self.recorder.open().router_events.push(record);
    }

    fn start(&self, bootstrap: bool) -> io::Result<Child> {
        let data = self.data();
        fs::create_dir_all(&data)?;
        let file = self
            .site
            .folder
            .join(format!("settings-{}.json", self.number));
        let settings = settings::of_router(
            self.site.size,
            self.site.addresses,
            self.number,
            &data,
            bootstrap,
        );
        fs::write(&file, settings.to_string())?;
        let log = self.site.folder.join(format!("router-{}.log", self.number));
        let log = File::options().append(true).create(true).open(log)?;
        let child = Command::new(&self.site.program)
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
        let mut wipes = false;
        loop {
            tokio::select! {
                ended = child.wait() => {
                    self.record(ProcessEvent::Exited(ended?.into()));
                    if std::mem::take(&mut wipes) {
                        empty(&self.data())?;
                    }
                    (kill_at, resume_at) = (None, None);
                    tokio::time::sleep(RESTART_DELAY.mul_f64(1.0 + fastrand::f64())).await;
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
                        kill_at.get_or_insert_with(|| Instant::now() + Duration::from_millis(GRACE_MS));
                    }
                    Some(RouterFault::Kill) => self.signal(&child, Signal::KILL),
                    Some(RouterFault::Wipe) => {
                        wipes = true;
                        self.signal(&child, Signal::KILL);
                    }
                    Some(RouterFault::Suspend(duration)) => {
                        self.signal(&child, Signal::STOP);
                        resume_at = Some(Instant::now() + duration);
                    }
                    Some(RouterFault::Reload) => self.signal(&child, Signal::HUP),
                },
                () = at(kill_at) => {
                    kill_at = None;
                    self.signal(&child, Signal::KILL);
                }
                () = at(resume_at) => {
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
        // The process may just have exited by itself.
        let _ = kill_process(id, signal);
    }
}

async fn at(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

fn empty(folder: &Path) -> io::Result<()> {
    fs::remove_dir_all(folder)?;
    fs::create_dir_all(folder)
}
