//! Simulates, in virtual time, how stale the state of a router becomes while some of the nodes that
//! it pulls from are unreachable.
//!
//! Guards against a failure in which both the followed and the polled node were unreachable, and
//! the router kept an old state for seconds although other nodes could be reached. As long as one
//! node responds with the latest state, the router's state must not be older than 3 s, the time
//! after which the operators count a machine as in contact with the core again.

use control::Millis;
use router::upstreams::selector::{Candidate, Health, Mode, UpstreamSelector};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Maximum age of a router's state while at least one node is reachable and current.
const MAX_STALENESS: Millis = 3_000;
/// Number of zones in the operators' deployment.
const ZONES: usize = 4;
/// Time constants of the pulls, with the same values as in the router: interval between selections,
/// pause between polls, time for which a pull of the followed node is held, time after that until a
/// pull is overdue or fails, and delay after a failed pull.
const SELECTION_INTERVAL: Millis = 150;
const POLL_INTERVAL: Millis = 800;
const PULL_WAIT: Millis = 1_500;
const OVERDUE_AFTER: Millis = 900;
const RESPONSE_TIMEOUT: Millis = 5_000;
const RETRY_DELAY: Millis = 120;
/// Round trip of a message.
const ROUND_TRIP: Millis = 6;
/// Interval at which a node's own state is confirmed as the latest.
const HEARTBEAT_INTERVAL: Millis = 200;
/// A node is stale if its state was not confirmed for this long.
const MAX_NODE_STALENESS: Millis = 1_000;
/// Time step of the simulation.
const STEP: Millis = 6;

/// How a node behaves once the failure has occurred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behavior {
    Reachable,
    /// Does not answer, as the network is partitioned in one direction or both.
    Unresponsive,
    /// Answers, but receives no updates itself.
    Stale,
}

/// A pull in progress, or the pause before the next one.
struct PullState {
    mode: Mode,
    health: Health,
    asked_at: Millis,
    wait: Millis,
    next_at: Option<Millis>,
}

struct Simulation {
    now: Millis,
    behaviors: Vec<Behavior>,
    failure_at: Millis,
    selector: UpstreamSelector,
    pulls: BTreeMap<SocketAddrV4, PullState>,
    current_as_of: Millis,
}

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number as u8), 7560)
}

impl Simulation {
    /// Creates a router that starts with the latest state.
    fn new(behaviors: &[Behavior], failure_at: Millis) -> Self {
        Simulation {
            now: 0,
            behaviors: behaviors.to_vec(),
            failure_at,
            selector: UpstreamSelector::default(),
            pulls: BTreeMap::new(),
            current_as_of: 0,
        }
    }

    fn behavior(&self, address: SocketAddrV4) -> Behavior {
        match self.now < self.failure_at {
            true => Behavior::Reachable,
            false => self.behaviors[address.ip().octets()[3] as usize],
        }
    }

    /// All nodes are up for the failure detector, as it may not notice a node that only this router
    /// cannot reach.
    fn candidates(&self) -> Vec<Candidate> {
        let candidate = |number| Candidate {
            address: address(number),
            is_up: true,
            is_near: number % ZONES == 0,
            distance: number,
        };
        (0..self.behaviors.len()).map(candidate).collect()
    }

    fn staleness(&self) -> Millis {
        self.now - self.current_as_of
    }

    fn select(&mut self) {
        for (address, pull) in &self.pulls {
            self.selector.observe(*address, pull.health, self.now);
        }
        let staleness = Some(self.staleness());
        let candidates = self.candidates();
        let wanted = self.selector.select(&candidates, staleness, self.now);
        self.pulls
            .retain(|address, pull| wanted.get(address) == Some(&pull.mode));
        for (address, mode) in wanted {
            self.pulls.entry(address).or_insert(PullState {
                mode,
                health: Health::Unknown,
                asked_at: self.now,
                wait: 0,
                next_at: None,
            });
        }
    }

    /// When a node's state was last confirmed as the latest.
    fn confirmed_at(&self, address: SocketAddrV4) -> Millis {
        let until = match self.behavior(address) {
            Behavior::Stale => self.failure_at,
            _ => self.now,
        };
        until.saturating_sub(HEARTBEAT_INTERVAL)
    }

    fn pull(&mut self, address: SocketAddrV4) {
        let (now, behavior, confirmed_at) =
            (self.now, self.behavior(address), self.confirmed_at(address));
        let pull = self.pulls.get_mut(&address).expect("a pull");
        if let Some(next_at) = pull.next_at {
            if now >= next_at {
                (pull.asked_at, pull.next_at) = (now, None);
            }
            return;
        }
        let waited = now - pull.asked_at;
        let answers_at = match pull.mode {
            Mode::Follow => pull.wait + ROUND_TRIP,
            Mode::Poll => ROUND_TRIP,
        };
        if behavior != Behavior::Unresponsive && waited >= answers_at {
            self.current_as_of = self.current_as_of.max(confirmed_at);
            pull.health = match now - confirmed_at < MAX_NODE_STALENESS {
                true => Health::Current,
                false => Health::Failing,
            };
            pull.wait = PULL_WAIT;
            let pause = match pull.mode {
                Mode::Follow => 0,
                Mode::Poll => POLL_INTERVAL,
            };
            pull.next_at = Some(now + pause);
        } else if waited >= pull.wait + RESPONSE_TIMEOUT {
            pull.next_at = Some(now + RETRY_DELAY);
        } else if waited >= pull.wait + OVERDUE_AFTER {
            pull.health = Health::Failing;
        }
    }

    /// Runs the simulation until `end`, and returns the maximum staleness.
    fn run_until(&mut self, end: Millis) -> Millis {
        let mut oldest = 0;
        while self.now < end {
            if self.now % SELECTION_INTERVAL == 0 {
                self.select();
            }
            let addresses: Vec<SocketAddrV4> = self.pulls.keys().copied().collect();
            for address in addresses {
                self.pull(address);
            }
            oldest = oldest.max(self.staleness());
            self.now += STEP;
        }
        oldest
    }
}

/// All combinations of affected nodes in which at least one node is not affected.
fn all_combinations(nodes: usize, affected: Behavior) -> impl Iterator<Item = Vec<Behavior>> {
    (0..(1 << nodes) - 1).map(move |combination: usize| {
        let behavior = |node: usize| match combination >> node & 1 {
            1 => affected,
            _ => Behavior::Reachable,
        };
        (0..nodes).map(behavior).collect()
    })
}

fn max_staleness(behaviors: &[Behavior], failure_at: Millis) -> Millis {
    Simulation::new(behaviors, failure_at).run_until(failure_at + 20_000)
}

#[test]
fn state_stays_recent_while_one_node_is_current() {
    let mut oldest = (0, Vec::new());
    for nodes in [3, 5, 7, 9] {
        for failure in [Behavior::Unresponsive, Behavior::Stale] {
            for behaviors in all_combinations(nodes, failure) {
                let staleness = max_staleness(&behaviors, 5_000);
                if staleness > oldest.0 {
                    oldest = (staleness, behaviors);
                }
            }
        }
    }
    println!("maximum staleness: {} ms, with {:?}", oldest.0, oldest.1);
    assert!(oldest.0 <= MAX_STALENESS, "{oldest:?}");
}

/// Four of seven nodes fail, at each moment within a pull.
#[test]
fn state_stays_recent_when_four_of_seven_nodes_fail_at_any_moment() {
    use Behavior::{Reachable, Stale, Unresponsive};
    for failure in [Unresponsive, Stale] {
        for failure_at in (5_000..7_000).step_by(100) {
            let behaviors = [
                failure, failure, failure, Reachable, Reachable, failure, Reachable,
            ];
            let staleness = max_staleness(&behaviors, failure_at);
            assert!(staleness <= MAX_STALENESS, "{failure:?}: {staleness} ms");
        }
    }
}

/// A router pulls from only two nodes while all nodes are reachable.
#[test]
fn pulls_from_two_upstreams_while_all_are_reachable() {
    let mut simulation = Simulation::new(&[Behavior::Reachable; 5], Millis::MAX);
    for second in 1..30 {
        simulation.run_until(second * 1_000);
        let modes: Vec<Mode> = simulation.pulls.values().map(|pull| pull.mode).collect();
        assert_eq!(modes.len(), 2, "in second {second}: {modes:?}");
        assert!(modes.contains(&Mode::Follow) && modes.contains(&Mode::Poll));
    }
}
