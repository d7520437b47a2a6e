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
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;

    fn token(revision: u64) -> Token {
        Token { era: 1, revision }
    }

    fn follower() -> Follower {
        Follower::new(
            Bounds {
                old: 4 * S,
                step: S / 2,
            },
            10 * S,
        )
    }

    #[test]
    fn a_list_is_followed_while_its_owner_finds_discovery_in_order_and_then_by_turns() {
        let mut one = follower();
        one.takes_turn(3);
        assert_eq!(one.published(token(5), 8), Ok(()));
        // Renewed, but nothing heard of discovery: a sign of the owner's life, and no more.
        one.signed(token(5), 0, 12 * S);
        assert_eq!((one.is_fresh(13 * S), one.is_fresh(14 * S)), (true, false));
        one.signed(token(5), 1, 13 * S);
        one.signed(token(5), 1, 16 * S);
        assert!(
            one.is_fresh(17 * S - 1) && !one.is_fresh(17 * S),
            "the same word again says nothing"
        );
        assert_eq!((one.asks(18 * S), one.asks(18 * S + S / 2)), (false, true));
        one.signed(token(5), 2, 19 * S);
        assert!(!one.asks(19 * S), "it goes back to following");
    }

    #[test]
    fn what_an_owner_of_before_publishes_is_refused_and_counted() {
        let mut one = follower();
        assert_eq!(one.published(token(9), 3), Ok(()));
        assert_eq!(one.published(token(5), 4), Err(Refused::OldToken));
        assert_eq!(one.published(token(9), 3), Err(Refused::NotNewer));
        one.signed(token(12), 1, 11 * S);
        assert_eq!(
            one.published(token(9), 9),
            Err(Refused::OldToken),
            "the next one was heard of by its renewal"
        );
        one.signed(token(9), 7, 20 * S);
        assert!(!one.is_fresh(15 * S), "nor does it count as a sign of life");
        assert_eq!((one.published(token(12), 1), one.refused()), (Ok(()), 2));
        // A store that was begun anew: its tokens are higher whatever its revisions.
        let later = Token {
            era: 2,
            revision: 1,
        };
        assert_eq!(one.published(later, 1), Ok(()));
        assert_eq!(one.published(token(99), 99), Err(Refused::OldToken));
    }
}
