//! Deciding the next view: one attempt of a replica to have it accepted by majorities of the old and the new witnesses.

use crate::Millis;
use crate::view::{Accepted, Ballot, ReplicaId, View};
use crate::witness::Vote;
use std::collections::{BTreeMap, BTreeSet};

/// How far an attempt has come.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// Waiting for promises of the present witnesses.
    Preparing { promises: BTreeSet<ReplicaId>, found: Option<Box<Accepted>> },
    /// Waiting for the view to be accepted.
    Accepting { accepts: BTreeSet<ReplicaId> },
}

/// What came of a vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Nothing yet.
    Waiting,
    /// The attempt goes into its second phase: ask for acceptance.
    Accept(Accepted),
    /// The view is decided.
    Decided(View),
    /// The attempt is over; try again later with a higher round than this.
    Failed {
        /// The highest round seen.
        round: u64,
    },
    /// A later view is known; start anew from it.
    Overtaken(Accepted),
}

/// One attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its number.
    pub ballot: Ballot,
    /// The decided view that the attempt starts from.
    pub current: View,
    /// When it was begun.
    pub begun: Millis,
    wanted: View,
    takes_over: bool,
    phase: Phase,
    refusals: BTreeMap<ReplicaId, u64>,
}

impl Attempt {
    /// Begins to have `wanted` follow `current`. One that takes over keeps every in-sync replica that votes for it.
    pub fn new(ballot: Ballot, current: View, wanted: View, takes_over: bool, now: Millis) -> Self {
        let phase = Phase::Preparing { promises: BTreeSet::new(), found: None };
        Attempt { ballot, current, begun: now, wanted, takes_over, phase, refusals: BTreeMap::new() }
    }

    /// The epoch that is being decided.
    pub fn epoch(&self) -> u64 {
        self.current.epoch + 1
    }

    /// Who has to be asked in the present phase.
    pub fn audience(&self) -> BTreeSet<ReplicaId> {
        match self.phase {
            Phase::Preparing { .. } => self.current.witnesses.clone(),
            Phase::Accepting { .. } => {
                self.current.witnesses.union(&self.wanted.witnesses).cloned().collect()
            }
        }
    }

    /// The proposal of the second phase; none in the first.
    pub fn proposal(&self) -> Option<Accepted> {
        matches!(self.phase, Phase::Accepting { .. }).then(|| Accepted {
            ballot: self.ballot.clone(),
            view: self.wanted.clone(),
            previous: Some(self.current.clone()),
        })
    }

    /// Takes a witness's answer to the first phase.
    pub fn voted(&mut self, from: &ReplicaId, vote: Vote) -> Progress {
        let Phase::Preparing { promises, found } = &mut self.phase else { return Progress::Waiting };
        match vote {
            Vote::Promised { accepted } => {
                promises.insert(from.clone());
                let newer = match (&accepted, &found) {
                    (Some(told), Some(known)) => told.ballot > known.ballot,
                    (told, _) => told.is_some(),
                };
                if newer {
                    *found = accepted.map(Box::new);
                }
            }
            Vote::Passed { accepted } => return Progress::Overtaken(accepted),
            Vote::Outbid { ballot } => return self.refused(from, ballot.round),
            Vote::Leased => return self.refused(from, self.ballot.round),
        }
        if !self.current.has_majority(promises) {
            return Progress::Waiting;
        }
        // What may have been decided by an earlier attempt is carried on.
        if let Some(accepted) = found.take() {
            self.wanted = accepted.view;
        } else if self.takes_over {
            let voters = self.current.in_sync.intersection(promises).cloned();
            self.wanted.in_sync.extend(voters);
        }
        self.phase = Phase::Accepting { accepts: BTreeSet::new() };
        self.refusals.clear();
        self.proposal().map_or(Progress::Waiting, Progress::Accept)
    }

    /// Takes a witness's answer to the second phase.
    pub fn accepted(&mut self, from: &ReplicaId, yes: bool) -> Progress {
        if !yes {
            return self.refused(from, self.ballot.round);
        }
        let Phase::Accepting { accepts } = &mut self.phase else { return Progress::Waiting };
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
        if 2 * left > self.current.witnesses.len() {
            return Progress::Waiting;
        }
        let round = self.refusals.values().copied().max().unwrap_or_default().max(self.ballot.round);
        Progress::Failed { round }
    }
}
