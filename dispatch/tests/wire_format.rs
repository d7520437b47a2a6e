//! Pins the names of the settings and the format of every reply line of the simulator's protocol.

use dispatch::interface::{Budget, Effect};
use dispatch::wire::{Host, read_settings};
use std::collections::{BTreeMap, BTreeSet};

const SETTINGS: &str = r#"{"group_size": 4, "zone": 1, "tick": 5000000, "discovery": "ask",
    "request_classes": [
        {"target": 400000000, "deadline": 900000000, "effect": "read_like", "credit": 2.0, "late_share": 0.25},
        {"target": 300000000, "deadline": 800000000, "effect": "idempotency_key", "key_ttl": 150000000},
        {"target": 500000000, "deadline": 700000000, "effect": "non_idempotent"}],
    "limits": {"max_attempts": 3, "max_open": 500, "cancel": true, "probes": true, "second_copies": true,
        "retry_after": true, "max_retry_after": 100000000},
    "guarantees": {"ask_within": 2000000000, "drain_grace": 50000000, "start_capacity": 0.2,
        "ramp_time": 3000000000, "tip_multiple": 2.0, "fall": 500000000, "counted_over": 500000000,
        "budget_free": 8, "repeat_ratio": 0.3},
    "extra": {"sets": 4, "in_a_row": 2, "batch": 4, "per_call_work": 1000, "floor_by_class": [0.5, 1.0, 1.0],
        "class_need": [0.9, 1.0, 1.0], "short_worth": [0.8, 0.0, 0.0], "class_fetch": [2, 0, 0]},
    "prices": {"probe": 0.1, "waste": 0.2}, "clients": {"marks_retry": true}}"#;

#[test]
fn settings_keep_their_names() {
    let settings = read_settings(SETTINGS).unwrap();
    assert_eq!(settings.aggregators, 4);
    assert_eq!(settings.zone, 1);
    assert_eq!(settings.tick, 5_000_000);
    assert!(settings.discovery_on_request);
    assert_eq!((settings.cells, settings.replication_factor), (4, 2));
    assert_eq!((settings.call_parts, settings.call_work), (4, 1000));
    assert_eq!(settings.max_open, 500);
    assert!(settings.can_cancel && settings.can_probe && settings.can_hedge);
    assert_eq!((settings.probe_price, settings.waste_price), (0.1, 0.2));
    assert!(settings.retries_marked);
    assert_eq!(settings.max_retry_after, 100_000_000);
    assert_eq!(settings.max_list_age, 2_000_000_000);
    assert_eq!(settings.drain_grace, 50_000_000);
    assert_eq!(settings.initial_capacity, 0.2);
    assert_eq!(settings.slow_start, 3_000_000_000);
    assert_eq!(settings.overload_multiple, 2.0);
    assert_eq!(settings.overload_window, 500_000_000);
    let budget = Budget {
        free: 8,
        ratio: 0.3,
        window: 500_000_000,
    };
    assert_eq!(settings.budget, Some(budget));
    let [read, keyed, unkeyed] = &settings.classes[..] else {
        panic!("three classes are configured");
    };
    assert_eq!(
        (read.latency_target, read.deadline),
        (400_000_000, 900_000_000)
    );
    assert_eq!((read.value, read.late_value), (2.0, 0.25));
    assert_eq!((read.floor, read.need, read.partial_value), (0.5, 0.9, 0.8));
    assert_eq!((read.second_step, read.max_attempts), (2, 3));
    assert_eq!(read.effect, Effect::Safe);
    assert_eq!(keyed.effect, Effect::Keyed);
    assert_eq!(keyed.key_lifetime, 150_000_000);
    assert_eq!(unkeyed.effect, Effect::Unsafe);
}

/// Plays a session with random outcomes against a host. Returns all reply lines.
fn session(seed: u64, turns: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut host = Host::new();
    let (mut now, mut next_id, mut replies) = (1_000_000_000u64, 1u64, Vec::new());
    // Attempts in flight, by part and attempt: the server, the send time and the end time.
    let mut in_flight: BTreeMap<(u64, u64), (u64, u64, u64)> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, u64> = BTreeMap::new();
    let mut probed: Vec<u64> = Vec::new();
    let mut second_steps: Vec<u64> = Vec::new();
    let mut first_steps: BTreeSet<u64> = BTreeSet::new();
    for turn in 1..=turns {
        let mut lines = vec![format!("FRAME now={now} turn={turn}")];
        if turn == 1 {
            lines.push("SELECT who=aggregator_0".to_owned());
            lines.push(format!(
                "INIT random_seed={seed} boot_info={}",
                SETTINGS.replace('\n', " ")
            ));
            lines.push("SHEET sheet=0 items=8".to_owned());
            lines.extend((0..8).map(|i| {
                format!(
                    "ENTRY leaf={i} area=0 kind=0 cell={} status=ready heft=1 born=0",
                    i % 4
                )
            }));
            lines.push("MEMBERSHIP mode=Complete seq_no=1 sheet=0".to_owned());
        } else {
            lines.push("SELECT who=aggregator_0".to_owned());
        }
        if turn % 97 == 0 {
            lines.push("MEMBERSHIP mode=Error seq_no=1 sheet=0".to_owned());
        }
        let ended: Vec<_> = in_flight
            .iter()
            .filter(|a| a.1.2 <= now)
            .map(|a| *a.0)
            .collect();
        for (part, attempt) in ended {
            let (server, sent, _) = in_flight.remove(&(part, attempt)).unwrap();
            let codes = [
                "done",
                "done",
                "done",
                "done",
                "done",
                "err",
                "busy",
                "econnreset",
            ];
            let reset_at_once = now - sent <= 5_000_000;
            let code = if reset_at_once {
                "econnreset"
            } else if turn > turns / 2 {
                codes[rng.usize(..codes.len())]
            } else {
                "done"
            };
            let took = if reset_at_once { 1_000_000 } else { now - sent };
            lines.push(format!(
                "DONE tid={part} leg={attempt} leaf={server} code={code} took={took}"
            ));
        }
        lines.extend(
            probed
                .drain(..)
                .map(|leaf| format!("PING_RESULT leaf={leaf} code=done took=1000")),
        );
        for query in second_steps.drain(..) {
            for _ in 0..2 {
                lines.push(format!(
                    "ORDER tid={next_id} slab={} band=0 size_or_weight=0.5 group_no={query} time_budget=1",
                    rng.u32(..4)
                ));
                next_id += 1;
            }
        }
        // Every other 400 turns have few and slow queries, so that probes are sent and connections
        // are idle.
        let is_slow = turn / 400 % 2 == 0;
        if turn > 1
            && if is_slow {
                rng.u32(..15) == 0
            } else {
                rng.u32(..3) > 0
            }
        {
            let (query, class, parts) = (next_id, rng.u32(..3), rng.u64(1..5));
            let budget = rng.u64(100..900) * 1_000_000;
            lines.push(format!(
                "ORDER tid={query} slab=-1 band={class} size_or_weight={parts} group_no={query} time_budget={budget}"
            ));
            next_id += 1;
            if class == 0 {
                first_steps.insert(query);
            }
            for shard in 0..parts {
                lines.push(format!(
                    "ORDER tid={next_id} slab={shard} band={class} size_or_weight={} group_no={query} time_budget={budget}",
                    1.0 / parts as f64
                ));
                next_id += 1;
            }
        }
        lines.push("RING label=wake".to_owned());
        lines.push("EOF_BATCH".to_owned());
        let mut reply = String::new();
        for line in lines {
            reply.push_str(&host.line(&line).unwrap().unwrap_or_default());
        }
        for line in reply.lines() {
            let field = |name: &str| -> u64 {
                let pair = line.split(' ').find_map(|pair| pair.strip_prefix(name));
                pair.unwrap().trim_start_matches('=').parse().unwrap()
            };
            if line.starts_with("PLACE ") {
                let attempt = attempts.entry(field("tid")).or_default();
                let most_ms = if rng.u32(..12) == 0 { 300 } else { 30 };
                let took_ms = match (is_slow, rng.u32(..10)) {
                    (true, 0 | 1) => 1,
                    (true, _) => rng.u64(150..290),
                    (false, _) => rng.u64(6..most_ms),
                };
                let end = (now + took_ms * 1_000_000).min(field("try_until"));
                in_flight.insert((field("tid"), *attempt), (field("leaf"), now, end));
                *attempt += 1;
            } else if line.starts_with("ASK_LOAD ") {
                probed.push(field("leaf"));
            } else if line.starts_with("ANSWER ") && first_steps.remove(&field("tid")) {
                second_steps.push(field("tid"));
            }
            replies.push(line.to_owned());
        }
        now += 5_000_000;
    }
    replies
}

#[test]
fn reply_lines_keep_their_form() {
    // Numbers are replaced by #, as only the format is checked and not the decisions.
    let form = |line: &String| -> String {
        let text = line.replace(|c: char| c.is_ascii_digit(), "#");
        let mut short = String::new();
        for c in text.chars().filter(|c| *c != '-') {
            if !(c == '#' && short.ends_with('#')) {
                short.push(c);
            }
        }
        short
    };
    let forms: BTreeSet<String> = session(7, 1500).iter().map(form).collect();
    let known = [
        "ANSWER tid=# on=#",
        "ASK_LOAD leaf=#",
        "BY who=aggregator_#",
        "DISCONNECT leaf=#",
        "NOTIFY_ME instant=# label=wake",
        "PLACE tid=# leaf=# try_until=#",
        "READY turn=#",
        "REFUSE tid=# hold_off=#",
        "RESPOND_ERROR tid=#",
        "STOP_ATTEMPT tid=# leg=#",
        "WATCH on=#",
    ];
    assert_eq!(forms, known.map(str::to_owned).into());
}
