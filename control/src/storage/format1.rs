//! What format 1 kept of a witness, and what becomes of it in the present format.

use crate::view::{Epoch, Proposal, ProposalNumber, ReplicaId, View};
use crate::witness::Votes;
use serde::{Deserialize, Serialize};

/// Attempts of format 1 did not name the life of their process.
const UNKNOWN_INCARNATION: u64 = 0;

/// The number of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalNumberV1 {
    /// Rises with each attempt.
    pub round: u64,
    /// Who attempts it.
    pub proposer: ReplicaId,
}

/// A view that a witness accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedV1 {
    /// In which attempt.
    pub number: ProposalNumberV1,
    /// The view.
    pub view: View,
    /// The decided view that it follows; none where the view itself is known to be decided.
    pub previous: Option<View>,
}

/// What a witness kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VotesV1 {
    /// The highest attempt that was promised to, with the epoch that it was to decide.
    pub promised: Option<(Epoch, ProposalNumberV1)>,
    /// The newest accepted view.
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
