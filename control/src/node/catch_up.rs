//! State transfer from the primary to replicas that lag.
//!
//! A replica is sent the updates that follow its last stored position, up to a window of bytes. A
//! replica that lags behind the oldest retained update is sent the full state.

use super::primary::{Stage, Transfer};
use super::recent_updates::LogEntry;
use super::{ControlNode, Requester, Role};
use crate::Millis;
use crate::message::Message;
use crate::state::Position;
use crate::view::ReplicaId;
use std::collections::BTreeSet;

/// The most bytes of updates that a replica is sent before it has stored them.
const WINDOW_BYTES: usize = 256 << 10;

/// The content that a lagging replica has to be sent.
enum Missing {
    Nothing,
    /// These updates, in order.
    Entries(Vec<LogEntry>),
    /// The full state, as the updates that follow the replica's position are no longer retained.
    FullState,
}

impl ControlNode {
    /// Retransmits to in-sync replicas that have not replied in the current stage.
    pub(super) fn retransmit(&mut self, now: Millis) {
        let epoch = self.epoch();
        let Some(view) = self.view() else { return };
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let is_pending = |done: &BTreeSet<ReplicaId>, replica: &&ReplicaId| {
            *replica != self.id() && !done.contains(*replica)
        };
        match &primary.stage {
            Stage::Starting { synced, .. } => {
                let pending = view
                    .in_sync
                    .iter()
                    .filter(|replica| is_pending(synced, replica));
                for replica in pending.cloned().collect::<Vec<_>>() {
                    self.send(replica, Message::Synchronize { epoch });
                }
            }
            Stage::Replicating { stored, .. } => {
                let pending = view
                    .in_sync
                    .iter()
                    .filter(|replica| is_pending(stored, replica));
                for replica in pending.cloned().collect::<Vec<_>>() {
                    let before = self.position_before_tail();
                    self.catch_up(&replica, before, now);
                }
            }
            Stage::Ready => {}
        }
    }

    /// Reports this replica's own stored positions to itself once its log is durable, as a backup
    /// does.
    pub(super) fn synchronize_own(&mut self) {
        let own = Requester {
            replica: self.id().clone(),
            incarnation: self.identity.incarnation,
        };
        self.report_stored_positions(own);
    }

    /// Handles the stored positions that another replica reports.
    pub(super) fn on_stored_positions(
        &mut self,
        from: ReplicaId,
        last: Position,
        committed: Position,
        now: Millis,
    ) {
        if !matches!(self.role, Role::Primary(_)) {
            return;
        }
        // A change that any replica knows to be committed is committed: every replica that may
        // become primary stores it.
        if self.commit_up_to(committed, now) {
            self.broadcast_committed();
        }
        self.record_stored_position(&from, last, now);
        let own_last = self.last_position();
        let is_in_sync = self.view().is_some_and(|view| view.in_sync.contains(&from));
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        match &mut primary.stage {
            Stage::Starting { synced, .. } if last == own_last => {
                synced.insert(from);
                self.finish_start(now);
            }
            Stage::Replicating { stored, .. } if last == own_last => {
                stored.insert(from);
                self.finish_replication(now);
            }
            Stage::Starting { .. } | Stage::Replicating { .. } => self.catch_up(&from, last, now),
            Stage::Ready if !is_in_sync => self.catch_up(&from, last, now),
            Stage::Ready => {}
        }
        if !is_in_sync {
            self.reconsider_view(now);
        }
    }

    fn record_stored_position(&mut self, replica: &ReplicaId, stored: Position, now: Millis) {
        let own_last = self.last_position();
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let transfer = primary.transfers.entry(replica.clone()).or_default();
        if transfer.stored != Some(stored) {
            transfer.stored = Some(stored);
            transfer.progressed_at = now;
        }
        if stored == own_last {
            transfer.installs = 0;
        }
    }

    /// Sends a replica the updates after `stored`, or the full state, unless these are already in
    /// flight.
    pub(super) fn catch_up(&mut self, replica: &ReplicaId, stored: Position, now: Millis) {
        let (epoch, retransmit_interval) = (self.epoch(), self.timing.retransmit_interval);
        if *replica == *self.id() {
            return;
        }
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let transfer = primary.transfers.get(replica).cloned().unwrap_or_default();
        let is_in_flight = transfer.sent.is_some_and(|sent| sent != stored)
            && now < transfer.progressed_at + retransmit_interval;
        if is_in_flight {
            return;
        }
        let sent = match self.missing(stored) {
            Missing::Nothing => return,
            Missing::Entries(entries) => {
                let sent = entries.last().map(|entry| entry.update.position);
                let previous = entries.first().map_or(stored, |entry| entry.previous);
                let updates = entries.into_iter().map(|entry| entry.update).collect();
                self.send(
                    replica.clone(),
                    Message::Replicate {
                        epoch,
                        previous,
                        updates,
                    },
                );
                sent
            }
            Missing::FullState => {
                self.stall_writes_for(&transfer, now);
                let (state, tail) = (self.state.clone(), self.tail.clone());
                self.send(replica.clone(), Message::Install { epoch, state, tail });
                Some(self.last_position())
            }
        };
        let is_full_install = self.recent_updates.after(stored).is_none();
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let transfer = primary.transfers.entry(replica.clone()).or_default();
        (transfer.sent, transfer.progressed_at) = (sent, now);
        transfer.installs += u32::from(is_full_install);
    }

    fn missing(&self, stored: Position) -> Missing {
        let Some(entries) = self.recent_updates.after(stored) else {
            return Missing::FullState;
        };
        let mut bytes_left = WINDOW_BYTES;
        let fits = |entry: &&LogEntry| {
            let is_first = bytes_left == WINDOW_BYTES;
            let bytes = entry.update.change.bytes();
            let fits = is_first || bytes <= bytes_left;
            bytes_left = bytes_left.saturating_sub(bytes.max(1));
            fits
        };
        let entries: Vec<LogEntry> = entries.take_while(fits).cloned().collect();
        if entries.is_empty() {
            Missing::Nothing
        } else {
            Missing::Entries(entries)
        }
    }

    /// Stalls writes for a while where a replica has been sent several full states and has not
    /// caught up. Without the stall, it would never do so under a steady load of writes.
    fn stall_writes_for(&mut self, transfer: &Transfer, now: Millis) {
        /// Writes are stalled for a replica that has been sent more full states than this.
        const FREE_INSTALLS: u32 = 1;
        let write_stall = self.timing.write_stall;
        if let Role::Primary(primary) = &mut self.role
            && transfer.installs > FREE_INSTALLS
            && now >= primary.writes_stalled_until + 4 * write_stall
        {
            primary.writes_stalled_until = now + write_stall;
        }
    }
}
