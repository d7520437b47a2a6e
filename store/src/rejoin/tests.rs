//! Tests of `rejoin`.

use super::*;

fn told(life: u64, what: What, generation: u64, newer: bool, last: Position) -> Told {
    Told {
        life,
        what,
        generation,
        newer,
        last,
    }
}

fn position(index: u64, term: u64) -> Position {
    Position { index, term }
}

fn member(standing: Standing) -> Rejoin {
    Rejoin::new(standing, 5, true, 7, 0, BTreeMap::new())
}

#[test]
fn a_member_without_a_past_takes_a_generation_from_more_than_half_and_a_bar_from_as_many() {
    let mut lost = member(Standing::Empty);
    let end = position(4, 2);
    assert_eq!(
        lost.told(2, 9, 3, told(7, What::Sound, 0, false, end)),
        Verdict::Waits
    );
    // One that has only a file, one that lost its own, and one of another store do not count;
    // nor does one twice.
    for (from, store, what) in [
        (2, 9, What::Sound),
        (3, 9, What::Whole),
        (4, 9, What::Lost),
        (5, 8, What::Sound),
    ] {
        assert_eq!(
            lost.told(from, store, 3, told(7, what, 4, false, end)),
            Verdict::Waits
        );
    }
    lost.told(3, 9, 3, told(7, What::Sound, 4, false, end));
    assert_eq!(
        lost.told(4, 9, 3, told(7, What::Sound, 1, false, end)),
        Verdict::Claims(5)
    );
    assert_eq!(
        (lost.store(), lost.ask(1, end).unwrap().past),
        (0, Past::Claimed)
    );
    // Answers from before the generation was taken, or to another life, are none.
    lost.told(2, 9, 3, told(7, What::Sound, 4, false, end));
    lost.told(3, 9, 9, told(8, What::Sound, 5, false, end));
    lost.told(3, 9, 5, told(7, What::Sound, 5, false, end));
    lost.told(4, 9, 4, told(7, What::Sound, 5, false, position(2, 3)));
    let bar = lost.told(2, 9, 3, told(7, What::Sound, 5, false, end));
    assert_eq!(
        bar,
        Verdict::CatchesUp(5, position(2, 3)),
        "the highest term, and the furthest end by term"
    );
    // Somebody else had taken that generation.
    assert_eq!(
        lost.told(5, 9, 3, told(7, What::Sound, 5, true, end)),
        Verdict::Waits
    );
    assert_eq!(lost.ask(1, end).unwrap().past, Past::None);
}

#[test]
fn a_store_begins_only_where_all_say_that_there_is_none() {
    let mut first = member(Standing::Empty);
    for from in 2..5 {
        assert_eq!(
            first.told(
                from,
                0,
                0,
                told(7, What::Empty, 0, false, Position::default())
            ),
            Verdict::Waits
        );
    }
    // One that begins a store itself, as an operator has it do, is no reason to begin another.
    let mut second = Rejoin::new(Standing::Founding, 5, false, 8, 0, BTreeMap::new());
    let ask = first.ask(1, Position::default()).unwrap();
    let (answer, _) = second.answer(1, &ask, 0, false, Position::default());
    assert_eq!(first.told(5, 3, 0, answer), Verdict::Waits);
    // One that has lost its file knows that there was a store.
    assert_eq!(
        first.told(5, 0, 0, told(7, What::Lost, 0, false, Position::default())),
        Verdict::Waits
    );
    assert_eq!(
        first.told(5, 0, 0, told(7, What::Empty, 0, false, Position::default())),
        Verdict::Founds
    );
}

#[test]
fn an_old_file_is_told_from_the_newest_by_its_starts_its_generation_its_term_and_its_log() {
    let mut sound = member(Standing::Sound);
    let ask = |life, generation, starts, last| Ask {
        life,
        past: Past::Whole,
        generation,
        starts,
        last,
    };
    let end = position(9, 3);
    assert!(
        sound.answer(2, &ask(1, 0, 5, end), 3, true, end).1,
        "a new life is noted"
    );
    let (again, noted) = sound.answer(2, &ask(1, 0, 5, end), 3, true, end);
    assert!(!again.newer && !noted, "the same life asks again");
    sound.heard(2, 5, 4, Some(position(12, 4)));
    let further = position(12, 4);
    for (case, ask, term, newer) in [
        ("the next start", ask(2, 0, 6, further), 4, false),
        (
            "as many starts by another life",
            ask(3, 0, 6, further),
            4,
            true,
        ),
        ("fewer starts", ask(3, 0, 3, further), 4, true),
        ("a lower term", ask(3, 0, 7, further), 3, true),
        (
            "a log that ends before",
            ask(3, 0, 7, position(20, 3)),
            4,
            true,
        ),
        ("a later generation", ask(4, 1, 1, further), 4, false),
        ("an earlier one", ask(5, 0, 9, further), 4, true),
    ] {
        assert_eq!(
            sound.answer(2, &ask, term, true, end).0.newer,
            newer,
            "{case}"
        );
    }
    assert!(sound.is_over(2, 0) && !sound.is_over(2, 1));
    assert!(sound.learn(2, 3) && !sound.learn(2, 3) && sound.is_over(2, 2));
    // One that has lost its own file remembers nothing for anybody.
    let mut lost = member(Standing::Lost);
    let claim = Ask {
        past: Past::Claimed,
        ..ask(6, 4, 1, end)
    };
    assert!(!lost.answer(3, &claim, 3, true, end).1);
    assert!(sound.answer(3, &claim, 3, true, end).1 && sound.is_over(3, 3));
}
