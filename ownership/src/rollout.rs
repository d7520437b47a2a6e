//! Decides the next step of a [`Job`] from the observed state of the fleet.
//!
//! Every side effect is part of the store transaction that advances the job. So each takes effect
//! exactly once, whichever owner commits it and however often the transaction is attempted.
//!
//! This is the rollout of the gatherers; the router fleet's rollout is in the package `control`.

use crate::job::{Job, Status, Step};
use crate::{Time, Token};
use std::collections::BTreeMap;

/// The state that a gatherer publishes about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Presence {
    /// The incarnation of the process.
    pub incarnation: u64,
    /// Whether the gatherer accepts clients under the active version.
    pub serving: bool,
}

/// Whether a proposal can be activated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Activation {
    /// The proposal is active already.
    Active,
    /// No gatherer prevents it.
    Ready,
    /// Some gatherers have not voted yet; the text names them.
    Waiting(String),
    /// A gatherer cannot use the proposal, or the proposal has been replaced.
    Impossible(String),
}

/// The state of the fleet as one owner observes it.
#[derive(Debug, Clone)]
pub struct Observation<'a> {
    /// The presence of every gatherer, by name.
    pub members: &'a BTreeMap<String, Presence>,
    /// The state of the activation, if the step is one.
    pub activation: Activation,
    /// The time since which this owner has observed no change of the job.
    pub unchanged_since: Time,
    /// The current time.
    pub now: Time,
}

/// The time-outs of a rollout.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Maximum time for a restarted gatherer to serve again.
    pub restart_timeout: Time,
    /// Maximum time for the gatherers to vote on a proposal.
    pub vote_timeout: Time,
}

/// The next action for a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Wait until the observation changes, at the latest until this time.
    Wait(Time),
    /// Store the job in this form, together with the effect.
    Update(Job, Effect),
}

/// A change in the same transaction as the job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// No change.
    None,
    /// Order these gatherers to restart, by name; each order is for this incarnation only.
    Restart(BTreeMap<String, u64>),
    /// Activate this proposal.
    Activate(u64),
}

/// Decides the next action for a job under the owner's token; `None` if the job is not open.
/// `orderly` is whether the previous owner released the role itself.
pub fn decide(
    job: &Job,
    token: Token,
    orderly: bool,
    observation: &Observation<'_>,
    config: &Config,
) -> Option<Decision> {
    let step = job.current_step()?;
    if job.attempted_by != Some(token) {
        return Some(update(job.begin_attempt(token, orderly)));
    }
    Some(match step {
        Step::Activate(proposal) => activate(job, *proposal, observation, config),
        Step::Restart(names) => restart(job, names, observation, config),
    })
}

fn update(job: Job) -> Decision {
    Decision::Update(job, Effect::None)
}

fn pause(job: &Job, reason: String) -> Decision {
    update(job.with_status(Status::Paused(reason)))
}

/// Waits until the time-out since the job's last change, then pauses the job.
fn wait_or_pause(
    job: &Job,
    observation: &Observation<'_>,
    timeout: Time,
    reason: String,
) -> Decision {
    let until = observation.unchanged_since.saturating_add(timeout);
    if observation.now < until {
        Decision::Wait(until)
    } else {
        pause(job, reason)
    }
}

fn activate(job: &Job, proposal: u64, observation: &Observation<'_>, config: &Config) -> Decision {
    match &observation.activation {
        Activation::Active => update(job.complete_step()),
        Activation::Ready => Decision::Update(job.complete_step(), Effect::Activate(proposal)),
        Activation::Impossible(reason) => pause(job, reason.clone()),
        Activation::Waiting(reason) => {
            wait_or_pause(job, observation, config.vote_timeout, reason.clone())
        }
    }
}

/// Restarts gatherers in waves of at most [`Job::max_unavailable`] out of service at once.
fn restart(
    job: &Job,
    names: &[String],
    observation: &Observation<'_>,
    config: &Config,
) -> Decision {
    let members = observation.members;
    let has_returned = |name: &String, incarnation: u64| {
        members
            .get(name)
            .is_some_and(|member| member.incarnation != incarnation && member.serving)
    };
    let restarting: Vec<&String> = job
        .restarted
        .iter()
        .filter(|(name, incarnation)| !has_returned(name, **incarnation))
        .map(|(name, _)| name)
        .collect();
    let remaining: Vec<&String> = names
        .iter()
        .filter(|name| !job.restarted.contains_key(*name))
        .collect();
    if remaining.is_empty() && restarting.is_empty() {
        return update(job.complete_step());
    }
    // A gatherer that is out of service for another reason counts too: the bound protects the
    // number of those in service.
    let unavailable: Vec<&str> = members
        .iter()
        .filter(|(name, member)| !member.serving || restarting.contains(name))
        .map(|(name, _)| name.as_str())
        .collect();
    let capacity = job.max_unavailable.saturating_sub(unavailable.len());
    let mut orders = BTreeMap::new();
    for name in remaining.into_iter().take(capacity) {
        match members.get(name) {
            Some(member) if member.serving => {
                orders.insert(name.clone(), member.incarnation);
            }
            Some(_) => {}
            None => return pause(job, format!("{name} is not there")),
        }
    }
    if orders.is_empty() {
        let reason = format!(
            "out of service for too long: {}, where {} may be",
            unavailable.join(", "),
            job.max_unavailable
        );
        return wait_or_pause(job, observation, config.restart_timeout, reason);
    }
    let mut job = job.clone();
    job.restarted.extend(orders.clone());
    Decision::Update(job, Effect::Restart(orders))
}

#[cfg(test)]
mod tests;
