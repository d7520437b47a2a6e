//! Limits the idle time of pooled connections that carry non-idempotent requests.
//!
//! Backends may drop idle connections without closing them. The next request on such a connection
//! is reset, and the router can't tell whether it was executed. Once that happens, requests that
//! must not be retried only use connections that were idle for a shorter time, for a while.

use crate::Millis;

/// How long a limit applies after the last stale connection was found.
const LIMIT_LIFETIME: Millis = 30_000;
/// Lower bound of the limit, which is half of the shortest idle time that was too long.
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
    /// Records that a connection which was idle for `idle` was reset when a request was sent on it.
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
