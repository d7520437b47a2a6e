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

const TIMEOUT: Duration = Duration::from_secs(20);
/// Several starts, since the timing of each differs.
const STARTS: usize = 8;

struct StartingRouter {
    child: Child,
    folder: PathBuf,
}

impl Drop for StartingRouter {
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
fn start(name: &str, address: Ipv4Addr) -> StartingRouter {
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
    let mut router = StartingRouter { child, folder };
    wait_for(&mut router, |folder| {
        fs::read_dir(folder.join("data")).is_ok_and(|mut files| files.next().is_some())
    });
    router
}

fn wait_for(router: &mut StartingRouter, condition: impl Fn(&Path) -> bool) {
    let start_time = Instant::now();
    while !condition(&router.folder) {
        assert!(start_time.elapsed() < TIMEOUT, "timed out");
        let ended = router.child.try_wait().unwrap();
        assert_eq!(ended, None, "router exited: {}", log(&router.folder));
        std::thread::yield_now();
    }
}

fn log(folder: &Path) -> String {
    fs::read_to_string(folder.join("log")).unwrap_or_default()
}

fn signal(router: &StartingRouter, signal: Signal) {
    kill_process(Pid::from_raw(router.child.id() as i32).unwrap(), signal).unwrap();
}

fn wait_for_exit(router: &mut StartingRouter) -> ExitStatus {
    let start_time = Instant::now();
    loop {
        if let Some(status) = router.child.try_wait().unwrap() {
            return status;
        }
        assert!(
            start_time.elapsed() < TIMEOUT,
            "router does not exit: {}",
            log(&router.folder)
        );
        std::thread::yield_now();
    }
}

#[test]
fn starting_router_handles_signals() {
    let network = Network::claim().unwrap();
    for number in 0..STARTS {
        let address = |slot: usize| network.addresses.router(2 * number + slot);
        let mut reloaded = start(&format!("hangup-{number}"), address(0));
        signal(&reloaded, Signal::HUP);
        wait_for(&mut reloaded, |folder| log(folder).contains("SIGHUP"));

        let mut terminated = start(&format!("terminate-{number}"), address(1));
        signal(&terminated, Signal::TERM);
        let status = wait_for_exit(&mut terminated);
        assert!(status.success(), "{status}: {}", log(&terminated.folder));
    }
}
