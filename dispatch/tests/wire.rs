//! The codec of the simulator's line protocol: valid lines, and the errors for malformed ones.

use dispatch::wire::{Host, read_settings};

const SETTINGS: &str = r#"{"request_classes": [{"target": 1000000000, "deadline": 2000000000, "effect": "read_like"}],
    "extra": {"sets": 2, "in_a_row": 2, "never_heard_of": [1, {"a": null}]}, "limits": {"cancel": true,
    "max_attempts": 3, "second_copies": true, "streams_per_conn": 7}, "guarantees": {}, "tick": 5000000,
    "a_new_key": "skipped"}"#;

fn init() -> String {
    format!(
        "INIT random_seed=18446744073709551615 boot_info={}",
        SETTINGS.replace('\n', " ")
    )
}

fn feed(host: &mut Host, lines: &[&str]) -> Result<String, String> {
    let mut reply = String::new();
    for line in lines {
        if let Some(text) = host.line(&format!("{line}\n")).map_err(|e| e.to_string())? {
            reply.push_str(&text);
        }
    }
    Ok(reply)
}

fn started() -> Host {
    let mut host = Host::new();
    let lines = [
        "FRAME now=100 turn=1",
        "SELECT who=aggregator_0",
        &init(),
        "SHEET sheet=3 items=2",
        "ENTRY leaf=7 area=0 kind=0 cell=0 status=ready heft=1",
        "ENTRY leaf=8 cell=1 status=ready",
        "MEMBERSHIP mode=Persisted seq_no=1 sheet=3",
        "EOF_BATCH",
    ];
    assert_eq!(feed(&mut host, &lines).unwrap(), "READY turn=1\n");
    host
}

const QUERY: &str = "ORDER tid=4 slab=-1 band=0 size_or_weight=1 group_no=1 time_budget=2000000000";
const PART: &str = "ORDER tid=5 slab=0 band=0 size_or_weight=1.0 group_no=1 time_budget=2000000000";

#[test]
fn sends_and_answers_query() {
    let mut host = started();
    let reply = feed(
        &mut host,
        &[
            "FRAME now=200 turn=2",
            "SELECT who=aggregator_0",
            QUERY,
            PART,
            "EOF_BATCH",
        ],
    );
    let reply = reply.unwrap();
    assert!(
        reply.starts_with("BY who=aggregator_0\nPLACE tid=5 leaf="),
        "{reply}"
    );
    assert!(reply.ends_with("READY turn=2\n"));
    let leaf = reply
        .split("leaf=")
        .nth(1)
        .unwrap()
        .split(' ')
        .next()
        .unwrap();
    let done = format!(
        "DONE tid=5 leg=0 leaf={leaf} code=done took=90 terminal=1 telemetry=outstanding:2,x9:1"
    );
    let reply = feed(
        &mut host,
        &[
            "FRAME now=300 turn=3",
            "SELECT who=aggregator_0",
            &done,
            "EOF_BATCH",
        ],
    );
    assert!(reply.unwrap().contains("ANSWER tid=4 on=1\n"));
    host.finish().unwrap();
}

#[test]
fn parses_every_outcome_code() {
    for code in [
        "done",
        "err",
        "busy",
        "etimedout",
        "econnrefused",
        "econnreset",
        "ecanceled",
        "skipped",
    ] {
        let mut host = started();
        let done = format!("DONE tid=9 leg=0 leaf=7 code={code} terminal=0");
        let probe = format!("PING_RESULT leaf=7 code={code}");
        feed(
            &mut host,
            &[
                "FRAME now=1 turn=2",
                "SELECT who=aggregator_0",
                &done,
                &probe,
                "EOF_BATCH",
            ],
        )
        .unwrap();
    }
    let mut host = started();
    let lines = [
        "FRAME now=1 turn=2",
        "SELECT who=aggregator_0",
        "DONE tid=9 leg=0 leaf=7 code=odd",
    ];
    assert_eq!(
        feed(&mut host, &lines).unwrap_err(),
        "line 11: DONE: field `code` has an unknown value: `odd`"
    );
}

#[test]
fn restarts_instance_within_batch() {
    let mut host = started();
    feed(
        &mut host,
        &[
            "FRAME now=200 turn=2",
            "SELECT who=aggregator_0",
            QUERY,
            PART,
            "EOF_BATCH",
        ],
    )
    .unwrap();
    let lines = [
        "FRAME now=300 turn=3",
        "SELECT who=aggregator_0",
        "STOP",
        &init(),
        "MEMBERSHIP mode=Persisted seq_no=1 sheet=3",
        "EOF_BATCH",
    ];
    assert_eq!(feed(&mut host, &lines).unwrap(), "READY turn=3\n");
    let after_stop = [
        "FRAME now=400 turn=4",
        "SELECT who=aggregator_0",
        "STOP",
        "RING label=x",
    ];
    assert_eq!(
        feed(&mut host, &after_stop).unwrap_err(),
        "line 23: RING: unknown instance `aggregator_0`"
    );
}

#[test]
fn resolves_sheet_in_event_order() {
    let mut host = started();
    let lines = [
        "FRAME now=200 turn=2",
        "SHEET sheet=3 items=1",
        "ENTRY leaf=99 cell=0 status=ready",
        "SELECT who=aggregator_0",
        "MEMBERSHIP mode=Complete seq_no=2 sheet=3",
        "SHEET sheet=3 items=0",
        QUERY,
        PART,
        "EOF_BATCH",
    ];
    assert!(
        feed(&mut host, &lines)
            .unwrap()
            .contains("PLACE tid=5 leaf=99 ")
    );
}

#[test]
fn reports_malformed_fields() {
    let cases = [
        ("FRAME now=1", "line 9: FRAME: field `turn` is missing"),
        (
            "EOF_BATCH",
            "line 9: EOF_BATCH outside a batch: FRAME is missing",
        ),
        (
            "FRAME now=x turn=1",
            "line 9: FRAME: field `now` is not a valid number: `x`",
        ),
        (
            "FRAME now=1 turn=1\nRING label=a",
            "line 10: RING: no SELECT before it in this batch",
        ),
        (
            "FRAME now=1 turn=1\nSELECT who=aggregator_9\nRING label=a",
            "line 11: RING: unknown instance `aggregator_9`",
        ),
        (
            "FRAME now=1 turn=1\nSELECT who=aggregator_0\nHM a=1",
            "line 11: unknown message `HM`",
        ),
        (
            "FRAME now=1 turn=1\nSELECT who=aggregator_0\nORDER tid=-1 slab=0 size_or_weight=1 group_no=1",
            "line 11: ORDER: field `tid` is not a valid number: `-1`",
        ),
        (
            "FRAME now=1 turn=1\nSELECT who=aggregator_0\nORDER tid=1 slab=0 size_or_weight=NaN group_no=1",
            "line 11: ORDER: field `size_or_weight` is not finite",
        ),
        (
            "FRAME now=1 turn=1\nSELECT who=aggregator_0\nORDER tid=4 slab=-1 band=8 size_or_weight=1 group_no=1 time_budget=2",
            "line 11: ORDER: field `band` is not the index of a class: `8`",
        ),
        (
            "FRAME now=1 turn=1\nSHEET sheet=16 items=0",
            "line 10: SHEET: field `sheet` exceeds 15: `16`",
        ),
        (
            "FRAME now=1 turn=1\nSHEET sheet=1 items=2\nENTRY leaf=1 status=ready\nEOF_BATCH",
            "line 12: EOF_BATCH: SHEET 1 is incomplete",
        ),
        (
            "FRAME now=1 turn=1\nSELECT who=a\nINIT random_seed=1 boot_info={",
            "line 11: INIT: field `boot_info` is not JSON",
        ),
    ];
    for (text, expected) in cases {
        let mut host = started();
        let lines: Vec<&str> = text.split('\n').collect();
        let error = feed(&mut host, &lines).unwrap_err();
        assert!(error.starts_with(expected), "{text}: {error}");
    }
}

#[test]
fn rejects_unfinished_batch() {
    let mut host = started();
    feed(&mut host, &["FRAME now=1 turn=9"]).unwrap();
    assert_eq!(
        host.finish().unwrap_err().to_string(),
        "line 9: input ended inside batch 9: EOF_BATCH is missing"
    );
}

#[test]
fn settings_skip_unknown_keys() {
    let settings = read_settings(SETTINGS).unwrap();
    assert_eq!(
        (
            settings.cells,
            settings.replication_factor,
            settings.classes[0].max_attempts
        ),
        (2, 2, 3)
    );
    assert_eq!(settings.budget, None);
    let invalid = SETTINGS.replace("\"target\": 1000000000", "\"target\": \"soon\"");
    assert_eq!(
        read_settings(&invalid).unwrap_err().to_string(),
        "INIT: setting `boot_info.request_classes[0].target` is not a non-negative number"
    );
}

#[test]
fn host_program_reports_error() {
    use std::io::Write;
    use std::process::{Command, Stdio};
    let mut child = Command::new(env!("CARGO_BIN_EXE_bitternsill-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(b"FRAME now=1 turn=1\nSELECT who=a\nSTOP\n")
        .unwrap();
    let output = child.wait_with_output().unwrap();
    assert!(!output.status.success());
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        message,
        "bitternsill-simhost: line 3: STOP: unknown instance `a`\n"
    );
}
