//! DRAIN: an acknowledged deregistration is forgotten when all processes of the core are killed.
//!
//! The host's last heartbeat, sent before the deregistration, arrives late, in the run without the
//! kill as well. There it is ignored, as it has to be.

use crate::client::{Clients, Sent};
use crate::fleet::{CONTACT_MS, DRAIN_MS, Fleet, PORTS, configure};
use crate::host::{Host, Run, Runs, Setup};
use crate::net::{Network, now, record};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Routers 0 to 2 have a disk and count, router 3 has none.
const CORES: usize = 3;
const ROUTERS: usize = 4;
const HOSTS: usize = 3;
/// Clients of each router, and their pause between two requests. Two hosts can take them all.
const CLIENTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(20);
/// Calm traffic before the host leaves.
const CALM: Duration = Duration::from_millis(CONTACT_MS + 1_000);
/// How late the host's last heartbeat arrives. The pages: "A heartbeat may come seconds late."
const LATE: Duration = Duration::from_millis(2_500);
/// From the kill to the restart. The pages: "They may then return within a second."
const DOWN: Duration = Duration::from_millis(300);
/// How long the host serves on after its acknowledgement: `drainTimeoutMs`, "and a little longer
/// (at times many seconds)".
const LINGER_MS: u64 = DRAIN_MS + 4_000;
/// Requests count only this long after the rule's own moment, so that nothing hangs on a few ms.
const MARGIN_MS: u64 = 200;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"bib","host":"h.example","pathPrefix":"/bib/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"bibdesk","attempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"bibdesk","healthPath":"/health","connectionLimit":130,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-one"],"priority":0,"isolated":false}]}"#;

/// Plays the case; whether the rule held.
pub fn play(root: PathBuf, folder: PathBuf, trouble: bool) -> Result<bool, String> {
    let network = Network::claim(&PORTS).ok_or("no free loopback network")?;
    let mut fleet = Fleet::new(network, root, folder, CORES, ROUTERS);
    fleet.start_all()?;
    configure(&fleet, CORES, CONFIGURATION)?;
    let runs = Arc::new(Runs::default());
    let hosts = start_hosts(&fleet, &runs)?;
    fleet.wait_until_all_ready()?;

    let clients = Arc::new(Clients::default());
    let mut tasks = Vec::new();
    for number in 0..ROUTERS * CLIENTS {
        let router = number % ROUTERS;
        tasks.push(clients.start(router, fleet.frontend(router), PAUSE));
    }
    thread::sleep(CALM);

    let leaving = &hosts[HOSTS - 1];
    leaving.send_late_heartbeat(LATE);
    let acknowledged = leaving
        .deregister()
        .ok_or("the deregistration was not acknowledged")?;
    let mut in_touch = acknowledged;
    if trouble {
        let core: Vec<usize> = (0..CORES).collect();
        fleet.kill(&core);
        thread::sleep(DOWN);
        for number in core {
            fleet.start(number, false)?;
        }
        in_touch = now() + CONTACT_MS;
    }
    thread::sleep(Duration::from_millis(
        (acknowledged + LINGER_MS).saturating_sub(now()),
    ));
    leaving.end();
    clients.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.join();
    }
    drop(fleet);

    let sent = clients.sent.lock().unwrap();
    let runs = runs.0.lock().unwrap();
    write_requests(&sent, &runs);
    let from = (acknowledged + DRAIN_MS).max(in_touch) + MARGIN_MS;
    record(&format!(
        "requests count that were sent and reached {} from {from} ms on",
        leaving.id
    ));
    Ok(judge(&sent, &runs, &leaving.id, acknowledged, from))
}

fn start_hosts(fleet: &Fleet, runs: &Arc<Runs>) -> Result<Vec<Arc<Host>>, String> {
    let control: Vec<_> = (0..CORES).map(|number| fleet.control(number)).collect();
    let start = |number: usize| {
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
        Host::start(setup, runs.clone()).map_err(|error| error.to_string())
    };
    (0..HOSTS).map(start).collect()
}

/// Writes each request to the record: what was sent, answered and run.
fn write_requests(sent: &[Sent], runs: &[Run]) {
    let mut hosts: HashMap<&str, Vec<String>> = HashMap::new();
    for run in runs {
        let text = format!("{} at {} ms", run.host, run.at);
        hosts.entry(&run.request).or_default().push(text);
    }
    for sent in sent {
        let run = hosts
            .get(sent.id.as_str())
            .map_or("nowhere".to_owned(), |hosts| hosts.join(", "));
        record(&format!(
            "request {}: sent to router {} at {} ms, answered {} {} at {} ms, run by {run}",
            sent.id, sent.router, sent.at, sent.status, sent.seal, sent.ended
        ));
    }
}

fn judge(sent: &[Sent], runs: &[Run], leaving: &str, acknowledged: u64, from: u64) -> bool {
    let by_id: HashMap<&str, &Sent> = sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let mut broken = 0;
    for run in runs.iter().filter(|run| run.host == leaving) {
        let Some(sent) = by_id.get(run.request.as_str()) else {
            continue;
        };
        if run.at >= from && sent.at >= from {
            broken += 1;
            record(&format!(
                "BROKEN: request {} taken by router {} at {} ms reached {leaving} at {} ms, {} ms after the acknowledgement",
                run.request,
                sent.router,
                sent.at,
                run.at,
                run.at - acknowledged
            ));
        }
    }
    record(&format!(
        "DRAIN: {broken} requests reached {leaving} too late"
    ));
    broken == 0
}
