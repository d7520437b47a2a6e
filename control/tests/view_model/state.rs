//! The states of the model: replicas, and every message that was ever sent.

use control::proposer::Attempt;
use control::view::{Proposal, ProposalNumber, ReplicaId, View};
use control::witness::{Vote, Votes, Witness};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Deref;
use std::sync::Arc;

/// How long a witness is bound by a grant, in ticks.
pub const LEASE: u64 = 2;
/// For how long the holder counts on it.
pub const HELD: u64 = 1;
/// How many replicas have to store a change.
pub const REPLICATION_FACTOR: usize = 2;

/// A part of a state that many states share, compared by its digest.
#[derive(Debug, Clone)]
pub struct Shared<T> {
    pub digest: u64,
    value: Arc<T>,
}

impl<T: Hash> Shared<T> {
    pub fn new(value: T) -> Self {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Shared {
            digest: hasher.finish(),
            value: Arc::new(value),
        }
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl<T> Eq for Shared<T> {}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
    }
}

/// What a primary is doing.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Stage {
    /// In step with these.
    Starting(BTreeSet<usize>),
    Ready,
    /// A change is stored by these.
    Replicating(BTreeSet<usize>),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leading {
    pub epoch: u64,
    pub stage: Stage,
    /// The in-sync set of its newest proposal.
    pub proposed: BTreeSet<usize>,
    /// The newest heartbeat that each witness granted, by when it was sent.
    pub granted: BTreeMap<usize, u64>,
    /// Until when the lease was held in earlier views, where a fault keeps it.
    pub kept_until: u64,
    /// What each replica stores, as it said.
    pub holds: BTreeMap<usize, u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    pub witness: Witness,
    pub disk: Votes,
    pub attempt: Option<Attempt>,
    pub round: u64,
    pub incarnation: u64,
    /// Changes that are stored.
    pub log: u8,
    /// The epoch in which the last one was ordered; 0 where that is not known.
    pub log_epoch: u64,
    pub leading: Option<Leading>,
    pub is_lost: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Message {
    Prepare {
        from: usize,
        current: View,
        number: ProposalNumber,
    },
    Vote {
        from: usize,
        to: usize,
        incarnation: u64,
        number: ProposalNumber,
        vote: Vote,
    },
    Accept {
        from: usize,
        current: View,
        proposal: Proposal,
    },
    Accepted {
        from: usize,
        to: usize,
        incarnation: u64,
        number: ProposalNumber,
        answer: Result<(), u64>,
    },
    Decided {
        view: View,
    },
    Install {
        from: usize,
        to: usize,
        epoch: u64,
        log: u8,
    },
    Replicate {
        from: usize,
        epoch: u64,
        log: u8,
    },
    Stored {
        from: usize,
        to: usize,
        epoch: u64,
        log: u8,
    },
    Heartbeat {
        from: usize,
        epoch: u64,
        sent_at: u64,
    },
    Granted {
        from: usize,
        to: usize,
        epoch: u64,
        sent_at: u64,
    },
}

impl Message {
    /// Who sent it; nobody in particular where a view is told.
    pub fn sender(&self) -> Option<usize> {
        match self {
            Message::Prepare { from, .. }
            | Message::Vote { from, .. }
            | Message::Accept { from, .. }
            | Message::Accepted { from, .. }
            | Message::Install { from, .. }
            | Message::Replicate { from, .. }
            | Message::Stored { from, .. }
            | Message::Heartbeat { from, .. }
            | Message::Granted { from, .. } => Some(*from),
            Message::Decided { .. } => None,
        }
    }

    /// The one receiver; none where it is for all.
    pub fn receiver(&self) -> Option<usize> {
        match self {
            Message::Vote { to, .. }
            | Message::Accepted { to, .. }
            | Message::Install { to, .. }
            | Message::Stored { to, .. }
            | Message::Granted { to, .. } => Some(*to),
            _ => None,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pub replicas: Vec<Shared<Replica>>,
    /// Whatever was sent: it may come at any time, any number of times, or never.
    pub sent: BTreeMap<u64, Shared<Message>>,
    pub decided: Shared<BTreeMap<u64, View>>,
    pub acknowledged: u8,
    pub now: u64,
    pub restarts: u8,
    pub losses: u8,
    /// Two views were decided for one epoch.
    pub has_two_views: bool,
    /// A replica became primary without a change that had been acknowledged.
    pub leads_without: bool,
}

impl State {
    pub fn send(&mut self, message: Message) {
        let message = Shared::new(message);
        self.sent.insert(message.digest, message);
    }

    pub fn note_decided(&mut self, view: &View) {
        let mut decided = BTreeMap::clone(&self.decided);
        let first = decided.entry(view.epoch).or_insert_with(|| view.clone());
        self.has_two_views |= first != view;
        self.decided = Shared::new(decided);
    }
}

/// Until when a primary counts on its lease: a majority of its view's witnesses granted a heartbeat
/// that it sent so long ago.
pub fn held_until(leading: &Leading, view: &View) -> u64 {
    let witnesses = numbers(&view.witnesses);
    let granted = leading
        .granted
        .iter()
        .filter(|(from, _)| witnesses.contains(from));
    let mut sent: Vec<u64> = granted.map(|(_, at)| *at).collect();
    sent.sort_unstable_by(|one, other| other.cmp(one));
    let granted = sent.get(view.majority() - 1).map_or(0, |at| at + HELD);
    granted.max(leading.kept_until)
}

pub fn id(number: usize) -> ReplicaId {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number as u8 + 1), 7000);
    ReplicaId {
        disk: number as u64 + 1,
        node: format!("n{number}").into(),
        address,
    }
}

pub fn number(id: &ReplicaId) -> usize {
    id.disk as usize - 1
}

pub fn ids(numbers: impl IntoIterator<Item = usize>) -> BTreeSet<ReplicaId> {
    numbers.into_iter().map(id).collect()
}

pub fn numbers(ids: &BTreeSet<ReplicaId>) -> BTreeSet<usize> {
    ids.iter().map(number).collect()
}
