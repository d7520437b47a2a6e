//! Fleets under power failures: several processes, with links that are cut in one direction,
//! delayed or reset, suspended processes, and lost files. Scenarios are drawn from a seed;
//! `FLEET_SEEDS=200 cargo test --release -p bitternsill --test fleet_recovery scenarios --
//! --nocapture` runs that many.

mod common;

use common::fleet::*;
use common::*;
use serde_json::{Value, json};
use simulation::timeline::{self, Fault};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

fn run_scenario(seed: u64) -> Result<QueryCounts, String> {
    let count = [3, 3, 5][seed as usize % 3];
    let mut fleet = Fleet::start(&format!("day{seed}"), count);
    fleet
        .wait_until_consistent()
        .map_err(|problem| format!("before the first fault: {problem}"))?;
    let start = Instant::now();
    for timeline::Event { at_ms: at, fault } in timeline::draw(seed, count, 4000) {
        while start.elapsed() < Duration::from_millis(at) {
            fleet.increment();
            thread::sleep(Duration::from_millis(50));
        }
        fleet.inject(&fault);
    }
    fleet.finish()
}

/// Power failures of all, some or one of the gatherers during commits and under load, combined with
/// link faults, suspended processes and lost files. Whatever a watcher has seen must be held by all
/// members at the end.
#[test]
fn fault_scenarios_lose_no_commit_and_end_every_query() {
    let seeds = std::env::var("FLEET_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(3);
    let first = std::env::var("FLEET_FIRST")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut total = QueryCounts::default();
    for seed in first..first + seeds {
        let counts = run_scenario(seed).unwrap_or_else(|problem| panic!("seed {seed}: {problem}"));
        total.complete += counts.complete;
        total.rejected += counts.rejected;
        total.closed += counts.closed;
        total.max_latency = total.max_latency.max(counts.max_latency);
    }
    println!("{seeds} scenarios from seed {first}: {total:?}");
    assert!(total.complete > 0);
}

/// A process is suspended while the others lose power; it resumes with stale state among the
/// restarted ones.
#[test]
fn process_suspended_through_power_failure_rejoins_safely() {
    let mut fleet = Fleet::start("slept", 3);
    fleet.wait_until_consistent().unwrap();
    fleet.inject(&Fault::Suspend(2));
    fleet.increment();
    let both = BTreeSet::from([0, 1]);
    fleet.inject(&Fault::PowerOff(both.clone()));
    fleet.inject(&Fault::PowerOn(both.clone()));
    // The other two commit without it and lose power again; then it resumes before them.
    let commits = |fleet: &Fleet| {
        fleet.increment();
        let now = fleet.discovery.count.load(Ordering::SeqCst);
        wait_until("commit by two members", || {
            (0..2).all(|at| {
                fleet
                    .counter_values(at)
                    .get(&fleet.member_key(0))
                    .is_some_and(|held| *held >= now)
            })
        });
    };
    commits(&fleet);
    fleet.inject(&Fault::PowerOff(both.clone()));
    fleet.inject(&Fault::Resume(2));
    fleet.inject(&Fault::PowerOn(both));
    fleet.finish().unwrap();
}

/// After a power failure, links fail in one direction: a member can send but not receive, or
/// receive but not send.
#[test]
fn one_way_partitions_after_power_failure_heal() {
    for cannot_receive in [true, false] {
        let mut fleet = Fleet::start(if cannot_receive { "deaf" } else { "mute" }, 3);
        fleet.wait_until_consistent().unwrap();
        let all = BTreeSet::from([0, 1, 2]);
        fleet.inject(&Fault::PowerOff(all.clone()));
        for other in [1, 2] {
            fleet.inject(&if cannot_receive {
                Fault::Partition(other, 0)
            } else {
                Fault::Partition(0, other)
            });
        }
        fleet.inject(&Fault::PowerOn(all));
        fleet.increment();
        let now = fleet.discovery.count.load(Ordering::SeqCst);
        wait_until("commit by the other two members", || {
            (1..3).all(|at| {
                fleet
                    .counter_values(at)
                    .get(&fleet.member_key(1))
                    .is_some_and(|held| *held >= now)
            })
        });
        assert!(
            fleet
                .counter_values(0)
                .get(&fleet.member_key(0))
                .is_none_or(|held| *held < now),
            "partitioned member has new values"
        );
        fleet.inject(&Fault::Heal);
        fleet.finish().unwrap();
    }
}

/// A fleet whose index hosts warm up over 3 s, with or without the recovery procedure.
fn warming_options(recovery: bool) -> FleetOptions {
    let mut settings = settings();
    settings["guarantees"]["start_capacity"] = json!(0.2);
    settings["guarantees"]["ramp_time"] = json!(3_000_000_000u64);
    settings["guarantees"]["fall"] = json!(500_000_000u64);
    settings["guarantees"]["tip_multiple"] = json!(1.5);
    for (class, credit) in [(0, 1.0), (1, 9.0), (2, 3.0)] {
        settings["request_classes"][class]["credit"] = json!(credit);
    }
    FleetOptions {
        settings,
        recovery: recovery.then(|| json!({"ask_ms": 1500, "together_s": 2})),
        ..FleetOptions::default()
    }
}

/// The status of each gatherer, from `bitternsill fleet phase`.
fn phases(fleet: &Fleet) -> Vec<Value> {
    let output = Command::new(env!("CARGO_BIN_EXE_bitternsill"))
        .args(["fleet", "phase", "--format", "json", "--at"])
        .args(fleet.stores.iter().map(ToString::to_string))
        .output()
        .unwrap();
    serde_json::from_slice(&output.stdout).unwrap()
}

fn all_in_phase(fleet: &Fleet, wanted: &str) -> bool {
    phases(fleet)
        .iter()
        .all(|status| status["answer"]["phase"] == wanted)
}

/// Guards against gatherers that take every client at once after a restart of the whole fleet. A
/// single restarted gatherer must not be slowed down.
#[test]
fn fleet_restart_uses_slow_start_and_single_restart_does_not() {
    let mut fleet = Fleet::with("returns", 3, warming_options(true));
    wait_until("all gatherers in phase returning", || {
        all_in_phase(&fleet, "returning")
    });
    let why = phases(&fleet)[0]["answer"]["why"].to_string();
    assert!(why.contains("started with this gatherer"), "{why}");
    // At a fifth of the warm capacity, three fifths of the most valuable of three classes are
    // admitted, and none of the least valuable.
    let socket = || TcpStream::connect(fleet.client_addresses[0]).unwrap();
    let ask = |class: &str| {
        let mut socket = socket();
        socket
            .write_all(query("x", class, &[0], "Connection: close\r\n").as_bytes())
            .unwrap();
        read_response(&mut socket)
    };
    let least = ask("search");
    assert!(
        least.starts_with("HTTP/1.1 503") && least.contains("Retry-After: "),
        "{least}"
    );
    wait_until("queries of the most valuable class admitted", || {
        ask("page").starts_with("HTTP/1.1 200")
    });
    wait_until("full service", || all_in_phase(&fleet, "full"));
    assert!(ask("search").starts_with("HTTP/1.1 200"));
    fleet.wait_until_consistent().unwrap();
    let one = BTreeSet::from([2]);
    fleet.inject(&Fault::PowerOff(one.clone()));
    fleet.inject(&Fault::PowerOn(one));
    wait_until("gatherer ready", || {
        phases(&fleet)[2]["answer"]["ready"] == true
    });
    let status = &phases(&fleet)[2]["answer"];
    assert!(
        status["phase"] == "full" && status["why"].to_string().contains("alone was away"),
        "{status}"
    );
    fleet.finish().unwrap();
}

/// Power fails again while gatherers ask each other, while they have no list, and during the ramp.
/// Some return late and one never does; the others wait no longer than their time limit.
#[test]
fn repeated_power_failures_block_nobody() {
    let mut fleet = Fleet::with("again", 5, warming_options(true));
    fleet.wait_until_consistent().unwrap();
    let all = BTreeSet::from([0, 1, 2, 3, 4]);
    for phase in ["asking", "returning"] {
        fleet.inject(&Fault::PowerOff(all.clone()));
        // Gatherers ask until all have answered, so one that is away keeps the others in this phase
        // until its time limit.
        let restarted = if phase == "asking" {
            BTreeSet::from([0, 1, 2, 3])
        } else {
            all.clone()
        };
        fleet.inject(&Fault::PowerOn(restarted.clone()));
        wait_until(phase, || phases(&fleet)[0]["answer"]["phase"] == phase);
        fleet.inject(&Fault::PowerOff(restarted));
    }
    fleet.inject(&Fault::PowerOn(BTreeSet::from([1, 2])));
    fleet.inject(&Fault::PowerOn(BTreeSet::from([3])));
    let three = |wanted: &str| (1..4).all(|at| phases(&fleet)[at]["answer"]["phase"] == wanted);
    wait_until("three of five gatherers recovering", || {
        three("returning") || three("full")
    });
    let log = std::fs::read_to_string(fleet.files[1].with_extension("log")).unwrap();
    assert!(log.contains("peers did not answer in time"), "{log}");
    fleet.inject(&Fault::PowerOn(BTreeSet::from([0, 4])));
    fleet.finish().unwrap();
}

/// Discovery is unavailable after a power failure, and gatherers have only the persisted list.
/// Guards against treating the hosts of that list as warm and sending them the full load.
#[test]
fn persisted_hosts_count_as_cold_without_discovery() {
    let sent = [true, false].map(|recovery| {
        let mut options = warming_options(recovery);
        // The persisted list describes the hosts as warm.
        options.known = true;
        options.settings["guarantees"]["ramp_time"] = json!(30_000_000_000u64);
        // The most valuable of three classes is fully admitted, so only the load limit for a cold
        // host bounds the load.
        options.settings["guarantees"]["start_capacity"] = json!(0.4);
        // Low enough that the load exceeds it many times even on a machine that runs queries
        // slowly.
        options.settings["guarantees"]["tip_multiple"] = json!(0.05);
        options.settings["request_classes"][1]["target"] = json!(400_000_000u64);
        let mut fleet = Fleet::with(if recovery { "cold" } else { "warm" }, 3, options);
        fleet.discovery.mute.store(true, Ordering::SeqCst);
        let all = BTreeSet::from([0, 1, 2]);
        fleet.inject(&Fault::PowerOff(all.clone()));
        let seen = |fleet: &Fleet| {
            fleet
                .hosts
                .iter()
                .map(|host| host.received().len())
                .sum::<usize>()
        };
        let before = seen(&fleet);
        *fleet.query_counts.lock().unwrap() = QueryCounts::default();
        fleet.inject(&Fault::PowerOn(all));
        wait_until("45 responses and at least one part", || {
            fleet.answered() >= 45 && seen(&fleet) > before
        });
        (seen(&fleet) - before, fleet.answered())
    });
    println!("parts and queries, with and without recovery: {sent:?}");
    let [with, without] = sent.map(|(parts, queries)| parts as f64 / queries as f64);
    assert!(
        with < without / 2.0,
        "{with} parts per query with recovery, {without} without"
    );
}

/// Class, start time and, if the query succeeded, its duration.
type QueryResult = (&'static str, Duration, Option<Duration>);

/// How long a client waits in total, retries included.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a query with up to two retries, each with the remaining budget; returns the time to
/// success.
fn query_with_retries(addresses: &[SocketAddr], number: usize, class: &str) -> Option<Duration> {
    let start = Instant::now();
    for again in 0..3 {
        let left = CLIENT_TIMEOUT
            .checked_sub(start.elapsed())
            .filter(|left| *left > Duration::from_millis(10))?;
        let address = addresses[(number + again) % addresses.len()];
        let answer = (|| {
            let mut socket = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
            socket.set_read_timeout(Some(left))?;
            let more = if again == 0 { "" } else { "X-Again: 1\r\n" };
            let more = format!("{more}Connection: close\r\n");
            let text = query(
                &format!("m{number}-{again}"),
                class,
                &[number as u32 % 3],
                &more,
            );
            let budget = format!("X-Budget: {:.3}", left.as_secs_f64());
            socket.write_all(text.replace("X-Budget: 3.0", &budget).as_bytes())?;
            let mut answer = String::new();
            socket.read_to_string(&mut answer)?;
            std::io::Result::Ok(answer)
        })()
        .unwrap_or_default();
        if answer.starts_with("HTTP/1.1 200") {
            return Some(start.elapsed());
        }
        let retry_after = answer
            .lines()
            .find_map(|line| line.strip_prefix("Retry-After: ")?.parse::<f64>().ok());
        thread::sleep(Duration::from_secs_f64(retry_after.unwrap_or(0.1).min(3.0)));
    }
    None
}

/// Measurements of one recovery.
#[derive(Default, Clone)]
struct Measurement {
    first_success: Duration,
    recovered_after_s: Option<u64>,
    late_share: f64,
    success_share: f64,
    overloads: u64,
}

/// Offers six tenths of the capacity of three warm hosts for `length`.
fn offer_load(addresses: &[SocketAddr], seed: u64, length: Duration) -> Vec<QueryResult> {
    let (mut rng, rate) = (
        fastrand::Rng::with_seed(seed),
        0.6 * 3.0 / PART_DURATION.as_secs_f64(),
    );
    let (start, mut at, mut number, mut clients) = (Instant::now(), 0.0, 0, Vec::new());
    while at < length.as_secs_f64() {
        at += -(1.0 - rng.f64()).ln() / rate;
        number += 1;
        let class = if rng.bool() { "page" } else { "search" };
        thread::sleep(Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
        let addresses = addresses.to_vec();
        clients.push(thread::spawn(move || {
            let since = start.elapsed();
            (class, since, query_with_retries(&addresses, number, class))
        }));
    }
    clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect()
}

/// A fleet that has served warm hosts for a while and then loses power together with them.
fn measure_recovery(count: usize, seed: u64, recovery: bool, mute: bool) -> Measurement {
    let mut options = warming_options(recovery);
    options.settings["extra"]["class_fetch"] = json!([0, 0, 0]);
    options.settings["guarantees"]["ramp_time"] = json!(10_000_000_000u64);
    options.settings["guarantees"]["fall"] = json!(1_000_000_000u64);
    options.settings["guarantees"]["tip_multiple"] = json!(2.0);
    options.settings["request_classes"][0]["target"] = json!(1_500_000_000u64);
    for class in 0..3 {
        options.settings["request_classes"][class]["deadline"] =
            json!(CLIENT_TIMEOUT.as_nanos() as u64);
    }
    let warmup: Arc<HostWarmup> = Arc::default();
    (options.known, options.warmup, options.learning) = (true, Some(warmup.clone()), recovery);
    options.recovery = recovery.then(|| json!({"ask_ms": 1000, "together_s": 30}));
    let mut fleet = Fleet::with(&format!("measure{seed}"), count, options);
    wait_until("all serve", || {
        fleet
            .client_addresses
            .iter()
            .all(|address| TcpStream::connect(address).is_ok())
    });
    offer_load(&fleet.client_addresses, seed, Duration::from_secs(6));
    fleet.discovery.mute.store(mute, Ordering::SeqCst);
    fleet.power_cycle_all();
    let length = Duration::from_secs(30);
    let results = offer_load(&fleet.client_addresses, seed + 1000, length);
    let on_time =
        |took: &Option<Duration>| took.is_some_and(|took| took <= Duration::from_millis(1_500));
    let share = |of: &dyn Fn(&&QueryResult) -> bool| {
        let of: Vec<_> = results.iter().filter(of).collect();
        of.iter().filter(|(.., took)| on_time(took)).count() as f64 / of.len().max(1) as f64
    };
    let late = results
        .iter()
        .filter(|(.., took)| took.is_some() && !on_time(took))
        .count();
    fleet.clear();
    Measurement {
        first_success: results
            .iter()
            .filter_map(|(_, at, took)| Some(*at + (*took)?))
            .min()
            .unwrap_or(length),
        recovered_after_s: (0..length.as_secs())
            .find(|n| share(&|result| result.1.as_secs() == *n) >= 0.9),
        late_share: late as f64 / results.len() as f64,
        success_share: share(&|_| true),
        overloads: warmup.overloads(),
    }
}

/// Mean and half-width of the 95 % confidence interval, by Student's t over the runs.
fn interval(of: &[f64]) -> (f64, f64) {
    let n = of.len() as f64;
    let mean = of.iter().sum::<f64>() / n;
    let deviation =
        (of.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0)).sqrt();
    let t = [12.7, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26].get(of.len().saturating_sub(2));
    (mean, t.unwrap_or(&2.0) * deviation / n.sqrt())
}

/// Measures the first 30 s after a power failure of gatherers and index hosts, with the recovery
/// procedure and learned statistics, and without both. `FLEET_MEASURE=3x10 cargo test --release -p
/// bitternsill --test fleet_recovery measure -- --nocapture` runs three gatherers with ten seeds;
/// `FLEET_MUTE=1` silences discovery after the failure. Without `FLEET_MEASURE` the test does
/// nothing.
#[test]
fn measure_recovery_after_power_failure() {
    let Some(wanted) = std::env::var("FLEET_MEASURE").ok() else {
        return;
    };
    let (count, seeds) = wanted.split_once('x').expect("COUNTxSEEDS");
    let (count, seeds): (usize, u64) = (count.parse().unwrap(), seeds.parse().unwrap());
    let mute = std::env::var_os("FLEET_MUTE").is_some();
    let name = |recovery| if recovery { "with" } else { "without" };
    let mut all = [(true, Vec::new()), (false, Vec::new())];
    for seed in 0..seeds {
        for (recovery, all) in &mut all {
            let one = measure_recovery(count, seed, *recovery, mute);
            println!(
                "{count} {seed} {}: first whole {:.2} s, 90 % of a second {:?} s, late {:.3}, whole {:.3}, {} falls",
                name(*recovery),
                one.first_success.as_secs_f64(),
                one.recovered_after_s,
                one.late_share,
                one.success_share,
                one.overloads
            );
            all.push(one);
        }
    }
    for (recovery, all) in &all {
        let of = |figure: &dyn Fn(&Measurement) -> f64| {
            let (mean, half_width) = interval(&all.iter().map(figure).collect::<Vec<_>>());
            format!("{mean:.3} ± {half_width:.3}")
        };
        println!(
            "{count} gatherers, {seeds} seeds, {}: first whole {} s, 90 % {} s, late {}, whole {}, falls {}",
            name(*recovery),
            of(&|one| one.first_success.as_secs_f64()),
            of(&|one| one.recovered_after_s.map_or(30.0, |second| second as f64)),
            of(&|one| one.late_share),
            of(&|one| one.success_share),
            of(&|one| one.overloads as f64)
        );
    }
}
