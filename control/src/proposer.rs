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
        found: Option<Box<Proposal>>,
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
    /// long as there would be fewer than `copies`. Each of these holds every acknowledged change,
    /// whether it answers at present or not.
    TakeOver {
        /// How many copies of each change there have to be.
        copies: usize,
    },
}

/// What came of a vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Nothing yet.
    Waiting,
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
    pub begun: Millis,
    wanted: View,
    intent: Intent,
    phase: Phase,
    refusals: BTreeMap<ReplicaId, u64>,
}

impl Attempt {
    /// Begins to have `wanted` follow `current`.
    pub fn new(
        number: ProposalNumber,
        current: View,
        wanted: View,
        intent: Intent,
        now: Millis,
    ) -> Self {
        let phase = Phase::Preparing {
            promises: BTreeSet::new(),
            found: None,
        };
        Attempt {
            number,
            current,
            begun: now,
            wanted,
            intent,
            phase,
            refusals: BTreeMap::new(),
        }
    }

    /// The epoch that is being decided.
    pub fn epoch(&self) -> Epoch {
        self.current.epoch + 1
    }

    /// The view that it is to bring about, as far as it is known now.
    pub fn wanted(&self) -> &View {
        &self.wanted
    }

    /// Who has to be asked in the present phase.
    pub fn audience(&self) -> BTreeSet<ReplicaId> {
        match self.phase {
            Phase::Preparing { .. } => self.current.witnesses.clone(),
            Phase::Accepting { .. } => self
                .current
                .witnesses
                .union(&self.wanted.witnesses)
                .cloned()
                .collect(),
        }
    }

    /// Who has not answered yet in the present phase.
    pub fn unanswered(&self) -> BTreeSet<ReplicaId> {
        let answered = match &self.phase {
            Phase::Preparing { promises, .. } => promises,
            Phase::Accepting { accepts } => accepts,
        };
        let has_answered =
            |replica: &ReplicaId| answered.contains(replica) || self.refusals.contains_key(replica);
        self.audience()
            .into_iter()
            .filter(|replica| !has_answered(replica))
            .collect()
    }

    /// The proposal of the second phase; none in the first.
    pub fn proposal(&self) -> Option<Proposal> {
        matches!(self.phase, Phase::Accepting { .. }).then(|| Proposal {
            number: self.number.clone(),
            view: self.wanted.clone(),
        })
    }

    /// Takes a witness's answer to the first phase.
    pub fn voted(&mut self, from: &ReplicaId, vote: Vote) -> Progress {
        let Phase::Preparing { promises, found } = &mut self.phase else {
            return Progress::Waiting;
        };
        match vote {
            Vote::Promised { accepted } => {
                promises.insert(from.clone());
                let newer = match (&accepted, &found) {
                    (Some(told), Some(known)) => told.number > known.number,
                    (told, _) => told.is_some(),
                };
                if newer {
                    *found = accepted.map(Box::new);
                }
            }
            Vote::AlreadyDecided { decided } => return Progress::Superseded(decided),
            Vote::Superseded { number } => return self.refused(from, number.round),
            Vote::Leased | Vote::NotEligible => return self.refused(from, self.number.round),
        }
        if !self.current.has_majority(promises) {
            return Progress::Waiting;
        }
        let (promises, found) = (std::mem::take(promises), found.take());
        self.settle(&promises, found.map(|found| found.view));
        self.phase = Phase::Accepting {
            accepts: BTreeSet::new(),
        };
        self.refusals.clear();
        self.proposal().map_or(Progress::Waiting, Progress::Accept)
    }

    /// What is proposed: a view that an earlier attempt may have had decided is carried on.
    fn settle(&mut self, promises: &BTreeSet<ReplicaId>, found: Option<View>) {
        if let Some(view) = found {
            self.wanted = view;
        } else if let Intent::TakeOver { copies } = self.intent {
            let in_sync = &self.current.in_sync;
            self.wanted
                .in_sync
                .extend(in_sync.intersection(promises).cloned());
            let missing = copies.saturating_sub(self.wanted.in_sync.len());
            let unresponsive: Vec<ReplicaId> = in_sync
                .difference(&self.wanted.in_sync)
                .take(missing)
                .cloned()
                .collect();
            self.wanted.in_sync.extend(unresponsive);
        }
    }

    /// Takes a witness's answer to the second phase; a refusal names the round that it has promised
    /// to.
    pub fn accepted(&mut self, from: &ReplicaId, answer: Result<(), u64>) -> Progress {
        if let Err(round) = answer {
            return self.refused(from, round);
        }
        let Phase::Accepting { accepts } = &mut self.phase else {
            return Progress::Waiting;
        };
        accepts.insert(from.clone());
        if self.current.has_majority(accepts) && self.wanted.has_majority(accepts) {
            return Progress::Decided(self.wanted.clone());
        }
        Progress::Waiting
    }

    /// Notes a refusal; the attempt has failed once a majority can't be had any more.
    fn refused(&mut self, from: &ReplicaId, round: u64) -> Progress {
        self.refusals.insert(from.clone(), round);
        let refused: BTreeSet<ReplicaId> = self.refusals.keys().cloned().collect();
        let left = self.current.witnesses.difference(&refused).count();
        if left >= self.current.majority() {
            return Progress::Waiting;
        }
        Progress::Failed {
            round: self.highest_round(),
        }
    }

    /// The highest round that is known of.
    pub fn highest_round(&self) -> u64 {
        self.refusals
            .values()
            .copied()
            .max()
            .unwrap_or_default()
            .max(self.number.round)
    }

    /// Whether a witness has promised to a higher attempt, so that a later one of this proposer may
    /// go through sooner.
    pub fn is_outbid(&self) -> bool {
        self.highest_round() > self.number.round
    }
}
