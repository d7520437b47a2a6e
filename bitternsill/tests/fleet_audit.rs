//! Audit logs under faults, with several processes each: full and lost disks, killed collections,
//! names registered twice, and documents of a later format.

mod common;

use bitternsill::store::client::{ChangeOutcome, Client};
use common::fleet::*;
use common::versions::*;
use common::*;
use serde_json::json;
use simulation::link::{Flow, Link};
use simulation::timeline::Fault;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use store::command::Change;

/// An empty folder for one test.
fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("bitternsill-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn bytes_in(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().metadata().unwrap().len());
    files.sum()
}

/// While the audit log cannot be written, queries are still served; afterwards the audit reports
/// the missing entries as unknown.
#[test]
fn full_disk_costs_no_query_and_is_reported() {
    let full = folder("full").join("full");
    let mut options = options_with_versions();
    options.versions.as_mut().unwrap()["test_full_while"] = json!(full);
    let fleet = Fleet::with("trail-full", 3, options);
    wait_until("all are current", || all_current(&fleet));
    std::fs::write(&full, "").unwrap();
    *fleet.query_counts.lock().unwrap() = QueryCounts::default();
    let log = |at: usize| std::fs::read_to_string(fleet.files[at].with_extension("log")).unwrap();
    wait_until("every gatherer has logged the failure", || {
        (0..3).all(|at| log(at).contains("the trail cannot be written"))
    });
    wait_until("queries served", || {
        fleet.query_counts.lock().unwrap().complete > 100
    });
    let counts = *fleet.query_counts.lock().unwrap();
    assert_eq!((counts.rejected, counts.closed), (0, 0), "{counts:?}");
    std::fs::remove_file(&full).unwrap();
    wait_until("audit reports missing entries", || {
        let (text, sound) = audit(&fleet);
        !sound && text.matches("entries could not be written").count() == 3
    });
}

/// A collection is killed in the middle of a log, and the next one continues from there. After a
/// loss of the gatherer's disk, collected entries are still known and later ones are not.
#[test]
fn killed_collection_continues_and_outlives_the_disk() {
    let mut options = options_with_versions();
    options.versions.as_mut().unwrap()["note_ms"] = json!(100);
    let mut fleet = Fleet::with("collect", 3, options);
    wait_until("all are current", || all_current(&fleet));
    wait_until("long audit log", || {
        std::fs::metadata(fleet.audit_folder(1).join("g1.000000.trail"))
            .unwrap()
            .len()
            > 50_000
    });
    let kept = folder("kept");
    // Responses are delayed so that the kill falls between two chunks.
    let link = Link::to(fleet.stores[1]).unwrap();
    link.set(Flow::Open, Flow::Delayed(Duration::from_millis(400)));
    let mut collector = Command::new(env!("CARGO_BIN_EXE_bitternsill"))
        .args(["fleet", "audit", "--keep"])
        .arg(&kept)
        .args(["--at", &link.address.to_string()])
        .stdout(std::process::Stdio::null())
        .spawn()
        .unwrap();
    wait_until("chunk stored", || bytes_in(&kept) > 0);
    collector.kill().unwrap();
    collector.wait().unwrap();
    let before = bytes_in(&kept);
    assert!(
        before < 50_000,
        "collection was complete before the kill: {before} bytes"
    );
    assert!(serves(&fleet, 1, "page"));
    let words = [
        "audit",
        "--patience",
        "4000",
        "--keep",
        kept.to_str().unwrap(),
    ];
    let (text, sound) = fleet.run_command(&words, &[0, 1, 2]);
    assert!(sound, "{text}");
    assert!(bytes_in(&kept) > 50_000);
    // The loss of the disk takes all entries.
    let one = BTreeSet::from([1]);
    fleet.inject(&Fault::PowerOff(one.clone()));
    std::fs::remove_dir_all(fleet.audit_folder(1)).unwrap();
    fleet.inject(&Fault::PowerOn(one));
    wait_until("all are current", || all_current(&fleet));
    wait_until("serving", || serves(&fleet, 1, "page"));
    // A query is recorded a moment after its response, so the audit waits for the entry.
    wait_until("query recorded after the restart", || {
        std::fs::read_to_string(fleet.audit_folder(1).join("g1.000000.trail"))
            .unwrap()
            .contains("\"acts\":")
    });
    let (text, _) = fleet.run_command(&words, &[0, 1, 2]);
    let report = text
        .split("\ng1")
        .nth(1)
        .and_then(|rest| rest.split("\ng2").next())
        .unwrap();
    // The store may or may not have been told of entries after the collection; the last actions had
    // not been recorded.
    assert!(
        report.contains("NOT KNOWN") || report.contains("gap: life"),
        "{text}"
    );
    assert!(
        report.matches("version 0 from").count() >= 2,
        "not both starts reported: {text}"
    );
    let (text, _) = fleet.run_command(&words[..3], &[0, 1, 2]);
    assert!(
        text.contains("an earlier trail that the store was told of is gone"),
        "{text}"
    );
}

/// When a second process registers under a name already in use, the first one rejects clients and
/// gives the reason.
#[test]
fn earlier_process_of_a_name_rejects_clients() {
    let mut options = options_with_versions();
    options.named_as = BTreeMap::from([(2, 1)]);
    let mut fleet = Fleet::with("namesakes", 3, options);
    let both = |fleet: &Fleet| [1, 2].map(|at| version_status(fleet, at)["displaced"] == true);
    wait_until("one of the two displaced", || {
        let both = both(&fleet);
        both[0] != both[1]
    });
    let [first, _] = both(&fleet);
    let (displaced, serving) = if first { (1, 2) } else { (2, 1) };
    wait_until("other gatherer serving", || serves(&fleet, serving, "page"));
    assert!(!serves(&fleet, displaced, "page"));
    // A restarted process takes the name back.
    let one = BTreeSet::from([displaced]);
    fleet.inject(&Fault::PowerOff(one.clone()));
    fleet.inject(&Fault::PowerOn(one));
    wait_until("roles exchanged", || {
        serves(&fleet, displaced, "page") && !serves(&fleet, serving, "page")
    });
}

/// Gatherers reject a document of a later format, as a newer program would write it, and say why.
#[test]
fn rejects_document_of_later_format() {
    let (fleet, ..) = fleet_with_first_version("later");
    let client = Client {
        addresses: fleet.stores.clone(),
        timeout: Duration::from_secs(10),
    };
    let document = json!({"format": 2, "settings": with_class("later"), "least": 0.5}).to_string();
    let change = Change {
        key: "config/next".to_owned(),
        value: Some(document),
    };
    assert!(matches!(
        client.change(vec![], vec![change]),
        Ok(ChangeOutcome::Applied(_))
    ));
    let refused = activate(&fleet, &[0]).unwrap_err();
    assert_eq!(
        refused
            .matches("it is of format 2, and this program reads up to 1")
            .count(),
        3,
        "{refused}"
    );
    assert!((0..3).all(|at| serves(&fleet, at, "first") && !serves(&fleet, at, "later")));
}

/// The audit log contains operator calls with the version in force at the time, and tells a
/// graceful shutdown from a kill.
#[test]
fn reports_operator_calls_and_graceful_shutdown() {
    let mut options = options_with_versions();
    options.has_admin = true;
    let mut fleet = Fleet::with("by-hand", 3, options);
    wait_until("all are current", || all_current(&fleet));
    let admin_address = fleet.admin_addresses[1].to_string();
    let admin = Command::new(env!("CARGO_BIN_EXE_bitternsill"))
        .args(["admin", "exclude", "s-0", "--at", &admin_address])
        .output()
        .unwrap();
    assert!(admin.status.success(), "{admin:?}");
    // Gatherer 2 shuts down gracefully; gatherer 0 is killed.
    let mut program = fleet.programs[2].take().unwrap();
    program.signal("TERM");
    program.child.wait().unwrap();
    fleet.inject(&Fault::PowerOff(BTreeSet::from([0])));
    fleet.inject(&Fault::PowerOn(BTreeSet::from([0, 2])));
    wait_until("all are current", || all_current(&fleet));
    let (text, sound) = audit(&fleet);
    let report: Vec<&str> = text.split("\ng").collect();
    assert!(
        sound && report[2].contains("under version 0: Exclude s-0"),
        "{text}"
    );
    assert!(
        report[1].contains("gap: life") && !report[3].contains("gap"),
        "{text}"
    );
}
