//! What one replica does in one step. Votes and attempts are the program's own; what a primary does
//! with its data and its lease is mirrored from `control::node`.

use crate::bounds::Bounds;
use crate::state::{
    Leading, Message, REPLICATION_FACTOR, Replica, Shared, Stage, State, held_until, id, numbers,
};
use control::proposer::{Attempt, Intent, Progress};
use control::view::{ProposalNumber, View};
use control::witness::{Vote, Votes, Witness};
use std::collections::{BTreeMap, BTreeSet};

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    None,
    /// A witness promises to a lower attempt after a higher one.
    PromiseOverwritten,
    /// A promise is answered before it is on disk.
    PromiseNotStored,
    /// A restarted proposer counts its attempts anew, and nothing tells its lives apart.
    BallotsRepeat,
    /// A candidate does not carry on what an earlier attempt may have had accepted.
    FoundIgnored,
    /// A replica takes the view that it accepted for decided once it hears the primary of that
    /// epoch.
    ViewFromHeartbeat,
    /// Changes are acknowledged without those whom a proposal that was given up would take in.
    GivenUpProposalForgotten,
    /// A candidate need not be in the in-sync set.
    AnyoneTakesOver,
    /// A lease that other witnesses granted is kept in a view with new ones.
    LeaseKeptWithNewWitnesses,
    /// A witness votes for another replica while its grant holds.
    GrantNotHeeded,
    /// A state that was delayed replaces changes that were stored since.
    DelayedStateInstalled,
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

    /// Puts the replica back as it is now.
    pub fn end(self) {
        self.state.replicas[self.at] = Shared::new(self.replica);
    }

    /// Sends a message; what is for this replica too is taken at once, unless its own disk is slow.
    fn send(&mut self, message: Message) {
        let receiver = message.receiver();
        let is_for_all = receiver.is_none() && !self.bounds.is_own_disk_slow;
        if is_for_all || receiver == Some(self.at) {
            self.take(message.clone());
        }
        if receiver != Some(self.at) {
            self.state.send(message);
        }
    }

    fn store(&mut self) {
        self.replica.disk = self.replica.witness.votes().clone();
    }

    /// A witness that lacks a rule on purpose.
    fn spoil(&mut self) {
        let votes = self.replica.witness.votes().clone();
        match self.fault {
            Fault::PromiseOverwritten => {
                self.replica.witness = Witness::new(
                    Votes {
                        promised: None,
                        ..votes
                    },
                    false,
                    0,
                    0,
                );
            }
            Fault::GrantNotHeeded => self.replica.witness = Witness::new(votes, false, 0, 0),
            _ => {}
        }
    }

    pub fn begin_attempt(&mut self, wanted: View, intent: Intent) {
        let Some(current) = self.replica.witness.decided().cloned() else {
            return;
        };
        self.replica.round += 1;
        let incarnation = if self.fault == Fault::BallotsRepeat {
            0
        } else {
            self.replica.incarnation
        };
        let number = ProposalNumber {
            round: self.replica.round,
            proposer: id(self.at),
            incarnation,
        };
        self.replica.attempt = Some(Attempt::new(
            number.clone(),
            current.clone(),
            wanted,
            intent,
            0,
        ));
        self.send(Message::Prepare {
            from: self.at,
            current,
            number,
        });
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
                self.send(Message::Accept {
                    from: self.at,
                    current,
                    proposal,
                });
            }
            Progress::Decided(view) => {
                self.replica.attempt = None;
                self.state.note_decided(&view);
                self.learn(&view);
                if self.bounds.tells_decided {
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
            self.lead(view, former);
        }
    }

    fn lead(&mut self, view: &View, former: Option<Leading>) {
        let keeps = self.fault == Fault::LeaseKeptWithNewWitnesses;
        let held = former
            .as_ref()
            .map(|former| held_until(former, &self.state.decided[&former.epoch]));
        self.replica.leading = Some(Leading {
            epoch: view.epoch,
            stage: Stage::Starting(BTreeSet::from([self.at])),
            proposed: BTreeSet::new(),
            granted: former.map(|former| former.granted).unwrap_or_default(),
            kept_until: held.filter(|_| keeps).unwrap_or(0),
            holds: BTreeMap::new(),
        });
        let log = self.replica.log;
        self.state.leads_without |= log < self.state.acknowledged;
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
        self.finish();
    }

    /// Whoever has to store a change before it is acknowledged.
    fn required(&self) -> BTreeSet<usize> {
        let view = self.replica.witness.decided();
        let mut required = view.map(|view| numbers(&view.in_sync)).unwrap_or_default();
        if self.fault != Fault::GivenUpProposalForgotten
            && let Some(leading) = &self.replica.leading
        {
            required.extend(&leading.proposed);
        }
        if let Some(attempt) = &self.replica.attempt {
            required.extend(numbers(&attempt.target().in_sync));
        }
        required
    }

    fn finish(&mut self) {
        let required = self.required();
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

    pub fn give_up(&mut self) {
        self.replica.attempt = None;
        self.finish();
    }

    pub fn order(&mut self) {
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

    pub fn bring_up(&mut self, other: usize) {
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
        replica.witness = Witness::new(replica.disk.clone(), false, lease, self.state.now);
        (replica.attempt, replica.leading, replica.incarnation) =
            (None, None, replica.incarnation + 1);
        if self.fault == Fault::BallotsRepeat {
            replica.round = 0;
        }
    }

    pub fn take(&mut self, message: Message) {
        match message {
            Message::Prepare {
                from,
                current,
                number,
            } => {
                self.learn(&current);
                self.spoil();
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
                let answer = self.replica.witness.accept(&current, proposal);
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
                self.hear(from, epoch);
                if self.follows(from, epoch)
                    && (self.replica.log == log || self.replica.log + 1 == log)
                {
                    (self.replica.log, self.replica.log_epoch) = (log, epoch);
                    self.report(from, epoch);
                }
            }
            Message::Stored {
                from, epoch, log, ..
            } => self.stored(from, epoch, log),
            Message::Heartbeat {
                from,
                epoch,
                sent_at,
            } => {
                self.hear(from, epoch);
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
        let is_own = self.fault == Fault::BallotsRepeat || incarnation == self.replica.incarnation;
        self.replica
            .attempt
            .as_mut()
            .filter(|attempt| is_own && attempt.number == *number)
    }

    fn on_vote(&mut self, from: usize, incarnation: u64, number: &ProposalNumber, vote: Vote) {
        let vote = match (self.fault, vote) {
            (Fault::FoundIgnored, Vote::Promised { .. }) => Vote::Promised { accepted: None },
            (_, vote) => vote,
        };
        if let Some(attempt) = self.attempt_of(incarnation, number) {
            let progress = attempt.on_vote(&id(from), vote);
            self.proceed(progress);
        }
    }

    /// Tells the primary which changes are stored.
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

    /// The fault that takes an accepted view for decided.
    fn hear(&mut self, primary: usize, epoch: u64) {
        let accepted = self
            .replica
            .witness
            .votes()
            .accepted
            .clone()
            .map(|accepted| accepted.view);
        let heard = accepted.filter(|view| view.epoch == epoch && view.primary == id(primary));
        if let Some(view) = heard.filter(|_| self.fault == Fault::ViewFromHeartbeat) {
            self.learn(&view);
        }
    }

    fn stored(&mut self, from: usize, epoch: u64, log: u8) {
        let own_log = self.replica.log;
        let Some(leading) = self
            .replica
            .leading
            .as_mut()
            .filter(|leading| leading.epoch == epoch)
        else {
            return;
        };
        leading.holds.insert(from, log);
        if log != own_log {
            return;
        }
        match &mut leading.stage {
            Stage::Starting(done) | Stage::Replicating(done) => {
                done.insert(from);
            }
            Stage::Ready => {}
        }
        self.finish();
    }
}
