//! Tests of `probes`.

use super::*;

const MS: Time = 1_000_000;

fn bounds() -> Bounds {
    Bounds {
        period: 100 * MS,
        good_for: 200 * MS,
        suspects: 3,
        enough: 2,
    }
}

fn token(revision: u64) -> Token {
    Token { era: 1, revision }
}

#[test]
fn each_suspect_is_probed_once_a_period_and_one_probe_at_a_time() {
    let (mut round, bounds) = (Round::default(), bounds());
    let names = ["a", "b", "c", "d"];
    round.suspects(names.into_iter(), &bounds, 0);
    assert_eq!(round.len(), 3, "no more than are held");
    let mut sent = Vec::new();
    while let Some(name) = round.due(0).map(str::to_owned) {
        round.sent(&name);
        sent.push(name);
    }
    assert_eq!(sent, ["a", "b", "c"]);
    let (verdict, cleared) = round
        .ended("a", token(3), true, 7, &bounds, 10 * MS)
        .unwrap();
    assert_eq!((verdict.number, verdict.sound, cleared), (1, true, false));
    assert_eq!(
        (round.due(109 * MS), round.due(110 * MS)),
        (None, Some("a"))
    );
    round.sent("a");
    assert!(
        round
            .ended("a", token(3), true, 7, &bounds, 120 * MS)
            .unwrap()
            .1,
        "sound often enough"
    );
    // One that fails goes on being probed; one that nobody suspects any more is forgotten, its
    // answer too.
    assert!(
        !round
            .ended("b", token(3), false, 7, &bounds, 130 * MS)
            .unwrap()
            .1
    );
    round.suspects(["b"].into_iter(), &bounds, 140 * MS);
    assert_eq!(round.ended("c", token(3), true, 7, &bounds, 150 * MS), None);
    assert_eq!(round.due_at(), Some(230 * MS));
}

#[test]
fn verdicts_weigh_less_with_age_and_those_of_an_owner_of_before_are_refused() {
    let (mut all, bounds) = (Verdicts::default(), bounds());
    let verdict = Verdict {
        token: token(3),
        number: 1,
        sound: false,
        took: 9,
    };
    assert_eq!(Verdict::read(&verdict.json().to_string()), Some(verdict));
    assert!(all.published("a", verdict, 100 * MS));
    // The same one, seen again, is no younger for it.
    assert!(all.published("a", verdict, 150 * MS));
    let weight = |all: &Verdicts, at| all.stands_for("a", &bounds, at).map(|(_, weight)| weight);
    assert_eq!(weight(&all, 200 * MS), Some(0.5));
    assert_eq!(weight(&all, 300 * MS), None);
    all.signed(token(8));
    assert!(
        !all.published(
            "a",
            Verdict {
                number: 2,
                ..verdict
            },
            310 * MS
        ) && all.refused() == 1
    );
    assert_eq!(weight(&all, 310 * MS), None);
    all.retain(|name| name != "a");
    assert_eq!(weight(&all, 100 * MS), None);
}
