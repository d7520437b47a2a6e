//! Admission control: rejects requests early when their service is overloaded.
//!
//! A router estimates by Little's law how long a request would wait at the service: the work that
//! was sent there and whose response has not begun, by the rate at which such work began of late.
//! That follows a surge as soon as more is sent than begins, before any response is late.
//!
//! A queue that comes and goes with a short burst is served. Requests are rejected only while a
//! queue stands, that is while the shortest wait of the last moments is long too, as in CoDel
//! (Nichols and Jacobson, "Controlling Queue Delay", 2012). All routers observe the same backends,
//! so they converge without coordination.

use crate::Millis;
use std::collections::{HashMap, VecDeque};

/// Responses that began within this time determine the rate.
const RATE_WINDOW: Millis = 1_000;
/// The highest rate fades with this time constant: after a lull the rate is low as little was sent,
/// not as the service became slower.
const RATE_MEMORY: Millis = 4_000;
/// Fewer requests in flight are no queue.
const MIN_QUEUE: usize = 4;
/// A request whose wait would be longer than this ratio of its latency target is rejected, if the
/// queue stands. The rest of the target is for the work itself and for errors of the estimate.
const MAX_WAIT_RATIO: f64 = 0.6;
/// The wait is not estimated to be longer than what was waited of late, times this: the rate of a
/// router that sent little says little about what the service can do.
const MAX_GROWTH: f64 = 2.0;
/// A queue stands while the wait does not fall below this ratio of the latency target.
const STANDING_RATIO: f64 = MAX_WAIT_RATIO / 3.0;
/// It has stood for long enough after the latency target divided by this: what is to be rejected
/// should learn so within that time.
const STANDING_DIVISOR: Millis = 4;
/// Waits are remembered for this long.
const WAIT_MEMORY: Millis = 1_000;

/// Identifies a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct InFlightId(u64);

/// A request whose response has not begun.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    sent_at: Millis,
    work: u64,
}

/// A sample at a moment.
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
    /// The estimated waits of the last moments, in milliseconds.
    waits: VecDeque<Sample<f64>>,
}

impl AdmissionController {
    /// Records a request with this much work that was sent.
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

    /// Removes a request that ended without a response that says anything about the load.
    pub fn discard(&mut self, id: InFlightId) {
        self.remove(id);
    }

    fn remove(&mut self, id: InFlightId) -> Option<InFlight> {
        let request = self.in_flight.remove(&id)?;
        self.pending_work -= request.work;
        Some(request)
    }

    /// Whether to reject a request with this much work and latency target: it would wait for too
    /// long, and the queue stands.
    pub fn should_reject(&mut self, work: u64, latency_target: Millis, now: Millis) -> bool {
        self.record_wait(now);
        let target = latency_target as f64;
        let stands_since = now.saturating_sub(latency_target / STANDING_DIVISOR);
        let recent = self.waits.iter().filter(|wait| wait.at >= stands_since);
        let shortest = recent.map(|wait| wait.value).fold(f64::INFINITY, f64::min);
        shortest > STANDING_RATIO * target && self.wait(work, now) > MAX_WAIT_RATIO * target
    }

    fn record_wait(&mut self, now: Millis) {
        let oldest = now.saturating_sub(WAIT_MEMORY);
        while self.waits.front().is_some_and(|wait| wait.at < oldest) {
            self.waits.pop_front();
        }
        let value = self.wait(0, now);
        self.waits.push_back(Sample { at: now, value });
    }

    /// The estimated wait of a request with this much work, in milliseconds.
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
        by_rate.min(MAX_GROWTH * longest.max(self.last_latency as f64))
    }

    /// How much work begins per millisecond.
    fn rate(&mut self, now: Millis) -> f64 {
        let oldest = now.saturating_sub(RATE_WINDOW);
        while self.begun.front().is_some_and(|begun| begun.at < oldest) {
            self.begun.pop_front();
        }
        let begun: u64 = self.begun.iter().map(|begun| begun.value).sum();
        let current = begun as f64 / RATE_WINDOW as f64;
        let faded = self.highest_rate.map_or(0.0, |highest| {
            let age = now.saturating_sub(highest.at) as f64;
            highest.value * (-age / RATE_MEMORY as f64).exp()
        });
        if current >= faded {
            self.highest_rate = Some(Sample {
                at: now,
                value: current,
            });
        }
        current.max(faded)
    }

    /// The age of the oldest request in flight.
    fn longest_age(&self, now: Millis) -> Millis {
        let sent = self.in_flight.values().map(|request| request.sent_at);
        sent.min().map_or(0, |sent_at| now.saturating_sub(sent_at))
    }
}
