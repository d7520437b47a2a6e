//! One router's share of a service's retry budget.
//!
//! The budget limits the total of all routers. Each router may retry in proportion to its own
//! requests and uses an equal share of the slack, so the total stays within the limit without
//! coordination, even during a network partition.

use crate::Millis;
use std::collections::VecDeque;

/// Ratio of the permitted retries that is used. The rest absorbs differences between the clocks and
/// windows of routers.
const UTILIZATION: f64 = 0.8;

/// The retry limits of a deployment, over all routers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that are permitted regardless of the number of requests.
    pub slack: f64,
    /// Sliding window over which requests and retries are counted.
    pub window: Millis,
}

/// Requests and retries of one service at one router, in a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: RetryLimits,
    started_at: Millis,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Creates the budget of a router that starts now. Its previous process may have spent an
    /// unknown part of the slack, so the slack is available only after a full window.
    pub fn new(limits: RetryLimits, now: Millis) -> Self {
        RetryBudget {
            limits,
            started_at: now,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    fn expire(&mut self, now: Millis) {
        let window = self.limits.window;
        let is_expired = |at: &Millis| at + window < now;
        while self.requests.front().is_some_and(is_expired) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_expired) {
            self.retries.pop_front();
        }
    }

    /// Records a client's request.
    pub fn deposit(&mut self, now: Millis) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Withdraws one retry if the budget allows it without using the ratio `reserved` (0 to 1),
    /// which is kept for other uses. `routers` is the number of routers that share the slack.
    pub fn try_withdraw(&mut self, routers: usize, reserved: f64, now: Millis) -> bool {
        self.expire(now);
        let is_starting = now < self.started_at + self.limits.window;
        let slack = if is_starting {
            0.0
        } else {
            self.limits.slack / routers.max(1) as f64
        };
        let permitted = UTILIZATION * (self.limits.ratio * self.requests.len() as f64 + slack);
        let is_available = self.retries.len() as f64 + 1.0 <= permitted * (1.0 - reserved);
        if is_available {
            self.retries.push_back(now);
        }
        is_available
    }
}
