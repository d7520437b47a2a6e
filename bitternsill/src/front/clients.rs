//! The table of client connections, whatever they speak: how many there are and which one to close for room.

use super::{Gatherer, Message};
use crate::net::{Net, Token};
use bramblestair::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// What a connection without a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rest {
    /// It has never said anything. Crowds of these come, and nobody misses one.
    Silent,
    /// It waits for its next request.
    Idle,
}

/// Whether room could be made for another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// A connection was asked to close.
    Made,
    /// One will be silent for long enough soon.
    Soon,
    /// All are busy.
    None,
}

/// Every client connection, and since when those without a request have been at rest.
#[derive(Debug, Default)]
pub struct ClientTable {
    open: BTreeMap<Token, Option<(Rest, Time)>>,
    resting: BTreeSet<(Rest, Time, Token)>,
}

impl ClientTable {
    /// A connection was accepted.
    pub fn add(&mut self, token: Token, now: Time) {
        self.open.insert(token, None);
        self.set_rest(token, Some((Rest::Silent, now)));
    }

    /// A connection ended.
    pub fn remove(&mut self, token: Token) {
        self.set_rest(token, None);
        self.open.remove(&token);
    }

    /// A connection has been idle since this time, or has a request.
    pub fn set_idle(&mut self, token: Token, since: Option<Time>) {
        self.set_rest(token, since.map(|at| (Rest::Idle, at)));
    }

    fn set_rest(&mut self, token: Token, rest: Option<(Rest, Time)>) {
        let Some(slot) = self.open.get_mut(&token) else { return };
        if let Some((kind, at)) = std::mem::replace(slot, rest) {
            self.resting.remove(&(kind, at, token));
        }
        self.resting.extend(rest.map(|(kind, at)| (kind, at, token)));
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

    /// Asks a connection to close: the one that has been silent longest, else the one idle longest. One that has
    /// only just been accepted is left alone for `grace`, as its first request may be on its way.
    pub fn make_room(&mut self, net: &mut Net<Gatherer>, now: Time, grace: Time) -> Room {
        let (token, is_fresh) = match self.resting.first() {
            Some(&(rest, at, token)) => (token, rest == Rest::Silent && now < at + grace),
            None => return Room::None,
        };
        if is_fresh {
            return Room::Soon;
        }
        self.set_rest(token, None);
        net.post(token, Message::MakeRoom);
        Room::Made
    }
}
