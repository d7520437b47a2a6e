//! Routers as processes of their own: started, signalled, and started again by whoever plays the
//! platform.

use crate::clock::Clock;
use crate::history::{Blow, Recorder, Struck};
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

/// A process that ended is started again after this, and up to twice as late.
const START_AGAIN: Duration = Duration::from_millis(400);

/// What is done to a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strike {
    /// SIGTERM; SIGKILL where it is still there at the end of its grace period.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGKILL, and its disk is empty when it starts again.
    Wipe,
    /// SIGSTOP, and SIGCONT after so long.
    Stop(Duration),
    /// SIGHUP.
    HangUp,
    /// The run is over: SIGKILL, and it isn't started again.
    End,
}

/// What starting a router takes.
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

/// One router, whatever process it is at present.
struct Router {
    site: Site,
    number: usize,
    clock: Clock,
    recorder: Arc<Recorder>,
}

/// The way to a router's keeper.
#[derive(Debug, Clone)]
pub struct Keeper(mpsc::UnboundedSender<Strike>);

impl Keeper {
    /// Has something done to the router.
    pub fn strike(&self, strike: Strike) {
        // A router that has ended for good takes no more.
        let _ = self.0.send(strike);
    }
}

/// Starts a router and keeps it running until it is told to end.
pub fn keep(
    site: &Site,
    number: usize,
    clock: Clock,
    recorder: &Arc<Recorder>,
) -> io::Result<(Keeper, tokio::task::JoinHandle<io::Result<()>>)> {
    let (strikes, queue) = mpsc::unbounded_channel();
    let router = Router {
        site: site.clone(),
        number,
        clock,
        recorder: recorder.clone(),
    };
    let child = router.start(true)?;
    let keeping = tokio::spawn(async move { router.keep(child, queue).await });
    Ok((Keeper(strikes), keeping))
}

impl Router {
    fn data(&self) -> PathBuf {
        self.site.folder.join(format!("data-{}", self.number))
    }

    fn note(&self, blow: Blow) {
        let struck = Struck {
            router: self.number,
            at: self.clock.now(),
            blow,
        };
        self.recorder.open().struck.push(struck);
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
        self.note(Blow::Started);
        Ok(child)
    }

    async fn keep(
        self,
        mut child: Child,
        mut strikes: mpsc::UnboundedReceiver<Strike>,
    ) -> io::Result<()> {
        let mut kill_at: Option<Instant> = None;
        let mut go_on_at: Option<Instant> = None;
        let mut wipes = false;
        loop {
            tokio::select! {
                ended = child.wait() => {
                    self.note(Blow::Ended(ended?.into()));
                    if std::mem::take(&mut wipes) {
                        empty(&self.data())?;
                    }
                    (kill_at, go_on_at) = (None, None);
                    tokio::time::sleep(START_AGAIN.mul_f64(1.0 + fastrand::f64())).await;
                    child = self.start(false)?;
                }
                strike = strikes.recv() => match strike {
                    None | Some(Strike::End) => {
                        self.signal(&child, Signal::KILL);
                        child.wait().await?;
                        return Ok(());
                    }
                    Some(Strike::Terminate) => {
                        self.signal(&child, Signal::TERM);
                        kill_at.get_or_insert_with(|| Instant::now() + Duration::from_millis(GRACE_MS));
                    }
                    Some(Strike::Kill) => self.signal(&child, Signal::KILL),
                    Some(Strike::Wipe) => {
                        wipes = true;
                        self.signal(&child, Signal::KILL);
                    }
                    Some(Strike::Stop(lasts)) => {
                        self.signal(&child, Signal::STOP);
                        go_on_at = Some(Instant::now() + lasts);
                    }
                    Some(Strike::HangUp) => self.signal(&child, Signal::HUP),
                },
                () = at(kill_at) => {
                    kill_at = None;
                    self.signal(&child, Signal::KILL);
                }
                () = at(go_on_at) => {
                    go_on_at = None;
                    self.signal(&child, Signal::CONT);
                }
            }
        }
    }

    /// Sends a signal to the process that this router is at present, and to no other.
    fn signal(&self, child: &Child, signal: Signal) {
        let id = child.id().and_then(|id| Pid::from_raw(id as i32));
        let Some(id) = id else { return };
        let blow = match signal {
            Signal::TERM => Blow::Terminated,
            Signal::STOP => Blow::Stopped,
            Signal::CONT => Blow::Continued,
            Signal::HUP => Blow::HungUp,
            _ => Blow::Killed,
        };
        self.note(blow);
        // It may just have ended by itself; then there is nothing to signal.
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
