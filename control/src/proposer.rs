//! Deciding the next view: one attempt of a replica to have it accepted by majorities of the old
//! and the new witnesses.

use crate::Millis;
use crate::view::{Epoch, Proposal, ProposalNumber, ReplicaId, View};
use crate::witness::Vote;
use std::collections::{BTreeMap, BTreeSet};

/// How far an attempt has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Waiting for promises of the present witnesses.
    Preparing {
        promises: BTreeSet<ReplicaId>,
        highest_accepted: Option<Box<Proposal>>,
    },
    /// Waiting for the view to be accepted.
    Accepting { accepts: BTreeSet<ReplicaId> },
}

/// Which in-sync replicas the wanted view has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Intent {
    /// Those of the wanted view, as it stands.
    Change,
    /// The proposer takes over: in-sync replicas that vote for it stay in sync, and silent ones as
    /// long as there would be fewer than `replication_factor`. Each of these holds every
    /// acknowledged change, whether it answers at present or not.
    TakeOver {
        /// How many copies of each change there have to be.
        replication_factor: usize,
    },
}

/// What came of a vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Nothing yet.
    Pending,
    /// The attempt goes into its second phase: ask for acceptance.
    Accept(Proposal),
    /// The view is decided.
    Decided(View),
    /// The attempt is over; try again later with a higher round than this.
    Failed {
        /// The highest round seen.
        round: u64,
    },
    /// A later view has been decided; start anew from it.
    Superseded(View),
}

/// One attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Its number.
    pub number: ProposalNumber,
    /// The decided view that the attempt starts from.
    pub current: View,
    /// When it was begun.
    pub started_at: Millis,
    target: View,
    intent: Intent,
    phase: Phase,
    rejections: BTreeMap<ReplicaId, u64>,
}

impl Attempt {
    /// Begins to have `target` follow `current`.
    pub fn new(
        number: ProposalNumber,
        current: View,
        target: View,
        intent: Intent,
        now: Millis,
    ) -> Self {
        let phase = Phase::Preparing {
            promises: BTreeSet::new(),
            highest_accepted: None,
        };
        Attempt {
            number,
            current,
            started_at: now,
            target,
            intent,
            phase,
            rejections: BTreeMap::new(),
        }
    }

    /// The epoch that is being decided.
    pub fn epoch(&self) -> Epoch {
        self.current.epoch + 1
    }

    /// The view that it is to bring about, as far as it is known now.
    pub fn target(&self) -> &View {
        &self.target
    }

    /// Who has to be asked in the present phase.
    pub fn recipients(&self) -> BTreeSet<ReplicaId> {
        match self.phase {
            Phase::Preparing { .. } => self.current.witnesses.clone(),
            Phase::Accepting { .. } => self
                .current
                .witnesses
                .union(&self.target.witnesses)
                .cloned()
                .collect(),
        }
    }

    /// Who has not answered yet in the present phase.
    pub fn pending_recipients(&self) -> BTreeSet<ReplicaId> {
        let answered = match &self.phase {
            Phase::Preparing { promises, .. } => promises,
            Phase::Accepting { accepts } => accepts,
        };
        let has_answered = |replica: &ReplicaId| {
            answered.contains(replica) || self.rejections.contains_key(replica)
        };
        self.recipients()
            .into_iter()
            .filter(|replica| !has_answered(replica))
            .collect()
    }

    /// The proposal of the second phase; none in the first.
    pub fn proposal(&self) -> Option<Proposal> {
        matches!(self.phase, Phase::Accepting { .. }).then(|| Proposal {
            number: self.number.clone(),
            view: self.target.clone(),
        })
    }

    /// Takes a witness's answer to the first phase.
    pub fn on_vote(&mut self, from: &ReplicaId, vote: Vote) -> Progress {
        let Phase::Preparing {
            promises,
            highest_accepted,
        } = &mut self.phase
        else {
            return Progress::Pending;
        };
        match vote {
            Vote::Promised { accepted } => {
                promises.insert(from.clone());
                let is_newer = match (&accepted, &*highest_accepted) {
                    (Some(reported), Some(known)) => reported.number > known.number,
                    (reported, _) => reported.is_some(),
                };
                if is_newer {
                    *highest_accepted = accepted.map(Box::new);
                }
            }
            Vote::AlreadyDecided { decided } => return Progress::Superseded(decided),
            Vote::Superseded { number } => return self.reject(from, number.round),
            Vote::Leased | Vote::NotEligible => return self.reject(from, self.number.round),
        }
        if !self.current.has_majority(promises) {
            return Progress::Pending;
        }
        let (promises, accepted) = (std::mem::take(promises), highest_accepted.take());
        self.choose_view(&promises, accepted.map(|accepted| accepted.view));
        self.phase = Phase::Accepting {
            accepts: BTreeSet::new(),
        };
        self.rejections.clear();
        self.proposal().map_or(Progress::Pending, Progress::Accept)
    }

    /// What is proposed: a view that an earlier attempt may have had decided is carried on.
    fn choose_view(&mut self, promises: &BTreeSet<ReplicaId>, accepted: Option<View>) {
        if let Some(view) = accepted {
            self.target = view;
        } else if let Intent::TakeOver { replication_factor } = self.intent {
            let in_sync = &self.current.in_sync;
            self.target
                .in_sync
                .extend(in_sync.intersection(promises).cloned());
            let missing = replication_factor.saturating_sub(self.target.in_sync.len());
            let unresponsive: Vec<ReplicaId> = in_sync
                .difference(&self.target.in_sync)
                .take(missing)
                .cloned()
                .collect();
            self.target.in_sync.extend(unresponsive);
        }
    }

    /// Takes a witness's answer to the second phase; a refusal names the round that it has promised
    /// to.
    pub fn on_accept_reply(&mut self, from: &ReplicaId, answer: Result<(), u64>) -> Progress {
        if let Err(round) = answer {
            return self.reject(from, round);
        }
        let Phase::Accepting { accepts } = &mut self.phase else {
            return Progress::Pending;
        };
        accepts.insert(from.clone());
        if self.current.has_majority(accepts) && self.target.has_majority(accepts) {
            return Progress::Decided(self.target.clone());
        }
        Progress::Pending
    }

    /// Notes a refusal; the attempt has failed once a majority can't be had any more.
    fn reject(&mut self, from: &ReplicaId, round: u64) -> Progress {
        self.rejections.insert(from.clone(), round);
        let reject: BTreeSet<ReplicaId> = self.rejections.keys().cloned().collect();
        let left = self.current.witnesses.difference(&reject).count();
        if left >= self.current.majority() {
            return Progress::Pending;
        }
        Progress::Failed {
            round: self.highest_round(),
        }
    }

    /// The highest round that is known of.
    pub fn highest_round(&self) -> u64 {
        self.rejections
            .values()
            .copied()
            .max()
            .unwrap_or_default()
            .max(self.number.round)
    }

    /// Whether a witness has promised to a higher attempt, so that a later one of this proposer may
    /// go through sooner.
    pub fn is_superseded(&self) -> bool {
        self.highest_round() > self.number.round
    }
}
