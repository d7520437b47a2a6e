//! What a router knows of a backend's weights, whatever the order in which it hears of them.

use control::directory::{Backend, BackendPhase, Order, OrderPhase};
use router::proxy::known_weights::KnownWeights;

const MODEL: &str = "m";

/// Something that tells of the weights of a backend, which had version 1, then 2, and has 1 again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Word {
    Heartbeat { sequence: u64, version: u64 },
    Done { number: u64, version: u64 },
    Served(u64),
    TurnedAway { expected: u64 },
}

const WORDS: [Word; 6] = [
    Word::Heartbeat {
        sequence: 1,
        version: 1,
    },
    Word::Heartbeat {
        sequence: 2,
        version: 2,
    },
    Word::Heartbeat {
        sequence: 3,
        version: 1,
    },
    Word::Done {
        number: 1,
        version: 2,
    },
    Word::Served(2),
    Word::TurnedAway { expected: 2 },
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

fn hear(known: &mut KnownWeights, word: Word) {
    match word {
        Word::Heartbeat { sequence, version } => {
            known.take_heartbeat(&heartbeat(sequence, version))
        }
        Word::Done { number, version } => {
            let phase = OrderPhase::Done;
            known.take_order(&Order {
                fencing_token: 1,
                number,
                model: MODEL.into(),
                version,
                phase,
            });
        }
        Word::Served(version) => known.take_answer(MODEL, version),
        Word::TurnedAway { expected } => known.was_turned_away(MODEL, expected, None, 0),
    }
}

/// The order numbered so among all of `items`.
fn permutation(items: &[Word], mut number: usize) -> Vec<Word> {
    let mut rest = items.to_vec();
    let mut chosen = Vec::new();
    while !rest.is_empty() {
        chosen.push(rest.remove(number % rest.len()));
        number /= rest.len() + 1;
    }
    chosen
}

/// In every order of six words, what is known is what the backend has, or it is known to be
/// refuted, once a request that relied on it was turned away; and the next heartbeat sets it right.
#[test]
fn one_request_turned_away_and_one_heartbeat_set_right_what_is_known_in_every_order_of_words() {
    for number in 0..720 {
        let words = permutation(&WORDS, number);
        let mut known = KnownWeights::default();
        words.iter().for_each(|word| hear(&mut known, *word));
        let believed = known.version(MODEL).expect("some version");
        if believed != 1 {
            known.was_turned_away(MODEL, believed, None, 0);
            assert!(known.is_refuted(MODEL, 0), "{words:?}");
        }
        hear(
            &mut known,
            Word::Heartbeat {
                sequence: 4,
                version: 1,
            },
        );
        assert_eq!(
            (known.version(MODEL), known.is_refuted(MODEL, 0)),
            (Some(1), false),
            "{words:?}"
        );
    }
}

#[test]
fn late_words_of_lower_numbers_change_nothing() {
    let mut known = KnownWeights::default();
    hear(
        &mut known,
        Word::Heartbeat {
            sequence: 5,
            version: 3,
        },
    );
    hear(
        &mut known,
        Word::Heartbeat {
            sequence: 4,
            version: 2,
        },
    );
    assert_eq!(known.version(MODEL), Some(3));
    hear(
        &mut known,
        Word::Done {
            number: 2,
            version: 4,
        },
    );
    hear(
        &mut known,
        Word::Heartbeat {
            sequence: 6,
            version: 3,
        },
    );
    hear(
        &mut known,
        Word::Done {
            number: 2,
            version: 4,
        },
    );
    assert_eq!(
        known.version(MODEL),
        Some(3),
        "the order is no news any more"
    );
    hear(
        &mut known,
        Word::Done {
            number: 3,
            version: 2,
        },
    );
    assert_eq!(
        known.version(MODEL),
        Some(3),
        "orders bring no older weights"
    );
    hear(&mut known, Word::Served(2));
    assert_eq!(
        known.version(MODEL),
        Some(3),
        "nor does an answer that began before"
    );
}

#[test]
fn a_refuted_version_counts_again_after_a_while_or_once_it_is_told_again() {
    let refuted = || {
        let mut known = KnownWeights::default();
        hear(
            &mut known,
            Word::Heartbeat {
                sequence: 1,
                version: 2,
            },
        );
        hear(&mut known, Word::TurnedAway { expected: 2 });
        assert!(known.is_refuted(MODEL, 0));
        known
    };
    assert!(!refuted().is_refuted(MODEL, 2_000));
    for (word, version) in [
        (
            Word::Heartbeat {
                sequence: 2,
                version: 2,
            },
            2,
        ),
        (
            Word::Done {
                number: 1,
                version: 2,
            },
            2,
        ),
        (Word::Served(3), 3),
    ] {
        let mut known = refuted();
        hear(&mut known, word);
        assert_eq!(
            (known.version(MODEL), known.is_refuted(MODEL, 0)),
            (Some(version), false),
            "{word:?}"
        );
    }
    let mut known = refuted();
    hear(&mut known, Word::Served(2));
    assert!(
        known.is_refuted(MODEL, 0),
        "an answer may have begun before"
    );
    known.was_turned_away(MODEL, 2, Some(1), 0);
    assert_eq!(
        (known.version(MODEL), known.is_refuted(MODEL, 0)),
        (Some(1), false),
        "the answer told it"
    );
    known.was_turned_away(MODEL, 2, None, 0);
    assert!(
        !known.is_refuted(MODEL, 0),
        "that it has no version 2 is known"
    );
}
