//! One step of one replica. Witnesses and attempts are those of the `control` crate; the
//! replication and the lease of a primary are modelled after `control::node`.

use crate::bounds::Bounds;
use crate::state::{
    Leading, MACHINES, Message, REPLICATION_FACTOR, Replica, SEEDS, Shared, Stage, State, id, ids,
    lease_expires_at, numbers,
};
use control::proposer::{Attempt, Intent, Progress};
use control::view::{BOOTSTRAP_EPOCH, ProposalNumber, View};
use control::witness::{Vote, Votes, Witness};
use std::collections::{BTreeMap, BTreeSet};

/// An injected fault: a rule of the protocol that is omitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    None,
    /// A witness promises a lower proposal number after a higher one.
    PromiseOverwritten,
    /// A witness replies with a promise before the promise is durable.
    PromiseNotStored,
    /// A restarted proposer reuses proposal numbers, which do not contain the incarnation.
    ProposalNumbersReused,
    /// A candidate does not complete a view that witnesses may have accepted in an earlier attempt.
    AcceptedViewIgnored,
    /// A replica considers the view that it accepted as decided once it receives a message from the
    /// primary of that epoch.
    ViewFromHeartbeat,
    /// A change is acknowledged without the replicas that an abandoned proposal would have added.
    AbandonedProposalForgotten,
    /// A candidate need not be in the in-sync set.
    OutOfSyncReplicaTakesOver,
    /// A lease granted by former witnesses is kept in a view with other witnesses.
    LeaseKeptWithNewWitnesses,
    /// A witness votes for another replica while its grant lasts.
    GrantIgnored,
    /// A primary considers itself the only one with fewer grants than a blocking set.
    FewerGrantsSuffice,
    /// A delayed full state replaces changes that were stored since.
    DelayedStateInstalled,
    /// A replica on a new disk votes on the first view.
    NewDiskVotes,
    /// One of two witnesses decides alone without proof that the other one's disk is lost.
    LossAssumed,
}

/// One step of one replica.
pub struct Turn<'a> {
    bounds: &'a Bounds,
    fault: Fault,
    state: &'a mut State,
    at: usize,
    pub replica: Replica,
}

impl<'a> Turn<'a> {
    pub fn of(bounds: &'a Bounds, state: &'a mut State, at: usize) -> Self {
        let replica = Replica::clone(&state.replicas[at]);
        Turn {
            bounds,
            fault: bounds.fault,
            state,
            at,
            replica,
        }
    }

    /// Writes the replica back to the state.
    pub fn end(self) {
        self.state.replicas[self.at] = Shared::new(self.replica);
    }

    /// Sends a message. A message to this replica itself is received at once, unless the disk is
    /// slow.
    fn send(&mut self, message: Message) {
        let receiver = message.receiver();
        let is_for_all = receiver.is_none() && !self.bounds.is_own_disk_slow;
        if is_for_all || receiver == Some(self.at) {
            self.receive(message.clone());
        }
        if receiver != Some(self.at) {
            self.state.send(message);
        }
    }

    fn store(&mut self) {
        self.replica.disk = self.replica.witness.votes().clone();
    }

    /// Applies the faults that concern the witness.
    fn apply_witness_fault(&mut self) {
        let votes = self.replica.witness.votes().clone();
        match self.fault {
            Fault::PromiseOverwritten => {
                self.replica.witness = Witness::new(
                    Votes {
                        promised: None,
                        ..votes
                    },
                    self.replica.may_bootstrap,
                    0,
                    0,
                );
            }
            Fault::GrantIgnored => {
                self.replica.witness = Witness::new(votes, self.replica.may_bootstrap, 0, 0)
            }
            _ => {}
        }
    }

    /// The replicas of the seeds, which decide the first view.
    pub fn electorate(&self) -> View {
        let running = self.state.running();
        let replica_of = |machine: usize| {
            let successor = machine + MACHINES;
            if running.contains(&successor) {
                successor
            } else {
                machine
            }
        };
        View {
            epoch: BOOTSTRAP_EPOCH,
            primary: id(0),
            in_sync: BTreeSet::new(),
            witnesses: ids((0..SEEDS).map(replica_of)),
        }
    }

    pub fn begin_attempt(&mut self, current: View, wanted: View, intent: Intent) {
        self.replica.round += 1;
        let incarnation = if self.fault == Fault::ProposalNumbersReused {
            0
        } else {
            self.replica.incarnation
        };
        let number = ProposalNumber {
            round: self.replica.round,
            proposer: id(self.at),
            incarnation,
        };
        let known = self.state.running();
        let attempt = Attempt::new(number.clone(), current.clone(), wanted, intent, 0);
        self.replica.attempt = Some(attempt.asking_successors(&ids(known.iter().copied())));
        self.apply_assumed_loss(&number);
        self.send(Message::Prepare {
            from: self.at,
            current,
            number,
        });
    }

    /// Applies [`Fault::LossAssumed`]: the attempt gets replies that the new disks of all other
    /// machines would send if there were any.
    fn apply_assumed_loss(&mut self, number: &ProposalNumber) {
        if self.fault != Fault::LossAssumed {
            return;
        }
        let others = (0..SEEDS).filter(|machine| *machine != self.at);
        let Some(attempt) = &mut self.replica.attempt else {
            return;
        };
        assert_eq!(attempt.number, *number);
        for machine in others {
            let successor = id(machine + MACHINES);
            if attempt.proposal().is_some() {
                attempt.on_accept_reply(&successor, Err(0));
            } else {
                attempt.on_vote(&successor, Vote::NotEligible);
            }
        }
    }

    fn proceed(&mut self, progress: Progress) {
        match progress {
            Progress::Pending => {}
            Progress::Accept(proposal) => {
                if let Some(leading) = &mut self.replica.leading {
                    leading.proposed = numbers(&proposal.view.in_sync);
                }
                let Some(attempt) = &self.replica.attempt else {
                    return;
                };
                let current = attempt.current.clone();
                self.apply_assumed_loss(&proposal.number);
                self.send(Message::Accept {
                    from: self.at,
                    current,
                    proposal,
                });
            }
            Progress::Decided(view) => {
                self.replica.attempt = None;
                self.state.record_decided(&view);
                self.learn(&view);
                if self.bounds.announces_decided {
                    self.send(Message::Decided { view });
                }
            }
            Progress::Failed { .. } => self.replica.attempt = None,
            Progress::Superseded(view) => {
                self.replica.attempt = None;
                self.learn(&view);
            }
        }
    }

    fn learn(&mut self, view: &View) {
        if !self.replica.witness.learn(view) {
            return;
        }
        self.store();
        if self
            .replica
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.epoch() <= view.epoch)
        {
            self.replica.attempt = None;
        }
        let former = self.replica.leading.take();
        if view.primary == id(self.at) {
            self.start_leading(view, former);
        }
    }

    fn start_leading(&mut self, view: &View, former: Option<Leading>) {
        let keeps = self.fault == Fault::LeaseKeptWithNewWitnesses;
        let held = former
            .as_ref()
            .map(|former| lease_expires_at(former, &self.state.decided[&former.epoch]));
        self.replica.leading = Some(Leading {
            epoch: view.epoch,
            stage: Stage::Starting(BTreeSet::from([self.at])),
            proposed: BTreeSet::new(),
            granted: former.map(|former| former.granted).unwrap_or_default(),
            kept_until: held.filter(|_| keeps).unwrap_or(0),
            stored: BTreeMap::new(),
        });
        let log = self.replica.log;
        self.state.primary_lacks_acknowledged |= log < self.state.acknowledged;
        for other in numbers(&view.in_sync)
            .into_iter()
            .filter(|other| *other != self.at)
        {
            self.state.send(Message::Install {
                from: self.at,
                to: other,
                epoch: view.epoch,
                log,
            });
        }
        self.finish_stage();
    }

    /// The replicas that have to store a change before it is acknowledged.
    fn required_acks(&self) -> BTreeSet<usize> {
        let view = self.replica.witness.decided();
        let mut required = view.map(|view| numbers(&view.in_sync)).unwrap_or_default();
        if self.fault != Fault::AbandonedProposalForgotten
            && let Some(leading) = &self.replica.leading
        {
            required.extend(&leading.proposed);
        }
        if let Some(attempt) = &self.replica.attempt {
            required.extend(numbers(&attempt.target().in_sync));
        }
        required
    }

    fn finish_stage(&mut self) {
        let required = self.required_acks();
        let Some(leading) = &mut self.replica.leading else {
            return;
        };
        let is_done = match &leading.stage {
            Stage::Starting(done) | Stage::Replicating(done) => required.is_subset(done),
            Stage::Ready => false,
        };
        if is_done && required.len() >= REPLICATION_FACTOR {
            leading.stage = Stage::Ready;
            self.state.acknowledged = self.state.acknowledged.max(self.replica.log);
        }
    }

    pub fn abandon_attempt(&mut self) {
        self.replica.attempt = None;
        self.finish_stage();
    }

    pub fn replicate(&mut self) {
        self.replica.log += 1;
        self.replica.log_epoch = self
            .replica
            .leading
            .as_ref()
            .map_or(0, |leading| leading.epoch);
        let log = self.replica.log;
        let Some(leading) = &mut self.replica.leading else {
            return;
        };
        leading.stage = Stage::Replicating(BTreeSet::from([self.at]));
        self.state.send(Message::Replicate {
            from: self.at,
            epoch: leading.epoch,
            log,
        });
    }

    pub fn send_state(&mut self, other: usize) {
        let (from, log) = (self.at, self.replica.log);
        if let Some(leading) = &self.replica.leading {
            self.state.send(Message::Install {
                from,
                to: other,
                epoch: leading.epoch,
                log,
            });
        }
    }

    pub fn send_heartbeat(&mut self) {
        let sent_at = self.state.now;
        if let Some(epoch) = self.replica.leading.as_ref().map(|leading| leading.epoch) {
            self.send(Message::Heartbeat {
                from: self.at,
                epoch,
                sent_at,
            });
        }
    }

    pub fn restart(&mut self, lease: u64) {
        let replica = &mut self.replica;
        replica.witness = Witness::new(
            replica.disk.clone(),
            replica.may_bootstrap,
            lease,
            self.state.now,
        );
        (replica.attempt, replica.leading, replica.incarnation) =
            (None, None, replica.incarnation + 1);
        if self.fault == Fault::ProposalNumbersReused {
            replica.round = 0;
        }
    }

    pub fn receive(&mut self, message: Message) {
        match message {
            Message::Prepare {
                from,
                current,
                number,
            } => {
                self.learn(&current);
                self.apply_witness_fault();
                let (vote, _) = self
                    .replica
                    .witness
                    .prepare(&current, &number, self.state.now);
                if self.fault != Fault::PromiseNotStored {
                    self.store();
                }
                let incarnation = number.incarnation;
                self.send(Message::Vote {
                    from: self.at,
                    to: from,
                    incarnation,
                    number,
                    vote,
                });
            }
            Message::Vote {
                from,
                incarnation,
                number,
                vote,
                ..
            } => self.on_vote(from, incarnation, &number, vote),
            Message::Accept {
                from,
                current,
                proposal,
            } => {
                self.learn(&current);
                let number = proposal.number.clone();
                let answer = self
                    .replica
                    .witness
                    .accept(&current, proposal, &id(self.at));
                self.store();
                let incarnation = number.incarnation;
                self.send(Message::Accepted {
                    from: self.at,
                    to: from,
                    incarnation,
                    number,
                    answer,
                });
            }
            Message::Accepted {
                from,
                incarnation,
                number,
                answer,
                ..
            } => {
                if let Some(attempt) = self.attempt_of(incarnation, &number) {
                    let progress = attempt.on_accept_reply(&id(from), answer);
                    self.proceed(progress);
                }
            }
            Message::Decided { view } => self.learn(&view),
            Message::Install {
                from, epoch, log, ..
            } => {
                let is_delayed = self.replica.log_epoch == epoch && log < self.replica.log;
                if !self.follows(from, epoch) {
                    return;
                }
                if is_delayed && self.fault != Fault::DelayedStateInstalled {
                    return self.report(from, epoch);
                }
                self.replica.log = log;
                self.report(from, epoch);
            }
            Message::Replicate { from, epoch, log } => {
                self.apply_heartbeat_fault(from, epoch);
                if self.follows(from, epoch)
                    && (self.replica.log == log || self.replica.log + 1 == log)
                {
                    (self.replica.log, self.replica.log_epoch) = (log, epoch);
                    self.report(from, epoch);
                }
            }
            Message::Stored {
                from, epoch, log, ..
            } => self.on_stored(from, epoch, log),
            Message::Heartbeat {
                from,
                epoch,
                sent_at,
            } => {
                self.apply_heartbeat_fault(from, epoch);
                if self.replica.witness.grant(&id(from), epoch, self.state.now) {
                    self.send(Message::Granted {
                        from: self.at,
                        to: from,
                        epoch,
                        sent_at,
                    });
                }
            }
            Message::Granted {
                from,
                epoch,
                sent_at,
                ..
            } => {
                if let Some(leading) = self
                    .replica
                    .leading
                    .as_mut()
                    .filter(|leading| leading.epoch == epoch)
                {
                    let newest = leading.granted.entry(from).or_default();
                    *newest = sent_at.max(*newest);
                }
            }
        }
    }

    fn attempt_of(&mut self, incarnation: u64, number: &ProposalNumber) -> Option<&mut Attempt> {
        let is_own =
            self.fault == Fault::ProposalNumbersReused || incarnation == self.replica.incarnation;
        self.replica
            .attempt
            .as_mut()
            .filter(|attempt| is_own && attempt.number == *number)
    }

    fn on_vote(&mut self, from: usize, incarnation: u64, number: &ProposalNumber, vote: Vote) {
        let vote = match (self.fault, vote) {
            (Fault::AcceptedViewIgnored, Vote::Promised { .. }) => {
                Vote::Promised { accepted: None }
            }
            (_, vote) => vote,
        };
        if let Some(attempt) = self.attempt_of(incarnation, number) {
            let progress = attempt.on_vote(&id(from), vote);
            self.proceed(progress);
        }
    }

    /// Reports the number of stored changes to the primary.
    fn report(&mut self, primary: usize, epoch: u64) {
        let log = self.replica.log;
        self.send(Message::Stored {
            from: self.at,
            to: primary,
            epoch,
            log,
        });
    }

    fn follows(&self, primary: usize, epoch: u64) -> bool {
        let view = self.replica.witness.decided();
        view.is_some_and(|view| view.epoch == epoch && view.primary == id(primary))
    }

    /// Applies [`Fault::ViewFromHeartbeat`].
    fn apply_heartbeat_fault(&mut self, primary: usize, epoch: u64) {
        let accepted = self
            .replica
            .witness
            .votes()
            .accepted
            .clone()
            .map(|accepted| accepted.view);
        let confirmed = accepted.filter(|view| view.epoch == epoch && view.primary == id(primary));
        if let Some(view) = confirmed.filter(|_| self.fault == Fault::ViewFromHeartbeat) {
            self.learn(&view);
        }
    }

    fn on_stored(&mut self, from: usize, epoch: u64, log: u8) {
        let own_log = self.replica.log;
        let Some(leading) = self
            .replica
            .leading
            .as_mut()
            .filter(|leading| leading.epoch == epoch)
        else {
            return;
        };
        leading.stored.insert(from, log);
        if log != own_log {
            return;
        }
        match &mut leading.stage {
            Stage::Starting(done) | Stage::Replicating(done) => {
                done.insert(from);
            }
            Stage::Ready => {}
        }
        self.finish_stage();
    }
}
