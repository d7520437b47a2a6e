//! The states of the model: the replicas and all messages that were sent.

use control::proposer::Attempt;
use control::view::{Proposal, ProposalNumber, ReplicaId, View};
use control::witness::{Vote, Votes, Witness};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Deref;
use std::sync::Arc;

/// The duration of a grant on the witness, in ticks.
pub const LEASE: u64 = 2;
/// The duration of a lease on its holder, in ticks.
pub const HOLDER_LEASE: u64 = 1;
/// The number of machines. A replica numbered higher runs on the new disk of the machine of the
/// replica with `MACHINES` less.
pub const MACHINES: usize = 4;
/// The number of machines that decide the first view.
pub const SEEDS: usize = 3;
/// The number of replicas that have to store a change.
pub const REPLICATION_FACTOR: usize = 2;

/// A part of a state that is shared between states and compared by its digest.
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

/// The stage of a primary's work.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Synchronizing its backups; these replicas are done.
    Starting(BTreeSet<usize>),
    Ready,
    /// Replicating a change, which these replicas store.
    Replicating(BTreeSet<usize>),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leading {
    pub epoch: u64,
    pub stage: Stage,
    /// The in-sync set of the newest proposal of this primary.
    pub proposed: BTreeSet<usize>,
    /// The time at which the newest granted heartbeat was sent, by witness.
    pub granted: BTreeMap<usize, u64>,
    /// The expiry of the lease of earlier views, where a fault keeps that lease.
    pub kept_until: u64,
    /// The number of changes that each replica reported as stored.
    pub stored: BTreeMap<usize, u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    pub witness: Witness,
    pub disk: Votes,
    pub attempt: Option<Attempt>,
    pub round: u64,
    pub incarnation: u64,
    /// The number of stored changes.
    pub log: u8,
    /// The epoch in which the last change was ordered; 0 where unknown.
    pub log_epoch: u64,
    pub leading: Option<Leading>,
    /// Whether the replica's disk is lost, or not used yet.
    pub is_lost: bool,
    /// Whether its disk has been in use since the system's first start.
    pub may_bootstrap: bool,
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
    /// The sender; `None` for announcements of decided views.
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

    /// The receiver; `None` for messages to all replicas.
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
    /// All sent messages, by digest. Each may arrive at any time, any number of times, or never.
    pub sent: BTreeMap<u64, Shared<Message>>,
    pub decided: Shared<BTreeMap<u64, View>>,
    pub acknowledged: u8,
    pub now: u64,
    pub restarts: u8,
    pub losses: u8,
    /// Whether two views were decided for one epoch.
    pub has_two_views: bool,
    /// Whether a replica without an acknowledged change became primary.
    pub primary_lacks_acknowledged: bool,
}

impl State {
    pub fn send(&mut self, message: Message) {
        let message = Shared::new(message);
        self.sent.insert(message.digest, message);
    }

    /// The replicas whose disks are in use.
    pub fn running(&self) -> BTreeSet<usize> {
        let replicas = self.replicas.iter().enumerate();
        replicas
            .filter(|(_, replica)| !replica.is_lost)
            .map(|(number, _)| number)
            .collect()
    }

    pub fn record_decided(&mut self, view: &View) {
        let mut decided = BTreeMap::clone(&self.decided);
        let first = decided.entry(view.epoch).or_insert_with(|| view.clone());
        self.has_two_views |= first != view;
        self.decided = Shared::new(decided);
    }
}

/// The expiry of a primary's lease: a majority of the view's witnesses has granted a heartbeat that
/// was sent `HOLDER_LEASE` ticks earlier.
pub fn lease_expires_at(leading: &Leading, view: &View) -> u64 {
    grants_expire_at(view.majority(), leading, view).max(leading.kept_until)
}

/// The expiry of `count` grants of the view's witnesses.
pub fn grants_expire_at(count: usize, leading: &Leading, view: &View) -> u64 {
    let witnesses = numbers(&view.witnesses);
    let granted = leading
        .granted
        .iter()
        .filter(|(from, _)| witnesses.contains(from));
    let mut sent: Vec<u64> = granted.map(|(_, at)| *at).collect();
    sent.sort_unstable_by(|one, other| other.cmp(one));
    sent.get(count - 1).map_or(0, |at| at + HOLDER_LEASE)
}

pub fn id(number: usize) -> ReplicaId {
    let machine = (number % MACHINES) as u8 + 1;
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine), 7000);
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
