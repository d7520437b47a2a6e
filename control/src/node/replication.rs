//! The data: bringing backups into step, ordering changes, and storing them.

use super::pending_calls::PendingChange;
use super::primary::{Stage, Transfer};
use super::recent_updates::{LogEntry, RecentUpdates};
use super::{ControlNode, Effect, Requester, Role};
use crate::Millis;
use crate::changes::Outcome;
use crate::message::Message;
use crate::state::{ControlState, Position, Update};
use crate::storage::Record;
use crate::view::{Epoch, ReplicaId};
use std::collections::BTreeSet;

/// The most bytes of changes that a replica is sent before it has stored them.
const WINDOW_BYTES: usize = 256 << 10;

/// What a replica that lags is sent.
enum Missing {
    Nothing,
    Entries(Vec<LogEntry>),
    Everything,
}

impl ControlNode {
    // ---- as primary
    // ----------------------------------------------------------------------------------------

    /// Sends again what backups have not answered.
    pub(super) fn retransmit_interval(&mut self, now: Millis) {
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
                    let before = self.before_tail();
                    self.catch_up(&replica, before, now);
                }
            }
            Stage::Ready => {}
        }
    }

    /// This replica counts among those in step once what it holds is on its own disk.
    pub(super) fn synchronize_own(&mut self) {
        let own = Requester {
            replica: self.id().clone(),
            incarnation: self.identity.incarnation,
        };
        self.report_stored_positions(own);
    }

    /// What another replica stores, as it says.
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
        // What one replica knows to be committed is committed: every replica that may lead stores
        // it.
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

    /// Sends a replica that stores the changes up to `stored` what it lacks.
    fn catch_up(&mut self, replica: &ReplicaId, stored: Position, now: Millis) {
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
            Missing::Everything => {
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
            return Missing::Everything;
        };
        let mut left = WINDOW_BYTES;
        let fits = |entry: &&LogEntry| {
            let is_first = left == WINDOW_BYTES;
            let bytes = entry.update.change.bytes();
            let fits = is_first || bytes <= left;
            left = left.saturating_sub(bytes.max(1));
            fits
        };
        let entries: Vec<LogEntry> = entries.take_while(fits).cloned().collect();
        if entries.is_empty() {
            Missing::Nothing
        } else {
            Missing::Entries(entries)
        }
    }

    /// Holds changes back for a while where a replica that was sent everything once lacks
    /// everything again.
    fn stall_writes_for(&mut self, transfer: &Transfer, now: Millis) {
        /// So many whole states are sent without a pause.
        const FREE_INSTALLS: u32 = 1;
        let write_stall = self.timing.write_stall;
        if let Role::Primary(primary) = &mut self.role
            && transfer.installs > FREE_INSTALLS
            && now >= primary.writes_stalled_until + 4 * write_stall
        {
            primary.writes_stalled_until = now + write_stall;
        }
    }

    /// Ends the start once every in-sync replica, this one too, has the same state on its disk.
    pub(super) fn finish_start(&mut self, now: Millis) {
        let Some(view) = self.view() else { return };
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let Stage::Starting { synced, .. } = &primary.stage else {
            return;
        };
        if !self.required_acks().is_subset(synced) {
            return;
        }
        if view.in_sync.len() < self.min_in_sync() {
            return self.reconsider_view(now);
        }
        self.set_stage(Stage::Ready, "every in-sync replica has the same state");
        self.commit_tail(now);
        self.reconsider_view(now);
        self.confirm_calls(now);
        self.replicate_next(now);
    }

    /// The replicas that have to store a change before it is acknowledged: those of the present
    /// view, and those of any view that may come to follow it by this primary's doing.
    pub(super) fn required_acks(&self) -> BTreeSet<ReplicaId> {
        let mut required = self
            .view()
            .map(|view| view.in_sync.clone())
            .unwrap_or_default();
        if let Role::Primary(primary) = &self.role {
            required.extend(primary.proposed.iter().cloned());
        }
        if let Some(attempt) = &self.attempt {
            required.extend(attempt.target().in_sync.iter().cloned());
        }
        required
    }

    /// Ends what is under way if that is done, also where it waited for a view that was given up.
    pub(super) fn finish_stage(&mut self, now: Millis) {
        self.finish_start(now);
        self.finish_replication(now);
    }

    /// How many replicas have to store a change. A system with fewer replicas than that works with
    /// what it has.
    pub(super) fn min_in_sync(&self) -> usize {
        let possible = self.view().map_or(1, |view| view.witnesses.len());
        self.timing.replication_factor.min(possible)
    }

    /// Orders the next waiting change, if nothing else is under way.
    pub(super) fn replicate_next(&mut self, now: Millis) {
        while self.leading_epoch(now).is_some()
            && self.attempt.is_none()
            && !self.is_storage_stalled(now)
        {
            let Role::Primary(primary) = &self.role else {
                return;
            };
            if primary.stage != Stage::Ready || now < primary.writes_stalled_until {
                return;
            }
            let Some(waiting) = self.calls.next_change() else {
                return;
            };
            match self.state.evaluate(&waiting.change) {
                Some(outcome) => {
                    self.calls.resolve(waiting, outcome);
                    self.confirm_calls(now);
                }
                None => self.replicate(waiting, now),
            }
        }
    }

    fn replicate(&mut self, waiting: PendingChange, now: Millis) {
        let previous = self.last_position();
        let position = Position {
            index: self.state.position.index + 1,
            epoch: self.epoch(),
        };
        let update = Update {
            position,
            change: waiting.change,
        };
        self.tail_ticket = Some(waiting.ticket);
        self.append(update, now);
        self.set_stage(
            Stage::Replicating {
                since: now,
                stored: BTreeSet::new(),
            },
            "a change is being stored",
        );
        let mut receivers = self.required_acks();
        let Role::Primary(primary) = &self.role else {
            return;
        };
        receivers.extend(primary.joiners.keys().cloned());
        for replica in receivers {
            self.stream(&replica, previous);
        }
        self.synchronize_own();
    }

    /// Sends the newest change to a replica that has, or has been sent, all before it.
    fn stream(&mut self, replica: &ReplicaId, previous: Position) {
        let (last, own) = (self.last_position(), self.id().clone());
        let is_in_sync = self
            .view()
            .is_some_and(|view| view.in_sync.contains(replica));
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let transfer = primary.transfers.entry(replica.clone()).or_default();
        let has_all =
            is_in_sync || transfer.stored == Some(previous) || transfer.sent == Some(previous);
        if !has_all || *replica == own {
            return;
        }
        transfer.sent = Some(last);
        let epoch = self.epoch();
        if let Some(update) = self.tail.clone() {
            let updates = vec![update];
            self.send(
                replica.clone(),
                Message::Replicate {
                    epoch,
                    previous,
                    updates,
                },
            );
        }
    }

    /// The position before the change that is under way.
    fn before_tail(&self) -> Position {
        self.state.position
    }

    fn finish_replication(&mut self, now: Millis) {
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let Stage::Replicating { stored, .. } = &primary.stage else {
            return;
        };
        if self.required_acks().is_subset(stored) {
            self.set_stage(Stage::Ready, "the change is stored everywhere");
            self.commit_tail(now);
            self.reconsider_view(now);
            self.replicate_next(now);
        }
    }

    /// The primary's stored change is on every in-sync disk.
    fn commit_tail(&mut self, now: Millis) {
        let position = self.last_position();
        self.commit_up_to(position, now);
        if let Some(ticket) = self.tail_ticket.take() {
            self.effects.push(Effect::Reply {
                ticket,
                outcome: Outcome::Committed,
            });
        }
        self.broadcast_committed();
    }

    fn broadcast_committed(&mut self) {
        let (epoch, position) = (self.epoch(), self.state.position);
        for other in self.others() {
            self.send(other, Message::Committed { epoch, position });
        }
    }

    // ---- as any replica
    // ------------------------------------------------------------------------------------

    /// Notes that the changes up to a position are committed. True where that is news.
    pub(super) fn commit_up_to(&mut self, position: Position, now: Millis) -> bool {
        let Some(tail) = self.tail.take_if(|tail| tail.position == position) else {
            return false;
        };
        self.state.apply(&tail);
        self.track_rollout_owner(now);
        self.effects.push(Effect::Committed);
        true
    }

    /// Takes the next change as one that is stored and not known to be committed.
    fn append(&mut self, update: Update, now: Millis) {
        self.recent_updates.push(&update);
        self.tail = Some(update.clone());
        self.store(vec![Record::Update(update)], now);
    }

    /// Tells the primary what is stored here, once it is on disk.
    fn report_stored_positions(&mut self, requester: Requester) {
        let (epoch, last, committed) = (self.epoch(), self.last_position(), self.state.position);
        self.reply_when_durable(
            requester,
            Message::StoredPositions {
                epoch,
                last,
                committed,
            },
        );
    }

    pub(super) fn on_synchronize(&mut self, from: Requester, epoch: Epoch) {
        if self.is_primary_of(&from.replica, epoch) {
            self.report_stored_positions(from);
        }
    }

    pub(super) fn on_install(
        &mut self,
        from: Requester,
        epoch: Epoch,
        state: ControlState,
        tail: Option<Update>,
        now: Millis,
    ) {
        let is_older = state.position.index < self.state.position.index;
        if !self.is_primary_of(&from.replica, epoch) || is_older {
            return;
        }
        let is_newer = state.position.index > self.state.position.index;
        (self.state, self.tail) = (state, tail);
        self.track_rollout_owner(now);
        self.recent_updates = RecentUpdates::new(self.last_position());
        let record = Record::Install {
            state: self.state.clone(),
            tail: self.tail.clone(),
        };
        self.store(vec![record], now);
        self.report_stored_positions(from);
        if is_newer {
            self.effects.push(Effect::Committed);
        }
    }

    pub(super) fn on_replicate(
        &mut self,
        from: Requester,
        epoch: Epoch,
        previous: Position,
        updates: Vec<Update>,
        now: Millis,
    ) {
        if !self.is_primary_of(&from.replica, epoch) {
            return;
        }
        if previous == self.last_position() {
            for update in updates {
                // The primary orders a change only once the one before it is committed.
                self.commit_up_to(self.last_position(), now);
                self.append(update, now);
            }
        }
        self.report_stored_positions(from);
    }
}
