//! The encodings of messages between routers and of stored files are stable, so that different
//! versions of the program can read each other's.
//!
//! The fixtures were written before the types were renamed. Each line holds the name of a sample
//! and its bytes in hexadecimal digits.

use control::changes::{Change, Outcome, Rejection};
use control::digest::{Range, Summary};
use control::directory::{
    Backend, BackendPhase, Key, Member, MemberStatus, Order, OrderPhase, Origin, Record, Stamp,
    Suspicion, Value,
};
use control::history::{History, TextUpdate};
use control::message::{Envelope, Message};
use control::state::{Position, WeightsTarget};
use control::view::ReplicaId;
use router::disk::{self, PersistedFleet};
use router::frame;
use router::protocol::{
    Frame, MemberHeartbeat, PublishedState, PullRequest, Pulled, Request, Response, StoreStatus,
};
use router::traffic::MessageKind;
use routing::prefix_index::{Placement, PrefixKey, PrefixLocation};
use routing::version_floor::AnnouncedVersion;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_hex(digits: &str) -> Vec<u8> {
    let digit = |at: usize| {
        u8::from_str_radix(&digits[at..at + 2], 16).expect("a fixture holds hexadecimal digits")
    };
    (0..digits.len()).step_by(2).map(digit).collect()
}

/// Fixtures by sample name.
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

    /// Checks that a sample encodes to its fixture, and that the fixture decodes to the sample.
    fn check<T: Serialize + DeserializeOwned + Debug>(&mut self, name: &str, sample: &T) {
        let bytes = postcard::to_stdvec(sample).unwrap();
        let Some(expected) = self.lines.get(name) else {
            self.missing += &format!("{name} {}\n", hex(&bytes));
            return;
        };
        assert_eq!(hex(&bytes), *expected, "{name} is encoded as before");
        let decoded: T = postcard::from_bytes(&parse_hex(expected)).unwrap();
        assert_eq!(
            format!("{decoded:?}"),
            format!("{sample:?}"),
            "{name} is decoded as before"
        );
        self.checked += 1;
    }

    fn finish(self) {
        assert_eq!(self.missing, "", "samples without a fixture");
        assert_eq!(
            self.checked,
            self.lines.len(),
            "each fixture has its sample"
        );
    }
}

const CONFIGURATION: &[u8] = br#"{"version":3,"services":[],"routes":[]}"#;

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7560)
}

fn replica(number: u8) -> ReplicaId {
    ReplicaId {
        disk: 7,
        node: format!("node-{number}").into(),
        address: address(number),
    }
}

fn backend() -> Backend {
    Backend {
        service: "qalam-lm".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, 9), 8080),
        zone: "seeb".into(),
        slots: 64,
        phase: BackendPhase::Draining,
        sequence: 300,
        unresponsive: true,
        owner: "node-2".into(),
        models: vec![("daka510000".into(), 3)],
    }
}

fn member() -> Member {
    Member {
        zone: "seeb".into(),
        internal: address(2),
        control: Some(address(3)),
        replica: Some(replica(2)),
        incarnation: 77,
        revision: 4,
        status: MemberStatus::Up,
    }
}

fn records() -> Vec<(Key, Value)> {
    let order = Order {
        fencing_token: 41,
        number: 2,
        model: "daka510000".into(),
        version: 3,
        phase: OrderPhase::Done,
    };
    vec![
        (Key::Backend("i-1".into()), Value::Backend(backend())),
        (Key::Member("node-2".into()), Value::Member(member())),
        (Key::Order("i-1".into()), Value::Order(order)),
        (
            Key::Suspicion("i-1".into()),
            Value::Suspicion(Suspicion {
                number: 2,
                lasts_ms: 4_000,
            }),
        ),
    ]
}

fn stamped() -> Vec<Record> {
    let stamp = Stamp {
        origin: Origin(77),
        counter: 5,
    };
    records()
        .into_iter()
        .map(|(key, value)| Record { key, stamp, value })
        .collect()
}

fn announced_weights() -> Vec<AnnouncedVersion> {
    vec![AnnouncedVersion {
        model: "daka510000".into(),
        version: 3,
        age_ms: 700,
    }]
}

fn position() -> Position {
    Position { index: 9, epoch: 5 }
}

fn published() -> PublishedState {
    let weights = BTreeMap::from([(
        "daka510000".into(),
        WeightsTarget {
            version: 3,
            index: 8,
        },
    )]);
    let update = TextUpdate::Full {
        version: 3,
        text: CONFIGURATION.to_vec(),
    };
    PublishedState {
        position: position(),
        configuration: Some(update),
        weights,
    }
}

fn delta() -> TextUpdate {
    let mut history = History::default();
    history.advance(1, "{\"r\":1}".repeat(40).into_bytes());
    history.advance(
        2,
        format!("{}{}", "{\"r\":2}", "{\"r\":1}".repeat(40)).into_bytes(),
    );
    history.update_for(1).unwrap()
}

fn requests() -> Vec<(&'static str, Request)> {
    let message = Message::Decided {
        view: control::view::View::bootstrap([replica(1)].into()).unwrap(),
    };
    let envelope = Envelope {
        from: replica(1),
        incarnation: 77,
        to: replica(2),
        in_reply_to: None,
        message,
    };
    let configuration = Change::Configuration {
        base: 2,
        body: CONFIGURATION.into(),
    };
    let placement = Placement {
        backend: "i-1".into(),
        version: 3,
    };
    let pull = PullRequest {
        name: "node-1".into(),
        member: member(),
        vector: BTreeMap::from([(Origin(77), 5), (Origin(78), 600)]),
        position: position(),
        base: Some(2),
        epoch: 5,
        wait_ms: 800,
        missing: vec![("node-3".into(), 4)],
    };
    vec![
        ("replica", Request::Replica(Box::new(envelope))),
        ("pull", Request::Pull(pull)),
        (
            "submit.configuration",
            Request::Submit {
                change: configuration,
                hops: 2,
            },
        ),
        (
            "submit.weights",
            Request::Submit {
                change: Change::Weights {
                    model: "daka510000".into(),
                    version: 3,
                },
                hops: 1,
            },
        ),
        (
            "submit.order_holder",
            Request::Submit {
                change: Change::RolloutOwner {
                    replica: replica(3),
                },
                hops: 0,
            },
        ),
        ("read_configuration", Request::ReadConfiguration { hops: 2 }),
        (
            "register",
            Request::Register {
                id: "i-1".into(),
                backend: backend(),
            },
        ),
        (
            "compare",
            Request::Compare {
                range: Range {
                    prefix: 1 << 63,
                    bits: 1,
                },
            },
        ),
        ("store_status", Request::StoreStatus { store: address(9) }),
        (
            "locate",
            Request::Locate {
                key: PrefixKey(123_456_789),
                planned: placement.clone(),
                should_save: true,
            },
        ),
        (
            "placed",
            Request::Placed {
                key: PrefixKey(123_456_789),
                placement,
            },
        ),
        (
            "evicted",
            Request::Evicted {
                backend: "i-1".into(),
                prefixes: vec![(PrefixKey(12), 3)],
            },
        ),
        (
            "evicted_from_store",
            Request::EvictedFromStore {
                prefixes: vec![(PrefixKey(12), 3)],
            },
        ),
        (
            "fetch",
            Request::Fetch {
                keys: vec![1, 2, 1 << 60],
            },
        ),
        (
            "faults",
            Request::Failures {
                reporter: "node-1".into(),
                failures: vec![("i-1".into(), 3)],
            },
        ),
    ]
}

fn responses() -> Vec<(&'static str, Response)> {
    let pulled = |state| Pulled {
        records: stamped(),
        vector: BTreeMap::from([(Origin(77), 5)]),
        state,
        leader: Some((5, replica(1))),
        age_ms: Some(40),
        delay_ms: 300,
        announced_weights: announced_weights(),
    };
    let located = PrefixLocation {
        replicas: vec![Placement {
            backend: "i-1".into(),
            version: 3,
        }],
        stored_version: Some(3),
        should_save: true,
    };
    let differences = PublishedState {
        configuration: Some(delta()),
        ..published()
    };
    vec![
        (
            "pulled",
            Response::Pulled(Box::new(pulled(Some(published())))),
        ),
        (
            "pulled.steps",
            Response::Pulled(Box::new(pulled(Some(differences)))),
        ),
        ("pulled.bare", Response::Pulled(Box::new(pulled(None)))),
        ("outcome.done", Response::Outcome(Outcome::Committed)),
        (
            "outcome.refused",
            Response::Outcome(Outcome::Rejected(Rejection::VersionConflict { current: 4 })),
        ),
        (
            "outcome.invalid",
            Response::Outcome(Outcome::Rejected(Rejection::Invalid("routes[0]".into()))),
        ),
        ("outcome.unknown", Response::Outcome(Outcome::Unknown)),
        ("configuration.unknown", Response::Configuration(None)),
        ("configuration.none", Response::Configuration(Some(None))),
        (
            "configuration",
            Response::Configuration(Some(Some(CONFIGURATION.to_vec()))),
        ),
        ("registered", Response::Registered(Some(address(4)))),
        ("registered.bare", Response::Registered(None)),
        (
            "store_status",
            Response::StoreStatus(Some(StoreStatus {
                generation: Some(77_120),
            })),
        ),
        (
            "store_status.silent",
            Response::StoreStatus(Some(StoreStatus { generation: None })),
        ),
        ("store_status.unknown", Response::StoreStatus(None)),
        ("located", Response::Located(located)),
        (
            "summary.digest",
            Response::Summary(Summary::Digest(123_456_789)),
        ),
        (
            "summary.listed",
            Response::Summary(Summary::Listed(vec![(1, 2), (3, 4)])),
        ),
        ("records", Response::Records(stamped())),
        ("not_registered", Response::NotRegistered),
    ]
}

#[test]
fn frame_bytes_are_stable() {
    let mut fixtures = Fixtures::new(include_str!("fixtures/router_frames.txt"));
    for (name, request) in requests() {
        fixtures.check(&format!("request.{name}"), &Frame::Request(7, request));
    }
    for (name, response) in responses() {
        fixtures.check(&format!("response.{name}"), &Frame::Response(7, response));
    }
    fixtures.check(
        "datagram.heartbeat",
        &MemberHeartbeat {
            name: "node-1".into(),
            incarnation: 77,
        },
    );
    fixtures.finish();
}

#[test]
fn frame_header_is_stable() {
    let short = frame::encode(&Frame::Request(7, Request::Fetch { keys: vec![1, 2] })).unwrap();
    assert_eq!(hex(&short), "00000006".to_owned() + "00070b020102");
    let keys = vec![5; 4_000];
    let long = frame::encode(&Frame::Request(7, Request::Fetch { keys })).unwrap();
    assert_eq!(
        hex(&long),
        include_str!("fixtures/compressed_frame.hex").trim()
    );
}

#[test]
fn fleet_file_is_stable() {
    let known = PersistedFleet {
        records: records(),
        announced_weights: announced_weights(),
    };
    let folder =
        std::env::temp_dir().join(format!("bitternsill-wire-format-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::write(
        folder.join("fleet"),
        parse_hex(include_str!("fixtures/fleet_file.hex").trim()),
    )
    .unwrap();
    let found = disk::read_fleet(&folder);
    fs::remove_dir_all(&folder).unwrap();
    assert_eq!(found, known);
    let body = postcard::to_stdvec(&known).unwrap();
    let file = [&crc32fast::hash(&body).to_be_bytes()[..], &body].concat();
    assert_eq!(hex(&file), include_str!("fixtures/fleet_file.hex").trim());
}

/// Message kinds have stable names, as the status report contains them.
#[test]
fn message_kind_names_are_stable() {
    let mut names: Vec<String> = requests()
        .into_iter()
        .map(|(_, request)| Frame::Request(7, request))
        .chain(
            responses()
                .into_iter()
                .map(|(_, response)| Frame::Response(7, response)),
        )
        .map(|frame| format!("{:?}", MessageKind::of(&frame)))
        .collect();
    names.sort();
    names.dedup();
    assert_eq!(
        names,
        include_str!("fixtures/message_kinds.txt")
            .lines()
            .collect::<Vec<_>>()
    );
}
