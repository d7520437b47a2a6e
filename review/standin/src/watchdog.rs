//! Ends the routers and the run where it would take too long, or where its caller has ended.

use crate::net::record;
use std::collections::BTreeSet;
use std::os::unix::process::parent_id;
use std::path::PathBuf;
use std::process::{self, Command};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// A run takes 120 s at most.
const LIMIT: Duration = Duration::from_secs(110);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The routers that this run started and that have not been waited for.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Records a router that was started.
pub fn started(id: u32) {
    RUNNING.lock().unwrap().insert(id);
}

/// Records a router whose end was waited for.
pub fn ended(id: u32) {
    RUNNING.lock().unwrap().remove(&id);
}

/// Watches this run from now on.
pub fn start(folder: PathBuf) {
    let (started_at, caller) = (Instant::now(), parent_id());
    thread::spawn(move || {
        while started_at.elapsed() < LIMIT && parent_id() == caller {
            thread::sleep(CHECK_INTERVAL);
        }
        // The lock is kept, so that no router is started after this.
        let running = RUNNING.lock().unwrap();
        for id in running.iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        record("the case couldn't run: it took too long, or its caller has ended");
        let _ = std::fs::remove_dir_all(&folder);
        process::exit(2);
    });
}
