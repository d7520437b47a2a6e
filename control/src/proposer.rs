//! The proposer of view changes: one attempt to have a view accepted.
//!
//! Phase 1 needs a majority of the current view's witnesses. Phase 2 needs majorities of both the
//! current and the proposed view, as in joint consensus, so any two successive views share a
//! witness that knows the later one.
//!
//! A view of two witnesses is decided by both. Where one of them has lost its disk, the other one
//! may decide alone, as its own proposer: each earlier decision needed its vote, and the lost
//! witness can't vote any more. That the disk is lost is proven by the replica on the machine's new
//! disk, which replies to the present phase.

use crate::Millis;
use crate::view::{Epoch, Proposal, ProposalNumber, ReplicaId, View};
use crate::witness::Vote;
use std::collections::{BTreeMap, BTreeSet};

/// The phase of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Paxos phase 1: waiting for promises of the current view's witnesses.
    Preparing {
        promises: BTreeSet<ReplicaId>,
        highest_accepted: Option<Box<Proposal>>,
    },
    /// Paxos phase 2: waiting for the view to be accepted.
    Accepting { accepts: BTreeSet<ReplicaId> },
}

/// How the in-sync set of the proposed view is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Intent {
    /// As proposed.
    Change,
    /// The proposer takes over. In-sync replicas that vote for it stay in the set, and unresponsive
    /// ones only as needed to reach `replication_factor`; they too store every acknowledged change.
    TakeOver {
        /// How many replicas have to store each change.
        replication_factor: usize,
    },
}

/// The progress of an attempt after a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Further replies are needed.
    Pending,
    /// Phase 2 begins: send the accept requests.
    Accept(Proposal),
    /// The view is decided.
    Decided(View),
    /// The attempt failed; retry later with a higher round than this.
    Failed {
        /// The highest round seen.
        round: u64,
    },
    /// A later view is already decided; start again from it.
    Superseded(View),
}

/// Whether `replica` runs on another disk of a witness's machine. Two processes can't share an
/// address, so the witness's process has ended and its disk is lost.
fn has_succeeded(replica: &ReplicaId, witness: &ReplicaId) -> bool {
    replica.address == witness.address && replica != witness
}

/// One attempt to decide the view after `current`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Its proposal number.
    pub number: ProposalNumber,
    /// The decided view that the attempt starts from.
    pub current: View,
    /// When it was started.
    pub started_at: Millis,
    target: View,
    intent: Intent,
    phase: Phase,
    rejections: BTreeMap<ReplicaId, u64>,
    /// The replicas that the proposer knows, witnesses or not.
    known: BTreeSet<ReplicaId>,
    /// The replicas that have replied in the current phase. A reply proves that its sender was
    /// running after the phase began, and thus after every witness of the views that the phase
    /// concerns had first started.
    responders: BTreeSet<ReplicaId>,
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
            known: BTreeSet::new(),
            responders: BTreeSet::new(),
        }
    }

    /// Also asks the replicas among `known` that have taken the place of a witness on a lost disk.
    pub fn asking_successors(mut self, known: &BTreeSet<ReplicaId>) -> Self {
        self.known = known.clone();
        self
    }

    /// The known replicas on new disks of a view's witnesses, where it matters whether these are
    /// lost: where there are two witnesses.
    fn successors<'a>(&'a self, view: &'a View) -> impl Iterator<Item = &'a ReplicaId> {
        let succeeds = |replica: &ReplicaId| {
            let mut witnesses = view.witnesses.iter();
            witnesses.any(|witness| has_succeeded(replica, witness))
        };
        let known = self.known.iter().filter(|_| view.witnesses.len() == 2);
        known.filter(move |replica| succeeds(replica))
    }

    /// Whether `votes` decide a view: a majority of its witnesses, or the proposer as the only one
    /// of two that has not lost its disk.
    fn is_quorum(&self, view: &View, votes: &BTreeSet<ReplicaId>) -> bool {
        view.has_majority(votes) || self.is_sole_survivor(view, votes)
    }

    fn is_sole_survivor(&self, view: &View, votes: &BTreeSet<ReplicaId>) -> bool {
        let own = &self.number.proposer;
        let is_lost = |witness: &ReplicaId| {
            let mut responders = self.responders.iter();
            responders.any(|responder| has_succeeded(responder, witness))
        };
        let mut others = view.witnesses.iter().filter(|witness| *witness != own);
        view.witnesses.len() == 2
            && view.witnesses.contains(own)
            && votes.contains(own)
            && others.all(is_lost)
    }

    /// The epoch that this attempt is to decide.
    pub fn epoch(&self) -> Epoch {
        self.current.epoch + 1
    }

    /// The proposed view. Replaced at the end of phase 1 if a witness has already accepted a view.
    pub fn target(&self) -> &View {
        &self.target
    }

    /// The replicas that are asked in the current phase.
    pub fn recipients(&self) -> BTreeSet<ReplicaId> {
        let mut recipients = self.current.witnesses.clone();
        recipients.extend(self.successors(&self.current).cloned());
        if matches!(self.phase, Phase::Accepting { .. }) {
            recipients.extend(self.target.witnesses.iter().cloned());
            recipients.extend(self.successors(&self.target).cloned());
        }
        recipients
    }

    /// The replicas that have not replied in the current phase.
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

    /// The proposal of phase 2; `None` in phase 1.
    pub fn proposal(&self) -> Option<Proposal> {
        matches!(self.phase, Phase::Accepting { .. }).then(|| Proposal {
            number: self.number.clone(),
            view: self.target.clone(),
        })
    }

    /// Handles a witness's reply in phase 1.
    pub fn on_vote(&mut self, from: &ReplicaId, vote: Vote) -> Progress {
        let is_witness = self.current.witnesses.contains(from);
        let Phase::Preparing {
            promises,
            highest_accepted,
        } = &mut self.phase
        else {
            return Progress::Pending;
        };
        self.responders.insert(from.clone());
        match vote {
            Vote::AlreadyDecided { decided } => return Progress::Superseded(decided),
            // A successor's reply is no vote.
            _ if !is_witness => {}
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
            Vote::Superseded { number } => return self.reject(from, number.round),
            Vote::Leased | Vote::NotEligible => return self.reject(from, self.number.round),
        }
        self.finish_phase_1()
    }

    /// Starts phase 2 where the promises suffice.
    fn finish_phase_1(&mut self) -> Progress {
        let Phase::Preparing {
            promises,
            highest_accepted,
        } = &self.phase
        else {
            return Progress::Pending;
        };
        if !self.is_quorum(&self.current, promises) {
            return Progress::Pending;
        }
        let (promises, accepted) = (promises.clone(), highest_accepted.clone());
        self.choose_view(&promises, accepted.map(|accepted| accepted.view));
        self.phase = Phase::Accepting {
            accepts: BTreeSet::new(),
        };
        self.rejections.clear();
        self.responders.clear();
        self.proposal().map_or(Progress::Pending, Progress::Accept)
    }

    /// Chooses the view of phase 2. A view that a witness has accepted may already be decided, so
    /// it takes the place of this attempt's own.
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

    /// Handles a witness's reply in phase 2; a rejection carries the round that it has promised.
    pub fn on_accept_reply(&mut self, from: &ReplicaId, answer: Result<(), u64>) -> Progress {
        let Phase::Accepting { accepts } = &mut self.phase else {
            return Progress::Pending;
        };
        self.responders.insert(from.clone());
        if answer.is_ok() {
            accepts.insert(from.clone());
        }
        let accepts = accepts.clone();
        if self.is_quorum(&self.current, &accepts) && self.is_quorum(&self.target, &accepts) {
            return Progress::Decided(self.target.clone());
        }
        match answer {
            Ok(()) => Progress::Pending,
            Err(round) => self.reject(from, round),
        }
    }

    /// Records a rejection. The attempt fails once a majority cannot be reached any more.
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

    /// The highest round that this attempt knows of.
    pub fn highest_round(&self) -> u64 {
        self.rejections
            .values()
            .copied()
            .max()
            .unwrap_or_default()
            .max(self.number.round)
    }

    /// Whether a witness has promised a higher number, so that this attempt should be abandoned
    /// early.
    pub fn is_superseded(&self) -> bool {
        self.highest_round() > self.number.round
    }
}
