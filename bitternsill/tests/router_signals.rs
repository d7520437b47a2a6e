//! Signals that reach a router while it is still starting.
//!
//! Guards against signal handlers that are installed only after the disk has been read and every
//! interface is up. A router that was restarted and then sent SIGHUP, for changed settings, exited
//! at once as if killed; sent SIGTERM, it exited without finishing its requests. Seen in soak runs
//! with overlapping signals, seeds 1 and 3.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use soak::network::Network;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
/// Several starts, since the timing of each differs.
const STARTS: usize = 8;

struct Started {
    child: Child,
    folder: PathBuf,
}

impl Drop for Started {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts a router; returns as soon as it uses its disk, long before it serves. The router has an
/// address of its own, because a free port on a shared address may be taken before the router
/// listens there.
fn start(name: &str, address: Ipv4Addr) -> Started {
    let folder = std::env::temp_dir().join(format!("router-signals-{}-{name}", std::process::id()));
    fs::create_dir_all(folder.join("data")).unwrap();
    let at = |port: u16| format!("{address}:{port}");
    let settings = json!({
        "nodeName": "n1", "ipAddress": address, "zone": "a",
        "listen": {"frontend": at(8_388), "readiness": at(8_384), "controlPlane": at(8_381)},
        "internalPortRange": [7_560, 7_575], "seeds": ["127.0.0.1:1"], "bootstrap": true, "countsForQuorum": true,
        "dataDirectory": folder.join("data"), "bounds": {"gracePeriodS": 2},
    });
    fs::write(folder.join("settings.json"), settings.to_string()).unwrap();
    let log = fs::File::create(folder.join("log")).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_bitternsill"))
        .arg("router")
        .arg("--settings")
        .arg(folder.join("settings.json"))
        .stdin(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap();
    let mut started = Started { child, folder };
    until(&mut started, |folder| {
        fs::read_dir(folder.join("data")).is_ok_and(|mut files| files.next().is_some())
    });
    started
}

fn until(started: &mut Started, is_so: impl Fn(&Path) -> bool) {
    let begun = Instant::now();
    while !is_so(&started.folder) {
        assert!(begun.elapsed() < PATIENCE, "it does not come about");
        let ended = started.child.try_wait().unwrap();
        assert_eq!(
            ended,
            None,
            "the process has ended: {}",
            log(&started.folder)
        );
        std::thread::yield_now();
    }
}

fn log(folder: &Path) -> String {
    fs::read_to_string(folder.join("log")).unwrap_or_default()
}

fn signal(started: &Started, signal: Signal) {
    kill_process(Pid::from_raw(started.child.id() as i32).unwrap(), signal).unwrap();
}

fn end(started: &mut Started) -> ExitStatus {
    let begun = Instant::now();
    loop {
        if let Some(status) = started.child.try_wait().unwrap() {
            return status;
        }
        assert!(
            begun.elapsed() < PATIENCE,
            "it does not end: {}",
            log(&started.folder)
        );
        std::thread::yield_now();
    }
}

#[test]
fn a_router_that_is_starting_takes_signals_as_one_that_serves() {
    let network = Network::claim().unwrap();
    for number in 0..STARTS {
        let address = |place: usize| network.addresses.router(2 * number + place);
        let mut told_of_settings = start(&format!("hangup-{number}"), address(0));
        signal(&told_of_settings, Signal::HUP);
        until(&mut told_of_settings, |folder| {
            log(folder).contains("SIGHUP")
        });

        let mut told_to_end = start(&format!("terminate-{number}"), address(1));
        signal(&told_to_end, Signal::TERM);
        let status = end(&mut told_to_end);
        assert!(status.success(), "{status}: {}", log(&told_to_end.folder));
    }
}
