//! The schedule of a run, drawn by its seed: overlapping series of signals, restarts, losses and
//! changes.

use crate::clock::Millis;
use crate::settings::Size;
use crate::supervisor::RouterFault;
use fastrand::Rng;
use std::ops::Range;
use std::time::Duration;

/// An action of the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A fault of a router.
    Router(usize, RouterFault),
    /// A fault of the leader of the control state.
    Leader(RouterFault),
    /// A configuration is sent, or two concurrent ones on top of the same version.
    Configure {
        /// Whether there are two.
        race: bool,
    },
    /// A version of the weights is announced.
    AnnounceWeights,
    /// A backend crashes, and another one starts in its place.
    CrashBackend(usize),
    /// A backend does not respond for this time.
    HangBackend(usize, Duration),
    /// The link to a backend is partitioned for this time.
    PartitionBackend(usize, Duration),
    /// A backend drains, and another one starts in its place.
    ReplaceBackend(usize),
}

/// An action and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When, in milliseconds from the start of the schedule.
    pub at: Millis,
    /// What.
    pub action: Action,
}

/// What a schedule is drawn for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// The routers.
    pub size: Size,
    /// The backends.
    pub backends: usize,
    /// The length of the schedule.
    pub duration: Millis,
    /// Whether the leader has a series of faults while versions of the weights are announced.
    pub leader_faults: bool,
    /// Whether links to backends have a series of partitions while versions of the weights are
    /// announced.
    pub partitions: bool,
}

/// Draws overlapping series, sorted by time. A seed always draws the same.
pub fn draw(scope: Scope, seed: u64) -> Vec<Step> {
    let mut rng = Rng::with_seed(seed);
    let mut steps = Vec::new();
    steps.extend(configurations(scope, &mut rng));
    steps.extend(weights(scope, &mut rng));
    // In a third of the runs the replicas of the control state have no faults: only then the bounds
    // of time hold throughout.
    let replicas_are_spared = rng.u8(..3) == 0;
    let struck = if replicas_are_spared {
        scope.size.replicas..scope.size.routers
    } else {
        0..scope.size.routers
    };
    for _ in 0..rng.usize(2..5) {
        steps.extend(router_series(scope, struck.clone(), &mut rng));
    }
    for _ in 0..rng.usize(1..4) {
        steps.extend(backend_series(scope, &mut rng));
    }
    if !replicas_are_spared && rng.bool() {
        steps.extend(control_loss(scope, &mut rng));
    }
    if scope.leader_faults {
        steps.extend(leader_series(scope, &mut rng));
    }
    if scope.partitions {
        steps.extend(partition_series(scope, &mut rng));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Overlapping partitions of links to backends, with versions of the weights announced meanwhile.
fn partition_series(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let mut steps = Vec::new();
    let gap = rng.u64(300..1_500);
    let longest = rng.u64(1_000..6_000);
    for at in (0..scope.duration / gap).map(|number| number * gap) {
        let duration = Duration::from_millis(rng.u64(200..longest));
        steps.push(Step {
            at,
            action: Action::PartitionBackend(rng.usize(..scope.backends), duration),
        });
    }
    let gap = rng.u64(500..2_500);
    let names = (0..scope.duration / gap).map(|number| Step {
        at: number * gap,
        action: Action::AnnounceWeights,
    });
    steps.extend(names);
    steps
}

/// Faults of the leader every few seconds, with versions of the weights announced meanwhile.
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
    let names = (0..scope.duration / gap).map(|number| Step {
        at: number * gap,
        action: Action::AnnounceWeights,
    });
    steps.extend(names);
    steps
}

/// The times of a series: `count` with a gap, starting in the first two thirds of the schedule.
fn times(scope: Scope, count: usize, gap: Millis, rng: &mut Rng) -> impl Iterator<Item = Millis> {
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
    times(scope, count, gap, rng)
        .map(|at| Step {
            at,
            action: Action::AnnounceWeights,
        })
        .collect()
}

/// One kind of fault, at one router after the other or at random ones.
fn router_series(scope: Scope, struck: Range<usize>, rng: &mut Rng) -> Vec<Step> {
    let count = rng.usize(2..8);
    let gap = rng.u64(150..2_500);
    let kind = rng.u8(..4);
    let in_turn = rng.bool();
    let mut number = rng.usize(struck.clone());
    let times: Vec<Millis> = times(scope, count, gap, rng).collect();
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
            action: Action::Router(number, fault),
        });
        number = match number + 1 {
            next if in_turn && next < struck.end => next,
            _ if in_turn => struck.start,
            _ => rng.usize(struck.clone()),
        };
    }
    steps
}

fn backend_series(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let count = rng.usize(1..5);
    let gap = rng.u64(300..3_000);
    let kind = rng.u8(..3);
    let times: Vec<Millis> = times(scope, count, gap, rng).collect();
    let mut steps = Vec::new();
    for at in times {
        let number = rng.usize(..scope.backends);
        let action = match kind {
            0 => Action::CrashBackend(number),
            1 => Action::HangBackend(number, Duration::from_millis(rng.u64(500..3_000))),
            _ => Action::ReplaceBackend(number),
        };
        steps.push(Step { at, action });
    }
    steps
}

/// All replicas of the control state are killed at once, or one of them loses its disk. That is as
/// much as is tolerated, once a run.
fn control_loss(scope: Scope, rng: &mut Rng) -> Vec<Step> {
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
