//! Decides which nodes a router pulls from, without I/O.

use control::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A node that failed or is stale is tried again after this time, which doubles with each further
/// failure, up to a maximum.
const MIN_RETRY_TIME: Millis = 3_000;
const MAX_RETRY_TIME: Millis = 24_000;
/// A state that is older is not caused by the pauses between pulls: further nodes are asked.
const WIDEN_STALENESS: Millis = 1_500;
/// One more node is asked for each such time beyond that.
const WIDEN_INTERVAL: Millis = 150;

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

/// The last failures of a node.
#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    retry_at: Millis,
}

impl Failures {
    fn next(former: Option<&Self>, now: Millis) -> Self {
        let count = former.map_or(0, |former| former.count);
        let retry_time = (MIN_RETRY_TIME << count.min(8)).min(MAX_RETRY_TIME);
        Failures {
            count: count + 1,
            retry_at: now + retry_time,
        }
    }
}

/// Selects the upstreams of a router without a replica.
///
/// Two nodes are enough while nothing is wrong. One that has failed is tried again beside them, and
/// takes the place of neither before it has answered. While the state here is older than the pauses
/// between pulls explain, more and more nodes are asked at once: it depends on how many nodes are
/// cut off, not on which, how long it takes to find a current one.
#[derive(Debug, Default)]
pub struct UpstreamSelector {
    failures: BTreeMap<SocketAddrV4, Failures>,
}

impl UpstreamSelector {
    /// Records what the pulls from a node bring at present.
    pub fn observe(&mut self, address: SocketAddrV4, health: Health, now: Millis) {
        match health {
            Health::Unknown => {}
            Health::Current => {
                self.failures.remove(&address);
            }
            Health::Failing => {
                let former = self.failures.get(&address);
                if former.is_none_or(|former| now >= former.retry_at) {
                    let failures = Failures::next(former, now);
                    self.failures.insert(address, failures);
                }
            }
        }
    }

    /// Whether a node has failed, and has not answered since.
    pub fn has_failed(&self, address: SocketAddrV4) -> bool {
        self.failures.contains_key(&address)
    }

    /// The nodes to pull from: it follows one and polls another, preferably in its own zone; others
    /// are polled beside them. `staleness` is the age of the state here, where there is any.
    pub fn select(
        &self,
        candidates: &[Candidate],
        staleness: Option<Millis>,
        now: Millis,
    ) -> BTreeMap<SocketAddrV4, Mode> {
        let mut candidates: Vec<&Candidate> = candidates.iter().collect();
        candidates.sort_by_key(|candidate| {
            let is_down = !candidate.is_up || self.has_failed(candidate.address);
            (is_down, !candidate.is_near, candidate.distance)
        });
        let addresses = candidates.iter().map(|candidate| candidate.address);
        let mut selected: BTreeMap<SocketAddrV4, Mode> =
            addresses.zip([Mode::Follow, Mode::Poll]).collect();
        let mut others: Vec<(Millis, SocketAddrV4)> = candidates
            .iter()
            .map(|candidate| (self.retry_at(candidate.address), candidate.address))
            .filter(|(_, address)| !selected.contains_key(address))
            .collect();
        others.sort();
        let is_due = |retry_at: Millis| 0 < retry_at && retry_at <= now;
        let further = further_upstreams(staleness);
        for (number, (retry_at, address)) in others.into_iter().enumerate() {
            if number < further || is_due(retry_at) {
                selected.insert(address, Mode::Poll);
            }
        }
        selected
    }

    /// When a node that has failed is to be tried again; 0 for one that has not.
    fn retry_at(&self, address: SocketAddrV4) -> Millis {
        let failures = self.failures.get(&address);
        failures.map_or(0, |failures| failures.retry_at)
    }
}

/// How many nodes are asked beside the two. A router that has no state yet asks its seeds instead.
fn further_upstreams(staleness: Option<Millis>) -> usize {
    let beyond = staleness.and_then(|staleness| staleness.checked_sub(WIDEN_STALENESS));
    beyond.map_or(0, |beyond| 1 + (beyond / WIDEN_INTERVAL) as usize)
}
