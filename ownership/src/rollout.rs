//! The next thing to be done for a job, by what is seen of the fleet. Every effect is a change of
//! the store that is made together with the job's own: it is made once, whoever makes it, and
//! however often that is tried.

use crate::job::{Job, Stands, Step};
use crate::{Time, Token};
use std::collections::BTreeMap;

/// What a gatherer says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Here {
    /// Its life.
    pub life: u64,
    /// Whether it takes clients, under the version that is active.
    pub serves: bool,
}

/// Whether a proposal could be made active.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Activation {
    /// It is already.
    Done,
    /// Nobody is in the way.
    Ready,
    /// Somebody has not had their say yet.
    Waits(String),
    /// Somebody cannot use it, or it is not what is proposed any more.
    Impossible(String),
}

/// What one owner sees.
#[derive(Debug, Clone)]
pub struct Scene<'a> {
    /// Each gatherer.
    pub here: &'a BTreeMap<String, Here>,
    /// What is to be said of an activation, where the step is one.
    pub activation: Activation,
    /// Since when this owner has seen the job as it is.
    pub since: Time,
    /// Now.
    pub now: Time,
}

/// How long is waited.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// For a gatherer that was told to end to serve again.
    pub back_within: Time,
    /// For gatherers to have their say on a proposal.
    pub words_within: Time,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Nothing before something changes, or this moment.
    Wait(Time),
    /// The job is to be written so, together with this.
    Write(Job, Effect),
}

/// What is changed together with the job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    None,
    /// These gatherers are told to end, in these lives.
    Orders(BTreeMap<String, u64>),
    /// This proposal is made active.
    Activate(u64),
}

/// The next thing for a job, under a token; `orderly` says whether the owner before gave the work
/// up by itself.
pub fn next(
    job: &Job,
    token: Token,
    orderly: bool,
    scene: &Scene<'_>,
    bounds: &Bounds,
) -> Option<Next> {
    let step = job.step()?;
    if job.by != Some(token) {
        return Some(Next::Write(job.begun(token, orderly), Effect::None));
    }
    let pause = |why: String| Some(Next::Write(job.stood(Stands::Paused(why)), Effect::None));
    let within = |bound: Time, why: String| {
        let until = scene.since.saturating_add(bound);
        if scene.now < until {
            Some(Next::Wait(until))
        } else {
            pause(why)
        }
    };
    match step {
        Step::Activate(proposal) => match &scene.activation {
            Activation::Done => Some(Next::Write(job.advanced(), Effect::None)),
            Activation::Ready => Some(Next::Write(job.advanced(), Effect::Activate(*proposal))),
            Activation::Impossible(why) => pause(why.clone()),
            Activation::Waits(why) => within(bounds.words_within, why.clone()),
        },
        Step::Restart(names) => restart(
            job,
            names,
            scene,
            &|why| within(bounds.back_within, why),
            &pause,
        ),
    }
}

fn restart(
    job: &Job,
    names: &[String],
    scene: &Scene<'_>,
    within: &dyn Fn(String) -> Option<Next>,
    pause: &dyn Fn(String) -> Option<Next>,
) -> Option<Next> {
    let is_back = |name: &String, life: u64| {
        scene
            .here
            .get(name)
            .is_some_and(|here| here.life != life && here.serves)
    };
    let away: Vec<&String> = job
        .ordered
        .iter()
        .filter(|(name, life)| !is_back(name, **life))
        .map(|(name, _)| name)
        .collect();
    let waiting: Vec<&String> = names
        .iter()
        .filter(|name| !job.ordered.contains_key(*name))
        .collect();
    if waiting.is_empty() && away.is_empty() {
        return Some(Next::Write(job.advanced(), Effect::None));
    }
    // Whoever is out for another reason counts too: what matters is how many serve.
    let is_out = |(name, here): &(&String, &Here)| !here.serves || away.contains(name);
    let out: Vec<&str> = scene
        .here
        .iter()
        .filter(is_out)
        .map(|(name, _)| name.as_str())
        .collect();
    let room = job.out.saturating_sub(out.len());
    let mut orders = BTreeMap::new();
    for name in waiting.iter().take(room) {
        match scene.here.get(*name) {
            Some(here) if here.serves => drop(orders.insert((*name).clone(), here.life)),
            Some(_) => {}
            None => return pause(format!("{name} is not there")),
        }
    }
    if orders.is_empty() {
        return within(format!(
            "out of service for too long: {}, where {} may be",
            out.join(", "),
            job.out
        ));
    }
    let mut job = job.clone();
    job.ordered.extend(orders.clone());
    Some(Next::Write(job, Effect::Orders(orders)))
}

#[cfg(test)]
mod tests {
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
}
