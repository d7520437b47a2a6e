//! Decides which nodes a router pulls from, without I/O.

use control::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A node that failed or is stale is avoided for this long if there is another one.
const AVOID_DURATION: Millis = 3_000;

/// How a node is pulled from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each pull waits for updates.
    Follow,
    /// Each pull is answered immediately; the next one follows after a pause.
    Poll,
}

/// Whether pulls from a node bring the latest state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// None was answered yet.
    Unknown,
    /// The last one did.
    Current,
    /// The last one failed, is late, or brought a stale state.
    Failing,
}

/// A node that can be pulled from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The address of its internal protocol.
    pub address: SocketAddrV4,
    /// Whether the failure detector takes it for running.
    pub is_up: bool,
    /// Whether it is in the router's own zone.
    pub is_near: bool,
    /// Its distance from the router on the ring, which spreads routers over the nodes.
    pub distance: usize,
}

/// Selects the upstreams of a router without a replica.
#[derive(Debug, Default)]
pub struct UpstreamSelector {
    avoided: BTreeMap<SocketAddrV4, Millis>,
}

impl UpstreamSelector {
    /// Records what the pulls from a node bring at present.
    pub fn observe(&mut self, address: SocketAddrV4, health: Health, now: Millis) {
        if health == Health::Failing {
            self.avoided.insert(address, now + AVOID_DURATION);
        }
    }

    /// Whether a node is avoided.
    pub fn is_avoided(&self, address: SocketAddrV4, now: Millis) -> bool {
        self.avoided.get(&address).is_some_and(|until| *until > now)
    }

    /// The nodes to pull from: it follows one and polls another, preferably in its own zone.
    pub fn select(
        &self,
        candidates: &[Candidate],
        _staleness: Option<Millis>,
        now: Millis,
    ) -> BTreeMap<SocketAddrV4, Mode> {
        let mut candidates: Vec<&Candidate> = candidates.iter().collect();
        candidates.sort_by_key(|candidate| {
            let is_down = !candidate.is_up || self.is_avoided(candidate.address, now);
            (is_down, !candidate.is_near, candidate.distance)
        });
        let addresses = candidates.iter().map(|candidate| candidate.address);
        addresses.zip([Mode::Follow, Mode::Poll]).collect()
    }
}
