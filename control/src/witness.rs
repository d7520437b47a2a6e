//! A witness: stores epochs, votes on the next view, and grants the primary's lease.
//!
//! What it promised or accepted always concerns the epoch behind the newest view that it knows to
//! be decided. Once it knows that epoch to be decided as well, both are void: whoever still
//! attempts it is told the decided view instead.

use crate::Millis;
use crate::view::{BOOTSTRAP_EPOCH, Epoch, Proposal, ProposalNumber, ReplicaId, View};
use serde::{Deserialize, Serialize};

/// What a witness keeps on its disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Votes {
    /// The newest view that is known to be decided.
    pub decided: Option<View>,
    /// The highest attempt to decide the next epoch that was promised to.
    pub promised: Option<ProposalNumber>,
    /// The view for the next epoch that was accepted in the highest attempt.
    pub accepted: Option<Proposal>,
}

impl Votes {
    /// The epoch of the newest decided view; that of the founding electorate where there is none.
    pub fn epoch(&self) -> Epoch {
        self.decided
            .as_ref()
            .map_or(BOOTSTRAP_EPOCH, |view| view.epoch)
    }
}

/// A witness's answer to a request to prepare.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Vote {
    /// No lower attempt will be accepted; carries what was accepted for that epoch.
    Promised {
        /// A view already accepted for the epoch.
        accepted: Option<Proposal>,
    },
    /// A higher attempt was promised to.
    Superseded {
        /// That attempt.
        number: ProposalNumber,
    },
    /// The epoch has been decided.
    AlreadyDecided {
        /// The newest view that is known to be decided.
        decided: View,
    },
    /// Another replica holds the lease.
    Leased,
    /// This replica did not start together with the system, so it may have forgotten an earlier
    /// vote on the first view.
    NotEligible,
}

/// The lease as one witness sees it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Grant {
    /// Nobody holds it.
    Free,
    /// Held by a replica until a moment of this witness's clock.
    Held { holder: ReplicaId, until: Millis },
    /// Just started: grants of the former process are unknown, so only the primary on file may hold
    /// it until then.
    Unknown { until: Millis },
}

/// The voting part of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Witness {
    votes: Votes,
    grant: Grant,
    lease: Millis,
    may_bootstrap: bool,
}

impl Witness {
    /// A witness that starts with what its disk holds. One that `may_bootstrap` started together
    /// with the system and votes on the first view.
    pub fn new(votes: Votes, may_bootstrap: bool, lease: Millis, now: Millis) -> Self {
        let grant = if votes.decided.is_some() {
            Grant::Unknown { until: now + lease }
        } else {
            Grant::Free
        };
        Witness {
            votes,
            grant,
            lease,
            may_bootstrap,
        }
    }

    /// What is to be on disk.
    pub fn votes(&self) -> &Votes {
        &self.votes
    }

    /// The newest view that is known to be decided.
    pub fn decided(&self) -> Option<&View> {
        self.votes.decided.as_ref()
    }

    /// Whether `replica` may take over as far as the lease goes.
    fn lease_is_available_to(&self, replica: &ReplicaId, now: Millis) -> bool {
        match &self.grant {
            Grant::Free => true,
            Grant::Held { holder, until } => holder == replica || *until <= now,
            Grant::Unknown { until } => {
                let primary = self.decided().map(|view| &view.primary);
                primary == Some(replica) || *until <= now
            }
        }
    }

    /// Votes on an attempt to have a view follow `current`, which the proposer knows to be decided.
    /// The second value says whether the votes have to be stored before the answer.
    pub fn prepare(
        &mut self,
        current: &View,
        number: &ProposalNumber,
        now: Millis,
    ) -> (Vote, bool) {
        let has_learned = self.learn(current);
        if let Some(decided) = self
            .decided()
            .filter(|decided| decided.epoch > current.epoch)
        {
            return (
                Vote::AlreadyDecided {
                    decided: decided.clone(),
                },
                has_learned,
            );
        }
        if current.is_bootstrap() && !self.may_bootstrap {
            return (Vote::NotEligible, has_learned);
        }
        if !self.lease_is_available_to(&number.proposer, now) {
            return (Vote::Leased, has_learned);
        }
        if let Some(higher) = self
            .votes
            .promised
            .as_ref()
            .filter(|promised| *promised > number)
        {
            return (
                Vote::Superseded {
                    number: higher.clone(),
                },
                has_learned,
            );
        }
        self.votes.promised = Some(number.clone());
        (
            Vote::Promised {
                accepted: self.votes.accepted.clone(),
            },
            true,
        )
    }

    /// Accepts a view that is to follow `current`, unless a higher attempt was promised to or the
    /// epoch has been decided. A refusal names the round that was promised to.
    pub fn accept(&mut self, current: &View, proposal: Proposal) -> Result<(), u64> {
        self.learn(current);
        let promised = self
            .votes
            .promised
            .as_ref()
            .filter(|promised| **promised > proposal.number);
        if let Some(higher) = promised {
            return Err(higher.round);
        }
        if proposal.view.epoch != self.votes.epoch() + 1 {
            return Err(proposal.number.round);
        }
        self.votes.promised = Some(proposal.number.clone());
        self.votes.accepted = Some(proposal);
        Ok(())
    }

    /// Grants the lease to the primary of the newest decided view, unless a successor is being
    /// decided.
    pub fn grant(&mut self, holder: &ReplicaId, epoch: Epoch, now: Millis) -> bool {
        let is_primary = self
            .decided()
            .is_some_and(|view| view.epoch == epoch && view.primary == *holder);
        let is_challenged = self
            .votes
            .promised
            .as_ref()
            .is_some_and(|number| number.proposer != *holder)
            || self
                .votes
                .accepted
                .as_ref()
                .is_some_and(|accepted| accepted.view.primary != *holder);
        if !is_primary || is_challenged || !self.lease_is_available_to(holder, now) {
            return false;
        }
        self.grant = Grant::Held {
            holder: holder.clone(),
            until: now + self.lease,
        };
        true
    }

    /// The holder gives its lease back.
    pub fn release_lease(&mut self, holder: &ReplicaId) {
        match &self.grant {
            Grant::Held { holder: held, .. } if held == holder => self.grant = Grant::Free,
            Grant::Unknown { .. } if self.decided().is_some_and(|view| view.primary == *holder) => {
                self.grant = Grant::Free;
            }
            _ => {}
        }
    }

    /// Notes a view that is known to be decided. True where that is news to be stored.
    pub fn learn(&mut self, view: &View) -> bool {
        if view.epoch <= self.votes.epoch() {
            return false;
        }
        self.votes = Votes {
            decided: Some(view.clone()),
            promised: None,
            accepted: None,
        };
        true
    }
}
