//! Orders that arrive late, twice overtaken or never: every order in which a few messages between
//! who gives orders and one backend can arrive, with reports that may be older than others that
//! came before.

use control::rollout::{ConditionalOrder, NextStep, OrderProgress, ReportedWeights};
use std::collections::BTreeSet;

/// Versions that are named, one after the other.
const NEWEST: u64 = 4;
/// Orders that are given, and reports that are made, at the most.
const MOST_ORDERS: usize = 4;
const MOST_REPORTS: usize = 4;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Backend {
    version: u64,
    accepted_orders: u64,
    /// The version that it is loading.
    loads: Option<u64>,
}

type Report = (u64, bool, u64);
type Order = (u64, u64);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct World {
    backend: Backend,
    named: u64,
    /// What was given or made and has neither arrived nor got lost.
    orders: Vec<Order>,
    reports: Vec<Report>,
    given: usize,
    made: usize,
    /// The report that came last to who gives orders.
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
        (self.version, self.loads.is_some(), self.accepted_orders)
    }

    /// As the published protocol says.
    fn take(&mut self, (version, if_accepted_orders): Order, heeds_condition: bool) {
        let is_refused =
            self.loads.is_some() || heeds_condition && if_accepted_orders != self.accepted_orders;
        if !is_refused && version != self.version {
            self.accepted_orders += 1;
            self.loads = Some(version);
        }
    }
}

impl World {
    fn new() -> Self {
        let backend = Backend {
            version: 1,
            accepted_orders: 0,
            loads: None,
        };
        World {
            backend,
            named: 1,
            orders: vec![],
            reports: vec![],
            given: 0,
            made: 0,
            known: None,
        }
    }

    /// Everything that may happen next.
    fn next(&self, heeds_condition: bool) -> Vec<World> {
        let mut all = Vec::new();
        let mut add = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            world.orders.sort_unstable();
            world.reports.sort_unstable();
            all.push(world);
        };
        if self.named < NEWEST {
            add(&|world| world.named += 1);
        }
        if self.made < MOST_REPORTS {
            add(&|world| {
                world.made += 1;
                world.reports.push(world.backend.report());
            });
        }
        for at in 0..self.reports.len() {
            add(&|world| world.known = Some(world.reports.remove(at)));
        }
        if let Some(NextStep::Order(order)) = self
            .known
            .map(|known| reported(known).next_step(self.named))
            && self.given < MOST_ORDERS
        {
            add(&|world| {
                world.given += 1;
                world.orders.push((order.version, order.if_accepted_orders));
            });
        }
        for at in 0..self.orders.len() {
            add(&|world| {
                let order = world.orders.remove(at);
                world.backend.take(order, heeds_condition);
            });
            add(&|world| {
                world.orders.remove(at);
            });
        }
        if let Some(version) = self.backend.loads {
            add(&|world| (world.backend.version, world.backend.loads) = (version, None));
        }
        all
    }
}

/// How many steps of how many states take the backend to an older version.
fn steps_back(heeds_condition: bool) -> (usize, usize) {
    let mut seen = BTreeSet::new();
    let mut open = vec![World::new()];
    let mut steps_back = 0;
    while let Some(world) = open.pop() {
        for next in world.next(heeds_condition) {
            steps_back += usize::from(next.backend.version < world.backend.version);
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    (steps_back, seen.len())
}

#[test]
fn no_order_of_arrival_takes_a_backend_back() {
    let (back, states) = steps_back(true);
    assert_eq!(back, 0, "of {states} states");
    assert!(states > 20_000, "only {states} states");
}

/// The check can fail: where the backend heeds no condition, late orders take it back.
#[test]
fn without_the_condition_late_orders_take_backends_back() {
    assert!(steps_back(false).0 > 0);
}

/// Whatever is reported later, an order is followed until it is done, overtaken or can still be
/// taken.
#[test]
fn an_order_is_awaited_just_as_long_as_it_may_still_be_taken() {
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
