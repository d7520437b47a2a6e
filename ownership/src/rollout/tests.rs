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

struct World {
    members: BTreeMap<String, Presence>,
    activation: Activation,
    unchanged_since: Time,
}

impl World {
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

    /// Carries out all that can be done at once; what was ordered.
    fn execute(&mut self, job: &mut Job, by: u64, now: Time) -> Vec<String> {
        let mut ordered = Vec::new();
        while let Some(Decision::Update(new, effect)) = self.decide(job, by, now) {
            (*job, self.unchanged_since) = (new, now);
            if let Effect::Restart(orders) = effect {
                for (name, life) in orders {
                    let member = self.members.get_mut(&name).unwrap();
                    assert!(member.incarnation == life && member.serving);
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

fn world(count: u64) -> World {
    let presence = |n: u64| {
        (
            format!("g{n}"),
            Presence {
                incarnation: n,
                serving: true,
            },
        )
    };
    World {
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
    let mut world = world(5);
    let mut job = Job::new(vec![Step::Restart(names(5))], 2);
    assert_eq!(world.execute(&mut job, 1, S), ["g0", "g1"]);
    world.finish_restart("g1");
    assert_eq!(world.execute(&mut job, 1, 2 * S), ["g2"]);
    // The next owner orders nobody twice, though one is not back yet.
    assert_eq!(world.execute(&mut job, 2, 3 * S), Vec::<String>::new());
    assert_eq!((job.attempts, job.attempted_by), (2, Some(token(2))));
    world.finish_restart("g0");
    world.finish_restart("g2");
    assert_eq!(world.execute(&mut job, 2, 4 * S), ["g3", "g4"]);
    world.finish_restart("g3");
    assert_eq!(job.status, Status::Open);
    world.finish_restart("g4");
    world.execute(&mut job, 2, 5 * S);
    assert_eq!(
        (job.status, world.members["g4"].incarnation),
        (Status::Done, 104)
    );
}

#[test]
fn counts_all_unavailable_and_pauses_on_timeout() {
    let mut world = world(4);
    world.members.get_mut("g3").unwrap().serving = false;
    let mut job = Job::new(vec![Step::Restart(names(3))], 2);
    assert_eq!(
        world.execute(&mut job, 1, S),
        ["g0"],
        "one of the two that may be out is out already"
    );
    assert_eq!(world.decide(&job, 1, 2 * S), Some(Decision::Wait(11 * S)));
    world.execute(&mut job, 1, 11 * S);
    let Status::Paused(why) = &job.status else {
        panic!("{job:?}")
    };
    assert!(why.contains("g0, g3"), "{why}");
    assert_eq!(world.decide(&job, 1, 12 * S), None);
    // An operator has it go on once they are back.
    world.finish_restart("g3");
    world.finish_restart("g0");
    job = job.with_status(Status::Open);
    assert_eq!(world.execute(&mut job, 1, 13 * S), ["g1", "g2"]);
    world.members.remove("g2");
    let mut other = Job::new(vec![Step::Restart(vec!["g9".to_owned()])], 9);
    world.execute(&mut other, 1, 14 * S);
    assert_eq!(other.status, Status::Paused("g9 is not there".to_owned()));
}

#[test]
fn activates_once_with_the_job_update() {
    let mut world = world(1);
    let job = Job::new(vec![Step::Activate(7)], 1);
    let begun = job.begin_attempt(token(1), false);
    world.activation = Activation::Waiting("g1 has not said that it can use this".to_owned());
    assert_eq!(world.decide(&begun, 1, S), Some(Decision::Wait(5 * S)));
    assert!(matches!(
        world.decide(&begun, 1, 5 * S),
        Some(Decision::Update(
            Job {
                status: Status::Paused(_),
                ..
            },
            _
        ))
    ));
    world.activation = Activation::Ready;
    assert_eq!(
        world.decide(&begun, 1, S),
        Some(Decision::Update(begun.complete_step(), Effect::Activate(7)))
    );
    world.activation = Activation::Active;
    assert_eq!(
        world.decide(&begun, 1, S),
        Some(Decision::Update(begun.complete_step(), Effect::None))
    );
    world.activation = Activation::Impossible("g0 cannot".to_owned());
    let paused = begun.with_status(Status::Paused("g0 cannot".to_owned()));
    assert_eq!(
        world.decide(&begun, 1, S),
        Some(Decision::Update(paused, Effect::None))
    );
}
