//! Proposals of commands, and the values that this member proposes again until they are committed.

use super::{Store, TooLarge};
use crate::Time;
use crate::command::{Change, Command};
use crate::log::Position;
use crate::message::Message;
use raftbare::{LogIndex, NodeId};

impl Store {
    /// Sets a key. The value is proposed again until it is committed, or replaced by a later call
    /// for the same key.
    ///
    /// # Errors
    ///
    /// [`TooLarge`] if the key or value is too long, or the state is full.
    pub fn put(&mut self, key: &str, value: &str, now: Time) -> Result<(), TooLarge> {
        let full = self.state.get(key).is_none() && self.state.len() >= self.bounds.keys;
        if full || value.len() > self.bounds.value_bytes || key.len() > self.bounds.value_bytes {
            return Err(TooLarge);
        }
        self.pending_puts.insert(key.to_owned(), value.to_owned());
        self.propose_pending_puts();
        self.process_actions(now);
        Ok(())
    }

    /// Proposes the values of [`Store::put`] that are neither committed nor in flight, or forwards
    /// them to the leader.
    pub(super) fn propose_pending_puts(&mut self) {
        self.pending_puts
            .retain(|key, value| self.state.get(key) != Some(value));
        let put = |(key, value): (&String, &String)| {
            Command::Put(Change {
                key: key.clone(),
                value: Some(value.clone()),
            })
        };
        let commands: Vec<Command> = self.pending_puts.iter().map(put).collect();
        for command in commands {
            self.submit(command);
        }
    }

    /// Proposes a command, or forwards it to the leader, unless it is already in flight.
    pub(super) fn submit(&mut self, command: Command) {
        if self.is_in_flight(&command) {
            return;
        }
        if self.is_leader() {
            self.propose(command);
        } else if let Some(leader) = self.leader() {
            self.send(leader, Message::Propose(command));
        }
    }

    fn propose(&mut self, command: Command) {
        if let Command::Put(Change {
            key,
            value: Some(value),
        }) = &command
            && self.state.get(key) == Some(value)
        {
            return;
        }
        let position = self.node.propose_command();
        if !position.is_invalid() {
            self.commands.insert(Position::from(position), command);
        }
    }

    /// Whether a command is in the log, but not applied yet. Commands of entries that another
    /// leader removed from the log are retained for a while. They do not count as in flight, as
    /// otherwise a former leader would never propose its values again.
    fn is_in_flight(&self, command: &Command) -> bool {
        let entries = self.node.log().entries();
        let is_in_log = |position: &Position| {
            let term = entries.get_term(LogIndex::new(position.index));
            term.is_some_and(|term| term.get() == position.term)
        };
        self.unapplied()
            .any(|(position, unapplied)| unapplied == command && is_in_log(position))
    }

    /// Commands after the last applied entry, with their positions.
    pub(super) fn unapplied(&self) -> impl DoubleEndedIterator<Item = (&Position, &Command)> {
        let first = Position {
            index: self.applied + 1,
            term: 0,
        };
        self.commands.range(first..)
    }

    /// The other member for which this one voted in the current term. If any member leads, it is
    /// this one, as [`Store::adopt_leader`] moves the vote to the leader.
    pub(super) fn leader(&self) -> Option<u64> {
        self.node
            .voted_for()
            .filter(|id| *id != self.node.id())
            .map(NodeId::get)
    }
}
