//! Pins what seeds draw: a scenario or timeline that failed must be drawn again by later versions.

use simulation::scenarios::{Focus, KINDS, generate};
use simulation::timeline;
use std::fmt::Write;

#[test]
fn seeds_draw_the_same_as_ever() {
    let mut text = String::new();
    for focus in [Focus::All, Focus::Control, Focus::Series, Focus::Long] {
        for seed in [1, 7] {
            let _ = writeln!(
                text,
                "# {focus:?} {seed}\n{}",
                generate(KINDS, focus, "d", seed)
            );
        }
    }
    let timeline = timeline::draw(5, 5, 20_000);
    let _ = writeln!(text, "# timeline of {} events", timeline.len());
    // Of each event its time and what is in it, whatever the names of the types are.
    for event in timeline {
        let debug = format!("{event:?}");
        let numbers: Vec<&str> = debug
            .split(|c: char| !c.is_ascii_digit())
            .filter(|word| !word.is_empty())
            .collect();
        let _ = writeln!(text, "{}", numbers.join(" "));
    }
    assert_eq!(text, include_str!("fixtures/drawn.txt"));
}
