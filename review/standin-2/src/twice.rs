//! A route for requests that may run once is added while a router is frozen: how often does such a
//! request run that is sent to the router after that?

use crate::Verdict;
use crate::client::Client;
use crate::fleet::Fleet;
use crate::host::{Host, LONG_WORK, Shared, since};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ROUTERS: usize = 4;
/// The router without a disk.
const FROZEN: usize = 3;
/// Requests on the first route, before the freeze.
const USUAL_REQUESTS: usize = 40;

/// A configuration with a route for requests that may be repeated, and on wish one with a longer
/// prefix, for requests that may not.
pub fn configuration(version: u64, has_unsafe_route: bool) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"hulo84.example","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":3000,"targetLatencyMs":300,"priority":0,"service":"kafi81c","attempts":{attempts},"public":true,"sticky":false,"resumable":false}}"#
        )
    };
    let mut routes = vec![route("r-1", "/xapu221/", "safe", 2)];
    if has_unsafe_route {
        routes.push(route("r-2", &format!("/xapu221{LONG_WORK}"), "unsafe", 1));
    }
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"kafi81c","healthPath":"/health","connectionLimit":130,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[]}}"#,
        routes.join(",")
    )
}

pub fn request(id: &str, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// Plays the case. With `trouble` a router without a disk freezes while the route is added.
pub fn play(program: &Path, folder: &Path, trouble: bool, lines: &mut Vec<String>) -> Verdict {
    play_steps(program, folder, trouble, lines).unwrap_or(Verdict::NotRun)
}

fn play_steps(
    program: &Path,
    folder: &Path,
    trouble: bool,
    lines: &mut Vec<String>,
) -> Option<Verdict> {
    let started = Instant::now();
    let mut note = |text: String| lines.push(format!("{} ms: {text}", since(started)));
    let fleet = Fleet::start(program, folder, ROUTERS, 3)?;
    let first = fleet.configure(0, &configuration(1, false), Duration::from_secs(30));
    note(format!("configuration 1, with a safe route: {first:?}"));
    first.filter(|status| *status == 200)?;
    let shared = Arc::new(Shared::default());
    let routers: Vec<_> = (0..3).map(|number| fleet.network.control(number)).collect();
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
    std::thread::sleep(Duration::from_millis(3_500));
    let mut clients = Vec::new();
    let mut served = 0;
    for router in 0..ROUTERS {
        let mut client = Client::connect(fleet.network.frontend(router))?;
        for number in 0..USUAL_REQUESTS {
            let id = format!("{router:02x}{number:04x}9c41d07b");
            client.send(&request(&id, "/xapu221/2f"))?;
            served += usize::from(client.status() == Some(200));
        }
        clients.push(client);
    }
    note(format!(
        "{served} of {} requests on the safe route are served",
        ROUTERS * USUAL_REQUESTS
    ));
    if served * 2 < ROUTERS * USUAL_REQUESTS {
        return None;
    }
    let frozen_at = Instant::now();
    if trouble {
        fleet.signal(FROZEN, "STOP");
        note(format!("router {FROZEN} freezes"));
    }
    std::thread::sleep(Duration::from_millis(200));
    let second = fleet.configure(1, &configuration(2, true), Duration::from_secs(1));
    let acknowledged_at = Instant::now();
    note(format!(
        "configuration 2, with an unsafe route as well: {second:?}"
    ));
    second.filter(|status| *status == 200)?;
    std::thread::sleep(Duration::from_millis(3_500).saturating_sub(frozen_at.elapsed()));
    // Sent later than configApplyMs after the acknowledgement.
    if acknowledged_at.elapsed() < Duration::from_millis(2_000) {
        return None;
    }
    let mut sent = Vec::new();
    for (router, client) in clients.iter_mut().enumerate() {
        let id = format!("ff{router:04x}9c41d07b");
        client.send(&request(&id, &format!("/xapu221{LONG_WORK}2f")))?;
        note(format!(
            "{id} on the unsafe route is sent to router {router}"
        ));
        sent.push(id);
    }
    std::thread::sleep(Duration::from_millis(3_900).saturating_sub(frozen_at.elapsed()));
    if trouble {
        fleet.signal(FROZEN, "CONT");
        note(format!("router {FROZEN} wakes again"));
    }
    for (router, (client, id)) in clients.iter_mut().zip(&sent).enumerate() {
        let status = client.status();
        note(format!("{id} by router {router} is answered: {status:?}"));
    }
    std::thread::sleep(Duration::from_millis(1_500));
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
