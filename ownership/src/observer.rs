//! How one gatherer follows the list of index hosts: by the owner's publications while they are
//! fresh, otherwise by polling the discovery service itself, staggered by its rank.

use crate::{Time, Token};

/// The time bounds of an observer.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// The maximum age of a published list, counted from the last renewal that showed that the
    /// owner had reached the discovery service.
    pub max_age: Time,
    /// The delay between gatherers of consecutive ranks before they start polling.
    pub stagger: Time,
}

/// Why a published list is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// The list was published under a lower fencing token than one seen before.
    StaleToken,
    /// The version of the list is not newer than the current one.
    NotNewer,
}

/// One gatherer's state as an observer of the published list.
#[derive(Debug, Clone)]
pub struct Observer {
    config: Config,
    /// The highest token seen in a publication or renewal.
    token: Token,
    /// The token and version of the current list.
    current: Option<(Token, u64)>,
    /// When a renewal last showed that the owner had reached the discovery service.
    fresh_at: Time,
    /// The token and success count of the last renewal.
    successes: (Token, u64),
    rank: usize,
    rejected: u64,
}

impl Observer {
    /// An observer that starts now, and waits [`Config::max_age`] for an owner before polling.
    pub fn new(config: Config, now: Time) -> Observer {
        Observer {
            config,
            token: Token::default(),
            current: None,
            fresh_at: now,
            successes: (Token::default(), 0),
            rank: 0,
            rejected: 0,
        }
    }

    /// Sets this gatherer's rank in the polling order.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Handles a renewal of the owner's lease; `successes` is how often the owner has reached the
    /// discovery service.
    ///
    /// Only a changed count refreshes the list: a renewal shows that the owner is alive, not that
    /// its list is up to date.
    pub fn observe_renewal(&mut self, token: Token, successes: u64, now: Time) {
        if token < self.token {
            return;
        }
        self.token = token;
        if self.successes != (token, successes) && successes > 0 {
            self.fresh_at = now;
        }
        self.successes = (token, successes);
    }

    /// Handles a published list.
    ///
    /// # Errors
    /// [`Rejected::StaleToken`], which is counted, for a publication by an owner that was
    /// suspended, or from a store that was restored. [`Rejected::NotNewer`] for a repetition.
    pub fn observe_publication(&mut self, token: Token, version: u64) -> Result<(), Rejected> {
        if token < self.token {
            self.rejected += 1;
            return Err(Rejected::StaleToken);
        }
        // Versions of different owners are not comparable: each may have queried another discovery
        // server, and every server has its own counter.
        if self
            .current
            .is_some_and(|(owner, current)| owner == token && version <= current)
        {
            return Err(Rejected::NotNewer);
        }
        self.token = token;
        self.current = Some((token, version));
        Ok(())
    }

    /// Whether the published list is fresh enough to use.
    pub fn is_fresh(&self, now: Time) -> bool {
        now < self.fresh_at.saturating_add(self.config.max_age)
    }

    /// Whether this gatherer has to poll the discovery service itself now.
    pub fn should_poll(&self, now: Time) -> bool {
        now >= self.poll_at()
    }

    /// When this gatherer starts polling the discovery service, unless a fresher list arrives.
    pub fn poll_at(&self) -> Time {
        let rank_delay = self.config.stagger.saturating_mul(self.rank as Time);
        self.fresh_at
            .saturating_add(self.config.max_age)
            .saturating_add(rank_delay)
    }

    /// The age of the published list, as observed by this gatherer.
    pub fn age(&self, now: Time) -> Time {
        now.saturating_sub(self.fresh_at)
    }

    /// The number of publications that were rejected for a stale token.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// The highest token seen.
    pub fn token(&self) -> Token {
        self.token
    }
}

#[cfg(test)]
mod tests;
