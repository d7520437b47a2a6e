//! Storage format 1: the votes of a witness, and their conversion to the current format.

use crate::view::{Epoch, Proposal, ProposalNumber, ReplicaId, View};
use crate::witness::Votes;
use serde::{Deserialize, Serialize};

/// Proposal numbers of format 1 do not contain the incarnation of the proposer.
const UNKNOWN_INCARNATION: u64 = 0;

/// A proposal number in format 1.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalNumberV1 {
    /// Rises with each attempt of the proposer.
    pub round: u64,
    /// The replica that proposes.
    pub proposer: ReplicaId,
}

/// An accepted view in format 1.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedV1 {
    /// The proposal number.
    pub number: ProposalNumberV1,
    /// The view.
    pub view: View,
    /// The decided view before it; `None` where the accepted view itself is known to be decided.
    pub previous: Option<View>,
}

/// The durable state of a witness in format 1.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VotesV1 {
    /// The highest promised proposal number, with the epoch that was proposed.
    pub promised: Option<(Epoch, ProposalNumberV1)>,
    /// The accepted view of the highest epoch.
    pub accepted: Option<AcceptedV1>,
}

impl From<ProposalNumberV1> for ProposalNumber {
    fn from(number: ProposalNumberV1) -> Self {
        ProposalNumber {
            round: number.round,
            proposer: number.proposer,
            incarnation: UNKNOWN_INCARNATION,
        }
    }
}

impl From<VotesV1> for Votes {
    fn from(votes: VotesV1) -> Self {
        let (decided, accepted) = match votes.accepted {
            None => (None, None),
            Some(AcceptedV1 {
                view,
                previous: None,
                ..
            }) => (Some(view), None),
            Some(AcceptedV1 {
                number,
                view,
                previous,
            }) => (
                previous,
                Some(Proposal {
                    number: number.into(),
                    view,
                }),
            ),
        };
        let mut converted = Votes {
            decided,
            promised: None,
            accepted,
        };
        let next = converted.epoch() + 1;
        let promised = votes
            .promised
            .filter(|(epoch, _)| *epoch == next)
            .map(|(_, number)| number.into());
        let accepted = converted
            .accepted
            .as_ref()
            .map(|proposal| proposal.number.clone());
        converted.promised = promised.max(accepted);
        converted
    }
}
