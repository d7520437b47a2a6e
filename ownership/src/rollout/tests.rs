//! Tests of the rollout.

use super::*;

const S: Time = 1_000_000_000;
const CONFIG: Config = Config {
    restart_timeout: 10 * S,
    vote_timeout: 5 * S,
};

fn token(revision: u64) -> Token {
    Token { era: 1, revision }
}

/// The state of a fleet as one owner observes it.
struct FakeFleet {
    members: BTreeMap<String, Presence>,
    activation: Activation,
    unchanged_since: Time,
}

impl FakeFleet {
    fn decide(&self, job: &Job, by: u64, now: Time) -> Option<Decision> {
        let (members, activation) = (&self.members, self.activation.clone());
        decide(
            job,
            token(by),
            false,
            &Observation {
                members,
                activation,
                unchanged_since: self.unchanged_since,
                now,
            },
            &CONFIG,
        )
    }

    /// Applies all decisions that need no waiting; returns the gatherers ordered to restart.
    fn execute(&mut self, job: &mut Job, by: u64, now: Time) -> Vec<String> {
        let mut ordered = Vec::new();
        while let Some(Decision::Update(new, effect)) = self.decide(job, by, now) {
            (*job, self.unchanged_since) = (new, now);
            if let Effect::Restart(orders) = effect {
                for (name, incarnation) in orders {
                    let member = self.members.get_mut(&name).unwrap();
                    assert!(member.incarnation == incarnation && member.serving);
                    member.serving = false;
                    ordered.push(name);
                }
            }
        }
        ordered
    }

    fn finish_restart(&mut self, name: &str) {
        let member = self.members.get_mut(name).unwrap();
        *member = Presence {
            incarnation: member.incarnation + 100,
            serving: true,
        };
    }
}

fn fleet(count: u64) -> FakeFleet {
    let presence = |n: u64| {
        (
            format!("g{n}"),
            Presence {
                incarnation: n,
                serving: true,
            },
        )
    };
    FakeFleet {
        members: (0..count).map(presence).collect(),
        activation: Activation::Ready,
        unchanged_since: 0,
    }
}

fn names(count: u64) -> Vec<String> {
    (0..count).map(|n| format!("g{n}")).collect()
}

#[test]
fn next_owner_continues_restart_waves() {
    let mut fleet = fleet(5);
    let mut job = Job::new(vec![Step::Restart(names(5))], 2);
    assert_eq!(fleet.execute(&mut job, 1, S), ["g0", "g1"]);
    fleet.finish_restart("g1");
    assert_eq!(fleet.execute(&mut job, 1, 2 * S), ["g2"]);
    // The next owner repeats no order, although one gatherer has not returned yet.
    assert_eq!(fleet.execute(&mut job, 2, 3 * S), Vec::<String>::new());
    assert_eq!((job.attempts, job.attempted_by), (2, Some(token(2))));
    fleet.finish_restart("g0");
    fleet.finish_restart("g2");
    assert_eq!(fleet.execute(&mut job, 2, 4 * S), ["g3", "g4"]);
    fleet.finish_restart("g3");
    assert_eq!(job.status, Status::Open);
    fleet.finish_restart("g4");
    fleet.execute(&mut job, 2, 5 * S);
    assert_eq!(
        (job.status, fleet.members["g4"].incarnation),
        (Status::Done, 104)
    );
}

#[test]
fn counts_all_unavailable_and_pauses_on_timeout() {
    let mut fleet = fleet(4);
    fleet.members.get_mut("g3").unwrap().serving = false;
    let mut job = Job::new(vec![Step::Restart(names(3))], 2);
    assert_eq!(
        fleet.execute(&mut job, 1, S),
        ["g0"],
        "one of two allowed is out of service already"
    );
    assert_eq!(fleet.decide(&job, 1, 2 * S), Some(Decision::Wait(11 * S)));
    fleet.execute(&mut job, 1, 11 * S);
    let Status::Paused(reason) = &job.status else {
        panic!("{job:?}")
    };
    assert!(reason.contains("g0, g3"), "{reason}");
    assert_eq!(fleet.decide(&job, 1, 12 * S), None);
    // An operator resumes the job once the gatherers have returned.
    fleet.finish_restart("g3");
    fleet.finish_restart("g0");
    job = job.with_status(Status::Open);
    assert_eq!(fleet.execute(&mut job, 1, 13 * S), ["g1", "g2"]);
    fleet.members.remove("g2");
    let mut other = Job::new(vec![Step::Restart(vec!["g9".to_owned()])], 9);
    fleet.execute(&mut other, 1, 14 * S);
    assert_eq!(other.status, Status::Paused("g9 is not there".to_owned()));
}

#[test]
fn activates_once_with_the_job_update() {
    let mut fleet = fleet(1);
    let job = Job::new(vec![Step::Activate(7)], 1);
    let begun = job.begin_attempt(token(1), false);
    fleet.activation = Activation::Waiting("g1 has not said that it can use this".to_owned());
    assert_eq!(fleet.decide(&begun, 1, S), Some(Decision::Wait(5 * S)));
    assert!(matches!(
        fleet.decide(&begun, 1, 5 * S),
        Some(Decision::Update(
            Job {
                status: Status::Paused(_),
                ..
            },
            _
        ))
    ));
    fleet.activation = Activation::Ready;
    assert_eq!(
        fleet.decide(&begun, 1, S),
        Some(Decision::Update(begun.complete_step(), Effect::Activate(7)))
    );
    fleet.activation = Activation::Active;
    assert_eq!(
        fleet.decide(&begun, 1, S),
        Some(Decision::Update(begun.complete_step(), Effect::None))
    );
    fleet.activation = Activation::Impossible("g0 cannot".to_owned());
    let paused = begun.with_status(Status::Paused("g0 cannot".to_owned()));
    assert_eq!(
        fleet.decide(&begun, 1, S),
        Some(Decision::Update(paused, Effect::None))
    );
}
