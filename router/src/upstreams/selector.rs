//! Decides which nodes a router pulls from, without I/O.

use control::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Initial and maximum delay before a failed or stale node is polled again. The delay doubles with
/// each consecutive failure.
const MIN_RETRY_DELAY: Millis = 3_000;
const MAX_RETRY_DELAY: Millis = 24_000;
/// Additional nodes are polled once the local state is older than this. The pauses between pulls
/// alone do not let it get so old.
const WIDEN_STALENESS: Millis = 1_500;
/// One more node is polled for each interval by which the staleness exceeds [`WIDEN_STALENESS`].
const WIDEN_INTERVAL: Millis = 150;

/// How this router pulls from a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each pull is held by the node until there are updates.
    Follow,
    /// Each pull is answered immediately; the next one follows after a pause.
    Poll,
}

/// Whether pulls from a node return the latest state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// No pull has been answered yet.
    Unknown,
    /// The last pull returned the latest state.
    Current,
    /// The last pull failed, is overdue, or returned a stale state.
    Failing,
}

/// A node that can be pulled from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The address of its internal protocol.
    pub address: SocketAddrV4,
    /// Whether the failure detector considers it up.
    pub is_up: bool,
    /// Whether it is in the router's own zone.
    pub is_near: bool,
    /// Distance from the router on the ring. Preferring near nodes spreads the routers over them.
    pub distance: usize,
}

/// Consecutive failures of a node.
#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    retry_at: Millis,
}

impl Failures {
    fn next(previous: Option<&Self>, now: Millis) -> Self {
        let count = previous.map_or(0, |previous| previous.count);
        let retry_delay = (MIN_RETRY_DELAY << count.min(8)).min(MAX_RETRY_DELAY);
        Failures {
            count: count + 1,
            retry_at: now + retry_delay,
        }
    }
}

/// Selects the upstreams of a router without a replica.
///
/// Normally two nodes are pulled from. A failed node is retried in addition to those two, and
/// replaces one of them only after it has answered. While the local state is older than the pauses
/// between pulls explain, the number of nodes polled at once grows. The time to find a current node
/// then depends on how many nodes are unreachable, not on which ones.
#[derive(Debug, Default)]
pub struct UpstreamSelector {
    failures: BTreeMap<SocketAddrV4, Failures>,
}

impl UpstreamSelector {
    /// Records the current health of a node.
    pub fn observe(&mut self, address: SocketAddrV4, health: Health, now: Millis) {
        match health {
            Health::Unknown => {}
            Health::Current => {
                self.failures.remove(&address);
            }
            Health::Failing => {
                let previous = self.failures.get(&address);
                if previous.is_none_or(|previous| now >= previous.retry_at) {
                    let failures = Failures::next(previous, now);
                    self.failures.insert(address, failures);
                }
            }
        }
    }

    /// Whether a node has failed and has not returned the latest state since.
    pub fn has_failed(&self, address: SocketAddrV4) -> bool {
        self.failures.contains_key(&address)
    }

    /// The nodes to pull from. One is followed and one is polled, preferably in the router's own
    /// zone; further nodes are polled as needed. `staleness` is the age of the local state, `None`
    /// if the router has no state yet.
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
        let additional = additional_upstreams(staleness);
        for (number, (retry_at, address)) in others.into_iter().enumerate() {
            if number < additional || is_due(retry_at) {
                selected.insert(address, Mode::Poll);
            }
        }
        selected
    }

    /// When to retry a failed node; 0 if the node has not failed.
    fn retry_at(&self, address: SocketAddrV4) -> Millis {
        let failures = self.failures.get(&address);
        failures.map_or(0, |failures| failures.retry_at)
    }
}

/// Number of nodes to poll in addition to the two regular ones. A router without any state asks its
/// seeds instead.
fn additional_upstreams(staleness: Option<Millis>) -> usize {
    let excess = staleness.and_then(|staleness| staleness.checked_sub(WIDEN_STALENESS));
    excess.map_or(0, |excess| 1 + (excess / WIDEN_INTERVAL) as usize)
}
