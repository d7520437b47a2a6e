//! Configuration versions in a fleet of several processes under network partitions, suspended
//! processes, power failures and lost audit logs. `VERSIONS_SEEDS=200 cargo test --release -p
//! bitternsill --test fleet_versions random -- --nocapture` runs that many random scenarios.

mod common;

use common::fleet::*;
use common::versions::*;
use common::*;
use serde_json::{Value, json};
use simulation::link::Flow;
use simulation::timeline::{self, Fault};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn switches_all_at_one_revision_without_losing_queries() {
    let fleet = Fleet::with("rollout", 3, options_with_versions());
    wait_until("all are current", || all_current(&fleet));
    *fleet.query_counts.lock().unwrap() = QueryCounts::default();
    configure(&fleet, "extra", &[1]);
    let (version, autonomous) = activate(&fleet, &[2]).unwrap();
    assert_eq!(
        autonomous.len(),
        2,
        "unexpected number of autonomous gatherers"
    );
    wait_until("all gatherers serve the new class", || {
        (0..3).all(|at| serves(&fleet, at, "extra"))
    });
    // Every gatherer names an unusable proposal, and nothing changes.
    let mut invalid = with_class("other");
    invalid["limits"]["max_attempts"] = json!(2.5);
    let (text, done) = fleet.run_command(
        &[
            "configure",
            write_settings(&fleet, "wrong", &invalid).to_str().unwrap(),
        ],
        &[0],
    );
    assert!(!done, "{text}");
    let second = configure(&fleet, "second", &[0]);
    let (differs, _) = fleet.run_command(&["diff"], &[1]);
    assert!(differs.contains("becomes"), "{differs}");
    activate(&fleet, &[0]).unwrap();
    wait_until("all gatherers serve the second version", || {
        (0..3).all(|at| serves(&fleet, at, "second"))
    });
    wait_until("first version no longer served", || {
        !serves(&fleet, 0, "extra")
    });
    // A return to the first settings is a version of its own.
    let first = fleet.run_command(&["versions", "--json"], &[0]).0;
    assert!(first.contains(&second.to_string()), "{first}");
    let (text, done) = fleet.run_command(&["hold", "g1"], &[0]);
    assert!(done, "{text}");
    wait_until("one gatherer held", || {
        query_status(&fleet, 1, "page").as_deref() == Some("503")
    });
    assert!(fleet.run_command(&["release", "g1"], &[2]).1);
    wait_until("gatherer released", || serves(&fleet, 1, "page"));
    let (text, sound) = audit(&fleet);
    assert!(
        sound && text.contains(&format!("version {version} from")),
        "{text}"
    );
    let page = std::env::temp_dir().join(format!("bitternsill-audit-{}.html", std::process::id()));
    assert!(
        fleet
            .run_command(&["audit", "--html", page.to_str().unwrap()], &[0, 1, 2])
            .1
    );
    let text = std::fs::read_to_string(&page).unwrap();
    assert!(
        text.contains("<svg") && (0..3).all(|at| text.contains(&format!(">g{at}</text>"))),
        "{text}"
    );
    let counts = *fleet.query_counts.lock().unwrap();
    assert!(counts.closed == 0 && counts.complete > 100, "{counts:?}");
}

/// A gatherer is partitioned before it can vote. The activation names it and can exclude it only
/// after it has stopped by itself. The same holds for partitions in one direction.
#[test]
fn partitioned_gatherer_stops_before_it_can_be_excluded() {
    for (name, flows) in [
        ("cut", [Flow::Stalled, Flow::Stalled]),
        ("unheard", [Flow::Stalled, Flow::Open]),
        ("deaf", [Flow::Open, Flow::Stalled]),
    ] {
        let (fleet, _, partitioned) = fleet_with_first_version(name);
        let rest: Vec<usize> = (0..3).filter(|at| *at != partitioned).collect();
        partition(&fleet, partitioned, flows);
        configure(&fleet, "second", &rest);
        let refused = activate(&fleet, &rest).unwrap_err();
        assert!(refused.contains(&format!("g{partitioned}")), "{refused}");
        // By now it has stopped, or it stops by its own clock.
        assert!(
            fleet
                .run_command(&["leave-out", &format!("g{partitioned}")], &rest)
                .1
        );
        let (_, autonomous) = activate(&fleet, &rest).unwrap();
        assert!(
            !serves(&fleet, partitioned, "first"),
            "{name}: served under an expired version"
        );
        assert!(has_status(&fleet, partitioned, "shut out"));
        assert!(!autonomous.contains(&format!("g{partitioned}")));
        wait_until("other gatherers serve the second version", || {
            rest.iter().all(|at| serves(&fleet, *at, "second"))
        });
        fleet.heal();
        wait_until("gatherer updated", || {
            has_status(&fleet, partitioned, "current") && serves(&fleet, partitioned, "second")
        });
        let (text, sound) = audit(&fleet);
        assert!(sound, "{text}");
    }
}

/// A process that is suspended during a switch accepts nothing under the previous version when it
/// resumes, not even a query that has been waiting for it.
#[test]
fn suspended_process_accepts_nothing_under_expired_version() {
    let (mut fleet, _, suspended) = fleet_with_first_version("slept-over");
    let rest: Vec<usize> = (0..3).filter(|at| *at != suspended).collect();
    fleet.inject(&Fault::Suspend(suspended));
    let mut waiting = TcpStream::connect(fleet.client_addresses[suspended]).unwrap();
    waiting
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    waiting
        .write_all(query("asleep", "first", &[0], "Connection: close\r\n").as_bytes())
        .unwrap();
    configure(&fleet, "second", &rest);
    assert!(
        fleet
            .run_command(&["leave-out", &format!("g{suspended}")], &rest)
            .1
    );
    activate(&fleet, &rest).unwrap();
    fleet.inject(&Fault::Resume(suspended));
    let answer = read_response(&mut waiting);
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    wait_until("gatherer updated", || serves(&fleet, suspended, "second"));
    let (text, sound) = audit(&fleet);
    assert!(sound, "{text}");
}

/// While the store has no quorum, autonomous gatherers continue to serve and the others stop by
/// themselves; afterwards all are current again.
#[test]
fn autonomous_fraction_serves_without_a_store() {
    let (mut fleet, autonomous, other) = fleet_with_first_version("storeless");
    let autonomous_one = (0..3)
        .find(|at| autonomous.contains(&format!("g{at}")))
        .unwrap();
    for (alone, wanted) in [(autonomous_one, "kept"), (other, "shut out")] {
        let off: BTreeSet<usize> = (0..3).filter(|at| *at != alone).collect();
        fleet.inject(&Fault::PowerOff(off.clone()));
        wait_until(wanted, || has_status(&fleet, alone, wanted));
        assert_eq!(serves(&fleet, alone, "first"), wanted == "kept");
        // After a power failure the gatherer knows only what is on its disk.
        fleet.inject(&Fault::PowerOff(BTreeSet::from([alone])));
        fleet.inject(&Fault::PowerOn(BTreeSet::from([alone])));
        if wanted == "kept" {
            wait_until("serving from its own file", || {
                serves(&fleet, alone, "first")
            });
        }
        fleet.inject(&Fault::PowerOn(off));
        wait_until("all are current", || {
            all_current(&fleet) && (0..3).all(|at| serves(&fleet, at, "first"))
        });
    }
    let (text, sound) = audit(&fleet);
    assert!(sound && text.contains("kept in service"), "{text}");
}

/// The audit reports altered and missing audit logs as unknown and never passes them.
#[test]
fn altered_or_lost_audit_log_is_unknown() {
    let mut fleet = Fleet::with("altered", 3, options_with_versions());
    wait_until("all are current", || all_current(&fleet));
    wait_until("all serve", || (0..3).all(|at| serves(&fleet, at, "page")));
    let (text, sound) = audit(&fleet);
    assert!(sound, "{text}");
    fleet.inject(&Fault::PowerOff(BTreeSet::from([1, 2])));
    let segment = fleet.audit_folder(1).join("g1.000000.trail");
    let whole = std::fs::read_to_string(&segment).unwrap();
    std::fs::write(&segment, whole.replacen("\"count\":", "\"count\":1", 1)).unwrap();
    std::fs::remove_dir_all(fleet.audit_folder(2)).unwrap();
    fleet.inject(&Fault::PowerOn(BTreeSet::from([1, 2])));
    wait_until("all are current", || all_current(&fleet));
    let (text, sound) = audit(&fleet);
    assert!(!sound && text.matches("NOT KNOWN").count() == 2, "{text}");
    assert!(
        text.contains("does not follow from those before it"),
        "{text}"
    );
}

/// One scenario: successive rollouts while power, links and processes fail. At the end all run one
/// version, and nothing was served under an expired one.
fn run_scenario(seed: u64) -> Result<u32, String> {
    let count = 3;
    let mut fleet = Fleet::with(&format!("versions{seed}"), count, options_with_versions());
    wait_until("all are current", || all_current(&fleet));
    let (start, mut activated) = (Instant::now(), 0);
    let all: Vec<usize> = (0..count).collect();
    for (number, timeline::Event { at_ms: at, fault }) in
        timeline::draw(seed, count, 6_000).into_iter().enumerate()
    {
        while start.elapsed() < Duration::from_millis(at) {
            std::thread::sleep(Duration::from_millis(20));
        }
        // Lost files have their own tests.
        if !matches!(fault, Fault::LoseFile(_)) {
            fleet.inject(&fault);
        }
        if number % 3 == 0 {
            let path = write_settings(&fleet, "day", &with_class(&format!("class{number}")));
            let words = [
                "configure",
                path.to_str().unwrap(),
                "--least",
                "0.34",
                "--patience",
                "600",
            ];
            fleet.run_command(&words, &all);
        } else if number % 3 == 1
            && fleet
                .run_command(&["activate", "--wait", "300", "--patience", "600"], &all)
                .1
        {
            activated += 1;
        }
    }
    let until = Instant::now() + Duration::from_secs(30);
    // An activation may still take effect after its caller timed out, and all must agree after that
    // too.
    let runs = || {
        all.iter()
            .map(|at| version_status(&fleet, *at)["runs"].as_u64())
            .collect::<BTreeSet<_>>()
    };
    while !(all_current(&fleet) && runs().len() == 1) {
        if Instant::now() > until {
            let statuses: Vec<Value> = all.iter().map(|at| version_status(&fleet, *at)).collect();
            return Err(format!(
                "versions differ 30 s after the last fault: {statuses:?}"
            ));
        }
    }
    let (text, _) = audit(&fleet);
    if text.contains("WRONG") || text.contains("no trail") {
        Err(text)
    } else {
        Ok(activated)
    }
}

#[test]
fn random_rollouts_under_faults_converge() {
    let seeds = std::env::var("VERSIONS_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(2);
    let first = std::env::var("VERSIONS_FIRST")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut activated = 0;
    for seed in first..first + seeds {
        activated += run_scenario(seed).unwrap_or_else(|problem| panic!("seed {seed}: {problem}"));
    }
    println!("{seeds} scenarios from seed {first}: {activated} activations");
}

/// Processor time of a process in seconds.
fn processor_time(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let behind = stat.rsplit(") ").next().unwrap();
    let ticks: Vec<u64> = behind
        .split(' ')
        .skip(11)
        .take(2)
        .map(|n| n.parse().unwrap())
        .collect();
    (ticks[0] + ticks[1]) as f64 / 100.0
}

/// Measures the cost of versions and audit log per query, with and without them in turn.
/// `VERSIONS_COST=3 cargo test --release -p bitternsill --test fleet_versions measure --
/// --nocapture` runs three rounds of each. Without the variable the test does nothing.
#[test]
fn measure_cost_of_versions_and_audit_log() {
    let Some(rounds) = std::env::var("VERSIONS_COST")
        .ok()
        .and_then(|n| n.parse::<u32>().ok())
    else {
        return;
    };
    println!(
        "versions: queries, p50 and p99 in us, processor time a query in us, bytes of trail an hour"
    );
    for round in 0..2 * rounds {
        let on = (round / 2 + round) % 2 == 0;
        let mut options = options_with_versions();
        options.versions = if on {
            Some(json!({"validity_ms": 10_000}))
        } else {
            None
        };
        let fleet = Fleet::with(&format!("cost{round}"), 3, options);
        wait_until("serving", || serves(&fleet, 0, "page"));
        // The harness's own clients are not measured; their load is the same in all rounds.
        let pid = fleet.programs[0].as_ref().unwrap().child.id();
        let (mut took, start, before) = (
            hdrhistogram::Histogram::<u64>::new(3).unwrap(),
            Instant::now(),
            processor_time(pid),
        );
        let answered = fleet.query_counts.lock().unwrap().complete;
        while start.elapsed() < Duration::from_secs(8) {
            let at = Instant::now();
            assert!(serves(&fleet, 0, "page"));
            took.record(at.elapsed().as_micros() as u64).unwrap();
        }
        // A third of the harness's clients use this gatherer.
        let queries =
            took.len() + u64::from(fleet.query_counts.lock().unwrap().complete - answered) / 3;
        let used = (processor_time(pid) - before) / queries as f64 * 1e6;
        let trail = std::fs::metadata(fleet.audit_folder(0).join("g0.000000.trail"))
            .map_or(0, |file| file.len());
        let hour = trail as f64 / start.elapsed().as_secs_f64() * 3600.0;
        let (p50, p99) = (took.value_at_quantile(0.5), took.value_at_quantile(0.99));
        println!(
            "{}: {queries}, {p50}, {p99}, {used:.0}, {hour:.0}",
            if on { "on " } else { "off" }
        );
    }
}
