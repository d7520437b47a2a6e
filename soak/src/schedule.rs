//! The random schedule of a run: overlapping series of signals, restarts, disk losses and changes.

use crate::backend::Withdrawal;
use crate::clock::Millis;
use crate::history::Policy;
use crate::settings::Size;
use crate::supervisor::RouterFault;
use fastrand::Rng;
use std::ops::Range;
use std::time::Duration;

/// An action of the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Injects a fault into a router.
    Router(usize, RouterFault),
    /// Injects a fault into the leader of the control state.
    Leader(RouterFault),
    /// Sends a configuration, or two concurrent ones that replace the same version.
    Configure {
        /// Whether two are sent.
        race: bool,
    },
    /// Sends a configuration with this policy, which later ones have as well.
    SetPolicy(Policy),
    /// Announces a version of the weights.
    AnnounceWeights,
    /// Crashes a backend and starts another one in its place.
    CrashBackend(usize),
    /// Makes a backend unresponsive for this time.
    HangBackend(usize, Duration),
    /// Partitions the link to a backend for this time.
    PartitionBackend(usize, Duration),
    /// Starts another backend in place of this one, and drains this one.
    ReplaceBackend(usize),
    /// Starts another backend in place of this one, and withdraws this one under faults.
    WithdrawBackend(usize, WithdrawalStep),
}

/// How a backend is withdrawn, and which faults follow its acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WithdrawalStep {
    /// What the backend announces.
    pub withdrawal: Withdrawal,
    /// How many times in a row all replicas are killed after the acknowledgement.
    pub kills: u32,
    /// The delay of the last heartbeat before the announcement.
    pub heartbeat_delay: Duration,
}

/// An action and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// The time in milliseconds since the start of the schedule.
    pub at: Millis,
    /// The action.
    pub action: Action,
}

/// The parameters of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// The number of routers.
    pub size: Size,
    /// The number of backends.
    pub backends: usize,
    /// The length of the schedule in milliseconds.
    pub duration: Millis,
    /// Whether to add a series of faults of the leader while versions of the weights are announced.
    pub leader_faults: bool,
    /// Whether to add a series of partitions of links to backends while versions of the weights are
    /// announced.
    pub partitions: bool,
    /// Whether to add a series of withdrawals of backends, with kills of all replicas as soon as
    /// they are acknowledged.
    pub withdrawals: bool,
    /// Whether to alternate strict and relaxed configurations, in place of the usual changes, while
    /// routers are suspended and all replicas are killed.
    pub policies: bool,
}

/// How long a strict policy is in force in each round of the series.
const STRICT_MS: Millis = 6_000;
/// The length of one round of the series.
const POLICY_ROUND_MS: Millis = 8_500;

/// Draws the steps of overlapping series, sorted by time. The same seed gives the same steps.
pub fn draw(scope: Scope, seed: u64) -> Vec<Step> {
    let mut rng = Rng::with_seed(seed);
    let mut steps = Vec::new();
    if scope.policies {
        // A replica learns that a configuration is committed when it stores the next change, so there
        // are no other changes.
        steps.extend(policy_series(scope, &mut rng));
    } else {
        steps.extend(configurations(scope, &mut rng));
        steps.extend(weights(scope, &mut rng));
    }
    // The time limits of the checks hold only while the replicas of the control state have no
    // faults: a third of the runs spares them, so that the limits hold throughout.
    let replicas_have_no_faults = rng.u8(..3) == 0;
    let targets = if replicas_have_no_faults {
        scope.size.replicas..scope.size.routers
    } else {
        0..scope.size.routers
    };
    for _ in 0..rng.usize(2..5) {
        steps.extend(router_series(scope, targets.clone(), &mut rng));
    }
    for _ in 0..rng.usize(1..4) {
        steps.extend(backend_series(scope, &mut rng));
    }
    if !replicas_have_no_faults && rng.bool() {
        steps.extend(control_state_loss(scope, &mut rng));
    }
    if scope.leader_faults {
        steps.extend(leader_series(scope, &mut rng));
    }
    if scope.partitions {
        steps.extend(partition_series(scope, &mut rng));
    }
    if scope.withdrawals {
        steps.extend(withdrawal_series(scope, &mut rng));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Strict and relaxed configurations in turn. Routers are suspended while a strict one is
/// acknowledged, or all replicas are killed some time later and one of them returns first.
fn policy_series(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = rng.u64(500..2_000);
    while at + STRICT_MS < scope.duration {
        let strict_at = at + 200;
        if rng.bool() {
            steps.extend(suspensions(scope, at, rng));
        } else {
            steps.extend(staggered_kill(
                scope,
                strict_at + rng.u64(2_300..3_500),
                rng,
            ));
        }
        for (at, policy) in [
            (strict_at, Policy::Strict),
            (at + STRICT_MS, Policy::Relaxed),
        ] {
            steps.push(Step {
                at,
                action: Action::SetPolicy(policy),
            });
        }
        at += POLICY_ROUND_MS;
    }
    steps
}

/// Suspends one or two routers for longer than a configuration may take to be in force.
fn suspensions(scope: Scope, at: Millis, rng: &mut Rng) -> Vec<Step> {
    let count = rng.usize(1..=2);
    let mut suspend = || {
        let duration = Duration::from_millis(rng.u64(3_000..4_000));
        Step {
            at,
            action: Action::Router(
                rng.usize(..scope.size.routers),
                RouterFault::Suspend(duration),
            ),
        }
    };
    (0..count).map(|_| suspend()).collect()
}

/// Kills all replicas at once. One restarts at once, the others within a second.
fn staggered_kill(scope: Scope, at: Millis, rng: &mut Rng) -> Vec<Step> {
    let first = rng.usize(..scope.size.replicas);
    let mut kill = |number| {
        let outage = if number == first { 0..50 } else { 600..1_000 };
        let outage = Duration::from_millis(rng.u64(outage));
        Step {
            at,
            action: Action::Router(number, RouterFault::Outage(outage)),
        }
    };
    (0..scope.size.replicas).map(&mut kill).collect()
}

/// Withdrawals of backends in turn. All replicas are killed up to twice after each acknowledgement;
/// the gaps leave time in which the killed routers are connected again.
fn withdrawal_series(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = rng.u64(..2_000);
    while at < scope.duration {
        let step = WithdrawalStep {
            withdrawal: if rng.bool() {
                Withdrawal::Drain
            } else {
                Withdrawal::Deregister
            },
            kills: rng.u32(0..3),
            heartbeat_delay: Duration::from_millis(rng.u64(100..5_000)),
        };
        let number = steps.len() % scope.backends;
        steps.push(Step {
            at,
            action: Action::WithdrawBackend(number, step),
        });
        at += rng.u64(3_000..10_000);
    }
    steps
}

/// Overlapping partitions of links to backends, while versions of the weights are announced.
fn partition_series(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let mut steps = Vec::new();
    let gap = rng.u64(300..1_500);
    let max_duration = rng.u64(1_000..6_000);
    for at in (0..scope.duration / gap).map(|number| number * gap) {
        let duration = Duration::from_millis(rng.u64(200..max_duration));
        steps.push(Step {
            at,
            action: Action::PartitionBackend(rng.usize(..scope.backends), duration),
        });
    }
    let gap = rng.u64(500..2_500);
    let announcements = (0..scope.duration / gap).map(|number| Step {
        at: number * gap,
        action: Action::AnnounceWeights,
    });
    steps.extend(announcements);
    steps
}

/// Faults of the leader every few seconds, while versions of the weights are announced.
fn leader_series(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let mut steps = Vec::new();
    let gap = rng.u64(3_000..7_000);
    let mut at = rng.u64(..gap);
    while at < scope.duration {
        let fault = match rng.u8(..4) {
            0 => RouterFault::Terminate,
            1 => RouterFault::Suspend(Duration::from_millis(rng.u64(900..2_500))),
            _ => RouterFault::Kill,
        };
        steps.push(Step {
            at,
            action: Action::Leader(fault),
        });
        at += gap * rng.u64(80..120) / 100;
    }
    let gap = rng.u64(700..2_500);
    let announcements = (0..scope.duration / gap).map(|number| Step {
        at: number * gap,
        action: Action::AnnounceWeights,
    });
    steps.extend(announcements);
    steps
}

/// Up to `count` times with a gap, of which the first is in the first two thirds of the schedule.
fn series_times(
    scope: Scope,
    count: usize,
    gap: Millis,
    rng: &mut Rng,
) -> impl Iterator<Item = Millis> {
    let first = rng.u64(..scope.duration * 2 / 3);
    (0..count as u64)
        .map(move |number| first + gap * number)
        .take_while(move |at| *at < scope.duration)
}

fn configurations(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let gap = rng.u64(80..900);
    let race_share = rng.u8(..3);
    let times = (0..scope.duration / gap).map(|number| gap * number);
    times
        .map(|at| Step {
            at,
            action: Action::Configure {
                race: rng.u8(..10) < race_share,
            },
        })
        .collect()
}

fn weights(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let (count, gap) = (rng.usize(1..6), rng.u64(400..4_000));
    series_times(scope, count, gap, rng)
        .map(|at| Step {
            at,
            action: Action::AnnounceWeights,
        })
        .collect()
}

/// Faults of one kind, at successive or random routers.
fn router_series(scope: Scope, targets: Range<usize>, rng: &mut Rng) -> Vec<Step> {
    let count = rng.usize(2..8);
    let gap = rng.u64(150..2_500);
    let kind = rng.u8(..4);
    let in_turn = rng.bool();
    let mut router = rng.usize(targets.clone());
    let times: Vec<Millis> = series_times(scope, count, gap, rng).collect();
    let mut steps = Vec::new();
    for at in times {
        let fault = match kind {
            0 => RouterFault::Terminate,
            1 => RouterFault::Kill,
            2 => RouterFault::Suspend(Duration::from_millis(rng.u64(200..4_000))),
            _ => RouterFault::Reload,
        };
        steps.push(Step {
            at,
            action: Action::Router(router, fault),
        });
        router = match router + 1 {
            next if in_turn && next < targets.end => next,
            _ if in_turn => targets.start,
            _ => rng.usize(targets.clone()),
        };
    }
    steps
}

fn backend_series(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let count = rng.usize(1..5);
    let gap = rng.u64(300..3_000);
    let kind = rng.u8(..3);
    let times: Vec<Millis> = series_times(scope, count, gap, rng).collect();
    let mut steps = Vec::new();
    for at in times {
        let backend = rng.usize(..scope.backends);
        let action = match kind {
            0 => Action::CrashBackend(backend),
            1 => Action::HangBackend(backend, Duration::from_millis(rng.u64(500..3_000))),
            _ => Action::ReplaceBackend(backend),
        };
        steps.push(Step { at, action });
    }
    steps
}

/// Kills all replicas of the control state at once, or wipes the disk of one. The fleet tolerates
/// only one such loss, so that a run has at most one.
fn control_state_loss(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let at = rng.u64(scope.duration / 4..scope.duration * 3 / 4);
    if rng.bool() {
        let kill = |number| Step {
            at,
            action: Action::Router(number, RouterFault::Kill),
        };
        return (0..scope.size.replicas).map(kill).collect();
    }
    vec![Step {
        at,
        action: Action::Router(rng.usize(..scope.size.replicas), RouterFault::Wipe),
    }]
}
