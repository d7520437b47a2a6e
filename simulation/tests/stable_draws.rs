//! Pins the output of seeds: later versions must be able to repeat a failed scenario or timeline.

use simulation::scenarios::{Focus, KINDS, generate};
use simulation::timeline;
use std::fmt::Write;

#[test]
fn seeds_generate_pinned_output() {
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
    // Only the numbers of each event, so that types and variants can be renamed.
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
