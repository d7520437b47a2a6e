//! Rollout of model weights to backends: which backends are outdated and why their orders are
//! pending, how many may load concurrently, and which node may send orders.

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

/// At most one in this many responsive backends with models may load concurrently.
const LOADING_DIVISOR: usize = 4;
/// At most one in this many of the concurrent loads may be of unresponsive backends.
const UNRESPONSIVE_DIVISOR: usize = 4;

/// A backend that does not have the target version of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutdatedBackend {
    /// The instance id of the backend.
    pub id: CompactString,
    /// The address that accepts orders.
    pub address: SocketAddrV4,
    /// The model.
    pub model: CompactString,
    /// The target version.
    pub version: u64,
    /// Its heartbeats have stopped. The backend may still be able to accept an order.
    pub is_unresponsive: bool,
}

/// The outstanding work of a rollout.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Backends that need an order.
    pub outdated: Vec<OutdatedBackend>,
    /// The most backends that may load concurrently.
    pub max_concurrent: usize,
    /// The most unresponsive backends among them.
    pub max_concurrent_unresponsive: usize,
}

/// Why an outdated backend has not completed an order for the target version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PendingReason {
    /// An order can be sent at any time.
    Due,
    /// An order was sent and is not known to be done.
    InProgress,
    /// Its heartbeats have stopped; orders are retried at longer intervals.
    Unresponsive,
    /// The backend is shutting down.
    Draining,
    /// Its order is done, but its heartbeats report an older version.
    Contradicted,
}

impl PendingReason {
    /// All reasons.
    pub const ALL: [PendingReason; 5] = [
        PendingReason::Due,
        PendingReason::InProgress,
        PendingReason::Unresponsive,
        PendingReason::Draining,
        PendingReason::Contradicted,
    ];

    /// The name in metrics and on the status page.
    pub fn name(self) -> &'static str {
        match self {
            PendingReason::Due => "due",
            PendingReason::InProgress => "under_way",
            PendingReason::Unresponsive => "silent",
            PendingReason::Draining => "draining",
            PendingReason::Contradicted => "contradicted",
        }
    }

    fn of(backend: &Backend, order: Option<&Order>, outdated: &OutdatedBackend) -> Option<Self> {
        let is_in_progress = order.is_some_and(|order| {
            order.model == outdated.model
                && order.version == outdated.version
                && order.phase == OrderPhase::InProgress
        });
        match backend.phase {
            BackendPhase::Gone => None,
            BackendPhase::Draining => Some(PendingReason::Draining),
            BackendPhase::Ready if backend.unresponsive => Some(PendingReason::Unresponsive),
            BackendPhase::Ready if is_in_progress => Some(PendingReason::InProgress),
            BackendPhase::Ready => Some(PendingReason::Due),
        }
    }
}

/// Counts the outdated backends by the reason why their orders are pending.
pub fn outdated_by_reason(
    directory: &Directory,
    targets: &BTreeMap<CompactString, WeightsTarget>,
) -> BTreeMap<PendingReason, u64> {
    let mut counts: BTreeMap<PendingReason, u64> =
        PendingReason::ALL.map(|reason| (reason, 0)).into();
    for (id, backend) in directory.backends() {
        let order = directory.order(id);
        for outdated in outdated_models(id, backend, done_version(order), targets) {
            if let Some(reason) = PendingReason::of(backend, order, &outdated) {
                *counts.entry(reason).or_default() += 1;
            }
        }
        if order.is_some_and(|order| is_contradicted(backend, order)) {
            *counts.entry(PendingReason::Contradicted).or_default() += 1;
        }
    }
    counts
}

/// Whether a responsive, ready backend reports an older version than that of its completed order.
pub fn is_contradicted(backend: &Backend, order: &Order) -> bool {
    let is_available = backend.phase == BackendPhase::Ready && !backend.unresponsive;
    is_available
        && order.phase == OrderPhase::Done
        && confirmations::reported_version_of(backend, order) < order.version
}

impl Rollout {
    /// The outstanding work for these target versions. Backends that are draining or have no models
    /// get no orders. A completed order overrides the version reported by heartbeats until they
    /// contradict it.
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
        let outdated = backends.iter().flat_map(|(id, backend)| {
            let trusted_order = directory
                .order(id)
                .filter(|_| !confirmations.is_unconfirmed(id));
            outdated_models(id, backend, done_version(trusted_order), targets)
        });
        Rollout {
            outdated: outdated.collect(),
            max_concurrent,
            max_concurrent_unresponsive: max_concurrent.div_ceil(UNRESPONSIVE_DIVISOR),
        }
    }
}

/// The model and version of an order that is done.
fn done_version(order: Option<&Order>) -> Option<(&CompactString, u64)> {
    let done = order.filter(|order| order.phase == OrderPhase::Done);
    done.map(|order| (&order.model, order.version))
}

/// The models of a backend that are older than their targets, except one that a completed order has
/// already updated.
fn outdated_models<'a>(
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
