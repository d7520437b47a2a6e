//! The table of client connections, whatever protocol they use: how many there are, and which one
//! to evict for a new one.

use super::{Gatherer, Message};
use crate::admin::drain::Sweep;
use crate::limits::Limits;
use crate::net::{Net, Token};
use dispatch::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// What a connection without a request in flight is doing, in the order of eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum IdleState {
    /// It has never sent anything. Many of these come, and closing one does no harm.
    Unused,
    /// It has sent a part of a request. Well-behaved clients send all of it at once.
    Partial,
    /// It has sent one request. Many send one and stay connected.
    SingleRequest,
    /// It has sent more than one request, and is likely to send another.
    Idle,
}

/// Whether a connection could be evicted for a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// A connection was asked to close.
    Started,
    /// One will have been idle for long enough soon.
    Soon,
    /// All are busy.
    None,
}

/// Every client connection, and since when those without a request have been idle.
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

    /// A connection has sent a part of a request.
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

    /// Closes the connections that have been idle since then, and those with a request received in
    /// part where the sweep says so.
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

    /// The connection that has been in a state longest, and since when.
    fn longest(&self, state: IdleState) -> Option<(Time, Token)> {
        let first = self.idle.range((state, 0, Token::from_bits(0))..).next();
        first
            .filter(|entry| entry.0 == state)
            .map(|&(_, at, token)| (at, token))
    }

    /// Evicts some connections where too many have sent one request and stayed: clients may have
    /// only so many connections, and these would use them up long before the table is full.
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

    /// Evicts a connection: of the first state in the order of eviction the one that has been in it
    /// longest. One that entered the state only just now is left alone, as it may send more at
    /// once; where many are in that state one will soon be old enough, which spares the later
    /// states.
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
