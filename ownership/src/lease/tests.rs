//! Tests of leases on a replicated state machine, in one process.

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
struct Fixture {
    state: State,
    revision: u64,
    now: Time,
    gatherers: Vec<Member>,
}

/// A gatherer's lease and its session at the store.
struct Member {
    lease: Lease,
    session: u64,
    /// The number of requests sent in the session.
    requests: u64,
}

impl Fixture {
    fn new(count: usize) -> Fixture {
        let mut fixture = Fixture {
            state: State::default(),
            revision: 0,
            now: 10 * S,
            gatherers: Vec::new(),
        };
        fixture.put(keys::ERA, Some("1"));
        (0..count).for_each(|at| fixture.start(at));
        fixture
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
        let member = Member {
            lease,
            session: self.revision,
            requests: 0,
        };
        if at < self.gatherers.len() {
            self.gatherers[at] = member
        } else {
            self.gatherers.push(member)
        }
    }

    /// Runs these gatherers for a duration. Each one's rank is its index.
    fn run(&mut self, duration: Time, running: &[usize]) {
        let until = self.now + duration;
        while self.now < until {
            self.now += S / 20;
            for at in running {
                self.step(*at);
            }
        }
    }

    fn step(&mut self, at: usize) {
        let now = self.now;
        let Member {
            lease,
            session,
            requests,
        } = &mut self.gatherers[at];
        lease.observe(View::of(&self.state, ROLE, &format!("g{at}")), now);
        lease.set_rank(Some(at), 3, now);
        let Some(request) = lease.poll(now) else {
            return;
        };
        *requests += 1;
        let txn = Txn {
            session: *session,
            request: *requests,
            checks: request.checks,
            sets: request.changes,
        };
        let completion = self.apply(&Command::Txn(txn));
        let response = match completion {
            Some(Completion::Txn {
                outcome: Outcome::Applied(revision),
                ..
            }) => Response::Committed(revision),
            _ => Response::Rejected,
        };
        let lease = &mut self.gatherers[at].lease;
        lease.observe(View::of(&self.state, ROLE, &format!("g{at}")), now);
        lease.handle_response(response, now);
    }

    fn owner(&self) -> Option<usize> {
        let owners: Vec<usize> = (0..self.gatherers.len())
            .filter(|at| self.gatherers[*at].lease.valid_token(self.now).is_some())
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
    let mut fixture = Fixture::new(3);
    fixture.run(S / 2, &[0, 1, 2]);
    assert_eq!(fixture.owner(), Some(0));
    let first = fixture.gatherers[0].lease.valid_token(fixture.now).unwrap();
    fixture.run(30 * S, &[0, 1, 2]);
    assert_eq!(
        fixture.gatherers[0].lease.valid_token(fixture.now),
        Some(first),
        "the owner keeps the role"
    );
    // The owner is suspended. On its own clock the lease expires before another gatherer acquires.
    let suspended_at = fixture.now;
    let mut acquired_at = None;
    for _ in 0..400 {
        fixture.run(S / 20, &[1, 2]);
        if fixture.owner() == Some(1) {
            acquired_at.get_or_insert(fixture.now);
        }
    }
    let wait = acquired_at.expect("another gatherer acquires the role") - suspended_at;
    // The takeover delay and the stagger of the second candidate count from the last renewal, at
    // most a quarter of a lease earlier.
    assert!(
        wait <= CONFIG.takeover_delay() + CONFIG.stagger + S / 4 && wait > CONFIG.duration,
        "{wait}"
    );
    let second = fixture.gatherers[1].lease.valid_token(fixture.now).unwrap();
    assert!(second > first);
    // The former owner resumes: it gets no permits, and its transactions are rejected.
    let former = &fixture.gatherers[0].lease;
    assert_eq!(former.permit(Target::Store, fixture.now), None);
    let permit = Permit::new(ROLE, Target::Store, first).unwrap();
    let checks = vec![former.fencing_check(&permit)];
    let session = fixture.gatherers[0].session;
    let sets = vec![Change {
        key: "effect".to_owned(),
        value: Some(String::new()),
    }];
    let completion = fixture.apply(&Command::Txn(Txn {
        session,
        request: 999,
        checks,
        sets,
    }));
    assert!(matches!(
        completion,
        Some(Completion::Txn {
            outcome: Outcome::Rejected(_),
            ..
        })
    ));
    fixture.run(S, &[0, 1, 2]);
    let events = fixture.gatherers[0].lease.take_events();
    assert!(events.contains(&Event::Lost(first)), "{events:?}");
    assert_eq!(
        fixture.owner(),
        Some(1),
        "a candidate of a better rank does not take over"
    );
}

#[test]
fn new_incarnation_does_not_inherit_the_lease() {
    let mut fixture = Fixture::new(1);
    fixture.run(S, &[0]);
    let before = fixture.gatherers[0].lease.valid_token(fixture.now).unwrap();
    fixture.start(0);
    fixture.run(S, &[0]);
    assert_eq!(
        fixture.owner(),
        None,
        "the previous incarnation may still be running"
    );
    fixture.run(CONFIG.takeover_delay(), &[0]);
    assert!(fixture.gatherers[0].lease.valid_token(fixture.now).unwrap() > before);
}

#[test]
fn operator_transfers_and_excludes() {
    let mut fixture = Fixture::new(3);
    fixture.run(S, &[0, 1, 2]);
    fixture.gatherers[0].lease.set_idle(false);
    fixture.put(&keys::transfer(ROLE), Some("g2"));
    fixture.run(S / 2, &[0, 1, 2]);
    assert_eq!(
        fixture.owner(),
        None,
        "the owner has stopped using the lease"
    );
    assert_eq!(
        fixture.grant().owner.as_deref(),
        Some("g0"),
        "the release waits until no work is in flight"
    );
    fixture.gatherers[0].lease.set_idle(true);
    fixture.run(S / 2, &[0, 1, 2]);
    assert_eq!(
        (fixture.owner(), fixture.grant().reason.as_str()),
        (Some(2), "taken: it was offered")
    );
    assert_eq!(
        fixture.state.get(&keys::transfer(ROLE)),
        None,
        "the transfer request is removed"
    );
    fixture.put(&keys::exclusion(ROLE, "g2"), Some(""));
    fixture.run(S, &[0, 1, 2]);
    // The former owner has a cooldown, so that the role does not move back immediately.
    assert_eq!(fixture.owner(), Some(1));
    // A role offered to an absent gatherer is acquired by another one after the takeover delay, and
    // the transfer is not repeated.
    fixture.put(&keys::transfer(ROLE), Some("nobody"));
    fixture.run(S / 2, &[0, 1, 2]);
    assert_eq!(
        (fixture.owner(), fixture.grant().owner.as_deref()),
        (None, Some("nobody"))
    );
    // Both gatherers that may own it have a cooldown.
    fixture.run(2 * CONFIG.takeover_delay(), &[0, 1, 2]);
    assert!(fixture.owner().is_some());
    let owner = fixture.owner();
    fixture.run(20 * S, &[0, 1, 2]);
    assert_eq!(fixture.owner(), owner);
}

#[test]
fn releases_after_quorum_of_fault_reports() {
    let mut fixture = Fixture::new(3);
    fixture.run(S, &[0, 1, 2]);
    let token = fixture.gatherers[0].lease.valid_token(fixture.now).unwrap();
    fixture.put(
        &keys::fault_report(ROLE, "g1"),
        Some(&token.to_json().to_string()),
    );
    fixture.put(
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
    fixture.run(2 * S, &[0, 1, 2]);
    assert_eq!(
        fixture.owner(),
        Some(0),
        "one report, and one on another grant"
    );
    fixture.put(
        &keys::fault_report(ROLE, "g2"),
        Some(&token.to_json().to_string()),
    );
    fixture.run(2 * S, &[0, 1, 2]);
    assert_eq!((fixture.owner(), fixture.grant().failures), (Some(1), 0));
    // The former owner has a long cooldown although it ranks first: a third gatherer acquires.
    fixture.put(&keys::exclusion(ROLE, "g1"), Some(""));
    fixture.run(2 * S, &[0, 1, 2]);
    assert_eq!(fixture.owner(), Some(2));
}

#[test]
fn parks_after_failed_owners_but_not_after_power_loss() {
    let mut fixture = Fixture::new(5);
    let mut failed = Vec::new();
    // The first grant predates the other gatherers' first observation, so the failure of its owner
    // may be a power loss of the whole fleet and does not count.
    for _ in 0..4 {
        let running: Vec<usize> = (0..5).filter(|at| !failed.contains(at)).collect();
        let mut rounds = 0;
        while fixture.owner().is_none_or(|owner| failed.contains(&owner)) {
            fixture.run(S / 20, &running);
            rounds += 1;
            assert!(rounds < 400);
        }
        failed.push(fixture.owner().unwrap());
    }
    let last: Vec<usize> = (0..5).filter(|at| !failed.contains(at)).collect();
    fixture.run(20 * S, &last);
    let grant = fixture.grant();
    assert_eq!(
        (fixture.owner(), grant.owner.as_deref(), grant.failures),
        (None, None, 3)
    );
    assert!(
        grant
            .parked
            .is_some_and(|reason| reason.contains("3 owners in a row died"))
    );
    // An operator unparks it.
    fixture.put(
        &keys::owner(ROLE),
        Some(&Grant::default().to_json().to_string()),
    );
    fixture.run(CONFIG.stagger * 5, &last);
    assert_eq!(fixture.owner(), Some(last[0]));
    // After repeated power losses of all gatherers none has observed a failure.
    for _ in 0..5 {
        (0..5).for_each(|at| fixture.start(at));
        fixture.run(CONFIG.takeover_delay() + CONFIG.stagger, &[0, 1, 2, 3, 4]);
        assert!(fixture.owner().is_some());
    }
    assert_eq!(fixture.grant().failures, 0);
    // A grant that cannot be parsed may have an owner, so the role counts as parked.
    fixture.put(&keys::owner(ROLE), Some("{\"own"));
    fixture.run(20 * S, &[0, 1, 2, 3, 4]);
    assert!(fixture.owner().is_none() && fixture.grant().parked.is_some());
}

#[test]
fn unknown_outcome_counts_for_nothing_until_observed() {
    let mut fixture = Fixture::new(1);
    let now = fixture.now;
    let Member { lease, session, .. } = &mut fixture.gatherers[0];
    lease.observe(View::of(&fixture.state, ROLE, "g0"), now);
    lease.set_rank(Some(0), 1, now);
    let request = lease.poll(now).expect("an acquisition");
    assert_eq!(lease.poll(now), None, "one request in flight");
    let txn = Txn {
        session: *session,
        request: 1,
        checks: request.checks,
        sets: request.changes,
    };
    fixture.apply(&Command::Txn(txn));
    fixture.gatherers[0].requests = 1;
    fixture.now += S;
    let now = fixture.now;
    fixture.gatherers[0]
        .lease
        .handle_response(Response::Unknown, now);
    assert_eq!(fixture.owner(), None);
    fixture.run(S / 2, &[0]);
    assert_eq!(
        fixture.owner(),
        Some(0),
        "the grant is found in the store and renewed"
    );
    // Without responses to renewals the lease expires, and resumes if no gatherer took over.
    let token = fixture.gatherers[0].lease.valid_token(fixture.now);
    fixture.now += CONFIG.duration;
    assert_eq!(fixture.owner(), None);
    fixture.run(S, &[0]);
    assert_eq!(fixture.gatherers[0].lease.valid_token(fixture.now), token);
    let events = fixture.gatherers[0].lease.take_events();
    let expired = Event::Expired(token.unwrap());
    assert!(
        events.contains(&expired) && events.contains(&Event::Resumed(token.unwrap())),
        "{events:?}"
    );
}
