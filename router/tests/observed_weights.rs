//! The version that a router derives for a backend from observations in any order.

use control::directory::{Backend, BackendPhase, Order, OrderPhase};
use router::proxy::observed_weights::ObservedWeights;

const MODEL: &str = "m";

/// An observation of a backend whose weights had version 1, then 2, and have 1 again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Observation {
    Heartbeat { sequence: u64, version: u64 },
    Done { number: u64, version: u64 },
    Served(u64),
    Rejected { expected: u64 },
}

const OBSERVATIONS: [Observation; 6] = [
    Observation::Heartbeat {
        sequence: 1,
        version: 1,
    },
    Observation::Heartbeat {
        sequence: 2,
        version: 2,
    },
    Observation::Heartbeat {
        sequence: 3,
        version: 1,
    },
    Observation::Done {
        number: 1,
        version: 2,
    },
    Observation::Served(2),
    Observation::Rejected { expected: 2 },
];

fn heartbeat(sequence: u64, version: u64) -> Backend {
    Backend {
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: 4,
        phase: BackendPhase::Ready,
        sequence,
        unresponsive: false,
        owner: "n1".into(),
        models: vec![(MODEL.into(), version)],
    }
}

fn observe(known: &mut ObservedWeights, observation: Observation) {
    match observation {
        Observation::Heartbeat { sequence, version } => {
            known.observe_heartbeat(&heartbeat(sequence, version))
        }
        Observation::Done { number, version } => {
            let phase = OrderPhase::Done;
            known.observe_order(&Order {
                fencing_token: 1,
                number,
                model: MODEL.into(),
                version,
                phase,
            });
        }
        Observation::Served(version) => known.observe_response(MODEL, version),
        Observation::Rejected { expected } => known.observe_rejection(MODEL, expected, None, 0),
    }
}

/// The permutation of `items` with this number.
fn permutation(items: &[Observation], mut number: usize) -> Vec<Observation> {
    let mut rest = items.to_vec();
    let mut chosen = Vec::new();
    while !rest.is_empty() {
        chosen.push(rest.remove(number % rest.len()));
        number /= rest.len() + 1;
    }
    chosen
}

/// In every order of six observations, the observed version is the actual one, or it is known to be
/// refuted after a request that relied on it was rejected; and the next heartbeat corrects it.
#[test]
fn rejection_and_heartbeat_correct_version_in_any_order() {
    for number in 0..720 {
        let observations = permutation(&OBSERVATIONS, number);
        let mut known = ObservedWeights::default();
        observations
            .iter()
            .for_each(|observation| observe(&mut known, *observation));
        let observed = known.version(MODEL).expect("some version");
        if observed != 1 {
            known.observe_rejection(MODEL, observed, None, 0);
            assert!(known.is_refuted(MODEL, 0), "{observations:?}");
        }
        observe(
            &mut known,
            Observation::Heartbeat {
                sequence: 4,
                version: 1,
            },
        );
        assert_eq!(
            (known.version(MODEL), known.is_refuted(MODEL, 0)),
            (Some(1), false),
            "{observations:?}"
        );
    }
}

#[test]
fn ignores_stale_observations() {
    let mut known = ObservedWeights::default();
    observe(
        &mut known,
        Observation::Heartbeat {
            sequence: 5,
            version: 3,
        },
    );
    observe(
        &mut known,
        Observation::Heartbeat {
            sequence: 4,
            version: 2,
        },
    );
    assert_eq!(known.version(MODEL), Some(3));
    observe(
        &mut known,
        Observation::Done {
            number: 2,
            version: 4,
        },
    );
    observe(
        &mut known,
        Observation::Heartbeat {
            sequence: 6,
            version: 3,
        },
    );
    observe(
        &mut known,
        Observation::Done {
            number: 2,
            version: 4,
        },
    );
    assert_eq!(
        known.version(MODEL),
        Some(3),
        "the order was observed before"
    );
    observe(
        &mut known,
        Observation::Done {
            number: 3,
            version: 2,
        },
    );
    assert_eq!(
        known.version(MODEL),
        Some(3),
        "an order does not lower the version"
    );
    observe(&mut known, Observation::Served(2));
    assert_eq!(
        known.version(MODEL),
        Some(3),
        "nor does a response that may have started earlier"
    );
}

#[test]
fn refutation_expires_or_is_superseded() {
    let refuted = || {
        let mut known = ObservedWeights::default();
        observe(
            &mut known,
            Observation::Heartbeat {
                sequence: 1,
                version: 2,
            },
        );
        observe(&mut known, Observation::Rejected { expected: 2 });
        assert!(known.is_refuted(MODEL, 0));
        known
    };
    assert!(!refuted().is_refuted(MODEL, 2_000));
    for (observation, version) in [
        (
            Observation::Heartbeat {
                sequence: 2,
                version: 2,
            },
            2,
        ),
        (
            Observation::Done {
                number: 1,
                version: 2,
            },
            2,
        ),
        (Observation::Served(3), 3),
    ] {
        let mut known = refuted();
        observe(&mut known, observation);
        assert_eq!(
            (known.version(MODEL), known.is_refuted(MODEL, 0)),
            (Some(version), false),
            "{observation:?}"
        );
    }
    let mut known = refuted();
    observe(&mut known, Observation::Served(2));
    assert!(
        known.is_refuted(MODEL, 0),
        "the response may have started before the rejection"
    );
    known.observe_rejection(MODEL, 2, Some(1), 0);
    assert_eq!(
        (known.version(MODEL), known.is_refuted(MODEL, 0)),
        (Some(1), false),
        "the rejection states the version"
    );
    known.observe_rejection(MODEL, 2, None, 0);
    assert!(
        !known.is_refuted(MODEL, 0),
        "version 2 is already known to be wrong"
    );
}
