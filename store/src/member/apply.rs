//! The state machine: applies committed entries, compacts the log and installs snapshots.

use super::{Revised, Store};
use crate::command::Change;
use crate::log::{Position, Snapshot};
use crate::state::Capacity;
use raftbare::{LogEntry, LogIndex};

impl Store {
    /// Applies entries that are committed and durable at this member. Durability has to be checked,
    /// because the library counts the leader's own entries before they are on its disk: in a
    /// single-member store an entry counts as committed as soon as it is proposed.
    pub(super) fn apply(&mut self) {
        let commit_index = self.node.commit_index().get();
        while self.applied < commit_index.min(self.persistence.durable_index()) {
            let index = LogIndex::new(self.applied + 1);
            let entries = self.node.log().entries();
            let (Some(entry), Some(term)) = (entries.get_entry(index), entries.get_term(index))
            else {
                break;
            };
            if entry == LogEntry::Command {
                self.apply_command(Position {
                    index: index.get(),
                    term: term.get(),
                });
            }
            self.applied += 1;
        }
        if self.node.log().entries().len() > self.bounds.log {
            self.compact();
        }
        self.calls.on_applied(self.applied);
    }

    fn apply_command(&mut self, position: Position) {
        let Some(command) = self.commands.get(&position) else {
            return;
        };
        let capacity = Capacity {
            keys: self.bounds.keys,
            sessions: self.bounds.sessions,
        };
        let revision = position.index;
        let (changes, completion) = self.state.apply(revision, command, capacity);
        self.calls
            .record_history(revision, &changes, self.bounds.history);
        self.committed
            .extend(changes.into_iter().map(|change| (revision, change)));
        self.calls.complete(completion);
    }

    /// The state at the last applied entry; `None` if the log does not hold that position.
    pub(super) fn snapshot(&self) -> Option<Snapshot> {
        let index = LogIndex::new(self.applied);
        let (position, config) = self.node.log().get_position_and_config(index)?;
        let members = config.voters.iter().map(|id| id.get()).collect();
        Some(Snapshot {
            position: Position::from(position),
            members,
            state: self.state.clone(),
        })
    }

    /// Compacts the applied part of the log into a snapshot.
    fn compact(&mut self) {
        // Compacts only once per index: a member that cannot apply entries would otherwise replace
        // its whole file at every event.
        let compacted = self.node.log().snapshot_position().index.get();
        let Some(snapshot) = self
            .snapshot()
            .filter(|snapshot| snapshot.position.index > compacted)
        else {
            return;
        };
        if self.install_in_log(&snapshot) {
            self.drop_applied_commands();
            self.replace_file(snapshot);
        }
    }

    /// Installs the leader's snapshot, sent instead of entries that the leader has compacted.
    pub(super) fn install(&mut self, snapshot: Snapshot) {
        if snapshot.position.index > self.applied && self.install_in_log(&snapshot) {
            self.adopt_snapshot(snapshot);
        }
    }

    fn install_in_log(&mut self, snapshot: &Snapshot) -> bool {
        self.node
            .handle_snapshot_installed(snapshot.position.into(), snapshot.config())
    }

    /// Replaces this member's state and file by a snapshot. Watchers receive every key at the
    /// snapshot's revision.
    pub(super) fn adopt_snapshot(&mut self, snapshot: Snapshot) {
        let revision = snapshot.position.index;
        self.applied = revision;
        self.state = snapshot.state.clone();
        let changes = self.state.keys().map(|(key, versioned)| -> Revised {
            let change = Change {
                key: key.to_owned(),
                value: Some(versioned.value.clone()),
            };
            (revision, change)
        });
        self.committed.extend(changes);
        self.calls.on_snapshot_installed(revision, &self.state);
        self.drop_applied_commands();
        self.replace_file(snapshot);
    }

    /// Drops the commands of applied entries.
    fn drop_applied_commands(&mut self) {
        self.commands = self.commands.split_off(&Position {
            index: self.applied + 1,
            term: 0,
        });
    }
}
