//! How one gatherer follows the list of index hosts: it observes the owner's publications while
//! they are fresh, and polls discovery itself, in its turn, when they are not.

use crate::{Time, Token};

/// The time bounds of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How old a published list may be, counted from the last renewal that showed that the owner
    /// had reached discovery.
    pub max_age: Time,
    /// The delay between two gatherers that start to poll discovery one after the other.
    pub stagger: Time,
}

/// Why a published list is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// It was published under a lower fencing token than one seen already.
    StaleToken,
    /// Its version is not newer than the current one.
    NotNewer,
}

/// One gatherer's state as an observer of the published list.
#[derive(Debug, Clone)]
pub struct Observer {
    config: Config,
    /// The highest token that anything was published under.
    token: Token,
    /// The token and version of the current list.
    current: Option<(Token, u64)>,
    /// When the owner was last seen to have reached discovery.
    fresh_at: Time,
    /// The token and success count of the last renewal.
    successes: (Token, u64),
    rank: usize,
    rejected: u64,
}

impl Observer {
    /// An observer that starts now: until [`Config::max_age`] has passed it waits for an owner.
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

    /// Sets this gatherer's rank among those that would poll discovery.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// The owner renewed its lease; `successes` counts how often it has reached discovery.
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

    /// A list was published.
    ///
    /// # Errors
    /// [`Rejected::StaleToken`], which is counted: the publication came from an owner that was
    /// suspended, or from a store that was restored. [`Rejected::NotNewer`] for a repetition.
    pub fn observe_publication(&mut self, token: Token, version: u64) -> Result<(), Rejected> {
        if token < self.token {
            self.rejected += 1;
            return Err(Rejected::StaleToken);
        }
        // Versions of different owners cannot be compared: each may have asked another discovery
        // server, which counts on its own.
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

    /// Whether the published list is fresh enough to be followed.
    pub fn is_fresh(&self, now: Time) -> bool {
        now < self.fresh_at.saturating_add(self.config.max_age)
    }

    /// Whether this gatherer has to poll discovery itself now.
    pub fn should_poll(&self, now: Time) -> bool {
        now >= self.poll_at()
    }

    /// From when on this gatherer polls discovery itself, if no fresher list comes.
    pub fn poll_at(&self) -> Time {
        let turn = self.config.stagger.saturating_mul(self.rank as Time);
        self.fresh_at
            .saturating_add(self.config.max_age)
            .saturating_add(turn)
    }

    /// The age of the published list, as far as this gatherer knows.
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
