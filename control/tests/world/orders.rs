//! A group of replicas in which every node sends orders whenever it may.

use super::{World, configuration};
use control::Millis;
use control::changes::Change;
use control::rollout::RolloutOwnership;

/// The time that lies between orders of two holders.
const LEASE: Millis = 3_000;
/// Time between two looks whether orders may be given.
const LOOK: Millis = 100;
/// Time between two changes of the configuration.
const CHANGE: Millis = 250;

/// An order that a machine could send.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Millis,
    pub machine: String,
    pub fencing_token: u64,
}

/// A group of five that bears two losses, whose nodes would give orders whenever they may.
pub struct Orders {
    pub world: World,
    version: u64,
    /// The orders that might have been sent, one at each look.
    pub orders: Vec<Order>,
}

impl Orders {
    pub fn founded(seed: u64) -> Self {
        let world = World::founded(seed, 5, 2);
        Orders {
            world,
            version: 0,
            orders: Vec::new(),
        }
    }

    /// Lets time pass with changes under way.
    pub fn run(&mut self, time: Millis) {
        for _ in 0..time {
            self.world.run(1);
            if self.world.now % CHANGE == 0 {
                self.change();
            }
            if self.world.now % LOOK == 0 {
                self.observe();
            }
        }
    }

    fn change(&mut self) {
        let Some(primary) = self.world.primary() else {
            return;
        };
        let node = self.world.machines[&primary]
            .node
            .as_ref()
            .expect("it leads");
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

    pub fn strike_primary(&mut self, strike: impl Fn(&mut World, &str)) {
        if let Some(primary) = self.world.primary() {
            strike(&mut self.world, &primary);
        }
    }

    /// The machine that could send orders last.
    pub fn last_holder(&self) -> Option<String> {
        self.orders.last().map(|order| order.machine.clone())
    }

    /// The longest time between two orders since a moment.
    pub fn longest_pause_since(&self, since: Millis) -> Millis {
        let times = self.orders.iter().map(|order| order.at);
        let mut times: Vec<Millis> = times.filter(|at| *at >= since).collect();
        times.insert(0, since);
        times.push(self.world.now);
        let pauses = times.windows(2).map(|pair| pair[1] - pair[0]);
        pauses.max().unwrap_or_default()
    }

    /// For how long orders might have been given since a moment.
    pub fn ordered_since(&self, since: Millis) -> Millis {
        self.orders.iter().filter(|order| order.at >= since).count() as Millis * LOOK
    }

    /// Orders of two machines lie further apart than a lease, and the later ones have the higher
    /// fencing token.
    pub fn assert_apart(&self) {
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
