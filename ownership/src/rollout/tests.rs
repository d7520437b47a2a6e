//! Tests of `rollout`.

use super::*;

const S: Time = 1_000_000_000;
const BOUNDS: Bounds = Bounds {
    back_within: 10 * S,
    words_within: 5 * S,
};

fn token(revision: u64) -> Token {
    Token { era: 1, revision }
}

struct World {
    here: BTreeMap<String, Here>,
    activation: Activation,
    since: Time,
}

impl World {
    fn next(&self, job: &Job, by: u64, now: Time) -> Option<Next> {
        let (here, activation) = (&self.here, self.activation.clone());
        next(
            job,
            token(by),
            false,
            &Scene {
                here,
                activation,
                since: self.since,
                now,
            },
            &BOUNDS,
        )
    }

    /// Carries out all that can be done at once; what was ordered.
    fn go(&mut self, job: &mut Job, by: u64, now: Time) -> Vec<String> {
        let mut ordered = Vec::new();
        while let Some(Next::Write(new, effect)) = self.next(job, by, now) {
            (*job, self.since) = (new, now);
            if let Effect::Orders(orders) = effect {
                for (name, life) in orders {
                    let here = self.here.get_mut(&name).unwrap();
                    assert!(here.life == life && here.serves);
                    here.serves = false;
                    ordered.push(name);
                }
            }
        }
        ordered
    }

    fn back(&mut self, name: &str) {
        let here = self.here.get_mut(name).unwrap();
        *here = Here {
            life: here.life + 100,
            serves: true,
        };
    }
}

fn world(count: u64) -> World {
    let here = |n: u64| {
        (
            format!("g{n}"),
            Here {
                life: n,
                serves: true,
            },
        )
    };
    World {
        here: (0..count).map(here).collect(),
        activation: Activation::Ready,
        since: 0,
    }
}

fn names(count: u64) -> Vec<String> {
    (0..count).map(|n| format!("g{n}")).collect()
}

#[test]
fn restarts_go_in_waves_and_are_carried_on_by_the_next_owner_each_once() {
    let mut world = world(5);
    let mut job = Job::new(vec![Step::Restart(names(5))], 2);
    assert_eq!(world.go(&mut job, 1, S), ["g0", "g1"]);
    world.back("g1");
    assert_eq!(world.go(&mut job, 1, 2 * S), ["g2"]);
    // The next owner orders nobody twice, though one is not back yet.
    assert_eq!(world.go(&mut job, 2, 3 * S), Vec::<String>::new());
    assert_eq!((job.tries, job.by), (2, Some(token(2))));
    world.back("g0");
    world.back("g2");
    assert_eq!(world.go(&mut job, 2, 4 * S), ["g3", "g4"]);
    world.back("g3");
    assert_eq!(job.stands, Stands::Open);
    world.back("g4");
    world.go(&mut job, 2, 5 * S);
    assert_eq!((job.stands, world.here["g4"].life), (Stands::Done, 104));
}

#[test]
fn who_is_out_for_another_reason_counts_and_who_does_not_come_back_pauses_the_job() {
    let mut world = world(4);
    world.here.get_mut("g3").unwrap().serves = false;
    let mut job = Job::new(vec![Step::Restart(names(3))], 2);
    assert_eq!(
        world.go(&mut job, 1, S),
        ["g0"],
        "one of the two that may be out is out already"
    );
    assert_eq!(world.next(&job, 1, 2 * S), Some(Next::Wait(11 * S)));
    world.go(&mut job, 1, 11 * S);
    let Stands::Paused(why) = &job.stands else {
        panic!("{job:?}")
    };
    assert!(why.contains("g0, g3"), "{why}");
    assert_eq!(world.next(&job, 1, 12 * S), None);
    // An operator has it go on once they are back.
    world.back("g3");
    world.back("g0");
    job = job.stood(Stands::Open);
    assert_eq!(world.go(&mut job, 1, 13 * S), ["g1", "g2"]);
    world.here.remove("g2");
    let mut other = Job::new(vec![Step::Restart(vec!["g9".to_owned()])], 9);
    world.go(&mut other, 1, 14 * S);
    assert_eq!(other.stands, Stands::Paused("g9 is not there".to_owned()));
}

#[test]
fn an_activation_is_made_with_the_jobs_own_place_and_one_that_was_made_is_not_made_again() {
    let mut world = world(1);
    let job = Job::new(vec![Step::Activate(7)], 1);
    let begun = job.begun(token(1), false);
    world.activation = Activation::Waits("g1 has not said that it can use this".to_owned());
    assert_eq!(world.next(&begun, 1, S), Some(Next::Wait(5 * S)));
    assert!(matches!(
        world.next(&begun, 1, 5 * S),
        Some(Next::Write(
            Job {
                stands: Stands::Paused(_),
                ..
            },
            _
        ))
    ));
    world.activation = Activation::Ready;
    assert_eq!(
        world.next(&begun, 1, S),
        Some(Next::Write(begun.advanced(), Effect::Activate(7)))
    );
    world.activation = Activation::Done;
    assert_eq!(
        world.next(&begun, 1, S),
        Some(Next::Write(begun.advanced(), Effect::None))
    );
    world.activation = Activation::Impossible("g0 cannot".to_owned());
    let paused = begun.stood(Stands::Paused("g0 cannot".to_owned()));
    assert_eq!(
        world.next(&begun, 1, S),
        Some(Next::Write(paused, Effect::None))
    );
}
