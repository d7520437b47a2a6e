//! CONFIG: what two of three founded and acknowledged is never read again after one lost disk.
//!
//! One core machine is down from its first moment on, so the other two found the control state.
//! Then one of these loses its disk while the other is down as well. All come back at once. One disk
//! was lost, and one with every acknowledged change is there.

use crate::client::Clients;
use crate::fleet::{CONTACT_MS, Fleet, PORTS, RECOVERY_MS, configure, read, replace};
use crate::host::{Host, Run, Runs, Setup};
use crate::net::{Network, now, record};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Routers 0 to 2 have a disk and count, router 3 has none.
const CORES: usize = 3;
const ROUTERS: usize = 4;
const HOSTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(50);
/// The machine that is down at first, and the one that loses its disk.
const ABSENT: usize = 2;
const WIPED: usize = 0;
/// Calm traffic between the second configuration and the losses.
const CALM: Duration = Duration::from_millis(CONTACT_MS);
const DOWN: Duration = Duration::from_millis(1_000);
/// From when all are back to the operator's first read that counts: more than `recoveryS`.
const REST: Duration = Duration::from_millis(RECOVERY_MS + 3_000);
/// How long the operator reads, again and again; the pages ask for `contactMs` at least.
const READS_MS: u64 = 5 * CONTACT_MS;

fn configuration(version: u64) -> String {
    let routes = r#"{"name":"bib","host":"h.example","pathPrefix":"/bib/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"bibdesk","attempts":1,"public":false,"sticky":false,"resumable":false}"#;
    let rest = r#""services":[{"name":"bibdesk","healthPath":"/health","connectionLimit":130,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"one","apiKeys":["key-one"],"priority":0,"isolated":false}]"#;
    format!(r#"{{"version":{version},"routes":[{routes}],{rest}}}"#)
}

/// Plays the case; whether the rule held.
pub fn play(root: PathBuf, folder: PathBuf, trouble: bool) -> Result<bool, String> {
    // For comparison: the same losses, but the absent machine is lost after the founding.
    let founded_by_three = std::env::var("FOUNDED").is_ok_and(|value| value == "3");
    let network = Network::claim(&PORTS).ok_or("no free loopback network")?;
    let mut fleet = Fleet::new(network, root, folder, CORES, ROUTERS);
    // All start within 0.3 s of each other, the absent one first, so that the others know nothing of
    // it when it is killed.
    for number in [ABSENT, 0, 1, 3] {
        fleet.start(number, true)?;
        if number == ABSENT && trouble && !founded_by_three {
            fleet.kill(&[ABSENT]);
        }
    }
    configure(&fleet, CORES, &configuration(1))?;
    if trouble && founded_by_three {
        fleet.kill(&[ABSENT]);
    }
    let runs = Arc::new(Runs::default());
    for number in 0..HOSTS {
        let setup = Setup {
            id: format!("i-{}", number + 1),
            ip: fleet.network.backend(number),
            service: "bibdesk",
            zone: number,
            control: (0..CORES).map(|number| fleet.control(number)).collect(),
            slots: 6,
            queue: 24,
            work: Duration::from_millis(30),
        };
        Host::start(setup, runs.clone()).map_err(|error| error.to_string())?;
    }
    let clients = Arc::new(Clients::default());
    let routers = [0, 1, 3];
    let tasks = routers.map(|router| clients.start(router, fleet.frontend(router), PAUSE));
    change(&fleet)?;
    thread::sleep(CALM);
    if trouble {
        fleet.kill(&[0, 1]);
        fleet.wipe(WIPED)?;
        thread::sleep(DOWN);
        for number in 0..CORES {
            fleet.start(number, false)?;
        }
        record("all machines are back");
        thread::sleep(REST);
    }
    let held = read_back(&fleet);
    clients.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.join();
    }
    drop(fleet);
    for sent in clients.sent.lock().unwrap().iter() {
        record(&format!(
            "request {}: sent to router {} at {} ms, answered {} {} at {} ms",
            sent.id, sent.router, sent.at, sent.status, sent.seal, sent.ended
        ));
    }
    for run in runs.0.lock().unwrap().iter() {
        let Run { request, host, at } = run;
        record(&format!("request {request}: run by {host} at {at} ms"));
    }
    record(&format!("CONFIG: read back in time: {held}"));
    Ok(held)
}

/// Brings the second configuration.
fn change(fleet: &Fleet) -> Result<(), String> {
    for turn in 0..100 {
        let answer = replace(fleet.control(turn % 2), 1, &configuration(2));
        if answer.is_some_and(|answer| answer.status() == 200) {
            record("configuration 2 is acknowledged");
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err("configuration 2 was not acknowledged".to_owned())
}

/// Whether the newest acknowledged configuration is read back.
fn read_back(fleet: &Fleet) -> bool {
    let until = now() + READS_MS;
    let mut turn = 0;
    while now() < until {
        let answer = read(fleet.control(turn % CORES));
        let status = answer.as_ref().map(|answer| answer.status());
        record(&format!("read at router {}: {status:?}", turn % CORES));
        if let Some(answer) = answer.filter(|answer| answer.status() == 200) {
            return answer.body == configuration(2).into_bytes();
        }
        turn += 1;
        thread::sleep(Duration::from_millis(250));
    }
    false
}
