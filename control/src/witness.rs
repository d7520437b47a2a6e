//! A witness: the acceptor of view changes, which also grants the primary's lease.
//!
//! Each epoch is one instance of single-decree Paxos (Lamport, "Paxos Made Simple", 2001). Promises
//! and acceptances always concern the epoch after the newest decided view that the witness knows.
//! Once it knows that epoch to be decided as well, both are void: a proposer that still attempts it
//! gets the decided view instead.
//!
//! Invariant: while a grant lasts, the witness neither promises nor grants to another replica. A
//! restarted witness does not know its former grants, so it waits for the duration of a lease.

use crate::Millis;
use crate::view::{BOOTSTRAP_EPOCH, Epoch, Proposal, ProposalNumber, ReplicaId, View};
use serde::{Deserialize, Serialize};

/// The durable state of a witness.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Votes {
    /// The newest view that it knows to be decided.
    pub decided: Option<View>,
    /// The highest promised proposal number for the next epoch.
    pub promised: Option<ProposalNumber>,
    /// The accepted proposal for the next epoch with the highest number.
    pub accepted: Option<Proposal>,
}

impl Votes {
    /// The epoch of the newest decided view; [`BOOTSTRAP_EPOCH`] where there is none.
    pub fn epoch(&self) -> Epoch {
        self.decided
            .as_ref()
            .map_or(BOOTSTRAP_EPOCH, |view| view.epoch)
    }
}

/// A witness's reply to a prepare request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Vote {
    /// No proposal with a lower number will be accepted.
    Promised {
        /// The proposal already accepted for the epoch.
        accepted: Option<Proposal>,
    },
    /// A higher number was promised.
    Superseded {
        /// The promised number.
        number: ProposalNumber,
    },
    /// The epoch is already decided.
    AlreadyDecided {
        /// The newest view that is known to be decided.
        decided: View,
    },
    /// Another replica holds the lease.
    Leased,
    /// This replica's disk was first used after the system's first start, so the machine may have
    /// lost an earlier vote on the first view together with a former disk.
    NotEligible,
}

/// The lease as granted by one witness.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Grant {
    /// Granted to no replica.
    Free,
    /// Granted to a replica until a time on this witness's clock.
    Held { holder: ReplicaId, until: Millis },
    /// After a restart the grants of the former process are unknown, so until this time only the
    /// recorded primary may hold the lease.
    Unknown { until: Millis },
}

/// The acceptor and lease grantor of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Witness {
    votes: Votes,
    grant: Grant,
    /// The primary of this epoch has released its lease, and does not lead in it again.
    released_epoch: Epoch,
    lease: Millis,
    may_bootstrap: bool,
}

impl Witness {
    /// A witness that starts with the votes on its disk. With `may_bootstrap`, the disk has been in
    /// use since the system's first start, and the witness votes on the first view.
    pub fn new(votes: Votes, may_bootstrap: bool, lease: Millis, now: Millis) -> Self {
        let grant = if votes.decided.is_some() {
            Grant::Unknown { until: now + lease }
        } else {
            Grant::Free
        };
        Witness {
            votes,
            grant,
            released_epoch: BOOTSTRAP_EPOCH,
            lease,
            may_bootstrap,
        }
    }

    /// The state that has to be durable before a reply is sent.
    pub fn votes(&self) -> &Votes {
        &self.votes
    }

    /// The newest view that is known to be decided.
    pub fn decided(&self) -> Option<&View> {
        self.votes.decided.as_ref()
    }

    /// Whether no other replica can hold the lease.
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

    /// Paxos phase 1: votes on a proposal that is to follow `current`, which the proposer knows to
    /// be decided. The second value says whether the votes have to be durable before the reply.
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

    /// Paxos phase 2: accepts a view that is to follow `current`.
    ///
    /// # Errors
    ///
    /// The promised round, where a higher number was promised, the epoch is already decided, or
    /// this witness, which belongs to the replica `own`, is in the electorate of the first view and
    /// may not vote on it. A witness of the first view that is not in the electorate accepts it:
    /// its reply does not count for the electorate.
    pub fn accept(
        &mut self,
        current: &View,
        proposal: Proposal,
        own: &ReplicaId,
    ) -> Result<(), u64> {
        self.learn(current);
        if current.is_bootstrap() && current.witnesses.contains(own) && !self.may_bootstrap {
            return Err(proposal.number.round);
        }
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

    /// Grants or renews the lease of the primary of the newest decided view, unless this witness
    /// has voted for another replica. Returns whether it did.
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
        let is_released = epoch <= self.released_epoch;
        if !is_primary || is_challenged || is_released || !self.lease_is_available_to(holder, now) {
            return false;
        }
        self.grant = Grant::Held {
            holder: holder.clone(),
            until: now + self.lease,
        };
        true
    }

    /// Whether the primary of the newest decided view has released its lease.
    pub fn is_released(&self) -> bool {
        self.votes.epoch() <= self.released_epoch
    }

    /// Releases the lease of the primary of the newest decided view, which steps down. Heartbeats
    /// that it sent before may still arrive.
    pub fn release_lease(&mut self, holder: &ReplicaId) {
        self.released_epoch = self.votes.epoch();
        match &self.grant {
            Grant::Held { holder: held, .. } if held == holder => self.grant = Grant::Free,
            Grant::Unknown { .. } if self.decided().is_some_and(|view| view.primary == *holder) => {
                self.grant = Grant::Free;
            }
            _ => {}
        }
    }

    /// Records a view that is known to be decided. Returns whether it was unknown, so that the
    /// votes have to be stored.
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
