//! Tests of `bearing`.

use super::*;

/// So many queries are taken, and some of them end easily, and some short.
fn play(bearing: &mut Bearing, at: Time, taken: u32, easily: u32, short: u32) -> f64 {
    (0..taken).for_each(|_| bearing.took(at));
    (0..easily).for_each(|_| bearing.ended(at, Came::Easily, at + 10));
    (0..short).for_each(|_| bearing.ended(at, Came::Short, at + 10));
    (bearing.share() * 1000.0).round() / 1000.0
}

#[test]
fn the_share_follows_what_is_borne_by_the_first_queries_taken_under_it() {
    let mut bearing = Bearing::new(0.2, 500, 100);
    assert_eq!(
        play(&mut bearing, 99, 0, 30, 0),
        0.2,
        "taken before this share was"
    );
    assert_eq!(
        play(&mut bearing, 100, 8, 7, 0),
        0.2,
        "one is still out, and may be late"
    );
    assert_eq!(
        play(&mut bearing, 101, 40, 40, 0),
        0.2,
        "others that were quicker say nothing of it"
    );
    bearing.ended(100, Came::Easily, 120);
    assert_eq!(bearing.share(), 0.4);
    assert_eq!(
        play(&mut bearing, 130, 8, 7, 1),
        0.4,
        "neither borne nor too much"
    );
    assert_eq!(
        play(&mut bearing, 150, 4, 1, 2),
        0.3,
        "too much is known before all have ended"
    );
    play(&mut bearing, 170, 8, 7, 0);
    bearing.ended(170, Came::Whole, 180);
    assert!(
        bearing.share() < 0.31,
        "one that only just came is a queue that begins"
    );
    // Clients that leave keep no verdict from being drawn.
    assert_eq!(play(&mut bearing, 190, 8, 3, 0), 0.3);
    assert_eq!(bearing.due(), Some(690));
    bearing.judge(690);
    assert_eq!(bearing.due(), None);
    for at in 0..3 {
        assert!(!bearing.is_proved());
        play(&mut bearing, 700 + 20 * at, 8, 8, 0);
    }
    assert!(bearing.is_proved() && bearing.share() == 1.0);
    for at in 0..99 {
        play(&mut bearing, 1000 + 20 * at, 8, 0, 8);
    }
    assert_eq!(
        bearing.share(),
        0.125,
        "a few are always taken: else nothing would be seen to be borne"
    );
    assert_eq!(Bearing::new(0.0, 0, 0).share(), 0.125);
    assert_eq!(
        [0.5, 0.6].map(|spent| Came::after(spent, true)),
        [Came::Easily, Came::Whole]
    );
}
