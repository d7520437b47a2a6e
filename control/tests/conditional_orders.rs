//! Exhaustive check of conditional orders: all interleavings of a few orders and reports between
//! the owner of the rollout and one backend, in which messages may be delayed, reordered or lost.

use control::rollout::{ConditionalOrder, NextStep, OrderProgress, ReportedWeights};
use std::collections::BTreeSet;

/// The last target version; targets rise one by one.
const NEWEST: u64 = 4;
/// The most orders, and the most reports, that are sent.
const MOST_ORDERS: usize = 4;
const MOST_REPORTS: usize = 4;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Backend {
    version: u64,
    accepted_orders: u64,
    /// The version that is being loaded.
    loading: Option<u64>,
}

type Report = (u64, bool, u64);
type Order = (u64, u64);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct World {
    backend: Backend,
    target: u64,
    /// Orders and reports in flight.
    orders: Vec<Order>,
    reports: Vec<Report>,
    sent_orders: usize,
    sent_reports: usize,
    /// The report that the owner received last.
    known: Option<Report>,
}

fn reported((version, is_busy, accepted_orders): Report) -> ReportedWeights {
    ReportedWeights {
        version,
        is_busy,
        accepted_orders,
    }
}

impl Backend {
    fn report(&self) -> Report {
        (self.version, self.loading.is_some(), self.accepted_orders)
    }

    /// Accepts or rejects an order as the published protocol specifies.
    fn receive(&mut self, (version, if_accepted_orders): Order, checks_condition: bool) {
        let is_rejected = self.loading.is_some()
            || checks_condition && if_accepted_orders != self.accepted_orders;
        if !is_rejected && version != self.version {
            self.accepted_orders += 1;
            self.loading = Some(version);
        }
    }
}

impl World {
    fn new() -> Self {
        let backend = Backend {
            version: 1,
            accepted_orders: 0,
            loading: None,
        };
        World {
            backend,
            target: 1,
            orders: vec![],
            reports: vec![],
            sent_orders: 0,
            sent_reports: 0,
            known: None,
        }
    }

    /// All possible next states.
    fn next(&self, checks_condition: bool) -> Vec<World> {
        let mut all = Vec::new();
        let mut add = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            world.orders.sort_unstable();
            world.reports.sort_unstable();
            all.push(world);
        };
        if self.target < NEWEST {
            add(&|world| world.target += 1);
        }
        if self.sent_reports < MOST_REPORTS {
            add(&|world| {
                world.sent_reports += 1;
                world.reports.push(world.backend.report());
            });
        }
        for at in 0..self.reports.len() {
            add(&|world| world.known = Some(world.reports.remove(at)));
        }
        if let Some(NextStep::Order(order)) = self
            .known
            .map(|known| reported(known).next_step(self.target))
            && self.sent_orders < MOST_ORDERS
        {
            add(&|world| {
                world.sent_orders += 1;
                world.orders.push((order.version, order.if_accepted_orders));
            });
        }
        for at in 0..self.orders.len() {
            add(&|world| {
                let order = world.orders.remove(at);
                world.backend.receive(order, checks_condition);
            });
            add(&|world| {
                world.orders.remove(at);
            });
        }
        if let Some(version) = self.backend.loading {
            add(&|world| (world.backend.version, world.backend.loading) = (version, None));
        }
        all
    }
}

/// Explores all states. Returns the number of transitions to an older version and of states.
fn count_downgrades(checks_condition: bool) -> (usize, usize) {
    let mut seen = BTreeSet::new();
    let mut open = vec![World::new()];
    let mut downgrades = 0;
    while let Some(world) = open.pop() {
        for next in world.next(checks_condition) {
            downgrades += usize::from(next.backend.version < world.backend.version);
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    (downgrades, seen.len())
}

#[test]
fn no_arrival_order_downgrades_a_backend() {
    let (downgrades, states) = count_downgrades(true);
    assert_eq!(downgrades, 0, "of {states} states");
    assert!(states > 20_000, "only {states} states");
}

/// Without the condition, the check finds late orders that downgrade the backend.
#[test]
fn late_orders_downgrade_a_backend_without_the_condition() {
    assert!(count_downgrades(false).0 > 0);
}

/// For every later report, an order is pending only while the backend may still accept it.
#[test]
fn order_is_pending_only_while_it_may_be_accepted() {
    let order = ConditionalOrder {
        version: 3,
        if_accepted_orders: 5,
    };
    for accepted_orders in 4..8 {
        for version in 1..5 {
            let is_busy = ReportedWeights {
                version,
                is_busy: true,
                accepted_orders,
            };
            assert_eq!(order.progress(is_busy), OrderProgress::Busy);
            let expected = match (version >= 3, accepted_orders > 5) {
                (true, _) => OrderProgress::Done,
                (false, true) => OrderProgress::Superseded,
                (false, false) => OrderProgress::Pending,
            };
            assert_eq!(
                order.progress(ReportedWeights {
                    is_busy: false,
                    ..is_busy
                }),
                expected
            );
        }
    }
}
