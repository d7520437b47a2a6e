//! The table of client connections of all protocols, which selects connections to evict when it is
//! full.

use super::{Gatherer, Message};
use crate::admin::drain::Sweep;
use crate::limits::Limits;
use crate::net::{Net, Token};
use dispatch::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// The state of a connection without a request in flight, in the order of eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum IdleState {
    /// Nothing was received yet. These are frequent, and closing one does no harm.
    Unused,
    /// A request was received in part. Well-behaved clients send it at once.
    Partial,
    /// One request was received. Many clients send one and stay connected.
    SingleRequest,
    /// Several requests were received, so another is likely.
    Idle,
}

/// The result of an attempt to evict a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// A connection is being closed.
    Started,
    /// No connection has been idle for long enough, but one soon will.
    Soon,
    /// All connections are busy.
    None,
}

/// All client connections, with the idle time of those without a request in flight.
#[derive(Debug, Default)]
pub struct ClientTable {
    open: BTreeMap<Token, Option<(IdleState, Time)>>,
    idle: BTreeSet<(IdleState, Time, Token)>,
    /// The number of connections in each idle state.
    counts: [usize; 4],
}

impl ClientTable {
    /// Adds an accepted connection.
    pub fn add(&mut self, token: Token, now: Time) {
        self.open.insert(token, None);
        self.set_idle_state(token, Some((IdleState::Unused, now)));
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, token: Token) {
        self.set_idle_state(token, None);
        self.open.remove(&token);
    }

    /// Marks a connection as having a request in flight.
    pub fn set_busy(&mut self, token: Token) {
        self.set_idle_state(token, None);
    }

    /// Marks a connection as idle since `since`, after `requests` requests.
    pub fn set_idle(&mut self, token: Token, since: Time, requests: u32) {
        let state = if requests > 1 {
            IdleState::Idle
        } else {
            IdleState::SingleRequest
        };
        self.set_idle_state(token, Some((state, since)));
    }

    /// Marks a connection as having sent a request in part.
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

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The tokens of all connections.
    pub fn tokens(&self) -> Vec<Token> {
        self.open.keys().copied().collect()
    }

    /// Closes the connections that became idle at or before the time in `sweep`; those with a
    /// partial request only if `sweep` includes them.
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

    /// The connection that has been in a state longest, with the time it entered the state.
    fn longest(&self, state: IdleState) -> Option<(Time, Token)> {
        let first = self.idle.range((state, 0, Token::from_bits(0))..).next();
        first
            .filter(|entry| entry.0 == state)
            .map(|&(_, at, token)| (at, token))
    }

    /// Evicts idle connections with a single request if there are too many of them. Clients share a
    /// limited number of connections, and these would exhaust it long before this table is full.
    pub fn evict_single_request(&mut self, net: &mut Net<Gatherer>, now: Time, limits: &Limits) {
        // Two evictions for each new idle connection reduce the excess step by step.
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

    /// Evicts the connection that has been longest in the first state in the order of eviction. A
    /// connection that entered its state recently may be about to send more, so it is kept for a
    /// grace period. If at least an eighth of all connections are in that state, one of them will
    /// be past its grace period soon, so no connection in a later state is evicted.
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
