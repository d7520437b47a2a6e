//! Admission control: rejects requests early when a service is overloaded.
//!
//! Routers detect overload by the time to the first byte of responses, relative to the latency
//! target of their route. While the median response is too late, a growing ratio of new requests is
//! rejected, whatever their kind; the ratio falls as responses get faster. All routers observe the
//! same backends, so they converge without coordination.

use crate::Millis;
use std::collections::{HashMap, VecDeque};

/// Responses that began within this time are considered.
const WINDOW: Millis = 400;
/// Time between two adjustments of the rejection ratio.
const ADJUSTMENT_INTERVAL: Millis = 100;
/// Minimum number of samples for a decision.
const MIN_SAMPLES: usize = 3;
/// Median latency, as a ratio of the target, above which a service counts as late. Short bursts are
/// better served late than rejected, so lateness has to be sustained.
const LATE_RATIO: f64 = 0.8;
/// A service that is late for this long is overloaded.
const SUSTAINED_FOR: Millis = 2_000;
/// While a service is overloaded, the controller steers the median latency to this ratio of the
/// target.
const SETPOINT_RATIO: f64 = 0.25;
/// An overload ends once nothing had to be rejected for this long.
const RECOVERY_TIME: Millis = 3_000;
/// Smoothing factor: how far the rejection ratio moves to its new value with each adjustment.
const SMOOTHING: f64 = 0.5;
/// A smaller rejection ratio counts as zero.
const NEGLIGIBLE_RATIO: f64 = 0.01;
/// At least one request in ten is admitted, so that the end of the overload is noticed.
const MAX_REJECTION_RATIO: f64 = 0.9;

/// Identifies a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct InFlightId(u64);

/// A request whose response has not begun.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    sent_at: Millis,
    latency_target: Millis,
}

/// Load of a service, as one router observes it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum LoadState {
    /// Responses are in time.
    #[default]
    Normal,
    /// Responses have been late since the given time.
    Late { since: Millis },
    /// A ratio of new requests is rejected; `last_needed` is when that was last necessary.
    Overloaded {
        rejection_ratio: f64,
        last_needed: Millis,
    },
}

/// Decides which ratio of a service's requests one router rejects.
#[derive(Debug, Default)]
pub struct AdmissionController {
    /// When recent responses began, each with its latency as a ratio of the target.
    samples: VecDeque<(Millis, f64)>,
    in_flight: HashMap<InFlightId, InFlight>,
    next_id: u64,
    state: LoadState,
    adjusted_at: Millis,
}

impl AdmissionController {
    /// Records a request that was sent and whose response is to begin within `latency_target`.
    pub fn record_sent(&mut self, latency_target: Millis, now: Millis) -> InFlightId {
        let id = InFlightId(self.next_id);
        self.next_id += 1;
        self.in_flight.insert(
            id,
            InFlight {
                sent_at: now,
                latency_target: latency_target.max(1),
            },
        );
        id
    }

    /// Records that the response of a request began.
    pub fn record_response(&mut self, id: InFlightId, now: Millis) {
        if let Some(request) = self.in_flight.remove(&id) {
            self.samples.push_back((now, request.latency_ratio(now)));
        }
    }

    /// Removes a request that ended without a response that says anything about the load.
    pub fn discard(&mut self, id: InFlightId) {
        self.in_flight.remove(&id);
    }

    /// Returns the ratio of new requests to reject now, from 0 to 1.
    pub fn rejection_ratio(&mut self, now: Millis) -> f64 {
        if now >= self.adjusted_at + ADJUSTMENT_INTERVAL {
            self.adjusted_at = now;
            let latency_ratio = self.median_latency_ratio(now);
            self.state = self.state.after(latency_ratio, now);
        }
        match self.state {
            LoadState::Overloaded {
                rejection_ratio, ..
            } => rejection_ratio,
            LoadState::Normal | LoadState::Late { .. } => 0.0,
        }
    }

    /// The median latency as a ratio of the target, over recent responses and those requests in
    /// flight that have already missed the setpoint.
    fn median_latency_ratio(&mut self, now: Millis) -> f64 {
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| at + WINDOW < now)
        {
            self.samples.pop_front();
        }
        let mut ratios: Vec<f64> = self.samples.iter().map(|(_, ratio)| *ratio).collect();
        let late = self
            .in_flight
            .values()
            .map(|request| request.latency_ratio(now))
            .filter(|ratio| *ratio > SETPOINT_RATIO);
        ratios.extend(late);
        if ratios.len() < MIN_SAMPLES {
            return 0.0;
        }
        let median_index = ratios.len() / 2;
        let (_, median, _) = ratios.select_nth_unstable_by(median_index, f64::total_cmp);
        *median
    }
}

impl LoadState {
    /// The only transition function. The rejection ratio grows steeply with the latency, so that
    /// a backlog is worked off quickly.
    fn after(self, latency_ratio: f64, now: Millis) -> LoadState {
        match self {
            LoadState::Normal | LoadState::Late { .. } if latency_ratio <= LATE_RATIO => {
                LoadState::Normal
            }
            LoadState::Normal => LoadState::Late { since: now },
            LoadState::Late { since } if now < since + SUSTAINED_FOR => self,
            LoadState::Late { .. } => LoadState::Overloaded {
                rejection_ratio: 0.0,
                last_needed: now,
            },
            LoadState::Overloaded { last_needed, .. } if now > last_needed + RECOVERY_TIME => {
                LoadState::Normal
            }
            LoadState::Overloaded {
                rejection_ratio,
                last_needed,
            } => {
                let target = if latency_ratio > SETPOINT_RATIO {
                    1.0 - (SETPOINT_RATIO / latency_ratio).powi(2)
                } else {
                    0.0
                };
                let next = rejection_ratio
                    + SMOOTHING * (target.min(MAX_REJECTION_RATIO) - rejection_ratio);
                let is_needed = next > NEGLIGIBLE_RATIO;
                let rejection_ratio = if is_needed { next } else { 0.0 };
                LoadState::Overloaded {
                    rejection_ratio,
                    last_needed: if is_needed { now } else { last_needed },
                }
            }
        }
    }
}

impl InFlight {
    fn latency_ratio(&self, now: Millis) -> f64 {
        now.saturating_sub(self.sent_at) as f64 / self.latency_target as f64
    }
}
