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

/// A group of five that bears two losses, whose nodes would give orders whenever they may.
pub struct Orders {
    pub world: World,
    version: u64,
    /// Who might have given an order, and when: at each look.
    pub orders: Vec<(Millis, String)>,
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
            let turn = node.rollout_ownership(now);
            if turn == RolloutOwnership::Owned {
                self.orders.push((now, name));
            } else if turn.may_claim(LEASE, now) {
                let change = Change::RolloutOwner {
                    replica: node.id().clone(),
                };
                self.world.submit(&name, change);
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
        self.orders.last().map(|(_, name)| name.clone())
    }

    /// The longest time between two orders since a moment.
    pub fn longest_pause_since(&self, since: Millis) -> Millis {
        let times = self.orders.iter().map(|(at, _)| *at);
        let mut times: Vec<Millis> = times.filter(|at| *at >= since).collect();
        times.insert(0, since);
        times.push(self.world.now);
        let pauses = times.windows(2).map(|pair| pair[1] - pair[0]);
        pauses.max().unwrap_or_default()
    }

    /// For how long orders might have been given since a moment.
    pub fn ordered_since(&self, since: Millis) -> Millis {
        self.orders.iter().filter(|(at, _)| *at >= since).count() as Millis * LOOK
    }

    /// Orders of two machines lie further apart than a lease.
    pub fn assert_apart(&self) {
        for pair in self.orders.windows(2) {
            let [(before, one), (after, other)] = pair else {
                unreachable!()
            };
            assert!(
                one == other || after - before > LEASE,
                "{one} at {before}, {other} at {after}"
            );
        }
    }
}
