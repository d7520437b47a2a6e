//! A witness: stores epochs, votes on the next view, and grants the primary's lease.

use crate::Millis;
use crate::view::{Accepted, Ballot, Epoch, ReplicaId, View};
use serde::{Deserialize, Serialize};

/// What a witness keeps on its disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Votes {
    /// The highest attempt to decide an epoch that was promised to.
    pub promised: Option<(Epoch, Ballot)>,
    /// The newest accepted view.
    pub accepted: Option<Accepted>,
}

impl Votes {
    /// The epoch of the newest accepted view; 0 where there is none.
    pub fn epoch(&self) -> Epoch {
        self.accepted.as_ref().map_or(0, |accepted| accepted.view.epoch)
    }
}

/// A witness's answer to a request to prepare.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// No lower attempt will be accepted; carries what was accepted for that epoch.
    Promised {
        /// A view already accepted for the epoch.
        accepted: Option<Accepted>,
    },
    /// A higher attempt was promised to.
    Outbid {
        /// That attempt.
        ballot: Ballot,
    },
    /// The epoch has been decided; later ones are under way.
    Passed {
        /// The newest accepted view.
        accepted: Accepted,
    },
    /// Another replica holds the lease.
    Leased,
}

/// The lease as one witness sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Grant {
    /// Nobody holds it.
    Free,
    /// Held by a replica until a moment of this witness's clock.
    Held { holder: ReplicaId, until: Millis },
    /// Just started: grants of the former process are unknown, so only the primary on file may hold it until then.
    Unknown { until: Millis },
}

/// The voting part of a replica.
#[derive(Debug, Clone)]
pub struct Witness {
    votes: Votes,
    grant: Grant,
    lease: Millis,
}

impl Witness {
    /// A witness that starts with what its disk holds.
    pub fn new(votes: Votes, lease: Millis, now: Millis) -> Self {
        let grant =
            if votes.accepted.is_some() { Grant::Unknown { until: now + lease } } else { Grant::Free };
        Witness { votes, grant, lease }
    }

    /// What is to be on disk.
    pub fn votes(&self) -> &Votes {
        &self.votes
    }

    /// The newest accepted view.
    pub fn accepted(&self) -> Option<&Accepted> {
        self.votes.accepted.as_ref()
    }

    /// Whether `replica` may take over as far as the lease goes.
    fn is_free_for(&self, replica: &ReplicaId, now: Millis) -> bool {
        match &self.grant {
            Grant::Free => true,
            Grant::Held { holder, until } => holder == replica || *until <= now,
            Grant::Unknown { until } => {
                let primary = self.votes.accepted.as_ref().map(|accepted| &accepted.view.primary);
                primary == Some(replica) || *until <= now
            }
        }
    }

    /// Votes on an attempt to decide `epoch`. The second value says whether the votes have to be stored first.
    pub fn prepare(&mut self, epoch: Epoch, ballot: &Ballot, now: Millis) -> (Vote, bool) {
        if let Some(accepted) = &self.votes.accepted
            && accepted.view.epoch > epoch
        {
            return (Vote::Passed { accepted: accepted.clone() }, false);
        }
        if !self.is_free_for(&ballot.proposer, now) {
            return (Vote::Leased, false);
        }
        if let Some((promised, higher)) = &self.votes.promised
            && *promised == epoch
            && higher > ballot
        {
            return (Vote::Outbid { ballot: higher.clone() }, false);
        }
        self.votes.promised = Some((epoch, ballot.clone()));
        let accepted = self.votes.accepted.clone().filter(|accepted| accepted.view.epoch == epoch);
        (Vote::Promised { accepted }, true)
    }

    /// Accepts a view unless a higher attempt was promised to or a later epoch is under way.
    pub fn accept(&mut self, proposal: Accepted) -> bool {
        let epoch = proposal.view.epoch;
        if self.votes.epoch() > epoch {
            return false;
        }
        if let Some((promised, higher)) = &self.votes.promised
            && *promised == epoch
            && *higher > proposal.ballot
        {
            return false;
        }
        if self.votes.epoch() == epoch
            && self.accepted().is_some_and(|accepted| accepted.ballot > proposal.ballot)
        {
            return false;
        }
        self.votes.accepted = Some(proposal);
        true
    }

    /// Grants the lease to the primary of the newest accepted view, unless a successor is being decided.
    pub fn grant(&mut self, holder: &ReplicaId, epoch: Epoch, now: Millis) -> bool {
        let view_matches = self
            .accepted()
            .is_some_and(|accepted| accepted.view.epoch == epoch && accepted.view.primary == *holder);
        let challenged = self
            .votes
            .promised
            .as_ref()
            .is_some_and(|(promised, ballot)| *promised > epoch && ballot.proposer != *holder);
        if !view_matches || challenged || !self.is_free_for(holder, now) {
            return false;
        }
        self.grant = Grant::Held { holder: holder.clone(), until: now + self.lease };
        true
    }

    /// The holder gives its lease back.
    pub fn release(&mut self, holder: &ReplicaId) {
        match &self.grant {
            Grant::Held { holder: held, .. } if held == holder => self.grant = Grant::Free,
            Grant::Unknown { .. } if self.accepted().is_some_and(|a| a.view.primary == *holder) => {
                self.grant = Grant::Free;
            }
            _ => {}
        }
    }

    /// Notes a view that is known to be decided. True where that is news to be stored: after a restart only a view that is
    /// known to be decided can be built on.
    pub fn learn(&mut self, view: &View, ballot: &Ballot) -> bool {
        let is_decided = |accepted: &Accepted| accepted.view == *view && accepted.previous.is_none();
        if self.votes.epoch() > view.epoch || self.accepted().is_some_and(is_decided) {
            return false;
        }
        let accepted = Accepted { ballot: ballot.clone(), view: view.clone(), previous: None };
        self.votes.accepted = Some(accepted);
        true
    }
}
