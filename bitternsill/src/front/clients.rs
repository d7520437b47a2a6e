//! The table of client connections, whatever they speak: how many there are and which one to close
//! for room.

use super::{Gatherer, Message};
use crate::admin::drain::Sweep;
use crate::limits::Limits;
use crate::net::{Net, Token};
use dispatch::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// What a connection that the core holds no request of is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum IdleState {
    /// It has never said anything. Crowds of these come, and nobody misses one.
    Unused,
    /// It has said a part of a request. Sound clients say all of it at once.
    Partial,
    /// It has asked once. Many ask once and stay for good.
    SingleRequest,
    /// It has asked more than once, and is likely to ask again.
    Idle,
}

/// Whether room could be made for another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// A connection was asked to close.
    Started,
    /// One will be silent for long enough soon.
    Soon,
    /// All are busy.
    None,
}

/// Every client connection, and since when those without a request have been at rest.
#[derive(Debug, Default)]
pub struct ClientTable {
    open: BTreeMap<Token, Option<(IdleState, Time)>>,
    idle: BTreeSet<(IdleState, Time, Token)>,
    /// How many there are of each kind.
    counts: [usize; 4],
}

impl ClientTable {
    /// A connection was accepted.
    pub fn add(&mut self, token: Token, now: Time) {
        self.open.insert(token, None);
        self.set_idle_state(token, Some((IdleState::Unused, now)));
    }

    /// A connection ended.
    pub fn remove(&mut self, token: Token) {
        self.set_idle_state(token, None);
        self.open.remove(&token);
    }

    /// A connection has a request.
    pub fn set_busy(&mut self, token: Token) {
        self.set_idle_state(token, None);
    }

    /// A connection has been idle since this time, after so many requests.
    pub fn set_idle(&mut self, token: Token, since: Time, requests: u32) {
        let state = if requests > 1 {
            IdleState::Idle
        } else {
            IdleState::SingleRequest
        };
        self.set_idle_state(token, Some((state, since)));
    }

    /// A connection has begun to say something.
    pub fn set_partial(&mut self, token: Token, since: Time) {
        self.set_idle_state(token, Some((IdleState::Partial, since)));
    }

    fn set_idle_state(&mut self, token: Token, state: Option<(IdleState, Time)>) {
        let Some(slot) = self.open.get_mut(&token) else {
            return;
        };
        if let Some((kind, at)) = std::mem::replace(slot, state) {
            self.idle.remove(&(kind, at, token));
            self.counts[kind as usize] -= 1;
        }
        if let Some((kind, _)) = state {
            self.counts[kind as usize] += 1;
        }
        self.idle.extend(state.map(|(kind, at)| (kind, at, token)));
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// True where none is left.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// All of them.
    pub fn tokens(&self) -> Vec<Token> {
        self.open.keys().copied().collect()
    }

    /// Asks the connections that have been at rest since then to close; those half through a
    /// request only where that is wanted.
    pub fn sweep(&self, net: &mut Net<Gatherer>, sweep: Sweep) {
        for &(state, since, token) in &self.idle {
            let partial = state == IdleState::Partial;
            if since <= sweep.idle_since && (sweep.partial || !partial) {
                net.post(
                    token,
                    if partial {
                        Message::Evict
                    } else {
                        Message::Retire
                    },
                );
            }
        }
    }

    /// The connection that has been doing this longest, and since when.
    fn longest(&self, state: IdleState) -> Option<(Time, Token)> {
        let first = self.idle.range((state, 0, Token::from_bits(0))..).next();
        first
            .filter(|entry| entry.0 == state)
            .map(|&(_, at, token)| (at, token))
    }

    /// Asks some connections to close where too many have asked once and stayed: clients may have
    /// only so many connections, and these would take them all long before the table is full.
    pub fn evict_single_request(&mut self, net: &mut Net<Gatherer>, now: Time, limits: &Limits) {
        // Two at most, for each that comes.
        for _ in 0..2 {
            let oldest = self
                .longest(IdleState::SingleRequest)
                .filter(|(at, _)| at + limits.partial_grace <= now);
            let Some((_, token)) = oldest.filter(|_| {
                self.counts[IdleState::SingleRequest as usize] > limits.single_request_clients
            }) else {
                return;
            };
            self.set_idle_state(token, None);
            net.post(token, Message::Evict);
        }
    }

    /// Asks a connection to close: of the first kind above the one that has been so longest. One
    /// that only just came to be so is left alone, as it may say more at once; where there are many
    /// of them they will soon make room, and spare the kinds below.
    pub fn evict_one(&mut self, net: &mut Net<Gatherer>, now: Time, limits: &Limits) -> Eviction {
        let kinds = [
            (IdleState::Unused, limits.unused_grace),
            (IdleState::Partial, limits.partial_grace),
            (IdleState::SingleRequest, limits.partial_grace),
            (IdleState::Idle, 0),
        ];
        for (state, grace) in kinds {
            let Some((at, token)) = self.longest(state) else {
                continue;
            };
            if at + grace <= now {
                self.set_idle_state(token, None);
                net.post(token, Message::Evict);
                return Eviction::Started;
            }
            if self.counts[state as usize] * 8 >= self.open.len() {
                return Eviction::Soon;
            }
        }
        if self.idle.is_empty() {
            Eviction::None
        } else {
            Eviction::Soon
        }
    }
}
