//! View changes: votes as a witness, and attempts to have another view decided.
//!
//! Each view is decided by single-decree Paxos (Lamport, "Paxos Made Simple", 2001) among the
//! witnesses; the protocol itself is in [`crate::witness`] and [`crate::proposer`]. This module
//! decides when to propose a view, and enters the decided one.

use super::lease::Lease;
use super::primary::{Contact, Primary};
use super::{ControlNode, Requester, Role};
use crate::Millis;
use crate::message::Message;
use crate::proposer::{Attempt, Intent, Progress};
use crate::view::{Proposal, ProposalNumber, ReplicaId, View};
use crate::witness::Vote;
use std::collections::{BTreeMap, BTreeSet};

/// The minimum time between a failed attempt and the next one of the same replica.
const MIN_BACKOFF: Millis = 50;

impl ControlNode {
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
        let (vote, must_store) = self.witness.prepare(&current, &number, now);
        if must_store {
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
        let own = &self.identity.id;
        let answer = self.witness.accept(&current, proposal, own);
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

    /// Has an in-sync backup take over once the primary has been unresponsive for longer than its
    /// lease. Candidates wait for different times, so that their proposals rarely compete.
    pub(super) fn tick_backup(&mut self, now: Millis) {
        let Some(view) = self.view() else { return };
        if self.attempt.is_some() || now < self.next_attempt_at || !view.in_sync.contains(self.id())
        {
            return;
        }
        let is_recorded_primary = view.primary == *self.id();
        let wait = if is_recorded_primary {
            0
        } else {
            self.timing.lease + self.preceding_candidates(view) * self.timing.election_stagger
        };
        // A process that is shutting down becomes primary only where no other replica does.
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

    /// Proposes a view that is to follow `current`.
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
        let attempt = Attempt::new(number, current, wanted, intent, now);
        self.attempt = Some(attempt.asking_successors(&self.known_replicas));
        self.send_attempt(now);
    }

    /// Sends the request of the current phase to all witnesses that have not replied to it.
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
            self.timing.attempt_timeout
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
        let preceding = self
            .view()
            .map_or(0, |view| self.preceding_candidates(view));
        self.next_attempt_at = now + MIN_BACKOFF + preceding * self.timing.election_stagger / 2;
    }

    /// The number of in-sync backups that precede this replica in the order of candidates.
    fn preceding_candidates(&self, view: &View) -> u64 {
        let candidates = view.in_sync.iter().filter(|other| **other != view.primary);
        candidates.filter(|other| *other < self.id()).count() as u64
    }

    fn proceed(&mut self, progress: Progress, now: Millis) {
        match progress {
            Progress::Pending => {}
            Progress::Accept(proposal) => {
                if let Role::Primary(primary) = &mut self.role {
                    // A majority has promised this number, so no earlier proposal can be decided
                    // any more, unless for this same view.
                    primary.proposed = proposal.view.in_sync;
                }
                self.send_attempt(now);
            }
            Progress::Decided(view) => {
                let Some(attempt) = self.attempt.take() else {
                    return;
                };
                let mut recipients = attempt.current.participants();
                recipients.extend(view.participants());
                recipients.remove(self.id());
                for replica in recipients {
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

    /// Enters a view that is known to be decided, unless a newer one is known.
    pub(super) fn learn(&mut self, view: View, now: Millis) {
        if !self.witness.learn(&view) {
            return;
        }
        self.store_votes(now);
        if self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.epoch() <= view.epoch)
        {
            self.attempt = None;
        }
        self.last_primary_contact = now;
        if let Some(early) = self
            .early_synchronize
            .take_if(|early| early.epoch <= view.epoch)
        {
            self.on_synchronize(early.requester, early.epoch);
        }
        if view.primary == *self.id() {
            self.start_leading(now);
        } else if view.participants().contains(self.id()) {
            self.transition(Role::Backup, "a view with another primary was decided");
        } else {
            self.transition(Role::Outside, "a view without this replica was decided");
        }
    }

    /// Starts to lead the current view: announces it, and synchronizes the backups.
    fn start_leading(&mut self, now: Millis) {
        let former = match &mut self.role {
            Role::Primary(primary) => Some((
                std::mem::take(&mut primary.lease),
                std::mem::take(&mut primary.contacts),
                std::mem::take(&mut primary.leaving),
                primary.leading_since,
            )),
            _ => None,
        };
        let (lease, mut contacts, leaving, leading_since) =
            former.unwrap_or_else(|| (Lease::default(), BTreeMap::new(), BTreeSet::new(), now));
        // The time-outs of replicas run from now on, and continue through later views of this
        // primary.
        for replica in self.others() {
            contacts.entry(replica).or_insert(Contact {
                at: now,
                echo: None,
            });
        }
        let mut primary = Primary::new(lease, contacts, now);
        primary.leaving = leaving;
        primary.leading_since = leading_since;
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
        self.retransmit(now);
        self.synchronize_own();
    }
}
