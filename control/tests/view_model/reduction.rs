//! A sound reduction: messages that can't change any state any more are dropped, so that states
//! which differ in such messages only are one.
//!
//! Why it is sound. What a replica knows to be decided only rises, also through a restart. A number
//! of an attempt is used once, so an attempt that was given up never comes back. Hence, if a
//! message changes nothing at any receiver now by one of the rules below, it never will. What a
//! dropped request would have been answered with is a message that is dropped by the same rules.
//! The ids of replicas are ordered, and decide between attempts of one round, so exchanging two
//! replicas is no symmetry, and none is used.

use crate::state::{Message, Replica, State};
use crate::turn::Fault;
use control::view::ProposalNumber;

/// Whether numbers are used once and every vote is on disk: what the rules rest on.
pub fn is_sound_with(fault: Fault) -> bool {
    !matches!(fault, Fault::BallotsRepeat | Fault::PromiseNotStored)
}

/// Drops the messages without effect.
pub fn drop_ineffective(state: &mut State) {
    let sent = std::mem::take(&mut state.sent);
    let kept = sent
        .into_iter()
        .filter(|(_, message)| may_have_effect(state, message));
    state.sent = kept.collect();
}

fn may_have_effect(state: &State, message: &Message) -> bool {
    let alive = state.replicas.iter().filter(|replica| !replica.is_lost);
    let is_open = |epoch: u64| alive.clone().any(|replica| decided_epoch(replica) <= epoch);
    let receiver = |to: usize| Some(&state.replicas[to]).filter(|replica| !replica.is_lost);
    match message {
        Message::Prepare {
            from,
            current,
            number,
        } => is_open(current.epoch) || attempts(&state.replicas[*from], number),
        Message::Accept {
            from,
            current,
            proposal,
        } => is_open(current.epoch) || attempts(&state.replicas[*from], &proposal.number),
        Message::Vote { to, number, .. } => {
            receiver(*to).is_some_and(|replica| attempts(replica, number) && !is_accepting(replica))
        }
        Message::Accepted { to, number, .. } => {
            receiver(*to).is_some_and(|replica| attempts(replica, number))
        }
        Message::Decided { view } => alive
            .clone()
            .any(|replica| decided_epoch(replica) < view.epoch),
        Message::Install { to, epoch, .. } => {
            receiver(*to).is_some_and(|replica| decided_epoch(replica) <= *epoch)
        }
        Message::Stored { to, epoch, .. } | Message::Granted { to, epoch, .. } => {
            receiver(*to).is_some_and(|replica| leads(replica, *epoch))
        }
        Message::Replicate { epoch, .. } | Message::Heartbeat { epoch, .. } => is_open(*epoch),
    }
}

fn decided_epoch(replica: &Replica) -> u64 {
    replica.witness.votes().epoch()
}

fn attempts(replica: &Replica, number: &ProposalNumber) -> bool {
    let attempt = replica.attempt.as_ref().filter(|_| !replica.is_lost);
    attempt.is_some_and(|attempt| attempt.number == *number)
}

fn is_accepting(replica: &Replica) -> bool {
    let attempt = replica.attempt.as_ref();
    attempt.is_some_and(|attempt| attempt.proposal().is_some())
}

fn leads(replica: &Replica, epoch: u64) -> bool {
    let leading = replica.leading.as_ref();
    leading.is_some_and(|leading| leading.epoch == epoch)
}
