//! A group of replicas in which every node sends orders whenever its grant permits.

use super::{World, configuration};
use control::Millis;
use control::changes::Change;
use control::rollout::RolloutOwnership;

/// The minimum time between orders of two machines.
const LEASE: Millis = 3_000;
/// The interval at which order grants are observed.
const OBSERVATION_INTERVAL: Millis = 100;
/// The time between two changes of the configuration.
const CHANGE_INTERVAL: Millis = 250;

/// An order that a machine could send.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Millis,
    pub machine: String,
    pub fencing_token: u64,
}

/// A group of five replicas that tolerates two losses, with the orders that its nodes may send.
pub struct Orders {
    pub world: World,
    version: u64,
    /// The permitted orders, one per observation.
    pub orders: Vec<Order>,
}

impl Orders {
    pub fn bootstrapped(seed: u64) -> Self {
        let world = World::bootstrapped(seed, 5, 2);
        Orders {
            world,
            version: 0,
            orders: Vec::new(),
        }
    }

    /// Runs for `time` while changes are submitted.
    pub fn run(&mut self, time: Millis) {
        for _ in 0..time {
            self.world.run(1);
            if self.world.now % CHANGE_INTERVAL == 0 {
                self.submit_change();
            }
            if self.world.now % OBSERVATION_INTERVAL == 0 {
                self.observe();
            }
        }
    }

    fn submit_change(&mut self) {
        let Some(primary) = self.world.primary() else {
            return;
        };
        let node = self.world.machines[&primary]
            .node
            .as_ref()
            .expect("the primary runs");
        let base = node.state().version();
        self.version = base.max(self.version) + 1;
        self.world
            .submit(&primary, configuration(base, self.version, "m"));
    }

    fn observe(&mut self) {
        let now = self.world.now;
        for name in self.world.names() {
            let machine = &self.world.machines[&name];
            let Some(node) = machine
                .node
                .as_ref()
                .filter(|_| machine.frozen_until <= now)
            else {
                continue;
            };
            let ownership = node.rollout_ownership(now);
            if let Some(grant) = node.order_grant(now) {
                assert_eq!(ownership, RolloutOwnership::Owned);
                self.orders.push(Order {
                    at: now,
                    machine: name,
                    fencing_token: grant.fencing_token,
                });
            } else if let Some(replica) = ownership.next_owner(node.id(), node.epoch(), LEASE, now)
            {
                self.world.submit(&name, Change::RolloutOwner { replica });
            }
        }
    }

    pub fn fail_primary(&mut self, inject: impl Fn(&mut World, &str)) {
        if let Some(primary) = self.world.primary() {
            inject(&mut self.world, &primary);
        }
    }

    /// The machine that was last permitted to send orders.
    pub fn last_owner(&self) -> Option<String> {
        self.orders.last().map(|order| order.machine.clone())
    }

    /// The longest time without a permitted order since `since`.
    pub fn longest_pause_since(&self, since: Millis) -> Millis {
        let times = self.orders.iter().map(|order| order.at);
        let mut times: Vec<Millis> = times.filter(|at| *at >= since).collect();
        times.insert(0, since);
        times.push(self.world.now);
        let pauses = times.windows(2).map(|pair| pair[1] - pair[0]);
        pauses.max().unwrap_or_default()
    }

    /// The total time since `since` in which orders were permitted.
    pub fn permitted_time_since(&self, since: Millis) -> Millis {
        self.orders.iter().filter(|order| order.at >= since).count() as Millis
            * OBSERVATION_INTERVAL
    }

    /// Asserts that orders of two machines are separated by more than a lease, and that the later
    /// one has the higher fencing token.
    pub fn assert_separated(&self) {
        for pair in self.orders.windows(2) {
            let [before, after] = pair else {
                unreachable!()
            };
            if before.machine == after.machine {
                continue;
            }
            assert!(after.at - before.at > LEASE, "{before:?}, {after:?}");
            assert!(
                after.fencing_token > before.fencing_token,
                "{before:?}, {after:?}"
            );
        }
    }
}
