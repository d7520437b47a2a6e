//! How long an idle connection to a service may have rested to be trusted with a request that can't
//! be repeated.
//!
//! Backends may forget idle connections without a word; whatever is next sent on one is reset, and
//! whether it has run can't be told. Once that happens, requests that may not be sent again get a
//! connection that rested for less, for a while.

use crate::Millis;

/// A limit is heeded for so long after the last connection was found forgotten.
const HEEDED: Millis = 30_000;
/// The limit is half of the shortest rest that was too long, and at least this.
const LEAST: Millis = 50;

/// What is known of a service's idle connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrustedRest {
    limit: Option<Limit>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Limit {
    longest: Millis,
    until: Millis,
}

impl TrustedRest {
    /// A connection that had rested for so long was reset when a request was sent on it.
    pub fn was_too_long(&mut self, rested: Millis, now: Millis) {
        let longest = (rested / 2).max(LEAST);
        let known = self.limit.filter(|limit| now < limit.until);
        let longest = known.map_or(longest, |limit| limit.longest.min(longest));
        self.limit = Some(Limit {
            longest,
            until: now + HEEDED,
        });
    }

    /// Whether a connection that rested for so long is to be trusted.
    pub fn allows(&self, rested: Millis, now: Millis) -> bool {
        self.limit
            .is_none_or(|limit| now >= limit.until || rested <= limit.longest)
    }
}
