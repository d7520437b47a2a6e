//! Rules on processes: each shuts down successfully and in time on SIGTERM.

use super::Violation;
use crate::clock::Millis;
use crate::history::{Exit, History, ProcessEvent, RouterEvent};
use crate::settings::GRACE_PERIOD_MS;
use std::collections::BTreeMap;

/// Exits before this running time are not checked: the process may not have installed its signal
/// handlers yet.
const STARTUP_MS: Millis = 60;

/// Processes exit only on a signal, and on SIGTERM with success within the grace period.
pub(super) fn failed_exits(history: &History) -> Vec<Violation> {
    let mut last_signals: BTreeMap<usize, Option<RouterEvent>> = BTreeMap::new();
    let mut uptimes: BTreeMap<usize, Uptime> = BTreeMap::new();
    let mut found = Vec::new();
    for event in &history.router_events {
        let last = last_signals.entry(event.router).or_default();
        let uptime = uptimes.entry(event.router).or_default();
        let mut report = |details: String| {
            found.push(Violation {
                rule: "FAULT",
                at: event.at,
                details,
            })
        };
        match event.event {
            ProcessEvent::Started => {
                *last = None;
                *uptime = Uptime {
                    started: Some(event.at),
                    ..Uptime::default()
                };
            }
            ProcessEvent::Terminated => *last = last.or(Some(*event)),
            ProcessEvent::Killed => {
                let grace_is_over = last.is_some_and(|last| {
                    last.event == ProcessEvent::Terminated && event.at >= last.at + GRACE_PERIOD_MS
                });
                if grace_is_over && !uptime.was_suspended() {
                    report(format!(
                        "router {} was still running at the end of its grace period",
                        event.router
                    ));
                }
                *last = Some(*event);
            }
            ProcessEvent::Suspended => {
                uptime.suspended_since = uptime.suspended_since.or(Some(event.at))
            }
            ProcessEvent::Resumed => uptime.resume(event.at),
            ProcessEvent::Exited(_)
                if uptime
                    .running_ms(event.at)
                    .is_some_and(|ran| ran < STARTUP_MS) => {}
            ProcessEvent::Exited(exit) => match last {
                None => report(format!(
                    "router {} exited without a signal: {exit:?}",
                    event.router
                )),
                Some(last) if last.event == ProcessEvent::Terminated && exit != Exit::Success => {
                    let ran = uptime.running_ms(event.at).unwrap_or(0);
                    report(format!(
                        "router {} failed on SIGTERM after a running time of {ran} ms: {exit:?}",
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

/// The running time of a process without the time in which it was suspended: a process that is
/// suspended right after its start cannot install signal handlers until it is resumed.
#[derive(Debug, Clone, Copy, Default)]
struct Uptime {
    started: Option<Millis>,
    suspended_since: Option<Millis>,
    suspended_ms: Millis,
}

impl Uptime {
    fn was_suspended(&self) -> bool {
        self.suspended_since.is_some() || self.suspended_ms > 0
    }

    fn resume(&mut self, now: Millis) {
        self.suspended_ms += self.suspended_since.take().map_or(0, |since| now - since);
    }

    /// The running time until now; `None` if the start is not in the history.
    fn running_ms(&self, now: Millis) -> Option<Millis> {
        let suspended_ms = self.suspended_ms + self.suspended_since.map_or(0, |since| now - since);
        self.started
            .map(|started| (now - started).saturating_sub(suspended_ms))
    }
}
