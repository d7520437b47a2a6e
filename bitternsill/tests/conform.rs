//! The conformance suite against the program, over index hosts of either protocol, and against
//! servers that violate the standards.

mod common;

use common::standins::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;

fn conform(
    protocol: &str,
    address: SocketAddr,
    database: &str,
    patience: u32,
) -> (Option<i32>, Value) {
    let output = Command::new(env!("CARGO_BIN_EXE_bitternsill"))
        .args([
            "conform",
            protocol,
            &address.to_string(),
            "--database",
            database,
            "--format",
            "json",
        ])
        .args(["--patience", &patience.to_string()])
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    (
        output.status.code(),
        serde_json::from_str(&text).expect(&text),
    )
}

fn failed(report: &Value) -> Vec<String> {
    let cases = report["cases"].as_array().unwrap().iter();
    cases
        .filter(|c| c["verdict"] == "fail")
        .map(|c| format!("{}: {}", c["case"], c["seen"]))
        .collect()
}

/// Three slices with four titles each, so that pages span slices.
fn hosts_with_titles() -> Vec<Arc<HostScript>> {
    let titles = [
        ["ant", "dog", "gnu", "jay"],
        ["bee", "elk", "hen", "kid"],
        ["cat", "fox", "ibex", "lynx"],
    ];
    (0..3)
        .map(|n| HostScript::with(&[(n, &titles[n])]))
        .collect()
}

/// No case may be skipped or fail.
#[test]
fn program_conforms_over_hosts_of_either_protocol() {
    for speak in ["sru", "z3950"] {
        let catalogue =
            Catalogue::start_with(speak, hosts_with_titles(), catalogue_settings(1), json!({}));
        for (protocol, address, least) in
            [("sru", catalogue.sru, 65), ("z3950", catalogue.z3950, 63)]
        {
            let (code, report) = conform(protocol, address, "comics", 10_000);
            assert_eq!(failed(&report), [""; 0], "{protocol} over {speak}");
            assert_eq!(
                (code, &report["skipped"]),
                (Some(0), &json!(0)),
                "{protocol} over {speak}: {report:#}"
            );
            assert!(
                report["passed"].as_u64() >= Some(least),
                "{protocol} over {speak}: {}",
                report["passed"]
            );
        }
    }
}

/// The suite must detect a server that reports no faults and pages arbitrarily.
#[test]
fn suite_fails_nonconforming_servers() {
    let host = HostScript::with(&[(0, &["gnu", "ant", "dog"])]);
    *host.version.lock().unwrap() = "1.1";
    let (code, report) = conform("sru", host.sru(), "comics-0", 150);
    assert_eq!(code, Some(1));
    assert!(failed(&report).len() > 25, "{:#?}", failed(&report));
    let (code, report) = conform("z3950", host.z3950(), "comics-0", 150);
    assert_eq!(code, Some(1));
    assert!(failed(&report).len() > 20, "{:#?}", failed(&report));
}
