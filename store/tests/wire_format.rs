//! Pins the bytes of stored records, in the three formats of a member's file, and of messages
//! between members. An earlier version of the program wrote the fixtures; renamed types or fields
//! must not change them.

use std::collections::{BTreeMap, BTreeSet};
use store::command::{Change, Check, Command, Expects, Txn};
use store::log::{Entries, Entry, Position, Snapshot};
use store::message::{Envelope, KINDS, Message};
use store::persisted::PersistedState;
use store::record::{MAGIC, Record, encode, read, read_lines};
use store::rejoin::{FileState, Peer, PeerStatus, StatusRequest, StatusResponse};
use store::state::{Capacity, Outcome, Rejection, State};

const FILE: &[u8] = include_bytes!("fixtures/file-v3.bin");
const LINES: &str = include_str!("fixtures/file-v1.jsonl");
const MESSAGES: &str = include_str!("fixtures/packets.jsonl");
const SUMMARY: &str = include_str!("fixtures/summary.txt");

fn change(key: &str, value: Option<&str>) -> Change {
    Change {
        key: key.to_owned(),
        value: value.map(str::to_owned),
    }
}

fn txn() -> Txn {
    let check = |key: &str, expects| Check {
        key: key.to_owned(),
        expects,
    };
    Txn {
        session: 5,
        request: 2,
        checks: vec![
            check("absent", Expects::Absent),
            check("at", Expects::At(7)),
            check("is", Expects::Is("v".to_owned())),
        ],
        sets: vec![change("set", Some("1")), change("removed", None)],
    }
}

fn entries() -> Entries {
    Entries {
        after: Position { index: 9, term: 3 },
        entries: vec![
            Entry::Term(4),
            Entry::Members(BTreeSet::from([1, 2, 3])),
            Entry::Command(Command::Put(change("members/m0", Some("ih-2")))),
            Entry::Command(Command::Put(change("members/m1", None))),
            Entry::Command(Command::Open(77)),
            Entry::Command(Command::Txn(txn())),
        ],
    }
}

/// A state with keys, and with one session for each outcome that a session can have.
fn state() -> State {
    let capacity = Capacity {
        keys: 2,
        sessions: 8,
    };
    let mut state = State::default();
    state.begin_era(1_700_000_000);
    let mut revision = 0;
    let mut apply = |command: &Command| {
        revision += 1;
        state.apply(revision, command, capacity);
        revision
    };
    let set = |session, checks, key: &str| {
        Command::Txn(Txn {
            session,
            request: 1,
            checks,
            sets: vec![change(key, Some("v"))],
        })
    };
    let first = apply(&Command::Open(1));
    apply(&set(first, vec![], "a"));
    let second = apply(&Command::Open(2));
    apply(&set(second, vec![], "no room for this"));
    let third = apply(&Command::Open(3));
    let check = Check {
        key: "a".to_owned(),
        expects: Expects::At(1),
    };
    apply(&set(third, vec![check], "a"));
    apply(&Command::Open(4));
    state
}

fn snapshot() -> Snapshot {
    Snapshot {
        position: Position { index: 9, term: 3 },
        members: BTreeSet::from([1, 2, 3]),
        state: state(),
    }
}

fn records() -> Vec<Record> {
    vec![
        Record::Cluster(7),
        Record::Start(1),
        Record::Snapshot(snapshot()),
        Record::Term(4),
        Record::Vote(None),
        Record::Vote(Some(3)),
        Record::Append(entries()),
        Record::Generation(2),
        Record::Peer(3, Peer::known(1, 4, 9)),
        Record::Joined,
        Record::Bootstrapping(true),
        Record::Bootstrapping(false),
        Record::Lost,
    ]
}

fn envelopes() -> Vec<Envelope> {
    let last = Position { index: 9, term: 3 };
    let requests = [FileState::Missing, FileState::Claimed, FileState::Intact].map(|file_state| {
        Message::StatusRequest(StatusRequest {
            incarnation: 11,
            file_state,
            generation: 2,
            starts: 6,
            last,
        })
    });
    let responses = [
        PeerStatus::Empty,
        PeerStatus::Joined,
        PeerStatus::Unverified,
        PeerStatus::Lost,
        PeerStatus::Active,
    ]
    .map(|status| {
        Message::StatusResponse(StatusResponse {
            incarnation: 11,
            status,
            generation: 2,
            superseded: status == PeerStatus::Lost,
            last,
        })
    });
    let mut messages = vec![
        Message::RequestVote { last },
        Message::RequestVoteResponse { granted: true },
        Message::AppendEntries {
            commit: 8,
            entries: entries(),
        },
        Message::AppendEntriesResponse { last },
        Message::InstallSnapshot {
            snapshot: snapshot(),
            requested_by: 11,
        },
        Message::Propose(Command::Txn(txn())),
        Message::Propose(Command::Put(change("k", Some("v")))),
        Message::Propose(Command::Open(77)),
        Message::ReadIndex {
            number: 12,
            incarnation: 11,
        },
        Message::ReadIndexResponse {
            number: 12,
            incarnation: 11,
            index: 9,
        },
        Message::Bootstrap {
            incarnation: 11,
            snapshot: snapshot(),
        },
        Message::BootstrapAccepted,
        Message::AlreadyBootstrapped { incarnation: 11 },
        Message::SnapshotRequest {
            incarnation: 11,
            term: 4,
            last,
        },
    ];
    messages.extend(requests);
    messages.extend(responses);
    let envelope = |(at, message)| Envelope {
        from: 2,
        cluster: 7,
        term: 4,
        sequence: 100 + at as u64,
        starts: 6,
        generation: 1,
        generations: BTreeMap::from([(1, 2), (3, 1)]),
        message,
    };
    let mut envelopes: Vec<Envelope> = messages.into_iter().enumerate().map(envelope).collect();
    // Envelopes without generations omit these fields.
    envelopes.push(Envelope {
        from: 1,
        ..Envelope::default()
    });
    envelopes
}

#[test]
fn writes_and_reads_the_binary_file() {
    let mut bytes = MAGIC.to_vec();
    for (at, record) in records().iter().enumerate() {
        bytes.extend(encode(record, at as u64 + 1));
    }
    assert_eq!(bytes, FILE);
    assert_eq!(read(FILE).expect("a file").records, records());
}

#[test]
fn reads_the_second_format() {
    let mut second = FILE.to_vec();
    second[..8].copy_from_slice(b"bittern\x02");
    assert_eq!(read(&second).expect("a file").records, records());
}

#[test]
fn reads_the_first_format() {
    assert_eq!(
        read_lines(LINES.as_bytes()).expect("a file").records,
        records()
    );
}

#[test]
fn reads_a_state_without_revisions() {
    let json = serde_json::json!({"a": "1"});
    let state = State::read(&json, 6).expect("a state");
    assert_eq!(
        state.json().to_string(),
        r#"{"keys":[["a","1",6]],"sessions":[]}"#
    );
}

#[test]
fn writes_and_reads_messages() {
    let written: String = envelopes().iter().map(Envelope::write).collect();
    assert_eq!(written, MESSAGES);
    let read: Vec<Envelope> = MESSAGES
        .lines()
        .map(|line| Envelope::read(line.as_bytes()).expect("a message"))
        .collect();
    assert_eq!(read, envelopes());
    for (kind, _) in KINDS {
        let covered = MESSAGES.contains(&format!("\"kind\":\"{kind}\""));
        assert!(covered, "no message of kind {kind}");
    }
}

#[test]
fn writes_and_reads_outcomes() {
    let rejected = |rejection| Outcome::Rejected(rejection);
    let check_failed = |found| rejected(Rejection::CheckFailed("k".to_owned(), found));
    for (outcome, text) in [
        (Outcome::Applied(4), r#"{"applied":4}"#),
        (
            check_failed(Some(3)),
            r#"{"found":3,"key":"k","refused":"differs"}"#,
        ),
        (
            check_failed(None),
            r#"{"found":null,"key":"k","refused":"differs"}"#,
        ),
        (rejected(Rejection::Full), r#"{"refused":"full"}"#),
        (
            rejected(Rejection::UnknownSession),
            r#"{"refused":"no session"}"#,
        ),
        (rejected(Rejection::StaleRequest), r#"{"refused":"past"}"#),
        (rejected(Rejection::TooLarge), r#"{"refused":"too large"}"#),
    ] {
        assert_eq!(outcome.json().to_string(), text);
        assert_eq!(Outcome::read(&outcome.json()), Some(outcome));
    }
}

#[test]
fn prints_the_same_summary() {
    let summaries: String = [0, 4, 9, 10, 11, 13]
        .map(|count| {
            let persisted =
                PersistedState::from_records(records().into_iter().take(count).collect());
            let lines = persisted.summary().into_iter();
            let lines: String = lines
                .map(|(name, value)| format!("{name}: {value}\n"))
                .collect();
            lines + "\n"
        })
        .concat();
    assert_eq!(summaries, SUMMARY);
}
