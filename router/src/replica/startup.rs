//! Opening of this node's replica: what its disk says about its past, and whether it may vote on
//! the first view.

use super::handle::{Inputs, ReplicaHandle};
use crate::clock;
use crate::disk::{self, Disk, DiskError, StoredReplica};
use crate::settings::Settings;
use control::node::{ControlNode, Identity, Timing};
use control::view::{Incarnation, ReplicaId};
use std::net::SocketAddrV4;
use tokio::sync::mpsc;

/// The components of a node's replica.
pub struct Replica {
    /// The state machine.
    pub node: ControlNode,
    /// The data directory.
    pub disk: Disk,
    /// The sequence numbers of completed writes.
    pub stored: mpsc::UnboundedReceiver<u64>,
    /// The handle for the rest of the router.
    pub handle: ReplicaHandle,
    /// The receiving end of the handle.
    pub inputs: Inputs,
}

/// Opens the replica of this node, if it has one.
///
/// # Errors
///
/// The data directory can't be used.
pub fn open(settings: &Settings, incarnation: Incarnation) -> Result<Option<Replica>, DiskError> {
    let Some(folder) = settings
        .data_directory
        .as_ref()
        .filter(|_| settings.has_replica())
    else {
        return Ok(None);
    };
    let stored = disk::read_replica(folder, &electorate(settings))?;
    log_part_in_first_view(&stored);
    let (done, completed) = mpsc::unbounded_channel();
    let disk = Disk::open(folder, &stored, done)?;
    let id = ReplicaId {
        disk: stored.recovered.disk,
        node: settings.node_name.clone(),
        address: settings.internal_address(),
    };
    let identity = Identity {
        id: id.clone(),
        incarnation,
        may_bootstrap: !stored.electorate.is_empty(),
    };
    let timing = Timing::tolerating(settings.fault_tolerance.machines);
    let node = ControlNode::new(identity, stored.recovered, timing, clock::now());
    let (handle, inputs) = ReplicaHandle::new(id, stored.electorate);
    Ok(Some(Replica {
        node,
        disk,
        stored: completed,
        handle,
        inputs,
    }))
}

/// Tells operators whether this replica takes part in the decision of the first view.
fn log_part_in_first_view(stored: &StoredReplica) {
    if stored.recovered.votes.decided.is_some() {
        return;
    }
    if stored.electorate.is_empty() {
        log::info!("no view is known here: this replica joins a system that others bootstrap");
    } else {
        log::info!(
            "no view is known here: this replica is one of {} that decide the first one",
            stored.electorate.len()
        );
    }
}

/// The machines that decide the first view, if this is the system's first start and this node is
/// one of them; else empty.
fn electorate(settings: &Settings) -> Vec<SocketAddrV4> {
    let own = settings.listen.control_plane;
    let is_seed = settings.seeds.iter().any(|seed| Some(*seed) == own);
    if !settings.bootstrap || !is_seed {
        return Vec::new();
    }
    let seeds = settings.seeds.iter();
    seeds
        .map(|seed| settings.internal_address_of(*seed))
        .collect()
}
