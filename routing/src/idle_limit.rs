//! Limits the idle time of pooled connections that carry non-idempotent requests.
//!
//! Idle connections may be dropped without being closed. The next request on such a connection is
//! reset, and the router can't tell whether it was executed. After such a reset, non-idempotent
//! requests temporarily use only connections that were idle for a shorter time.

use crate::Millis;

/// How long the limit applies after the last stale connection was found.
const LIMIT_LIFETIME: Millis = 30_000;
/// Lower bound of the limit, which is half of the shortest idle time of a stale connection.
const MIN_LIMIT: Millis = 50;

/// The idle limit of one backend, learned from connections that were found stale.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IdleLimit {
    limit: Option<Limit>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Limit {
    max_idle: Millis,
    expires_at: Millis,
}

impl IdleLimit {
    /// Records that a connection was reset when used after it had been idle for `idle`.
    pub fn record_stale(&mut self, idle: Millis, now: Millis) {
        let max_idle = (idle / 2).max(MIN_LIMIT);
        let current = self.limit.filter(|limit| now < limit.expires_at);
        let max_idle = current.map_or(max_idle, |limit| limit.max_idle.min(max_idle));
        self.limit = Some(Limit {
            max_idle,
            expires_at: now + LIMIT_LIFETIME,
        });
    }

    /// Returns whether a connection that was idle for `idle` may carry a non-idempotent request.
    pub fn allows(&self, idle: Millis, now: Millis) -> bool {
        self.limit
            .is_none_or(|limit| now >= limit.expires_at || idle <= limit.max_idle)
    }
}
