//! Tests of the lease beside a store in one process.

use super::*;
use store::command::Change;
use store::command::{Command, Txn};
use store::state::{Capacity, Completion, Outcome, State};

const S: Time = 1_000_000_000;
const CONFIG: Config = Config {
    duration: 4 * S,
    drift_permille: 100,
    safety_margin: S / 4,
    stagger: S / 2,
};
const ROLE: Role = Role::Hosts;

/// A store, and gatherers that share a clock.
struct World {
    state: State,
    revision: u64,
    now: Time,
    all: Vec<(Lease, u64, u64)>,
}

impl World {
    fn new(count: usize) -> World {
        let mut world = World {
            state: State::default(),
            revision: 0,
            now: 10 * S,
            all: Vec::new(),
        };
        world.put(keys::ERA, Some("1"));
        (0..count).for_each(|at| world.start(at));
        world
    }

    fn apply(&mut self, command: &Command) -> Option<Completion> {
        self.revision += 1;
        self.state
            .apply(
                self.revision,
                command,
                Capacity {
                    keys: 99,
                    sessions: 99,
                },
            )
            .1
    }

    fn put(&mut self, key: &str, value: Option<&str>) {
        let change = Change {
            key: key.to_owned(),
            value: value.map(str::to_owned),
        };
        self.apply(&Command::Put(change));
    }

    /// Starts or restarts a gatherer.
    fn start(&mut self, at: usize) {
        self.apply(&Command::Open(at as u64));
        let lease = Lease::new(
            ROLE,
            CONFIG,
            &format!("g{at}"),
            100 + self.revision,
            self.now,
        );
        let one = (lease, self.revision, 0);
        if at < self.all.len() {
            self.all[at] = one
        } else {
            self.all.push(one)
        }
    }

    /// Runs these gatherers for some time; they are ranked by their numbers.
    fn run(&mut self, time: Time, who: &[usize]) {
        let until = self.now + time;
        while self.now < until {
            self.now += S / 20;
            for at in who {
                self.turn(*at);
            }
        }
    }

    fn turn(&mut self, at: usize) {
        let now = self.now;
        let (lease, session, request) = &mut self.all[at];
        lease.observe(View::of(&self.state, ROLE, &format!("g{at}")), now);
        lease.set_rank(Some(at), 3, now);
        let Some(ask) = lease.poll(now) else { return };
        *request += 1;
        let txn = Txn {
            session: *session,
            request: *request,
            checks: ask.checks,
            sets: ask.changes,
        };
        let done = self.apply(&Command::Txn(txn));
        let answer = match done {
            Some(Completion::Txn {
                outcome: Outcome::Applied(revision),
                ..
            }) => Response::Committed(revision),
            _ => Response::Rejected,
        };
        let lease = &mut self.all[at].0;
        lease.observe(View::of(&self.state, ROLE, &format!("g{at}")), now);
        lease.handle_response(answer, now);
    }

    fn owner(&self) -> Option<usize> {
        let owners: Vec<usize> = (0..self.all.len())
            .filter(|at| self.all[*at].0.valid_token(self.now).is_some())
            .collect();
        assert!(owners.len() <= 1, "{owners:?}");
        owners.first().copied()
    }

    fn grant(&self) -> Grant {
        View::of(&self.state, ROLE, "").grant.unwrap().1
    }
}

#[test]
fn next_candidate_acquires_after_takeover_delay() {
    let mut world = World::new(3);
    world.run(S / 2, &[0, 1, 2]);
    assert_eq!(world.owner(), Some(0));
    let first = world.all[0].0.valid_token(world.now).unwrap();
    world.run(30 * S, &[0, 1, 2]);
    assert_eq!(
        world.all[0].0.valid_token(world.now),
        Some(first),
        "it stays"
    );
    // It is suspended. By its own clock its lease expires before another gatherer acquires.
    let stopped = world.now;
    let mut taken = None;
    for _ in 0..400 {
        world.run(S / 20, &[1, 2]);
        if world.owner() == Some(1) {
            taken.get_or_insert(world.now);
        }
    }
    let wait = taken.expect("somebody took it") - stopped;
    // From the last renewal, at most a quarter of a lease before: the takeover delay and the
    // stagger of the second candidate.
    assert!(
        wait <= CONFIG.takeover_delay() + CONFIG.stagger + S / 4 && wait > CONFIG.duration,
        "{wait}"
    );
    let second = world.all[1].0.valid_token(world.now).unwrap();
    assert!(second > first);
    // It resumes: permits are refused at once, and its transactions are rejected.
    let late = &world.all[0].0;
    assert_eq!(late.permit(Target::Store, world.now), None);
    let permit = Permit::new(ROLE, Target::Store, first).unwrap();
    let checks = vec![late.fencing_check(&permit)];
    let session = world.all[0].1;
    let sets = vec![Change {
        key: "effect".to_owned(),
        value: Some(String::new()),
    }];
    let done = world.apply(&Command::Txn(Txn {
        session,
        request: 999,
        checks,
        sets,
    }));
    assert!(matches!(
        done,
        Some(Completion::Txn {
            outcome: Outcome::Rejected(_),
            ..
        })
    ));
    world.run(S, &[0, 1, 2]);
    let events = world.all[0].0.take_events();
    assert!(events.contains(&Event::Lost(first)), "{events:?}");
    assert_eq!(
        world.owner(),
        Some(1),
        "a better place in the order moves nothing"
    );
}

#[test]
fn new_incarnation_does_not_inherit_the_lease() {
    let mut world = World::new(1);
    world.run(S, &[0]);
    let before = world.all[0].0.valid_token(world.now).unwrap();
    world.start(0);
    world.run(S, &[0]);
    assert_eq!(
        world.owner(),
        None,
        "its own former life might be acting still"
    );
    world.run(CONFIG.takeover_delay(), &[0]);
    assert!(world.all[0].0.valid_token(world.now).unwrap() > before);
}

#[test]
fn operator_transfers_and_excludes() {
    let mut world = World::new(3);
    world.run(S, &[0, 1, 2]);
    world.all[0].0.set_idle(false);
    world.put(&keys::transfer(ROLE), Some("g2"));
    world.run(S / 2, &[0, 1, 2]);
    assert_eq!(world.owner(), None, "it has stopped");
    assert_eq!(
        world.grant().owner.as_deref(),
        Some("g0"),
        "and waits until all has come to rest"
    );
    world.all[0].0.set_idle(true);
    world.run(S / 2, &[0, 1, 2]);
    assert_eq!(
        (world.owner(), world.grant().reason.as_str()),
        (Some(2), "taken: it was offered")
    );
    assert_eq!(
        world.state.get(&keys::transfer(ROLE)),
        None,
        "it has come about"
    );
    world.put(&keys::exclusion(ROLE, "g2"), Some(""));
    world.run(S, &[0, 1, 2]);
    // The last owner has a cooldown, so that the role does not move back at once.
    assert_eq!(world.owner(), Some(1));
    // Offered to a gatherer that is not there, it is acquired by another in time, and the
    // transfer is not repeated.
    world.put(&keys::transfer(ROLE), Some("nobody"));
    world.run(S / 2, &[0, 1, 2]);
    assert_eq!(
        (world.owner(), world.grant().owner.as_deref()),
        (None, Some("nobody"))
    );
    // Both gatherers that may own it have a cooldown.
    world.run(2 * CONFIG.takeover_delay(), &[0, 1, 2]);
    assert!(world.owner().is_some());
    let owner = world.owner();
    world.run(20 * S, &[0, 1, 2]);
    assert_eq!(world.owner(), owner);
}

#[test]
fn releases_after_quorum_of_fault_reports() {
    let mut world = World::new(3);
    world.run(S, &[0, 1, 2]);
    let token = world.all[0].0.valid_token(world.now).unwrap();
    world.put(
        &keys::fault_report(ROLE, "g1"),
        Some(&token.to_json().to_string()),
    );
    world.put(
        &keys::fault_report(ROLE, "g2"),
        Some(
            &Token {
                revision: 1,
                ..token
            }
            .to_json()
            .to_string(),
        ),
    );
    world.run(2 * S, &[0, 1, 2]);
    assert_eq!(world.owner(), Some(0), "one word, and one of another time");
    world.put(
        &keys::fault_report(ROLE, "g2"),
        Some(&token.to_json().to_string()),
    );
    world.run(2 * S, &[0, 1, 2]);
    assert_eq!((world.owner(), world.grant().failures), (Some(1), 0));
    // It has a long cooldown though it ranks first: after the next release another acquires.
    world.put(&keys::exclusion(ROLE, "g1"), Some(""));
    world.run(2 * S, &[0, 1, 2]);
    assert_eq!(world.owner(), Some(2));
}

#[test]
fn parks_after_failed_owners_but_not_after_power_loss() {
    let mut world = World::new(5);
    let mut died = Vec::new();
    // The first grant was made before the others observed the store: its owner's failure might
    // be a power loss of all.
    for _ in 0..4 {
        let left: Vec<usize> = (0..5).filter(|at| !died.contains(at)).collect();
        let mut waited = 0;
        while world.owner().is_none_or(|owner| died.contains(&owner)) {
            world.run(S / 20, &left);
            waited += 1;
            assert!(waited < 400);
        }
        died.push(world.owner().unwrap());
    }
    let last: Vec<usize> = (0..5).filter(|at| !died.contains(at)).collect();
    world.run(20 * S, &last);
    let grant = world.grant();
    assert_eq!(
        (world.owner(), grant.owner.as_deref(), grant.failures),
        (None, None, 3)
    );
    assert!(
        grant
            .parked
            .is_some_and(|why| why.contains("3 owners in a row died"))
    );
    // An operator unparks it.
    world.put(
        &keys::owner(ROLE),
        Some(&Grant::default().to_json().to_string()),
    );
    world.run(CONFIG.stagger * 5, &last);
    assert_eq!(world.owner(), Some(last[0]));
    // All lose power repeatedly: none of them has observed another fail.
    for _ in 0..5 {
        (0..5).for_each(|at| world.start(at));
        world.run(CONFIG.takeover_delay() + CONFIG.stagger, &[0, 1, 2, 3, 4]);
        assert!(world.owner().is_some());
    }
    assert_eq!(world.grant().failures, 0);
    // A grant that cannot be read may have an owner.
    world.put(&keys::owner(ROLE), Some("{\"own"));
    world.run(20 * S, &[0, 1, 2, 3, 4]);
    assert!(world.owner().is_none() && world.grant().parked.is_some());
}

#[test]
fn unknown_outcome_counts_for_nothing_until_observed() {
    let mut world = World::new(1);
    let now = world.now;
    let (lease, session, _) = &mut world.all[0];
    lease.observe(View::of(&world.state, ROLE, "g0"), now);
    lease.set_rank(Some(0), 1, now);
    let ask = lease.poll(now).expect("it takes it");
    assert_eq!(lease.poll(now), None, "one thing at a time");
    let txn = Txn {
        session: *session,
        request: 1,
        checks: ask.checks,
        sets: ask.changes,
    };
    world.apply(&Command::Txn(txn));
    world.all[0].2 = 1;
    world.now += S;
    let now = world.now;
    world.all[0].0.handle_response(Response::Unknown, now);
    assert_eq!(world.owner(), None);
    world.run(S / 2, &[0]);
    assert_eq!(world.owner(), Some(0), "found in the store, and renewed");
    // Renewals without responses: the lease expires in time, and resumes if nobody took over.
    let token = world.all[0].0.valid_token(world.now);
    world.now += CONFIG.duration;
    assert_eq!(world.owner(), None);
    world.run(S, &[0]);
    assert_eq!(world.all[0].0.valid_token(world.now), token);
    let events = world.all[0].0.take_events();
    let lapsed = Event::Expired(token.unwrap());
    assert!(
        events.contains(&lapsed) && events.contains(&Event::Resumed(token.unwrap())),
        "{events:?}"
    );
}
