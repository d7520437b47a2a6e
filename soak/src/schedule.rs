//! What happens during a run, drawn by its seed: series of signals, restarts, losses and changes
//! that overlap.

use crate::clock::Millis;
use crate::fleet::Strike;
use crate::settings::Size;
use fastrand::Rng;
use std::ops::Range;
use std::time::Duration;

/// What is done at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Something is done to a router.
    Router(usize, Strike),
    /// Something is done to whoever leads the control state.
    Primary(Strike),
    /// A configuration is sent; two operators may send one each on top of the same version.
    Configure {
        /// Whether two do.
        race: bool,
    },
    /// A version of the weights is named.
    NameWeights,
    /// A backend crashes, and another one starts in its place.
    CrashBackend(usize),
    /// A backend answers nothing for so long.
    HangBackend(usize, Duration),
    /// The way to a backend is cut for so long; what was sent meanwhile arrives then.
    CutBackend(usize, Duration),
    /// A backend leaves in order, and another one starts in its place.
    ReplaceBackend(usize),
}

/// An action and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When, in milliseconds from the start of trouble.
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
    /// How long there is trouble.
    pub lasts: Millis,
    /// Whether the primary is struck again and again while versions of the weights are named.
    pub strikes_primary: bool,
    /// Whether ways to backends are cut again and again while versions of the weights are named.
    pub cuts_ways: bool,
}

/// Series that overlap, sorted by time. A seed always draws the same.
pub fn draw(scope: Scope, seed: u64) -> Vec<Step> {
    let mut rng = Rng::with_seed(seed);
    let mut steps = Vec::new();
    steps.extend(configurations(scope, &mut rng));
    steps.extend(weights(scope, &mut rng));
    // In a third of the runs those with the control state have no trouble: only then bounds of time
    // hold throughout.
    let spares_replicas = rng.u8(..3) == 0;
    let struck = if spares_replicas {
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
    if !spares_replicas && rng.bool() {
        steps.extend(blow_to_the_core(scope, &mut rng));
    }
    if scope.strikes_primary {
        steps.extend(primary_series(scope, &mut rng));
    }
    if scope.cuts_ways {
        steps.extend(way_series(scope, &mut rng));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Ways to backends are cut for some seconds, several at a time, and versions of the weights are
/// named meanwhile.
fn way_series(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let mut steps = Vec::new();
    let gap = rng.u64(300..1_500);
    let longest = rng.u64(1_000..6_000);
    for at in (0..scope.lasts / gap).map(|number| number * gap) {
        let lasts = Duration::from_millis(rng.u64(200..longest));
        steps.push(Step {
            at,
            action: Action::CutBackend(rng.usize(..scope.backends), lasts),
        });
    }
    let gap = rng.u64(500..2_500);
    let names = (0..scope.lasts / gap).map(|number| Step {
        at: number * gap,
        action: Action::NameWeights,
    });
    steps.extend(names);
    steps
}

/// The primary is struck every few seconds, and versions of the weights are named meanwhile.
fn primary_series(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let mut steps = Vec::new();
    let gap = rng.u64(3_000..7_000);
    let mut at = rng.u64(..gap);
    while at < scope.lasts {
        let strike = match rng.u8(..4) {
            0 => Strike::Terminate,
            1 => Strike::Stop(Duration::from_millis(rng.u64(900..2_500))),
            _ => Strike::Kill,
        };
        steps.push(Step {
            at,
            action: Action::Primary(strike),
        });
        at += gap * rng.u64(80..120) / 100;
    }
    let gap = rng.u64(700..2_500);
    let names = (0..scope.lasts / gap).map(|number| Step {
        at: number * gap,
        action: Action::NameWeights,
    });
    steps.extend(names);
    steps
}

/// Moments of a series: some, with a gap, from anywhere in the first two thirds.
fn moments(scope: Scope, count: usize, gap: Millis, rng: &mut Rng) -> impl Iterator<Item = Millis> {
    let first = rng.u64(..scope.lasts * 2 / 3);
    (0..count as u64)
        .map(move |number| first + gap * number)
        .take_while(move |at| *at < scope.lasts)
}

fn configurations(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let gap = rng.u64(80..900);
    let race_share = rng.u8(..3);
    let times = (0..scope.lasts / gap).map(|number| gap * number);
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
    moments(scope, count, gap, rng)
        .map(|at| Step {
            at,
            action: Action::NameWeights,
        })
        .collect()
}

/// One kind of strike, at one router after the other or at any of those that are struck.
fn router_series(scope: Scope, struck: Range<usize>, rng: &mut Rng) -> Vec<Step> {
    let count = rng.usize(2..8);
    let gap = rng.u64(150..2_500);
    let kind = rng.u8(..4);
    let in_turn = rng.bool();
    let mut number = rng.usize(struck.clone());
    let times: Vec<Millis> = moments(scope, count, gap, rng).collect();
    let mut steps = Vec::new();
    for at in times {
        let strike = match kind {
            0 => Strike::Terminate,
            1 => Strike::Kill,
            2 => Strike::Stop(Duration::from_millis(rng.u64(200..4_000))),
            _ => Strike::HangUp,
        };
        steps.push(Step {
            at,
            action: Action::Router(number, strike),
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
    let times: Vec<Millis> = moments(scope, count, gap, rng).collect();
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

/// All that hold the control state are killed at once, or one of them loses its disk: as many as
/// are tolerated, once a run.
fn blow_to_the_core(scope: Scope, rng: &mut Rng) -> Vec<Step> {
    let at = rng.u64(scope.lasts / 4..scope.lasts * 3 / 4);
    if rng.bool() {
        let kill = |number| Step {
            at,
            action: Action::Router(number, Strike::Kill),
        };
        return (0..scope.size.replicas).map(kill).collect();
    }
    vec![Step {
        at,
        action: Action::Router(rng.usize(..scope.size.replicas), Strike::Wipe),
    }]
}
