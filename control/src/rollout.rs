//! Bringing new weights to backends: which ones lack a version, how many may load at a time, and when the holder of the lease
//! may give orders.

use crate::Millis;
use crate::directory::{Backend, BackendPhase, Directory, Order, OrderPhase};
use crate::state::WeightsTarget;
use crate::view::Epoch;
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// One in so many backends with models may load at the same time.
const LOADING_SHARE: usize = 4;
/// Beyond the time of a lease, so long passes before a new holder's first order.
const TAKEOVER_MARGIN: Millis = 100;
/// The epoch of the first holder, before which there was none.
const FIRST_EPOCH: Epoch = 1;

/// A backend that lacks a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lacking {
    /// Its instance id.
    pub id: CompactString,
    /// Where it takes orders.
    pub address: SocketAddrV4,
    /// The model.
    pub model: CompactString,
    /// The version that it lacks.
    pub version: u64,
}

/// What is to be done.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Backends that lack a version.
    pub lacking: Vec<Lacking>,
    /// How many of them may load at the same time.
    pub most_at_once: usize,
}

impl Rollout {
    /// What is to be done for these versions. Backends that drain, are silent, or have no models are left alone.
    pub fn of(directory: &Directory, targets: &BTreeMap<CompactString, WeightsTarget>) -> Self {
        let takes_orders = |backend: &Backend| {
            backend.phase == BackendPhase::Ready && !backend.silent && !backend.models.is_empty()
        };
        let backends = directory.backends().filter(|(_, backend)| takes_orders(backend));
        let backends: Vec<(&CompactString, &Backend)> = backends.collect();
        let lacking =
            backends.iter().flat_map(|(id, backend)| lacking(id, backend, directory.order(id), targets));
        Rollout { lacking: lacking.collect(), most_at_once: backends.len().div_ceil(LOADING_SHARE).max(1) }
    }
}

fn lacking<'a>(
    id: &'a CompactString,
    backend: &'a Backend,
    order: Option<&'a Order>,
    targets: &'a BTreeMap<CompactString, WeightsTarget>,
) -> impl Iterator<Item = Lacking> + 'a {
    backend.models.iter().filter_map(move |(model, version)| {
        let target = targets.get(model)?;
        let is_done = order.is_some_and(|order| {
            order.model == *model && order.version >= target.version && order.phase == OrderPhase::Done
        });
        let lacks = *version < target.version && !is_done;
        lacks.then(|| Lacking {
            id: id.clone(),
            address: backend.address,
            model: model.clone(),
            version: target.version,
        })
    })
}

/// Whom to give the next order: those whose last orders were answered first, and of these the one that has waited for longest. So
/// neither backends that do not answer nor ever newer versions keep an order from others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderQueue {
    orders: u64,
    tried: BTreeMap<CompactString, Tried>,
}

/// How a backend's orders went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Tried {
    unanswered: u32,
    last_order: u64,
}

impl OrderQueue {
    /// Sorts backends by who is next.
    pub fn sort(&self, lacking: &mut [Lacking]) {
        lacking.sort_by_key(|backend| {
            let tried = self.tried.get(&backend.id).copied().unwrap_or_default();
            (tried.unanswered, tried.last_order)
        });
    }

    /// A backend is given an order.
    pub fn ordered(&mut self, backend: &CompactString) {
        self.orders += 1;
        self.tried.entry(backend.clone()).or_default().last_order = self.orders;
    }

    /// Whether a backend's order came to its end.
    pub fn ended(&mut self, backend: &CompactString, was_answered: bool) {
        let tried = self.tried.entry(backend.clone()).or_default();
        tried.unanswered = if was_answered { 0 } else { tried.unanswered.saturating_add(1) };
    }

    /// Forgets backends that are not there any more.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.tried.retain(|backend, _| is_there(backend));
    }
}

/// Fencing tokens that backends have refused as they had seen a higher one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RefusedFences(BTreeMap<CompactString, Epoch>);

impl RefusedFences {
    /// A backend has refused an order under this token.
    pub fn refused(&mut self, backend: &CompactString, fence: Epoch) {
        let highest = self.0.entry(backend.clone()).or_default();
        *highest = fence.max(*highest);
    }

    /// Whether a backend may be given an order under this token: none that it has refused, nor a lower one.
    pub fn allow(&self, backend: &str, fence: Epoch) -> bool {
        self.0.get(backend).is_none_or(|refused| fence > *refused)
    }

    /// Forgets backends that are not there any more.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.0.retain(|backend, _| is_there(backend));
    }
}

/// Since when this node holds the lease, as far as orders are concerned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Turn {
    /// It does not.
    #[default]
    NotHeld,
    /// It does, under some epochs without a break.
    Held {
        /// The present epoch.
        epoch: Epoch,
        /// Since when.
        since: Millis,
    },
}

impl Turn {
    /// Takes the fencing token of the lease, none where it is not held. The same holder goes on under a new epoch.
    pub fn update(&mut self, fence: Option<Epoch>, now: Millis) {
        *self = match (*self, fence) {
            (_, None) => Turn::NotHeld,
            (Turn::Held { since, .. }, Some(epoch)) => Turn::Held { epoch, since },
            (Turn::NotHeld, Some(epoch)) => Turn::Held { epoch, since: now },
        };
    }

    /// Whether orders may be given: a new holder lets the time of a lease pass, so that no order of a former one can cross
    /// its own.
    pub fn may_order(&self, lease: Millis, now: Millis) -> bool {
        match *self {
            Turn::NotHeld => false,
            Turn::Held { epoch, since } => epoch == FIRST_EPOCH || now >= since + lease + TAKEOVER_MARGIN,
        }
    }
}
