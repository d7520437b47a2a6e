//! Rules on processes: they shut down gracefully and in time when they are terminated.

use super::Violation;
use crate::clock::Millis;
use crate::history::{Exit, History, ProcessEvent, RouterEvent};
use crate::settings::GRACE_MS;
use std::collections::BTreeMap;

/// A process that has run for less may not have installed its signal handlers yet.
const START_MS: Millis = 60;

/// Processes exit when they are terminated, with success and in time, and not by themselves.
pub(super) fn processes(history: &History) -> Vec<Violation> {
    let mut last_signals: BTreeMap<usize, Option<RouterEvent>> = BTreeMap::new();
    let mut uptimes: BTreeMap<usize, Uptime> = BTreeMap::new();
    let mut found = Vec::new();
    for event in &history.router_events {
        let last = last_signals.entry(event.router).or_default();
        let life = uptimes.entry(event.router).or_default();
        let mut complain = |what: String| {
            found.push(Violation {
                rule: "FAULT",
                at: event.at,
                what,
            })
        };
        match event.event {
            ProcessEvent::Started => {
                *last = None;
                *life = Uptime {
                    started: Some(event.at),
                    ..Uptime::default()
                };
            }
            ProcessEvent::Terminated => *last = last.or(Some(*event)),
            ProcessEvent::Killed => {
                let grace_is_over = last.is_some_and(|last| {
                    last.event == ProcessEvent::Terminated && event.at >= last.at + GRACE_MS
                });
                if grace_is_over && !life.was_suspended() {
                    complain(format!(
                        "router {} was still there at the end of its grace period",
                        event.router
                    ));
                }
                *last = Some(*event);
            }
            ProcessEvent::Suspended => life.stopped = life.stopped.or(Some(event.at)),
            ProcessEvent::Resumed => life.resume(event.at),
            ProcessEvent::Exited(_) if life.ran(event.at).is_some_and(|ran| ran < START_MS) => {}
            ProcessEvent::Exited(exit) => match last {
                None => complain(format!("router {} ended by itself: {exit:?}", event.router)),
                Some(last) if last.event == ProcessEvent::Terminated && exit != Exit::Success => {
                    let ran = life.ran(event.at).unwrap_or(0);
                    complain(format!(
                        "router {} was told to end, and failed after it had run for {ran} ms: {exit:?}",
                        event.router
                    ));
                }
                Some(_) => {}
            },
            ProcessEvent::Reloaded => {}
        }
    }
    found
}

/// How long a process has run. One that was suspended right after its start handles no signals
/// until it is resumed.
#[derive(Debug, Clone, Copy, Default)]
struct Uptime {
    started: Option<Millis>,
    stopped: Option<Millis>,
    still: Millis,
}

impl Uptime {
    fn was_suspended(&self) -> bool {
        self.stopped.is_some() || self.still > 0
    }

    fn resume(&mut self, now: Millis) {
        self.still += self.stopped.take().map_or(0, |stopped| now - stopped);
    }

    /// How long it has run; `None` if its start is not in the history.
    fn ran(&self, now: Millis) -> Option<Millis> {
        let still = self.still + self.stopped.map_or(0, |stopped| now - stopped);
        self.started
            .map(|started| (now - started).saturating_sub(still))
    }
}
