//! Bringing new weights to backends: which ones lack a version, what keeps them from an order, how
//! many may load at a time, and which node may send orders.

mod conditional;
mod confirmations;
mod ownership;
mod queue;

pub use conditional::{ConditionalOrder, NextStep, OrderProgress, ReportedWeights};
pub use confirmations::{Confirmations, UnconfirmedOrder};
pub use ownership::{
    OrderGrant, RolloutOwnership, Vacancy, fencing_token, is_vacant, vacant_owner,
};
pub use queue::{OrderQueue, RejectedTokens};

use crate::directory::{Backend, BackendPhase, Directory, Order, OrderPhase};
use crate::state::WeightsTarget;
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// One in so many backends with models may load at the same time.
const LOADING_DIVISOR: usize = 4;
/// One in so many of the places may be taken by backends whose heartbeats have stopped.
const UNRESPONSIVE_DIVISOR: usize = 4;

/// A backend that lacks a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutdatedBackend {
    /// Its instance id.
    pub id: CompactString,
    /// Where it takes orders.
    pub address: SocketAddrV4,
    /// The model.
    pub model: CompactString,
    /// The version that it lacks.
    pub version: u64,
    /// Its heartbeats have stopped coming. It may take an order all the same.
    pub is_unresponsive: bool,
}

/// What is to be done.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Backends that lack a version.
    pub outdated: Vec<OutdatedBackend>,
    /// How many of them may load at the same time.
    pub max_concurrent: usize,
    /// Of these, how many whose heartbeats have stopped.
    pub max_concurrent_unresponsive: usize,
}

/// What keeps a backend that lacks a version from getting an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PendingReason {
    /// Nothing: its order is due.
    Due,
    /// An order was given, and it is not known to be done.
    InProgress,
    /// Its heartbeats have stopped coming; it is asked now and then.
    Unresponsive,
    /// It is about to leave.
    Draining,
    /// Its order is done, and its heartbeats tell an older version still or again.
    Contradicted,
}

impl PendingReason {
    /// Every cause.
    pub const ALL: [PendingReason; 5] = [
        PendingReason::Due,
        PendingReason::InProgress,
        PendingReason::Unresponsive,
        PendingReason::Draining,
        PendingReason::Contradicted,
    ];

    /// The word that operators are told.
    pub fn name(self) -> &'static str {
        match self {
            PendingReason::Due => "due",
            PendingReason::InProgress => "under_way",
            PendingReason::Unresponsive => "silent",
            PendingReason::Draining => "draining",
            PendingReason::Contradicted => "contradicted",
        }
    }

    fn of(backend: &Backend, order: Option<&Order>, lacking: &OutdatedBackend) -> Option<Self> {
        let is_under_way = order.is_some_and(|order| {
            order.model == lacking.model
                && order.version == lacking.version
                && order.phase == OrderPhase::InProgress
        });
        match backend.phase {
            BackendPhase::Gone => None,
            BackendPhase::Draining => Some(PendingReason::Draining),
            BackendPhase::Ready if backend.unresponsive => Some(PendingReason::Unresponsive),
            BackendPhase::Ready if is_under_way => Some(PendingReason::InProgress),
            BackendPhase::Ready => Some(PendingReason::Due),
        }
    }
}

/// How many backends lack the newest version of some weights, by what keeps them from an order.
pub fn outdated_by_reason(
    directory: &Directory,
    targets: &BTreeMap<CompactString, WeightsTarget>,
) -> BTreeMap<PendingReason, u64> {
    let mut counts: BTreeMap<PendingReason, u64> =
        PendingReason::ALL.map(|cause| (cause, 0)).into();
    for (id, backend) in directory.backends() {
        let order = directory.order(id);
        for lacking in outdated(id, backend, done_version(order), targets) {
            if let Some(cause) = PendingReason::of(backend, order, &lacking) {
                *counts.entry(cause).or_default() += 1;
            }
        }
        if order.is_some_and(|order| is_contradicted(backend, order)) {
            *counts.entry(PendingReason::Contradicted).or_default() += 1;
        }
    }
    counts
}

/// Whether a backend that takes orders tells an older version than its order, which is done, should
/// have brought.
pub fn is_contradicted(backend: &Backend, order: &Order) -> bool {
    let is_available = backend.phase == BackendPhase::Ready && !backend.unresponsive;
    is_available
        && order.phase == OrderPhase::Done
        && confirmations::reported_version_of(backend, order) < order.version
}

impl Rollout {
    /// What is to be done for these versions. Backends that drain or have no models are left alone.
    /// An order that is done counts for what heartbeats tell only until they contradict it.
    pub fn of(
        directory: &Directory,
        targets: &BTreeMap<CompactString, WeightsTarget>,
        confirmations: &Confirmations,
    ) -> Self {
        let is_eligible =
            |backend: &Backend| backend.phase == BackendPhase::Ready && !backend.models.is_empty();
        let backends = directory
            .backends()
            .filter(|(_, backend)| is_eligible(backend));
        let backends: Vec<(&CompactString, &Backend)> = backends.collect();
        let responsive = backends
            .iter()
            .filter(|(_, backend)| !backend.unresponsive)
            .count();
        let max_concurrent = responsive.div_ceil(LOADING_DIVISOR).max(1);
        let lacking = backends.iter().flat_map(|(id, backend)| {
            let trusted = directory
                .order(id)
                .filter(|_| !confirmations.is_unconfirmed(id));
            outdated(id, backend, done_version(trusted), targets)
        });
        Rollout {
            outdated: lacking.collect(),
            max_concurrent,
            max_concurrent_unresponsive: max_concurrent.div_ceil(UNRESPONSIVE_DIVISOR),
        }
    }
}

/// The model and version that an order has brought, where it is done.
fn done_version(order: Option<&Order>) -> Option<(&CompactString, u64)> {
    let done = order.filter(|order| order.phase == OrderPhase::Done);
    done.map(|order| (&order.model, order.version))
}

fn outdated<'a>(
    id: &'a CompactString,
    backend: &'a Backend,
    done: Option<(&'a CompactString, u64)>,
    targets: &'a BTreeMap<CompactString, WeightsTarget>,
) -> impl Iterator<Item = OutdatedBackend> + 'a {
    backend.models.iter().filter_map(move |(model, version)| {
        let target = targets.get(model)?;
        let is_done = done.is_some_and(|(of, version)| of == model && version >= target.version);
        let is_outdated = *version < target.version && !is_done;
        is_outdated.then(|| OutdatedBackend {
            id: id.clone(),
            address: backend.address,
            model: model.clone(),
            version: target.version,
            is_unresponsive: backend.unresponsive,
        })
    })
}
