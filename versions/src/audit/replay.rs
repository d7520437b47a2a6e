//! Replays one log and checks every served query against the confirmations before it.

use super::{Finding, OperatorCall, Report, Span, to_ms};
use crate::audit_log::{Corruption, Entry, Record};
use crate::status::Status;
use crate::{Time, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Audits the entries of one log. `active` has every version that the store remembers as active,
/// now or formerly.
pub fn replay(
    entries: &[Entry],
    corruption: Option<Corruption>,
    active: &BTreeSet<Version>,
) -> Report {
    let mut replay = Replay {
        active,
        incarnation: Incarnation::default(),
        running: None,
        report: Report::default(),
    };
    for entry in entries {
        replay.apply(entry);
    }
    replay.finish(corruption)
}

/// The state of the current incarnation according to the log.
#[derive(Default)]
struct Incarnation {
    id: u64,
    wall_offset_ms: i64,
    validity: Time,
    /// When the last query that confirmed each version was sent.
    confirmed_at: BTreeMap<Version, Time>,
    /// The versions under which the incarnation is autonomous.
    autonomous: BTreeSet<Version>,
    /// The latest version that was confirmed.
    latest_confirmed: Version,
    running: Version,
    /// Whether the log has recorded that the incarnation serves autonomously.
    declared_autonomous: bool,
}

/// The first and the last entry of an incarnation that has not stopped.
struct Running {
    first: Time,
    last: Time,
}

struct Replay<'a> {
    active: &'a BTreeSet<Version>,
    incarnation: Incarnation,
    running: Option<Running>,
    report: Report,
}

impl Replay<'_> {
    fn apply(&mut self, Entry { at, record }: &Entry) {
        let belongs_to_incarnation = !matches!(
            record,
            Record::Started { .. } | Record::SegmentStarted { .. }
        );
        if let Some(running) = self.running.as_mut().filter(|_| belongs_to_incarnation) {
            running.last = running.last.max(*at);
        }
        match record {
            Record::SegmentStarted { .. } => {}
            Record::Started {
                incarnation,
                wall_ms,
                validity,
                ..
            } => self.started(*at, *incarnation, *wall_ms, *validity),
            Record::Confirmed {
                queried_at,
                version,
            } => self.confirmed(*queried_at, *version),
            Record::Switched {
                version,
                autonomous,
            } => self.switched(*version, *autonomous),
            Record::StatusChanged { status } => {
                self.incarnation.declared_autonomous |= *status == Status::Autonomous;
            }
            Record::Served {
                version,
                class,
                accepted,
                count,
                ..
            } => {
                self.check_validity(*version, class, accepted.1, *count);
                self.extend_spans(*version, *accepted, *count);
            }
            Record::OperatorCall { version, call } => self.report.calls.push(OperatorCall {
                wall_ms: self.incarnation.wall_offset_ms + to_ms(*at),
                version: *version,
                call: call.clone(),
            }),
            Record::EntriesLost { count } => {
                self.report.findings.push(Finding::EntriesLost(*count));
            }
            Record::Stopped => self.running = None,
        }
    }

    fn started(&mut self, at: Time, id: u64, wall_ms: u64, validity: Time) {
        let running = Running {
            first: at,
            last: at,
        };
        if let Some(previous) = self.running.replace(running) {
            self.report.findings.push(Finding::EndMissing {
                incarnation: self.incarnation.id,
                after: previous.last.saturating_sub(previous.first),
            });
        }
        self.incarnation = Incarnation {
            id,
            wall_offset_ms: wall_ms as i64 - to_ms(at),
            validity,
            ..Incarnation::default()
        };
    }

    fn confirmed(&mut self, queried_at: Time, version: Version) {
        self.incarnation.confirm(version, queried_at);
        // The store forgets old versions, so one before the oldest it has may have been active.
        let is_remembered = self.active.first().is_none_or(|oldest| version > *oldest);
        if version != 0 && is_remembered && !self.active.contains(&version) {
            self.report.findings.push(Finding::NeverActive(version));
        }
        let latest = self.incarnation.latest_confirmed;
        if version < latest {
            self.report.findings.push(Finding::Regressed {
                from: latest,
                to: version,
            });
        }
        self.incarnation.latest_confirmed = latest.max(version);
    }

    fn switched(&mut self, version: Version, autonomous: bool) {
        let incarnation = &mut self.incarnation;
        if autonomous {
            incarnation.autonomous.insert(version);
        } else {
            incarnation.autonomous.remove(&version);
        }
        // The new version became active after the last confirmation of the former one, so that
        // confirmation is valid for the new version as well.
        let former = std::mem::replace(&mut incarnation.running, version);
        if let Some(confirmed_at) = incarnation.confirmed_at.get(&former).copied() {
            incarnation.confirm(version, confirmed_at);
        }
    }

    fn check_validity(&mut self, version: Version, class: &str, last_accepted: Time, count: u64) {
        let valid_until = self.incarnation.valid_until(version);
        if last_accepted < valid_until {
            return;
        }
        let overrun = last_accepted - valid_until;
        self.report
            .findings
            .push(if self.incarnation.may_serve_autonomously(version) {
                Finding::ServedAutonomously {
                    version,
                    overrun,
                    count,
                }
            } else {
                Finding::ServedExpired {
                    version,
                    class: class.to_owned(),
                    overrun,
                    count,
                }
            });
    }

    fn extend_spans(&mut self, version: Version, accepted: (Time, Time), count: u64) {
        let incarnation = self.incarnation.id;
        let last = self.report.spans.last_mut();
        match last.filter(|span| span.incarnation == incarnation && span.version == version) {
            Some(span) => {
                span.accepted.0 = span.accepted.0.min(accepted.0);
                span.accepted.1 = span.accepted.1.max(accepted.1);
                span.count += count;
            }
            None => self.report.spans.push(Span {
                incarnation,
                wall_offset_ms: self.incarnation.wall_offset_ms,
                version,
                accepted,
                count,
            }),
        }
    }

    fn finish(self, corruption: Option<Corruption>) -> Report {
        let mut report = self.report;
        report.running = self.running.map(|running| {
            let duration = running.last.saturating_sub(running.first);
            (self.incarnation.id, duration)
        });
        report.findings.extend(corruption.map(Finding::Corrupt));
        report
    }
}

impl Incarnation {
    fn confirm(&mut self, version: Version, queried_at: Time) {
        let confirmed_at = self.confirmed_at.entry(version).or_insert(queried_at);
        *confirmed_at = (*confirmed_at).max(queried_at);
    }

    /// When the validity of a version ends; 0 if the version was never confirmed.
    fn valid_until(&self, version: Version) -> Time {
        self.confirmed_at
            .get(&version)
            .map_or(0, |confirmed_at| confirmed_at.saturating_add(self.validity))
    }

    /// Whether queries after the validity count as autonomous service, which the gatherer must have
    /// recorded before.
    fn may_serve_autonomously(&self, version: Version) -> bool {
        self.declared_autonomous && self.autonomous.contains(&version)
    }
}
