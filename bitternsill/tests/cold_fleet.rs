//! Load that many gatherers, each a process, send together to one cold index host.

mod common;

use common::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const GATHERERS: usize = 24;
/// Service time of a part on the index host, and the capacity share and multiple that the settings
/// allow while it is cold.
const PART_DURATION: Duration = Duration::from_millis(200);
const START_CAPACITY: f64 = 0.25;
const TIP_MULTIPLE: f64 = 4.0;
const RAMP_TIME: Duration = Duration::from_secs(60);

/// Each gatherer may use a sixth of a part. If each rounded that up, 24 parts would arrive at once,
/// where 11 to 12 may be chance.
#[test]
fn fleet_keeps_cold_hosts_within_budget() {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorded = arrivals.clone();
    let host = FrameHost::start(move |id| {
        recorded.lock().unwrap().push(Instant::now());
        thread::sleep(PART_DURATION);
        PartReply::Good(1, format!("value of {id}"))
    });
    let begin = Instant::now();
    let mut cold = target(0, host.address, "active");
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    cold["boot_ms"] = json!(since.as_millis() as u64);
    let discovery = Discovery::start(vec![cold]);
    let mut settings = settings();
    for (key, value) in [("sets", 1), ("in_a_row", 1), ("ranges", 1)] {
        settings["extra"][key] = json!(value);
    }
    settings["group_size"] = json!(GATHERERS);
    for (key, value) in [
        ("start_capacity", json!(START_CAPACITY)),
        ("ramp_time", json!(RAMP_TIME.as_nanos() as u64)),
        ("tip_multiple", json!(TIP_MULTIPLE)),
        ("fall", json!(1_000_000_000u64)),
    ] {
        settings["guarantees"][key] = value;
    }
    let gatherers: Vec<(Program, SocketAddr)> = (0..GATHERERS)
        .map(|at| {
            let address = free_address();
            let config = json!({
                "name": format!("n{at}"), "listen": address.to_string(),
                "discovery": discovery.address.to_string(), "seed": format!("{at:x}"),
                "known": null, "settings": settings
            });
            (Program::start("--config", &config), address)
        })
        .collect();
    for (_, address) in &gatherers {
        wait_until("ready", || {
            TcpStream::connect(address).is_ok_and(|mut socket| {
                socket
                    .write_all(b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
                    .is_ok()
                    && read_response(&mut socket).starts_with("HTTP/1.1 200")
            })
        });
    }
    // All gatherers get a query at once, and the next as soon as they have answered.
    let started = Instant::now();
    let clients: Vec<_> = gatherers
        .iter()
        .map(|(_, address)| {
            let address = *address;
            thread::spawn(move || {
                let mut answers = Vec::new();
                while started.elapsed() < Duration::from_secs(4) {
                    let mut socket = TcpStream::connect(address).unwrap();
                    let id = format!("q{}", answers.len());
                    socket
                        .write_all(query(&id, "page", &[0], "Connection: close\r\n").as_bytes())
                        .unwrap();
                    answers.push(read_response(&mut socket));
                }
                answers
            })
        })
        .collect();
    let answers: Vec<String> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let is_answer = |a: &String| a.starts_with("HTTP/1.1 200") || a.starts_with("HTTP/1.1 503");
    assert!(
        answers.iter().all(is_answer),
        "{:?}",
        answers.iter().find(|a| !is_answer(a))
    );
    let arrivals = arrivals.lock().unwrap().clone();
    for (at, first) in arrivals.iter().enumerate() {
        let second = Duration::from_secs(1);
        let within = arrivals[at..]
            .iter()
            .take_while(|t| **t < *first + second)
            .count() as f64;
        let age = (*first + second - begin).as_secs_f64() / RAMP_TIME.as_secs_f64();
        let budget = TIP_MULTIPLE * (START_CAPACITY + (1.0 - START_CAPACITY) * age)
            / PART_DURATION.as_secs_f64();
        let limit = budget + 2.0 * budget.sqrt() + 2.0;
        assert!(
            within <= limit,
            "{within} parts within a second; limit {limit:.1}"
        );
    }
    assert!(arrivals.len() >= 4, "only {} parts in 4 s", arrivals.len());
}
