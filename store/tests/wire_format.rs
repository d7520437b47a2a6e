//! Pins the stored and sent bytes: the records of a member's file in its three formats and the
//! packets between members. The fixtures were written by the program before its names changed; a
//! renamed type or field must leave them as they are.

use std::collections::{BTreeMap, BTreeSet};
use store::command::{Check, Command, Expects, Txn};
use store::kept::Kept;
use store::packet::{Body, Change, Entries, Entry, KINDS, Packet, Position, Snapshot};
use store::record::{MAGIC, Record, encode, read, read_lines};
use store::rejoin::{Ask, Past, Peer, Told, What};
use store::state::{Outcome, Refusal, Room, State};

const FILE: &[u8] = include_bytes!("fixtures/file-v3.bin");
const LINES: &str = include_str!("fixtures/file-v1.jsonl");
const PACKETS: &str = include_str!("fixtures/packets.jsonl");
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

/// A state with keys and with sessions, one for each outcome that a session can have.
fn state() -> State {
    let room = Room {
        keys: 2,
        sessions: 8,
    };
    let mut state = State::default();
    state.begin_era(1_700_000_000);
    let mut revision = 0;
    let mut apply = |command: &Command| {
        revision += 1;
        state.apply(revision, command, room);
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
        Record::Founding(true),
        Record::Founding(false),
        Record::Lost,
    ]
}

fn packets() -> Vec<Packet> {
    let last = Position { index: 9, term: 3 };
    let asks = [Past::None, Past::Claimed, Past::Whole].map(|past| {
        Body::Ask(Ask {
            life: 11,
            past,
            generation: 2,
            starts: 6,
            last,
        })
    });
    let answers = [
        What::Empty,
        What::Joined,
        What::Whole,
        What::Lost,
        What::Sound,
    ]
    .map(|what| {
        Body::Told(Told {
            life: 11,
            what,
            generation: 2,
            newer: what == What::Lost,
            last,
        })
    });
    let mut bodies = vec![
        Body::Vote { last },
        Body::Voted { granted: true },
        Body::Append {
            commit: 8,
            entries: entries(),
        },
        Body::Appended { last },
        Body::Snapshot {
            snapshot: snapshot(),
            restores: 11,
        },
        Body::Propose(Command::Txn(txn())),
        Body::Propose(Command::Put(change("k", Some("v")))),
        Body::Propose(Command::Open(77)),
        Body::Read {
            number: 12,
            life: 11,
        },
        Body::ReadAt {
            number: 12,
            life: 11,
            index: 9,
        },
        Body::Found {
            life: 11,
            snapshot: snapshot(),
        },
        Body::Joined,
        Body::Begun { life: 11 },
        Body::Fetch {
            life: 11,
            term: 4,
            last,
        },
    ];
    bodies.extend(asks);
    bodies.extend(answers);
    let packet = |(at, body)| Packet {
        from: 2,
        cluster: 7,
        term: 4,
        sequence: 100 + at as u64,
        starts: 6,
        generation: 1,
        generations: BTreeMap::from([(1, 2), (3, 1)]),
        body,
    };
    let mut packets: Vec<Packet> = bodies.into_iter().enumerate().map(packet).collect();
    // Of a member that has lost no file and knows of none that has.
    packets.push(Packet {
        from: 1,
        ..Packet::default()
    });
    packets
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
    let mut former = FILE.to_vec();
    former[..8].copy_from_slice(b"bittern\x02");
    assert_eq!(read(&former).expect("a file").records, records());
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
fn writes_and_reads_packets() {
    let written: String = packets().iter().map(Packet::write).collect();
    assert_eq!(written, PACKETS);
    let read: Vec<Packet> = PACKETS
        .lines()
        .map(|line| Packet::read(line.as_bytes()).expect("a packet"))
        .collect();
    assert_eq!(read, packets());
    for (kind, _) in KINDS {
        let sent = PACKETS.contains(&format!("\"kind\":\"{kind}\""));
        assert!(sent, "no packet of kind {kind}");
    }
}

#[test]
fn writes_and_reads_outcomes() {
    let refused = |why| Outcome::Refused(why);
    let differs = |found| refused(Refusal::Differs("k".to_owned(), found));
    for (outcome, text) in [
        (Outcome::Applied(4), r#"{"applied":4}"#),
        (
            differs(Some(3)),
            r#"{"found":3,"key":"k","refused":"differs"}"#,
        ),
        (
            differs(None),
            r#"{"found":null,"key":"k","refused":"differs"}"#,
        ),
        (refused(Refusal::Full), r#"{"refused":"full"}"#),
        (refused(Refusal::NoSession), r#"{"refused":"no session"}"#),
        (refused(Refusal::Past), r#"{"refused":"past"}"#),
        (refused(Refusal::TooLarge), r#"{"refused":"too large"}"#),
    ] {
        assert_eq!(outcome.json().to_string(), text);
        assert_eq!(Outcome::read(&outcome.json()), Some(outcome));
    }
}

#[test]
fn prints_the_same_summary() {
    let summaries: String = [0, 4, 9, 10, 11, 13]
        .map(|count| {
            let kept = Kept::of(records().into_iter().take(count).collect());
            let lines = kept.summary().into_iter();
            let lines: String = lines
                .map(|(name, value)| format!("{name}: {value}\n"))
                .collect();
            lines + "\n"
        })
        .concat();
    assert_eq!(summaries, SUMMARY);
}
