//! Views: heartbeats and the lease, votes, and attempts to have another view decided.

use super::primary::{Contact, Primary};
use super::{ControlNode, Requester, Role};
use crate::Millis;
use crate::message::{Echo, Message};
use crate::proposer::{Attempt, Intent, Progress};
use crate::state::Position;
use crate::view::{Epoch, Incarnation, Proposal, ProposalNumber, ReplicaId, View};
use crate::witness::Vote;
use std::collections::BTreeSet;

/// What came back for a heartbeat.
pub(super) struct HeartbeatReply {
    pub(super) sequence: u64,
    pub(super) granted: bool,
    pub(super) other_view: Option<View>,
    pub(super) wants_view: bool,
    pub(super) sent_at: Millis,
    pub(super) incarnation: Incarnation,
}

impl ControlNode {
    // ---- heartbeats and the lease
    // --------------------------------------------------------------------------

    /// Asks all others for the lease. The number of the sequence comes back with their answers.
    pub(super) fn send_heartbeats(&mut self, now: Millis) -> u64 {
        let (id, epoch) = (self.id().clone(), self.epoch());
        let committed = self.leading_epoch(now).map(|_| self.state.position);
        let own = self.witness.grant(&id, epoch, now);
        let others = self.others();
        let Role::Primary(primary) = &mut self.role else {
            return 0;
        };
        primary.heartbeat_at = now + self.timing.heartbeat_interval;
        let sequence = primary.lease.begin(now);
        if own {
            primary.lease.record_grant(id, sequence);
        }
        let echo = |other: &ReplicaId| primary.heard.get(other).and_then(|heard| heard.echo);
        let echoes: Vec<Option<Echo>> = others.iter().map(echo).collect();
        for (other, echo) in others.into_iter().zip(echoes) {
            self.send(
                other,
                Message::Heartbeat {
                    epoch,
                    sequence,
                    committed,
                    echo,
                },
            );
        }
        sequence
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: Requester,
        epoch: Epoch,
        sequence: u64,
        committed: Option<Position>,
        echo: Option<Echo>,
        now: Millis,
    ) {
        let is_current = self.is_primary_of(&from.replica, epoch);
        if is_current {
            self.last_primary_contact = now;
            if let Some(committed) = committed {
                self.commit_up_to(committed, now);
                self.update_freshness(committed, echo);
            }
        }
        let granted = is_current && self.witness.grant(&from.replica, epoch, now);
        let other_view = self.view().filter(|view| view.epoch > epoch).cloned();
        let wants_view = self.epoch() < epoch;
        let reply = Message::HeartbeatReply {
            epoch,
            sequence,
            granted,
            other_view,
            wants_view,
            sent_at: now,
        };
        self.reply(from, reply);
    }

    /// The primary knew its state to be the newest after it had heard what this replica said at the
    /// moment of the echo.
    fn update_freshness(&mut self, committed: Position, echo: Option<Echo>) {
        let own = echo.filter(|echo| {
            echo.incarnation == self.identity.incarnation && self.state.position >= committed
        });
        self.current_at = self.current_at.max(own.map(|echo| echo.at));
    }

    pub(super) fn on_heartbeat_reply(
        &mut self,
        from: ReplicaId,
        epoch: Epoch,
        answer: HeartbeatReply,
        now: Millis,
    ) {
        if let Some(view) = answer.other_view {
            return self.learn(view, now);
        }
        let view = self.view().filter(|view| view.epoch == epoch).cloned();
        let (Some(view), Role::Primary(primary)) = (view, &mut self.role) else {
            return;
        };
        let echo = Some(Echo {
            incarnation: answer.incarnation,
            at: answer.sent_at,
        });
        primary
            .heard
            .insert(from.clone(), Contact { at: now, echo });
        if answer.granted {
            primary.lease.record_grant(from.clone(), answer.sequence);
        }
        if answer.wants_view {
            self.send(from, Message::Decided { view });
        }
        self.confirm_calls(now);
        self.replicate_next(now);
    }

    pub(super) fn tick_primary(&mut self, now: Millis) {
        if self.is_storage_stalled(now) {
            return self.resign("the disk does not answer", now);
        }
        let Role::Primary(primary) = &self.role else {
            return;
        };
        let is_settled = now >= primary.since + self.timing.lease;
        let without_lease = is_settled && now >= self.lease_expires_at(primary);
        if now >= primary.heartbeat_at {
            self.send_heartbeats(now);
            self.retransmit_interval(now);
        }
        if without_lease {
            self.attempt = None;
            self.last_primary_contact = now;
            return self.transition(Role::Backup, "the lease ended");
        }
        self.finish_stage(now);
        self.reconsider_view(now);
        self.confirm_calls(now);
        self.replicate_next(now);
    }

    /// A primary hands its role over.
    pub fn resign(&mut self, cause: &'static str, now: Millis) {
        if !matches!(self.role, Role::Primary(_)) {
            return;
        }
        let epoch = self.epoch();
        self.attempt = None;
        self.transition(Role::Backup, cause);
        self.last_primary_contact = now + 2 * self.timing.lease;
        for other in self.others() {
            self.send(other, Message::Resign { epoch });
        }
        let id = self.id().clone();
        self.witness.release_lease(&id);
        self.process_inbox(now);
    }

    pub(super) fn on_resign(&mut self, from: ReplicaId, epoch: Epoch, now: Millis) {
        if !self.is_primary_of(&from, epoch) {
            return;
        }
        self.witness.release_lease(&from);
        self.last_primary_contact = now.saturating_sub(self.timing.lease);
    }

    // ---- votes
    // ---------------------------------------------------------------------------------------------

    pub(super) fn on_prepare(
        &mut self,
        from: Requester,
        current: View,
        number: ProposalNumber,
        now: Millis,
    ) {
        if !current.is_bootstrap() {
            self.learn(current.clone(), now);
        }
        let (vote, has_to_be_stored) = self.witness.prepare(&current, &number, now);
        if has_to_be_stored {
            self.store_votes(now);
        }
        self.reply_when_durable(from, Message::PrepareReply { number, vote });
    }

    pub(super) fn on_accept(
        &mut self,
        from: Requester,
        current: View,
        proposal: Proposal,
        now: Millis,
    ) {
        if !current.is_bootstrap() {
            self.learn(current.clone(), now);
        }
        let number = proposal.number.clone();
        let answer = self.witness.accept(&current, proposal);
        if answer.is_ok() {
            self.store_votes(now);
        }
        self.reply_when_durable(from, Message::AcceptReply { number, answer });
    }

    pub(super) fn on_vote(
        &mut self,
        from: &ReplicaId,
        number: &ProposalNumber,
        vote: Vote,
        now: Millis,
    ) {
        if let Some(attempt) = self
            .attempt
            .as_mut()
            .filter(|attempt| attempt.number == *number)
        {
            let progress = attempt.on_vote(from, vote);
            self.proceed(progress, now);
        }
    }

    pub(super) fn on_accept_reply(
        &mut self,
        from: &ReplicaId,
        number: &ProposalNumber,
        answer: Result<(), u64>,
        now: Millis,
    ) {
        if let Some(attempt) = self
            .attempt
            .as_mut()
            .filter(|attempt| attempt.number == *number)
        {
            let progress = attempt.on_accept_reply(from, answer);
            self.proceed(progress, now);
        }
    }

    // ---- attempts
    // ------------------------------------------------------------------------------------------

    /// An in-sync backup takes over once the primary has been silent for longer than its lease.
    pub(super) fn tick_backup(&mut self, now: Millis) {
        let Some(view) = self.view() else { return };
        if self.attempt.is_some() || now < self.next_attempt_at || !view.in_sync.contains(self.id())
        {
            return;
        }
        let is_before = |other: &&ReplicaId| **other != view.primary && *other < self.id();
        let before = view.in_sync.iter().filter(is_before).count() as u64;
        let own = view.primary == *self.id();
        let wait = if own {
            0
        } else {
            self.timing.lease + before * self.timing.election_stagger
        };
        // A process that is about to end is primary again only where nobody else is.
        let wait = if self.leaving {
            wait + 2 * self.timing.lease
        } else {
            wait
        };
        if now < self.last_primary_contact + wait || self.is_storage_stalled(now) {
            return;
        }
        let wanted = View {
            epoch: view.epoch + 1,
            primary: self.id().clone(),
            in_sync: BTreeSet::from([self.id().clone()]),
            witnesses: view.witnesses.clone(),
        };
        let replication_factor = self.timing.replication_factor.min(view.witnesses.len());
        self.propose_view(
            view.clone(),
            wanted,
            Intent::TakeOver { replication_factor },
            now,
        );
    }

    /// Begins an attempt to have a view decided that follows `current`.
    pub(super) fn propose_view(
        &mut self,
        current: View,
        mut wanted: View,
        intent: Intent,
        now: Millis,
    ) {
        wanted.epoch = current.epoch + 1;
        self.proposal_round += 1;
        let number = ProposalNumber {
            round: self.proposal_round,
            proposer: self.id().clone(),
            incarnation: self.identity.incarnation,
        };
        self.attempt = Some(Attempt::new(number, current, wanted, intent, now));
        self.send_attempt(now);
    }

    /// Asks everyone who has not answered in the present phase of the attempt.
    fn send_attempt(&mut self, now: Millis) {
        self.retransmit_at = now + self.timing.heartbeat_interval;
        let Some(attempt) = &self.attempt else { return };
        let (current, number) = (attempt.current.clone(), attempt.number.clone());
        let message = match attempt.proposal() {
            Some(proposal) => Message::Accept { current, proposal },
            None => Message::Prepare { current, number },
        };
        for witness in attempt.pending_recipients() {
            self.send(witness, message.clone());
        }
    }

    pub(super) fn tick_attempt(&mut self, now: Millis) {
        let Some(attempt) = &self.attempt else { return };
        let timeout = if attempt.is_superseded() {
            self.timing.heartbeat_interval
        } else {
            self.timing.replica_timeout
        };
        if now >= attempt.started_at + timeout {
            self.proposal_round = self.proposal_round.max(attempt.highest_round());
            self.back_off(now);
        } else if now >= self.retransmit_at {
            self.send_attempt(now);
        }
    }

    pub(super) fn back_off(&mut self, now: Millis) {
        self.attempt = None;
        let is_before = |other: &&ReplicaId| *other < self.id();
        let place = self
            .view()
            .map_or(0, |view| view.in_sync.iter().filter(is_before).count());
        self.next_attempt_at = now + 50 + place as u64 * self.timing.election_stagger / 2;
    }

    fn proceed(&mut self, progress: Progress, now: Millis) {
        match progress {
            Progress::Pending => {}
            Progress::Accept(proposal) => {
                if let Role::Primary(primary) = &mut self.role {
                    // What was proposed before can't be decided any more, unless it is this very
                    // view.
                    primary.proposed = proposal.view.in_sync;
                }
                self.send_attempt(now);
            }
            Progress::Decided(view) => {
                let Some(attempt) = self.attempt.take() else {
                    return;
                };
                let mut informed = attempt.current.participants();
                informed.extend(view.participants());
                informed.remove(self.id());
                for replica in informed {
                    self.send(replica, Message::Decided { view: view.clone() });
                }
                self.learn(view, now);
            }
            Progress::Failed { round } => {
                self.proposal_round = self.proposal_round.max(round);
                self.back_off(now);
            }
            Progress::Superseded(decided) => {
                self.attempt = None;
                self.learn(decided, now);
                self.back_off(now);
            }
        }
    }

    /// A view is known to be decided.
    pub(super) fn learn(&mut self, view: View, now: Millis) {
        if !self.witness.learn(&view) {
            return;
        }
        self.store_votes(now);
        self.track_rollout_owner(now);
        if self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.epoch() <= view.epoch)
        {
            self.attempt = None;
        }
        self.last_primary_contact = now;
        if view.primary == *self.id() {
            self.start_leading(now);
        } else if view.participants().contains(self.id()) {
            self.transition(Role::Backup, "a view with another primary was decided");
        } else {
            self.transition(Role::Outside, "a view without this replica was decided");
        }
    }

    /// Begins to work as primary of the present view: tells everyone of it, and brings the backups
    /// into step.
    fn start_leading(&mut self, now: Millis) {
        let former = match &mut self.role {
            Role::Primary(primary) => Some((
                std::mem::take(&mut primary.lease),
                std::mem::take(&mut primary.heard),
                std::mem::take(&mut primary.leaving),
            )),
            _ => None,
        };
        let (lease, mut heard, leaving) = former.unwrap_or_default();
        // Silence counts from here on, also through later views of the same primary.
        for replica in self.others() {
            heard.entry(replica).or_insert(Contact {
                at: now,
                echo: None,
            });
        }
        let mut primary = Primary::new(lease, heard, now);
        primary.leaving = leaving;
        self.transition(
            Role::Primary(Box::new(primary)),
            "a view with this primary was decided",
        );
        if let Some(view) = self.view().cloned() {
            for other in self.others() {
                self.send(other, Message::Decided { view: view.clone() });
            }
        }
        self.send_heartbeats(now);
        self.retransmit_interval(now);
        self.synchronize_own();
    }
}
