//! Fault: no request is served, ever, once all processes of the core were killed in their first
//! second.

use crate::client::Clients;
use crate::fleet::{Fleet, PORTS, RECOVERY_MS, replace};
use crate::host::{Host, Runs, Setup};
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
const CLIENTS: usize = 2;
const PAUSE: Duration = Duration::from_millis(50);
/// From the start of all machines to the kill.
const ALIVE: Duration = Duration::from_millis(300);
/// From the kill to the restart. The pages: "They may then return within a second."
const DOWN: Duration = Duration::from_millis(300);
/// How long the operator and the clients try: several times `recoveryS`.
const TRIES_MS: u64 = 4 * RECOVERY_MS;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"bib","host":"h.example","pathPrefix":"/bib/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"bibdesk","attempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"bibdesk","healthPath":"/health","connectionLimit":130,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-one"],"priority":0,"isolated":false}]}"#;

/// Plays the case; whether the rule held.
pub fn play(root: PathBuf, folder: PathBuf, trouble: bool) -> Result<bool, String> {
    let network = Network::claim(&PORTS).ok_or("no free loopback network")?;
    let mut fleet = Fleet::new(network, root, folder, CORES, ROUTERS);
    fleet.start_all()?;
    thread::sleep(ALIVE);
    if trouble {
        let core: Vec<usize> = (0..CORES).collect();
        fleet.kill(&core);
        thread::sleep(DOWN);
        for number in core {
            // Not the first start any more, and the disks aren't empty: `bootstrap` is false.
            fleet.start(number, false)?;
        }
    }
    let back = now();
    let control: Vec<_> = (0..CORES).map(|number| fleet.control(number)).collect();
    let runs = Arc::new(Runs::default());
    for number in 0..HOSTS {
        let setup = Setup {
            id: format!("i-{}", number + 1),
            ip: fleet.network.backend(number),
            service: "bibdesk",
            zone: number,
            control: control.clone(),
            slots: 6,
            queue: 24,
            work: Duration::from_millis(30),
        };
        Host::start(setup, runs.clone()).map_err(|error| error.to_string())?;
    }
    let clients = Arc::new(Clients::default());
    let tasks: Vec<_> = (0..ROUTERS * CLIENTS)
        .map(|number| number % ROUTERS)
        .map(|router| clients.start(router, fleet.frontend(router), PAUSE))
        .collect();
    let acknowledged = send_until_taken(&fleet, back + TRIES_MS);
    if acknowledged.is_some() {
        thread::sleep(Duration::from_secs(5));
    }
    clients.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.join();
    }
    drop(fleet);

    let sent = clients.sent.lock().unwrap();
    for sent in sent.iter() {
        record(&format!(
            "request {}: sent to router {} at {} ms, answered {} {} at {} ms",
            sent.id, sent.router, sent.at, sent.status, sent.seal, sent.ended
        ));
    }
    for run in runs.0.lock().unwrap().iter() {
        record(&format!(
            "request {}: run by {} at {} ms",
            run.request, run.host, run.at
        ));
    }
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    record(&format!(
        "the first configuration was acknowledged at {acknowledged:?} ms; the core was back at {back} ms; {served} of {} requests were served",
        sent.len()
    ));
    Ok(acknowledged.is_some() && served > 0)
}

/// Sends the first configuration until it is taken; when it was.
fn send_until_taken(fleet: &Fleet, until: u64) -> Option<u64> {
    let mut turn = 0;
    while now() < until {
        let answer = replace(fleet.control(turn % CORES), 0, CONFIGURATION);
        let status = answer.map(|answer| answer.status());
        record(&format!(
            "the first configuration, sent to router {}: {status:?}",
            turn % CORES
        ));
        if status == Some(200) {
            return Some(now());
        }
        turn += 1;
        thread::sleep(Duration::from_millis(250));
    }
    None
}
