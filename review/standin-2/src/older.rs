//! All processes are killed at the same moment, well after a change was acknowledged, and return
//! within a second: how often does a request run that may run only once since that change?

use crate::Verdict;
use crate::client::Client;
use crate::fleet::Fleet;
use crate::host::{Host, LONG_WORK, Shared, since};
use crate::twice::{configuration, request};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ROUTERS: usize = 3;
/// The router that returns first.
const FIRST: usize = 2;
/// Requests on the safe route, after the return: twice as many as connections.
const CONNECTIONS: usize = 20;
/// When the two other routers return, in milliseconds after the kill.
const RETURN_MS: u64 = 1_000;

/// Plays the case. With `trouble` all routers are killed three seconds after a route was added.
pub fn play(program: &Path, folder: &Path, trouble: bool, lines: &mut Vec<String>) -> Verdict {
    play_steps(program, folder, trouble, lines).unwrap_or(Verdict::NotRun)
}

fn sleep_until(start: Instant, ms: u64) {
    std::thread::sleep(Duration::from_millis(ms).saturating_sub(start.elapsed()));
}

fn play_steps(
    program: &Path,
    folder: &Path,
    trouble: bool,
    lines: &mut Vec<String>,
) -> Option<Verdict> {
    let started = Instant::now();
    let mut note = |text: String| lines.push(format!("{} ms: {text}", since(started)));
    let mut fleet = Fleet::start(program, folder, ROUTERS, ROUTERS)?;
    let first = fleet.configure(0, &configuration(1, false), Duration::from_secs(30));
    note(format!("configuration 1, with a safe route: {first:?}"));
    first.filter(|status| *status == 200)?;
    let second = fleet.configure(1, &configuration(2, false), Duration::from_secs(5));
    note(format!("configuration 2, with the same route: {second:?}"));
    second.filter(|status| *status == 200)?;
    let shared = Arc::new(Shared::default());
    let routers: Vec<_> = (0..ROUTERS)
        .map(|number| fleet.network.control(number))
        .collect();
    let mut hosts = Vec::new();
    for number in 0..3 {
        let id = format!("i-7f3a91c{number}");
        let host = Host::start(fleet.network.hosts(), &id, "", shared.clone())?;
        host.send_heartbeats(routers.clone(), "kafi81c", &format!("z{number}"), "");
        hosts.push(host);
    }
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        note("the fleet did not become ready".to_owned());
        return None;
    }
    std::thread::sleep(Duration::from_millis(4_500));
    let third = fleet.configure(2, &configuration(3, true), Duration::from_secs(5));
    let acknowledged_at = Instant::now();
    note(format!(
        "configuration 3, with an unsafe route as well: {third:?}"
    ));
    third.filter(|status| *status == 200)?;
    sleep_until(acknowledged_at, 3_000);
    let killed_at = Instant::now();
    if trouble {
        (0..ROUTERS).for_each(|number| fleet.kill(number));
        note("all routers are killed".to_owned());
        fleet.restart(FIRST)?;
        note(format!("router {FIRST} is started again"));
    }
    // The platform sends clients to a router that calls itself ready.
    while !fleet.is_ready(FIRST) && killed_at.elapsed() < Duration::from_millis(RETURN_MS - 300) {
        std::thread::sleep(Duration::from_millis(20));
    }
    let is_ready = fleet.is_ready(FIRST);
    note(format!("router {FIRST} calls itself ready: {is_ready}"));
    let mut sent = Vec::new();
    let mut clients = Vec::new();
    if is_ready {
        let address = fleet.network.frontend(FIRST);
        let mut usual = (0..CONNECTIONS)
            .map(|_| Client::connect(address))
            .collect::<Option<Vec<Client>>>()?;
        let mut served = 0;
        for round in 0..2 {
            for (number, client) in usual.iter_mut().enumerate() {
                let id = format!("{round:02x}{number:06x}9c41d07b");
                client.send(&request(&id, "/xapu221/2f"))?;
            }
            served += usual
                .iter_mut()
                .filter_map(Client::status)
                .filter(|status| *status == 200)
                .count();
        }
        note(format!(
            "{served} of {} requests on the safe route are served by router {FIRST}",
            2 * CONNECTIONS
        ));
        for number in 0..4 {
            let mut client = Client::connect(address)?;
            let id = format!("ff{number:06x}9c41d07b");
            client.send(&request(&id, &format!("/xapu221{LONG_WORK}2f")))?;
            note(format!(
                "{id} on the unsafe route is sent to router {FIRST}, {} ms after the acknowledgement",
                acknowledged_at.elapsed().as_millis()
            ));
            sent.push(id);
            clients.push(client);
        }
    }
    sleep_until(killed_at, RETURN_MS);
    if trouble {
        for number in 0..FIRST {
            fleet.restart(number)?;
        }
        note("the two other routers are started again".to_owned());
    }
    for (client, id) in clients.iter_mut().zip(&sent) {
        let status = client.status();
        note(format!("{id} is answered: {status:?}"));
    }
    std::thread::sleep(Duration::from_millis(2_000));
    drop(hosts);
    // TWICE as it is written: a request that is not idempotent runs more than once.
    let runs = shared.runs.lock().unwrap().clone();
    let mut broken = 0;
    for id in &sent {
        let at: Vec<&str> = runs
            .iter()
            .filter(|run| run.request == *id)
            .map(|run| run.host.as_str())
            .collect();
        note(format!("{id} ran {} times, at {at:?}", at.len()));
        broken += usize::from(at.len() > 1);
    }
    note(format!("{broken} unsafe requests ran more than once"));
    Some(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
