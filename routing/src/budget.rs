//! The share of a service's retry budget that one router may use.
//!
//! The budget is summed over all routers. Each uses the ratio of its own requests and an equal
//! share of the slack, so that the sum holds without a word between them, also while some of them
//! are cut off.

use crate::Millis;
use std::collections::VecDeque;

/// Part of the permitted repeats that is used; the rest covers differences between clocks and
/// windows.
const USED: f64 = 0.8;

/// What the deployment permits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Permitted {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats however few the requests, over all routers.
    pub slack: f64,
    /// The time over which both are counted.
    pub window: Millis,
}

/// Requests and repeats of one service at one router.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    permitted: Permitted,
    begun: Millis,
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RetryBudget {
    /// A budget of a router that starts now. What a former process of this router used is unknown,
    /// so its share of the slack is only available after a window.
    pub fn new(permitted: Permitted, now: Millis) -> Self {
        RetryBudget {
            permitted,
            begun: now,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    fn expire(&mut self, now: Millis) {
        let window = self.permitted.window;
        let expired = |at: &Millis| at + window < now;
        while self.requests.front().is_some_and(expired) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(expired) {
            self.repeats.pop_front();
        }
    }

    /// A client's request was taken.
    pub fn request(&mut self, now: Millis) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Takes one repeat out of the budget, if there is one left after leaving `kept` of it to
    /// others.
    pub fn take(&mut self, routers: usize, kept: f64, now: Millis) -> bool {
        self.expire(now);
        let begins = now < self.begun + self.permitted.window;
        let slack = if begins {
            0.0
        } else {
            self.permitted.slack / routers.max(1) as f64
        };
        let permitted = USED * (self.permitted.ratio * self.requests.len() as f64 + slack);
        let left = self.repeats.len() as f64 + 1.0 <= permitted * (1.0 - kept);
        if left {
            self.repeats.push_back(now);
        }
        left
    }
}
