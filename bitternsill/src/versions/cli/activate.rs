//! `fleet activate`: makes the last proposal active once no gatherer prevents it.

use super::super::activation::{self, Blocked, Plan};
use super::Activate;
use super::error::CommandError;
use crate::store::client::ChangeOutcome;
use serde_json::json;
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};
use versions::Time;
use versions::rollout::Blocker;

/// The time between two attempts while gatherers prevent the activation.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) fn run(call: &Activate) -> Result<String, CommandError> {
    let client = call.store.client();
    let wait = Duration::from_millis(call.wait);
    let started = Instant::now();
    let mut excluded_since = BTreeMap::new();
    loop {
        let now = started.elapsed().as_nanos() as u64;
        let seen = client.read("")?;
        activation::observe_exclusions(&seen, &mut excluded_since, now);
        let plan = match activation::plan(&seen, &excluded_since, now) {
            Ok(plan) => plan,
            Err(Blocked::NoProposal(reason)) => {
                return Err(CommandError::NothingToActivate(reason));
            }
            Err(Blocked::ByGatherers {
                blockers,
                exclusion_delay,
            }) => {
                if should_give_up(&blockers, exclusion_delay, started.elapsed(), wait) {
                    return Err(CommandError::Blocked(blockers));
                }
                thread::sleep(POLL_INTERVAL);
                continue;
            }
        };
        match client.change(plan.checks.clone(), plan.changes.clone())? {
            ChangeOutcome::Applied(version) => return Ok(success(version, &plan, call.store.json)),
            // A gatherer has voted or restarted since the store was read, so the store is read
            // again.
            ChangeOutcome::Rejected(_) if started.elapsed() <= wait => {}
            ChangeOutcome::Rejected(why) => {
                return Err(CommandError::NotActivated(why));
            }
            ChangeOutcome::Unknown => {
                return Err(CommandError::Unknown("activated"));
            }
        }
    }
}

/// Whether waiting longer is pointless. If a gatherer cannot use the proposal, missing votes are
/// still waited for, so that all such gatherers are named at once.
fn should_give_up(
    blockers: &BTreeMap<String, Blocker>,
    exclusion_delay: Time,
    elapsed: Duration,
    wait: Duration,
) -> bool {
    let all_expire = blockers
        .values()
        .all(|blocker| matches!(blocker, Blocker::StillValid(_)));
    let exclusion_delay = if all_expire {
        Duration::from_nanos(exclusion_delay)
    } else {
        Duration::ZERO
    };
    let is_permanent = blockers
        .values()
        .any(|blocker| matches!(blocker, Blocker::Objection(_) | Blocker::Autonomous));
    let votes_missing = blockers.values().any(|blocker| *blocker == Blocker::NoVote);
    elapsed > wait + exclusion_delay || is_permanent && !votes_missing
}

fn success(version: u64, plan: &Plan, as_json: bool) -> String {
    let autonomous = &plan.autonomous;
    if as_json {
        let proposal = plan.proposal;
        return json!({"version": version, "proposal": proposal, "keepers": autonomous})
            .to_string();
    }
    format!(
        "version {version} is active for {} gatherers; these keep serving without a store: {}",
        plan.participants,
        autonomous.join(", ")
    )
}
