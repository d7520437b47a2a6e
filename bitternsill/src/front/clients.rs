//! The table of client connections, whatever they speak: how many there are and which one to close for room.

use super::{Gatherer, Message};
use crate::net::{Net, Token};
use bramblestair::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Every client connection, and since when those without a request have been idle.
#[derive(Debug, Default)]
pub struct ClientTable {
    open: BTreeMap<Token, Option<Time>>,
    idle: BTreeSet<(Time, Token)>,
}

impl ClientTable {
    /// A connection was accepted.
    pub fn add(&mut self, token: Token, now: Time) {
        self.open.insert(token, None);
        self.set_idle(token, Some(now));
    }

    /// A connection ended.
    pub fn remove(&mut self, token: Token) {
        self.set_idle(token, None);
        self.open.remove(&token);
    }

    /// A connection has been idle since this time, or has a request.
    pub fn set_idle(&mut self, token: Token, since: Option<Time>) {
        let Some(slot) = self.open.get_mut(&token) else { return };
        if let Some(old) = std::mem::replace(slot, since) {
            self.idle.remove(&(old, token));
        }
        self.idle.extend(since.map(|at| (at, token)));
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

    /// Asks the connection that has been idle longest to close; false where all are busy.
    pub fn make_room(&mut self, net: &mut Net<Gatherer>) -> bool {
        let Some(&(_, token)) = self.idle.first() else { return false };
        self.set_idle(token, None);
        net.post(token, Message::MakeRoom);
        true
    }
}
