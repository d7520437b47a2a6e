//! Admission control: rejects requests early when their service is overloaded.
//!
//! A router estimates the wait of a request at the service by Little's law: the outstanding work,
//! whose responses have not begun, divided by the recent rate at which responses begin. The
//! estimate rises with a surge as soon as more work is sent than begins, before any response is
//! late.
//!
//! Short bursts are absorbed by the queue. Requests are rejected only during a standing queue, that
//! is while even the shortest recent wait is long, as in CoDel (Nichols and Jacobson, "Controlling
//! Queue Delay", 2012). All routers observe the same backends, so they converge without
//! coordination.

use crate::Millis;
use std::collections::{HashMap, VecDeque};

/// Window over which the rate is measured.
const RATE_WINDOW: Millis = 1_000;
/// Time constant with which the highest rate decays. After an idle period the measured rate is low
/// because little was sent, not because the service became slower.
const RATE_DECAY_TIME: Millis = 4_000;
/// With fewer requests in flight the wait is assumed to be zero.
const MIN_QUEUE: usize = 4;
/// During a standing queue a request is rejected if its wait would exceed this ratio of its latency
/// target. The rest of the target is left for the work itself and for errors of the estimate.
const MAX_WAIT_RATIO: f64 = 0.6;
/// Upper bound of the estimated wait, as a multiple of the waits observed recently. The measured
/// rate underestimates the service's capacity if the router sent little.
const MAX_WAIT_GROWTH: f64 = 2.0;
/// A queue is standing while the wait does not fall below this ratio of the latency target.
const STANDING_RATIO: f64 = MAX_WAIT_RATIO / 3.0;
/// A queue must have been standing for the latency target divided by this before requests are
/// rejected. Clients of rejected requests should be informed within their latency target.
const STANDING_DIVISOR: Millis = 4;
/// Window over which estimated waits are kept.
const WAIT_WINDOW: Millis = 1_000;

/// Identifies a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct InFlightId(u64);

/// A request whose response has not begun.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    sent_at: Millis,
    work: u64,
}

/// A sample with its time.
#[derive(Debug, Clone, Copy)]
struct Sample<T> {
    at: Millis,
    value: T,
}

/// Decides which requests for a service one router rejects.
///
/// Work is measured in any unit that is the same for all requests of the service.
#[derive(Debug, Default)]
pub struct AdmissionController {
    in_flight: HashMap<InFlightId, InFlight>,
    next_id: u64,
    /// The work of the requests in flight.
    pending_work: u64,
    /// Work whose responses began recently.
    begun: VecDeque<Sample<u64>>,
    /// How long the last response took to begin.
    last_latency: Millis,
    /// The highest recent rate, in work per millisecond.
    highest_rate: Option<Sample<f64>>,
    /// Recent estimates of the wait, in milliseconds.
    waits: VecDeque<Sample<f64>>,
}

impl AdmissionController {
    /// Records that a request was sent.
    pub fn record_sent(&mut self, work: u64, now: Millis) -> InFlightId {
        let id = InFlightId(self.next_id);
        self.next_id += 1;
        self.in_flight.insert(id, InFlight { sent_at: now, work });
        self.pending_work += work;
        id
    }

    /// Records that the response of a request began.
    pub fn record_response(&mut self, id: InFlightId, now: Millis) {
        if let Some(InFlight { work, sent_at }) = self.remove(id) {
            self.last_latency = now.saturating_sub(sent_at);
            self.begun.push_back(Sample {
                at: now,
                value: work,
            });
            self.record_wait(now);
        }
    }

    /// Removes a request that ended without a response that is evidence of the load.
    pub fn discard(&mut self, id: InFlightId) {
        self.remove(id);
    }

    fn remove(&mut self, id: InFlightId) -> Option<InFlight> {
        let request = self.in_flight.remove(&id)?;
        self.pending_work -= request.work;
        Some(request)
    }

    /// Returns whether to reject a request, because it would wait too long in a standing queue.
    pub fn should_reject(&mut self, work: u64, latency_target: Millis, now: Millis) -> bool {
        self.record_wait(now);
        let target = latency_target as f64;
        let standing_since = now.saturating_sub(latency_target / STANDING_DIVISOR);
        let recent = self.waits.iter().filter(|wait| wait.at >= standing_since);
        let shortest = recent.map(|wait| wait.value).fold(f64::INFINITY, f64::min);
        shortest > STANDING_RATIO * target && self.wait(work, now) > MAX_WAIT_RATIO * target
    }

    fn record_wait(&mut self, now: Millis) {
        let oldest = now.saturating_sub(WAIT_WINDOW);
        while self.waits.front().is_some_and(|wait| wait.at < oldest) {
            self.waits.pop_front();
        }
        let value = self.wait(0, now);
        self.waits.push_back(Sample { at: now, value });
    }

    /// The estimated wait of a request, in milliseconds.
    fn wait(&mut self, work: u64, now: Millis) -> f64 {
        if self.in_flight.len() < MIN_QUEUE {
            return 0.0;
        }
        let longest = self.longest_age(now) as f64;
        let rate = self.rate(now);
        if rate == 0.0 {
            return longest;
        }
        let by_rate = (self.pending_work + work) as f64 / rate;
        by_rate.min(MAX_WAIT_GROWTH * longest.max(self.last_latency as f64))
    }

    /// The rate at which responses begin, in work per millisecond.
    fn rate(&mut self, now: Millis) -> f64 {
        let oldest = now.saturating_sub(RATE_WINDOW);
        while self.begun.front().is_some_and(|begun| begun.at < oldest) {
            self.begun.pop_front();
        }
        let begun: u64 = self.begun.iter().map(|begun| begun.value).sum();
        let current = begun as f64 / RATE_WINDOW as f64;
        let decayed = self.highest_rate.map_or(0.0, |highest| {
            let age = now.saturating_sub(highest.at) as f64;
            highest.value * (-age / RATE_DECAY_TIME as f64).exp()
        });
        if current >= decayed {
            self.highest_rate = Some(Sample {
                at: now,
                value: current,
            });
        }
        current.max(decayed)
    }

    /// The age of the oldest request in flight.
    fn longest_age(&self, now: Millis) -> Millis {
        let sent = self.in_flight.values().map(|request| request.sent_at);
        sent.min().map_or(0, |sent_at| now.saturating_sub(sent_at))
    }
}
