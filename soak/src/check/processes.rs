//! What concerns processes: they end when they are told to, in order and in time.

use super::Violation;
use crate::clock::Millis;
use crate::history::{Blow, Ending, History, Struck};
use crate::settings::GRACE_MS;
use std::collections::BTreeMap;

/// A process that has run for less may not have taken its signals yet.
const START_MS: Millis = 60;

/// Processes end when they are told to, in order and in time, and not by themselves.
pub(super) fn processes(history: &History) -> Vec<Violation> {
    let mut told: BTreeMap<usize, Option<Struck>> = BTreeMap::new();
    let mut lives: BTreeMap<usize, Life> = BTreeMap::new();
    let mut found = Vec::new();
    for struck in &history.struck {
        let last = told.entry(struck.router).or_default();
        let life = lives.entry(struck.router).or_default();
        let mut complain = |what: String| {
            found.push(Violation {
                rule: "FAULT",
                at: struck.at,
                what,
            })
        };
        match struck.blow {
            Blow::Started => {
                *last = None;
                *life = Life {
                    started: Some(struck.at),
                    ..Life::default()
                };
            }
            Blow::Terminated => *last = last.or(Some(*struck)),
            Blow::Killed => {
                let grace_is_over = last.is_some_and(|last| {
                    last.blow == Blow::Terminated && struck.at >= last.at + GRACE_MS
                });
                if grace_is_over && !life.stood_still() {
                    complain(format!(
                        "router {} was still there at the end of its grace period",
                        struck.router
                    ));
                }
                *last = Some(*struck);
            }
            Blow::Stopped => life.stopped = life.stopped.or(Some(struck.at)),
            Blow::Continued => life.go_on(struck.at),
            Blow::Ended(_) if life.ran(struck.at).is_some_and(|ran| ran < START_MS) => {}
            Blow::Ended(ending) => match last {
                None => complain(format!(
                    "router {} ended by itself: {ending:?}",
                    struck.router
                )),
                Some(last) if last.blow == Blow::Terminated && ending != Ending::InOrder => {
                    let ran = life.ran(struck.at).unwrap_or(0);
                    complain(format!(
                        "router {} was told to end, and failed after it had run for {ran} ms: {ending:?}",
                        struck.router
                    ));
                }
                Some(_) => {}
            },
            Blow::HungUp => {}
        }
    }
    found
}

/// How long a process has run. One that was stopped right after its start takes no signals until it
/// goes on.
#[derive(Debug, Clone, Copy, Default)]
struct Life {
    started: Option<Millis>,
    stopped: Option<Millis>,
    still: Millis,
}

impl Life {
    fn stood_still(&self) -> bool {
        self.stopped.is_some() || self.still > 0
    }

    fn go_on(&mut self, now: Millis) {
        self.still += self.stopped.take().map_or(0, |stopped| now - stopped);
    }

    /// How long it has run; none where its start was not seen.
    fn ran(&self, now: Millis) -> Option<Millis> {
        let still = self.still + self.stopped.map_or(0, |stopped| now - stopped);
        self.started
            .map(|started| (now - started).saturating_sub(still))
    }
}
