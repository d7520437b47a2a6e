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
mod tests;
