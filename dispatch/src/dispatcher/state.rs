//! The state of an aggregator: servers, queries, their parts, and attempts in flight.

use super::parameters::DELAY_DECAY;
use crate::calls::Calls;
use crate::interface::{PartId, QueryId, ServerId, Time};
use std::collections::VecDeque;

/// The purpose of a timer. `u64` values are query numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A part may need a hedged request.
    Hedge(PartId),
    /// The first step of a query may be answered from the parts received so far.
    PartialAnswer(u64),
    /// The deadline of a query.
    Deadline(u64),
    /// Time to subscribe to the endpoint list again.
    Watch,
    /// Runs a turn, without an action of its own.
    Wake,
}

/// An observed delay in nanoseconds, and when it was observed.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct RecentDelay {
    pub(super) delay: f64,
    pub(super) at: Time,
}

impl RecentDelay {
    /// The delay, decayed since it was observed.
    pub(super) fn decayed(self, now: Time) -> f64 {
        (self.delay - DELAY_DECAY * (now - self.at) as f64).max(0.0)
    }

    /// Adds an observation. A delay that has decayed completely is replaced, not averaged.
    pub(super) fn observe(&mut self, delay: f64, is_answer: bool, now: Time) {
        let known = self.decayed(now);
        if is_answer || delay > known {
            let mean = if known > 0.0 {
                0.5 * (known + delay)
            } else {
                delay
            };
            *self = RecentDelay {
                delay: mean,
                at: now,
            };
        }
    }
}

/// Connections that were reset when used after an idle time.
#[derive(Debug, Default)]
pub(super) struct IdleResets {
    /// The shortest idle time after which one was reset; 0 before the first.
    pub(super) shortest: Time,
    /// When one was last reset.
    pub(super) last: Time,
}

/// Discovery calls that failed since the last endpoint list was received.
#[derive(Debug, Default)]
pub(super) struct DiscoveryFailures {
    pub(super) unanswered: u32,
    /// Number of consecutive refused calls.
    pub(super) refused: u32,
}

/// The rate of answers per warmed-up server, in answers per nanosecond, smoothed over the duration
/// of the slow start, and the time of the last answer.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct AnswerRate {
    pub(super) rate: f64,
    pub(super) last: Time,
}

#[derive(Debug, Default)]
pub(super) struct Server {
    pub(super) cell: u32,
    pub(super) ready: bool,
    pub(super) removed: bool,
    /// Excluded by an operator, regardless of its status in the endpoint list.
    pub(super) excluded: bool,
    pub(super) calls: Calls,
    /// The concurrency limit, in calls.
    pub(super) limit: f64,
    /// Smoothed delay, as a ratio of the latency target.
    pub(super) delay: f64,
    pub(super) limit_lowered_at: Time,
    pub(super) probe_sent_at: Time,
    pub(super) recent_delay: RecentDelay,
    pub(super) probe_answered_at: Time,
    /// Load by the last probe: 1 for an immediate answer, higher for a slower one or a failure.
    pub(super) probed_load: f64,
    /// When its connection was last used; 0 if it has none.
    pub(super) last_used: Time,
    /// Slowness by class (1 is like its peers), and when it was last updated.
    pub(super) slowness: Vec<(f64, Time)>,
    /// When its slow start began; `None` if it started before the first endpoint list.
    pub(super) slow_start_from: Option<Time>,
    /// Phase of this aggregator's cycle of sending to the warming server, from 0 to 1. Random, so
    /// that aggregators do not all send at the same time.
    pub(super) slow_start_phase: f64,
    /// When attempts were last sent to it, most recent first.
    pub(super) recent_sends: VecDeque<Time>,
    pub(super) last_answer: Time,
    /// Smoothed error rate.
    pub(super) errors: f64,
    pub(super) last_error: Time,
    /// Number of recorded outcomes, up to a maximum.
    pub(super) outcomes: f64,
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) at: Time,
    pub(super) call: u64,
    pub(super) class: usize,
    pub(super) shard: u32,
    /// How long its connection was idle before.
    pub(super) idle: Time,
    /// Whether another attempt has answered the part.
    pub(super) superseded: bool,
}

/// A query's request to one shard.
#[derive(Debug, Default)]
pub(super) struct Part {
    pub(super) number: u64,
    pub(super) shard: u32,
    pub(super) weight: f64,
    pub(super) first_sent: Option<Time>,
    pub(super) attempts: u32,
    pub(super) in_flight: Vec<u32>,
    pub(super) attempted: Vec<ServerId>,
    /// The server whose idle connection was reset; the part is sent there again.
    pub(super) resend_to: Option<ServerId>,
    pub(super) done: bool,
    /// Whether it waits to be sent.
    pub(super) pending: bool,
    /// Send time of the earliest attempt that may have run.
    pub(super) may_have_run: Option<Time>,
}

#[derive(Debug, Default)]
pub(super) struct Query {
    pub(super) id: QueryId,
    pub(super) class: usize,
    pub(super) parts: Vec<PartId>,
    pub(super) expected: usize,
    pub(super) done: usize,
    pub(super) weight: f64,
    pub(super) in_second_step: bool,
    pub(super) first_step_complete: bool,
    /// The time left at admission of a first request; the latency target for a retry.
    pub(super) time_budget: Time,
    /// Deadline after which an answer has no value.
    pub(super) useful_until: Time,
    pub(super) started: bool,
    /// The part that is sent ahead of the others to find out whether the query crashes servers.
    pub(super) canary: Option<PartId>,
    /// Until when it waits for answers to probes; 0 if none were sent.
    pub(super) probe_until: Time,
}

/// A part that waits to be sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPart {
    pub(super) id: PartId,
    pub(super) shard: u32,
    pub(super) weight: f64,
}
