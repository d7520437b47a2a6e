//! The list of index hosts as one gatherer follows it: from the owner's publication while that is
//! fresh, and by asking discovery itself, in its turn, when it is not.

use crate::{Time, Token};

/// Times that a deployment states.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How old a published list may grow, from when the owner was last seen to have found discovery
    /// in order.
    pub old: Time,
    /// Between two gatherers that ask discovery themselves one after the other.
    pub step: Time,
}

/// Why a published list is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It is of an owner before one that was heard of already.
    OldToken,
    /// It is no newer than the one that is held.
    NotNewer,
}

/// What one gatherer holds of the published list.
#[derive(Debug, Clone)]
pub struct Follower {
    bounds: Bounds,
    /// The highest token that anything was published under.
    token: Token,
    /// The version held and the token that it came under, and when the owner last was seen to be in
    /// order.
    held: Option<(Token, u64)>,
    fresh_at: Time,
    good: (Token, u64),
    place: usize,
    /// How many publications under an old token came.
    refused: u64,
}

impl Follower {
    /// One that has just started: it has until the bound to hear of an owner.
    pub fn new(bounds: Bounds, now: Time) -> Follower {
        let (token, good) = (Token::default(), (Token::default(), 0));
        Follower {
            bounds,
            token,
            held: None,
            fresh_at: now,
            good,
            place: 0,
            refused: 0,
        }
    }

    /// This gatherer's turn among those that would ask discovery themselves.
    pub fn takes_turn(&mut self, place: usize) {
        self.place = place;
    }

    /// The owner has renewed under a token, and says how often it has found its work in order.
    pub fn signed(&mut self, token: Token, good: u64, now: Time) {
        if token < self.token {
            return;
        }
        self.token = token;
        if self.good != (token, good) && good > 0 {
            self.fresh_at = now;
        }
        self.good = (token, good);
    }

    /// A list is published under a token. One from before an owner that was heard of is refused and
    /// counted: it came from one that woke up late, or from a store that was put back.
    pub fn published(&mut self, token: Token, version: u64) -> Result<(), Refused> {
        if token < self.token {
            self.refused += 1;
            return Err(Refused::OldToken);
        }
        // A new owner may have heard of another discovery, that counts anew.
        if self
            .held
            .is_some_and(|(of, held)| of == token && version <= held)
        {
            return Err(Refused::NotNewer);
        }
        (self.token, self.held) = (token, Some((token, version)));
        Ok(())
    }

    /// Whether the published list is followed.
    pub fn is_fresh(&self, now: Time) -> bool {
        now < self.fresh_at.saturating_add(self.bounds.old)
    }

    /// Whether this gatherer asks discovery itself now.
    pub fn asks(&self, now: Time) -> bool {
        now >= self.asks_at()
    }

    /// When that changes by itself.
    pub fn asks_at(&self) -> Time {
        let turn = self.bounds.step.saturating_mul(self.place as Time);
        self.fresh_at
            .saturating_add(self.bounds.old)
            .saturating_add(turn)
    }

    /// How old the publication is, as far as this gatherer knows.
    pub fn age(&self, now: Time) -> Time {
        now.saturating_sub(self.fresh_at)
    }

    /// How many publications under an old token came.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The highest token heard of.
    pub fn token(&self) -> Token {
        self.token
    }
}

#[cfg(test)]
mod tests;
