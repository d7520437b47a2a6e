//! The state that decisions rest on: servers, queries, their parts, and attempts in flight.

use super::parameters::DELAY_DECAY;
use crate::calls::Calls;
use crate::interface::{PartId, QueryId, ServerId, Time};
use std::collections::VecDeque;

/// What a timer is for. The number is the query's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A part may need a hedged request.
    Hedge(PartId),
    /// The first step of a query may be answered from what is in.
    PartialAnswer(u64),
    /// The time of a query is up.
    Deadline(u64),
    /// The endpoint list is to be subscribed to again.
    Watch,
    /// A turn is wanted, for no more than what every turn does.
    Wake,
}

/// An observed delay in nanoseconds, and when it was observed.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct RecentDelay {
    pub(super) delay: f64,
    pub(super) at: Time,
}

impl RecentDelay {
    /// The delay less what has decayed since.
    pub(super) fn decayed(self, now: Time) -> f64 {
        (self.delay - DELAY_DECAY * (now - self.at) as f64).max(0.0)
    }

    /// Adds an observation. What has decayed completely is no evidence: the next one counts alone.
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

/// Connections that broke when used after a time without use.
#[derive(Debug, Default)]
pub(super) struct IdleResets {
    /// The shortest idle time that broke one; 0 before the first.
    pub(super) shortest: Time,
    /// When one last broke.
    pub(super) last: Time,
}

/// Discovery calls that failed since an endpoint list came.
#[derive(Debug, Default)]
pub(super) struct DiscoveryFailures {
    pub(super) unanswered: u32,
    /// Refused ones, in a row.
    pub(super) refused: u32,
}

/// The rate of answers of each warmed-up server, in answers a nanosecond, smoothed over the slow
/// start, and when the last came.
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
    /// Excluded by an operator, whatever discovery says.
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
    /// What the last probe said: 1 is an answer at once, more is slower.
    pub(super) probed_load: f64,
    /// When its connection last carried something; 0 where it has none.
    pub(super) last_used: Time,
    /// For each class (1 is like its peers), and when that was last updated.
    pub(super) slowness: Vec<(f64, Time)>,
    /// When its slow start began; none where it has been up since before the first list.
    pub(super) slow_start_from: Option<Time>,
    /// Where in the cycle this aggregator's turn begins to send a warming server a part, from 0
    /// to 1. Random, so that aggregators do not all send at once.
    pub(super) slow_start_turn: f64,
    /// When attempts were last sent to it, the latest first.
    pub(super) recent_sends: VecDeque<Time>,
    pub(super) last_answer: Time,
    /// Smoothed error rate.
    pub(super) errors: f64,
    pub(super) last_error: Time,
    /// Outcomes recorded, up to a bound.
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
    /// How long its connection had been idle.
    pub(super) idle: Time,
    /// Another attempt has answered the part: this one is evidence on its server alone.
    pub(super) superseded: bool,
}

/// The request to one shard that a query consists of.
#[derive(Debug, Default)]
pub(super) struct Part {
    pub(super) number: u64,
    pub(super) shard: u32,
    pub(super) weight: f64,
    pub(super) first_sent: Option<Time>,
    pub(super) attempts: u32,
    pub(super) in_flight: Vec<u32>,
    pub(super) attempted: Vec<ServerId>,
    /// The server whose idle connection broke; the part is sent there once more.
    pub(super) resend_to: Option<ServerId>,
    pub(super) done: bool,
    /// Waits to be sent.
    pub(super) pending: bool,
    /// When the first attempt started that may have run.
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
    /// The time that its client gave a first request; the latency target for a retry.
    pub(super) time_budget: Time,
    /// Answers after this are worth nothing.
    pub(super) useful_until: Time,
    pub(super) started: bool,
    /// The part sent first and alone while servers crash.
    pub(super) scout: Option<PartId>,
    /// Until when it waits for answers to probes; 0 where none were sent.
    pub(super) probe_until: Time,
}

/// A part that waits to be sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPart {
    pub(super) id: PartId,
    pub(super) shard: u32,
    pub(super) weight: f64,
}
