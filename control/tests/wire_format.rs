//! The encodings of messages and stored records are pinned, so that versions of the program remain
//! compatible with each other.
//!
//! The fixtures were written before the Rust types were renamed. Each line is the name of a sample
//! and its bytes in hexadecimal digits.

use control::changes::{Change, Outcome, Rejection};
use control::digest::{Range, Summary};
use control::directory::{
    Backend, BackendPhase, Key, Member, MemberStatus, Order, OrderPhase, Origin,
    Record as DirectoryRecord, Stamp, Suspicion, Value,
};
use control::history::{History, TextUpdate};
use control::message::{Echo, Envelope, Message};
use control::state::{ControlState, Position, Update};
use control::storage::{
    AcceptedV1, FORMAT, ProposalNumberV1, Record, Recovered, VotesV1, decode, encode,
};
use control::view::{Proposal, ProposalNumber, ReplicaId, View};
use control::witness::{Vote, Votes};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(digits: &str) -> Vec<u8> {
    let digit = |at: usize| {
        u8::from_str_radix(&digits[at..at + 2], 16).expect("a fixture holds hexadecimal digits")
    };
    (0..digits.len()).step_by(2).map(digit).collect()
}

/// The pinned encodings, by the names of the samples.
struct Fixtures {
    lines: BTreeMap<&'static str, &'static str>,
    checked: usize,
    missing: String,
}

impl Fixtures {
    fn new(text: &'static str) -> Self {
        let lines = text
            .lines()
            .map(|line| line.split_once(' ').expect("a name and its bytes"))
            .collect();
        Fixtures {
            lines,
            checked: 0,
            missing: String::new(),
        }
    }

    /// Asserts that a sample encodes to the bytes of its fixture, and that these decode to the
    /// sample.
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        sample: &T,
    ) {
        let bytes = postcard::to_stdvec(sample).unwrap();
        let Some(expected) = self.lines.get(name) else {
            self.missing += &format!("{name} {}\n", hex(&bytes));
            return;
        };
        assert_eq!(hex(&bytes), *expected, "the encoding of {name} has changed");
        let decoded: T = postcard::from_bytes(&unhex(expected)).unwrap();
        assert_eq!(&decoded, sample, "the decoding of {name} has changed");
        self.checked += 1;
    }

    fn finish(self) {
        assert_eq!(self.missing, "", "samples without a fixture");
        assert_eq!(self.checked, self.lines.len(), "fixtures without a sample");
    }
}

fn replica(number: u8) -> ReplicaId {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7560);
    ReplicaId {
        disk: 0x0102_0304_0506_0700 + u64::from(number),
        node: format!("node-{number}").into(),
        address,
    }
}

fn replicas(numbers: &[u8]) -> BTreeSet<ReplicaId> {
    numbers.iter().map(|number| replica(*number)).collect()
}

fn view(epoch: u64) -> View {
    View {
        epoch,
        primary: replica(1),
        in_sync: replicas(&[1, 2]),
        witnesses: replicas(&[1, 2, 3]),
    }
}

fn number() -> ProposalNumber {
    ProposalNumber {
        round: 9,
        proposer: replica(2),
        incarnation: 77,
    }
}

fn proposal() -> Proposal {
    Proposal {
        number: number(),
        view: view(6),
    }
}

fn position(index: u64) -> Position {
    Position { index, epoch: 5 }
}

const CONFIGURATION: &str = r#"{"version":3,"services":[],"routes":[]}"#;

fn configuration() -> Change {
    Change::Configuration {
        base: 2,
        body: CONFIGURATION.as_bytes().into(),
    }
}

fn weights() -> Change {
    Change::Weights {
        model: "daka510000".into(),
        version: 300,
    }
}

fn rollout_owner() -> Change {
    Change::RolloutOwner {
        replica: replica(3),
    }
}

fn update(index: u64, change: Change) -> Update {
    Update {
        position: position(index),
        change,
    }
}

fn state() -> ControlState {
    let mut state = ControlState::default();
    for (change, index) in [configuration(), weights(), rollout_owner()]
        .into_iter()
        .zip(1..)
    {
        state.apply(&update(index, change));
    }
    state
}

fn votes() -> Votes {
    Votes {
        decided: Some(view(5)),
        promised: Some(number()),
        accepted: Some(proposal()),
    }
}

#[test]
fn messages_between_replicas_keep_their_bytes() {
    let mut fixtures = Fixtures::new(include_str!("fixtures/replica_messages.txt"));
    let heartbeat = |committed, echo| Message::Heartbeat {
        epoch: 5,
        sequence: 400,
        committed,
        echo,
    };
    let reply = |other_view| Message::HeartbeatReply {
        epoch: 5,
        sequence: 400,
        granted: true,
        other_view,
        wants_view: false,
        sent_at: 70_000,
    };
    let prepare_reply = |vote| Message::PrepareReply {
        number: number(),
        vote,
    };
    let accept_reply = |answer| Message::AcceptReply {
        number: number(),
        answer,
    };
    let messages = [
        (
            "heartbeat",
            heartbeat(
                Some(position(7)),
                Some(Echo {
                    incarnation: 77,
                    at: 1_234,
                }),
            ),
        ),
        ("heartbeat.bare", heartbeat(None, None)),
        ("heartbeat_reply", reply(Some(view(6)))),
        ("heartbeat_reply.bare", reply(None)),
        (
            "prepare",
            Message::Prepare {
                current: view(5),
                number: number(),
            },
        ),
        (
            "prepare_reply.promised",
            prepare_reply(Vote::Promised {
                accepted: Some(proposal()),
            }),
        ),
        (
            "prepare_reply.outbid",
            prepare_reply(Vote::Superseded { number: number() }),
        ),
        (
            "prepare_reply.passed",
            prepare_reply(Vote::AlreadyDecided { decided: view(6) }),
        ),
        ("prepare_reply.leased", prepare_reply(Vote::Leased)),
        ("prepare_reply.no_founder", prepare_reply(Vote::NotEligible)),
        (
            "accept",
            Message::Accept {
                current: view(5),
                proposal: proposal(),
            },
        ),
        ("accept_reply.ok", accept_reply(Ok(()))),
        ("accept_reply.refused", accept_reply(Err(12))),
        ("decided", Message::Decided { view: view(6) }),
        ("synchronize", Message::Synchronize { epoch: 6 }),
        (
            "holds",
            Message::StoredPositions {
                epoch: 6,
                last: position(8),
                committed: position(7),
            },
        ),
        (
            "install",
            Message::Install {
                epoch: 6,
                state: state(),
                tail: Some(update(4, weights())),
            },
        ),
        (
            "replicate",
            Message::Replicate {
                epoch: 6,
                previous: position(3),
                updates: vec![
                    update(4, configuration()),
                    update(5, weights()),
                    update(6, rollout_owner()),
                ],
            },
        ),
        (
            "committed",
            Message::Committed {
                epoch: 6,
                position: position(6),
            },
        ),
        (
            "join",
            Message::Join {
                last: position(8),
                committed: position(7),
            },
        ),
        ("leave", Message::Leave { epoch: 6 }),
        ("resign", Message::Resign { epoch: 6 }),
    ];
    for (name, message) in messages {
        let envelope = Envelope {
            from: replica(1),
            incarnation: 77,
            to: replica(2),
            in_reply_to: Some(78),
            message,
        };
        fixtures.check(name, &envelope);
    }
    fixtures.finish();
}

#[test]
fn outcomes_and_records_of_the_directory_keep_their_bytes() {
    let mut fixtures = Fixtures::new(include_str!("fixtures/directory_records.txt"));
    fixtures.check("outcome.done", &Outcome::Committed);
    fixtures.check(
        "outcome.other_version",
        &Outcome::Rejected(Rejection::VersionConflict { current: 4 }),
    );
    fixtures.check(
        "outcome.invalid",
        &Outcome::Rejected(Rejection::Invalid("routes[0]".to_owned())),
    );
    fixtures.check("outcome.unknown", &Outcome::Unknown);
    fixtures.check(
        "range",
        &Range {
            prefix: 1 << 63,
            bits: 1,
        },
    );
    fixtures.check("summary.digest", &Summary::Digest(123_456_789));
    fixtures.check("summary.listed", &Summary::Listed(vec![(1, 2), (3, 4)]));
    let mut history = History::default();
    history.advance(
        1,
        format!("{}{}", CONFIGURATION, "{\"r\":1}".repeat(40)).into_bytes(),
    );
    fixtures.check("news.whole", &history.update_for(0).unwrap());
    history.advance(
        2,
        format!("{}{}{}", CONFIGURATION, "{\"r\":2}", "{\"r\":1}".repeat(40)).into_bytes(),
    );
    let deltas: TextUpdate = history.update_for(1).unwrap();
    fixtures.check("news.steps", &deltas);
    let stamp = Stamp {
        origin: Origin(77),
        counter: 5,
    };
    let mut record = |name: &str, key: Key, value: Value| {
        fixtures.check(name, &DirectoryRecord { key, stamp, value });
    };
    let phases = [
        BackendPhase::Ready,
        BackendPhase::Draining,
        BackendPhase::Gone,
    ];
    for (phase, name) in
        phases
            .into_iter()
            .zip(["backend.ready", "backend.draining", "backend.gone"])
    {
        let backend = Backend {
            service: "qalam-lm".into(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, 9), 8080),
            zone: "seeb".into(),
            slots: 64,
            phase,
            sequence: 300,
            unresponsive: true,
            owner: "node-2".into(),
            models: vec![("daka510000".into(), 3)],
        };
        record(name, Key::Backend("i-1".into()), Value::Backend(backend));
    }
    let statuses = [MemberStatus::Up, MemberStatus::Down, MemberStatus::Left];
    for (status, name) in statuses
        .into_iter()
        .zip(["member.up", "member.down", "member.left"])
    {
        let member = Member {
            zone: "seeb".into(),
            internal: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 2), 7560),
            control: Some(SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 2), 8381)),
            replica: Some(replica(2)),
            incarnation: 77,
            revision: 4,
            status,
        };
        record(name, Key::Member("node-2".into()), Value::Member(member));
    }
    let phases = [
        OrderPhase::InProgress,
        OrderPhase::Done,
        OrderPhase::Withdrawn,
    ];
    for (phase, name) in
        phases
            .into_iter()
            .zip(["order.under_way", "order.done", "order.withdrawn"])
    {
        let order = Order {
            fencing_token: 41,
            number: 2,
            model: "daka510000".into(),
            version: 3,
            phase,
        };
        record(name, Key::Order("i-1".into()), Value::Order(order));
    }
    let suspicion = Suspicion {
        number: 2,
        lasts_ms: 4_000,
    };
    record(
        "suspicion",
        Key::Suspicion("i-1".into()),
        Value::Suspicion(suspicion),
    );
    fixtures.finish();
}

/// A file with a record of each kind in the current format, including those of former formats.
fn stored_records() -> Vec<Record> {
    let former = AcceptedV1 {
        number: ProposalNumberV1 {
            round: 9,
            proposer: replica(2),
        },
        view: view(6),
        previous: Some(view(5)),
    };
    let former_votes = VotesV1 {
        promised: Some((
            6,
            ProposalNumberV1 {
                round: 10,
                proposer: replica(3),
            },
        )),
        accepted: Some(former),
    };
    vec![
        Record::Disk {
            format: FORMAT,
            disk: 0x0102_0304,
        },
        Record::VotesV1(former_votes),
        Record::Votes(votes()),
        Record::Install {
            state: state(),
            tail: None,
        },
        Record::Update(update(4, configuration())),
        Record::Update(update(5, weights())),
        Record::Update(update(6, rollout_owner())),
    ]
}

#[test]
fn a_file_of_stored_records_keeps_its_bytes() {
    let records = stored_records();
    let mut bytes = Vec::new();
    records.iter().for_each(|record| encode(record, &mut bytes));
    let file = include_str!("fixtures/stored_records.hex").trim();
    assert_eq!(
        hex(&bytes),
        file,
        "the encoding of stored records has changed"
    );
    let (decoded, valid_length) = decode(&unhex(file)).unwrap();
    assert_eq!((&decoded, valid_length), (&records, bytes.len()));
    let recovered = Recovered::replay(decoded).unwrap();
    assert_eq!(recovered.disk, 0x0102_0304);
    assert_eq!(recovered.votes, votes());
    assert_eq!(recovered.state.version(), 3);
    assert_eq!(recovered.state.position, position(5));
    assert_eq!(recovered.tail, Some(update(6, rollout_owner())));
}

#[test]
fn votes_of_format_1_are_read_as_before() {
    let records = stored_records().into_iter().take(2);
    let recovered = Recovered::replay(records).unwrap();
    let promised = ProposalNumber {
        round: 10,
        proposer: replica(3),
        incarnation: 0,
    };
    let accepted = Proposal {
        number: ProposalNumber {
            round: 9,
            proposer: replica(2),
            incarnation: 0,
        },
        view: view(6),
    };
    let expected = Votes {
        decided: Some(view(5)),
        promised: Some(promised),
        accepted: Some(accepted),
    };
    assert_eq!(recovered.votes, expected);
}
