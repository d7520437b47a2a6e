//! Scenarios: an initial state, reached by fixed steps, in which faults are likely to violate a
//! property, and the bounds of the check from there.

use crate::bounds::{Action, Bounds, Step};
use crate::reduction;
use crate::state::{MACHINES, Message, id, ids};
use crate::turn::Fault;
use control::view::View;
use std::collections::BTreeSet;

/// Two replicas try to take over from an unresponsive primary.
pub fn takeovers(fault: Fault) -> Bounds {
    Bounds {
        fault,
        is_founding: false,
        epochs: 2,
        rounds: 1,
        changes: 0,
        ticks: 0,
        restarts: 0,
        losses: 0,
        candidates: BTreeSet::from([1, 2]),
        changes_members: false,
        replicas: 3,
        witnesses: 3,
        in_sync: 3,
        announces_decided: false,
        is_own_disk_slow: false,
        drops_ineffective: reduction::is_sound_with(fault),
        prefix: Vec::new(),
    }
}

/// As [`takeovers`], and a replica may restart.
pub fn restarts(fault: Fault) -> Bounds {
    Bounds {
        restarts: 1,
        ..takeovers(fault)
    }
}

/// A candidate restarts before its own acceptance is durable, and tries again with another
/// majority.
pub fn second_incarnation(fault: Fault) -> Bounds {
    let (first, second) = if fault == Fault::ProposalNumbersReused {
        ((1, 0), (1, 0))
    } else {
        ((1, 1), (2, 2))
    };
    let mut prefix = vec![
        Step::Do(Action::TakeOver(1)),
        deliver(Kind::Prepare, 1).of(first),
        deliver(Kind::Prepare, 2).of(first),
        deliver(Kind::Vote, 1).from(2).of(first),
        deliver(Kind::Accept, 2).of(first),
        Step::Do(Action::Restart(1)),
        Step::Do(Action::TakeOver(1)),
        deliver(Kind::Prepare, 0).of(second),
        deliver(Kind::Prepare, 1).of(second),
        deliver(Kind::Vote, 1).from(0).of(second),
    ];
    if fault == Fault::ProposalNumbersReused {
        // The reply to the first incarnation is counted by the second one.
        prefix.extend([
            deliver(Kind::Accept, 0).of(second).with([0, 1]),
            deliver(Kind::Accepted, 1).from(0).of(second),
            deliver(Kind::Accepted, 1).from(2).of(first),
        ]);
    }
    Bounds {
        rounds: 2,
        restarts: 1,
        is_own_disk_slow: true,
        candidates: BTreeSet::from([2]),
        prefix,
        ..takeovers(fault)
    }
}

/// A replica that lacks a change tries to take over.
pub fn lagging(fault: Fault) -> Bounds {
    let prefix = vec![
        Step::Do(Action::Replicate(0)),
        deliver(Kind::Replicate, 1),
        deliver(Kind::Stored, 0).from(1),
        Step::Do(Action::LoseDisk(0)),
    ];
    Bounds {
        changes: 1,
        losses: 1,
        in_sync: 2,
        prefix,
        ..takeovers(fault)
    }
}

fn next_view(in_sync: impl IntoIterator<Item = usize>) -> View {
    View {
        epoch: 2,
        primary: id(0),
        in_sync: ids(in_sync),
        witnesses: ids(0..3),
    }
}

/// A primary proposes to add a replica and abandons the proposal after one witness has accepted it.
/// Then the primary replicates a change to one backup and loses its disk.
pub fn abandoned_proposal(fault: Fault) -> Bounds {
    let prefix = vec![
        Step::Do(Action::SendState(0, 2)),
        deliver(Kind::Install, 2),
        deliver(Kind::Stored, 0).from(2),
        Step::Do(Action::ChangeMembers(0, next_view(0..3))),
        deliver(Kind::Prepare, 1),
        deliver(Kind::Vote, 0).from(1),
        deliver(Kind::Accept, 1),
        Step::Do(Action::Abandon(0)),
        Step::Do(Action::Replicate(0)),
        deliver(Kind::Replicate, 1),
        deliver(Kind::Stored, 0).from(1),
        Step::Do(Action::LoseDisk(0)),
    ];
    Bounds {
        epochs: 3,
        changes: 1,
        losses: 1,
        in_sync: 2,
        announces_decided: true,
        prefix,
        ..takeovers(fault)
    }
}

/// As [`abandoned_proposal`] with a slow disk: the primary has not accepted its own proposal yet,
/// and has another view without the added replica decided for the same epoch.
pub fn replaced_proposal(fault: Fault) -> Bounds {
    let (first, second) = ((1, 1), (2, 1));
    let mut prefix = vec![
        Step::Do(Action::SendState(0, 2)),
        deliver(Kind::Install, 2),
        deliver(Kind::Stored, 0).from(2),
        Step::Do(Action::ChangeMembers(0, next_view(0..3))),
        deliver(Kind::Prepare, 0),
        deliver(Kind::Prepare, 1),
        deliver(Kind::Vote, 0).from(1),
        deliver(Kind::Accept, 2).of(first),
        Step::Do(Action::Abandon(0)),
        Step::Do(Action::ChangeMembers(0, next_view(0..2))),
        deliver(Kind::Prepare, 0).of(second),
        deliver(Kind::Prepare, 1).of(second),
        deliver(Kind::Vote, 0).from(1).of(second),
        deliver(Kind::Accept, 0).of(second),
        deliver(Kind::Accept, 1).of(second),
        deliver(Kind::Accepted, 0).from(1).of(second),
        deliver(Kind::Decided, 1),
        deliver(Kind::Install, 1),
        deliver(Kind::Stored, 0).from(1),
        Step::Do(Action::Replicate(0)),
        deliver(Kind::Replicate, 1),
        deliver(Kind::Stored, 0).from(1).storing(1),
        Step::Do(Action::Replicate(0)),
    ];
    if fault == Fault::ViewFromHeartbeat {
        prefix.push(deliver(Kind::Replicate, 2).storing(2));
    }
    Bounds {
        epochs: 3,
        rounds: 3,
        changes: 2,
        in_sync: 2,
        candidates: BTreeSet::from([2]),
        announces_decided: true,
        is_own_disk_slow: true,
        prefix,
        ..takeovers(fault)
    }
}

/// A primary renews its lease while another replica tries to take over.
pub fn leases(fault: Fault) -> Bounds {
    Bounds {
        ticks: 2,
        candidates: BTreeSet::from([1]),
        announces_decided: true,
        ..takeovers(fault)
    }
}

/// As [`leases`] with four witnesses, two of which grant the heartbeats of the primary.
pub fn even_partition(fault: Fault) -> Bounds {
    let prefix = vec![
        Step::Do(Action::SendHeartbeat(0)),
        deliver(Kind::Heartbeat, 1),
        deliver(Kind::Granted, 0).from(1),
    ];
    Bounds {
        replicas: 4,
        witnesses: 4,
        in_sync: 2,
        prefix,
        ..leases(fault)
    }
}

/// A new machine replaces a witness whose grant the lease depends on.
pub fn leases_of_new_witnesses(fault: Fault) -> Bounds {
    let swapped = View {
        epoch: 2,
        primary: id(0),
        in_sync: ids([0, 1, 3]),
        witnesses: ids([0, 1, 3]),
    };
    let prefix = vec![
        Step::Do(Action::SendState(0, 3)),
        deliver(Kind::Install, 3),
        deliver(Kind::Stored, 0).from(3),
        Step::Do(Action::SendHeartbeat(0)),
        deliver(Kind::Heartbeat, 2),
        deliver(Kind::Granted, 0).from(2),
        Step::Do(Action::ChangeMembers(0, swapped)),
        deliver(Kind::Prepare, 2),
        deliver(Kind::Vote, 0).from(2),
        deliver(Kind::Accept, 2),
        deliver(Kind::Accept, 3),
        deliver(Kind::Accepted, 0).from(2),
        deliver(Kind::Accepted, 0).from(3),
        deliver(Kind::Decided, 1),
        Step::Do(Action::TakeOver(1)),
        deliver(Kind::Prepare, 3).from(1),
        deliver(Kind::Vote, 1).from(3),
        deliver(Kind::Accept, 3).from(1),
    ];
    Bounds {
        epochs: 3,
        ticks: 1,
        candidates: BTreeSet::from([1]),
        replicas: 4,
        announces_decided: true,
        prefix,
        ..takeovers(fault)
    }
}

/// Membership changes and a takeover compete while a change is replicated. Two of four replicas are
/// in sync at first.
pub fn joint_changes(fault: Fault) -> Bounds {
    Bounds {
        epochs: 3,
        changes: 1,
        candidates: BTreeSet::from([1]),
        changes_members: true,
        replicas: 4,
        in_sync: 2,
        announces_decided: true,
        ..takeovers(fault)
    }
}

/// A full state sent to a backup is delayed, and the backup stores a change that is acknowledged.
pub fn delayed_state(fault: Fault) -> Bounds {
    let prefix = vec![
        Step::Do(Action::SendState(0, 1)),
        Step::Do(Action::Replicate(0)),
        deliver(Kind::Replicate, 1),
        deliver(Kind::Stored, 0).from(1).storing(1),
    ];
    Bounds {
        changes: 1,
        losses: 1,
        in_sync: 2,
        candidates: BTreeSet::from([1]),
        prefix,
        ..takeovers(fault)
    }
}

/// The initial state of a scenario with bounds that are too wide for an exhaustive search.
pub fn widened(scenario: Bounds) -> Bounds {
    Bounds {
        epochs: scenario.epochs + 5,
        rounds: scenario.rounds + 4,
        changes: scenario.changes + 3,
        ticks: scenario.ticks + 8,
        restarts: scenario.restarts + 3,
        losses: 1,
        candidates: (0..scenario.replicas).collect(),
        changes_members: true,
        announces_decided: true,
        ..scenario
    }
}

/// Two seeds propose first views; a process restarts or loses its disk, and the machine continues on
/// a new disk. What is decided is taken over by others.
pub fn founding(fault: Fault) -> Bounds {
    Bounds {
        is_founding: true,
        epochs: 2,
        changes: 1,
        restarts: 1,
        losses: 1,
        candidates: BTreeSet::from([0, 1]),
        replicas: 2 * MACHINES,
        announces_decided: true,
        ..takeovers(fault)
    }
}

/// The steps in which the first two seeds found the system.
fn founding_of_two() -> Vec<Step> {
    vec![
        Step::Do(Action::Found(0, BTreeSet::from([0, 1]))),
        deliver(Kind::Prepare, 1),
        deliver(Kind::Vote, 0).from(1),
        deliver(Kind::Accept, 1),
        deliver(Kind::Accepted, 0).from(1),
        deliver(Kind::Decided, 1),
        deliver(Kind::Install, 1),
        deliver(Kind::Stored, 0).from(1),
    ]
}

/// Two seeds have founded the system and acknowledged a change. Then either may lose its disk.
pub fn founded_by_two(fault: Fault) -> Bounds {
    let change = [
        Step::Do(Action::Replicate(0)),
        deliver(Kind::Replicate, 1),
        deliver(Kind::Stored, 0).from(1).storing(1),
    ];
    Bounds {
        epochs: 3,
        rounds: 2,
        prefix: founding_of_two().into_iter().chain(change).collect(),
        ..founding(fault)
    }
}

/// After two seeds have founded the system and one of them has lost its disk, the third one, which
/// knows nothing of it, proposes a first view as well.
pub fn founded_again(fault: Fault) -> Bounds {
    let lost = [Step::Do(Action::LoseDisk(1))];
    Bounds {
        changes: 0,
        candidates: BTreeSet::from([2]),
        prefix: founding_of_two().into_iter().chain(lost).collect(),
        ..founded_by_two(fault)
    }
}

/// The kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Prepare,
    Vote,
    Accept,
    Accepted,
    Decided,
    Install,
    Replicate,
    Stored,
    Heartbeat,
    Granted,
}

/// Selects a message.
#[derive(Debug, Clone, Copy)]
pub struct Pattern {
    kind: Kind,
    from: Option<usize>,
    /// The round and the incarnation of the attempt.
    attempt: Option<(u64, u64)>,
    /// The number of stored changes.
    log: Option<u8>,
    /// The in-sync set of the proposed view.
    in_sync: Option<[usize; 2]>,
}

impl Pattern {
    /// Whether a message has this kind, and the given sender, attempt, log and in-sync set.
    pub fn matches(&self, message: &Message) -> bool {
        let (kind, number) = match message {
            Message::Prepare { number, .. } => (Kind::Prepare, Some(number)),
            Message::Vote { number, .. } => (Kind::Vote, Some(number)),
            Message::Accept { proposal, .. } => (Kind::Accept, Some(&proposal.number)),
            Message::Accepted { number, .. } => (Kind::Accepted, Some(number)),
            Message::Decided { .. } => (Kind::Decided, None),
            Message::Install { .. } => (Kind::Install, None),
            Message::Replicate { .. } => (Kind::Replicate, None),
            Message::Stored { .. } => (Kind::Stored, None),
            Message::Heartbeat { .. } => (Kind::Heartbeat, None),
            Message::Granted { .. } => (Kind::Granted, None),
        };
        let is_from = self.from.is_none_or(|from| message.sender() == Some(from));
        let is_of_attempt = self
            .attempt
            .is_none_or(|of| number.is_some_and(|number| (number.round, number.incarnation) == of));
        let log = match message {
            Message::Stored { log, .. } | Message::Replicate { log, .. } => Some(*log),
            _ => None,
        };
        let in_sync = match message {
            Message::Accept { proposal, .. } => Some(&proposal.view.in_sync),
            _ => None,
        };
        let is_with = self
            .in_sync
            .is_none_or(|members| in_sync == Some(&ids(members)));
        let is_storing = self.log.is_none_or(|stored| log == Some(stored));
        kind == self.kind && is_from && is_of_attempt && is_with && is_storing
    }
}

fn deliver(kind: Kind, to: usize) -> Step {
    Step::Deliver(
        Pattern {
            kind,
            from: None,
            attempt: None,
            log: None,
            in_sync: None,
        },
        to,
    )
}

impl Step {
    fn with_pattern(self, change: impl FnOnce(Pattern) -> Pattern) -> Self {
        match self {
            Step::Deliver(pattern, to) => Step::Deliver(change(pattern), to),
            other => other,
        }
    }

    fn from(self, from: usize) -> Self {
        self.with_pattern(|pattern| Pattern {
            from: Some(from),
            ..pattern
        })
    }

    fn of(self, attempt: (u64, u64)) -> Self {
        self.with_pattern(|pattern| Pattern {
            attempt: Some(attempt),
            ..pattern
        })
    }

    fn storing(self, log: u8) -> Self {
        self.with_pattern(|pattern| Pattern {
            log: Some(log),
            ..pattern
        })
    }

    fn with(self, in_sync: [usize; 2]) -> Self {
        self.with_pattern(|pattern| Pattern {
            in_sync: Some(in_sync),
            ..pattern
        })
    }
}
