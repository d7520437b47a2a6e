//! Gatherers that return beside index hosts that warm up, by seed: what is taken follows what the
//! hosts are seen to bear, and not only what the settings say that a cold one bears at the least.

use recovery::Time;
use recovery::capacity::QueryResult;
use recovery::phase::{Config, Phase, Recovery};
use recovery::slow_start::{Admission, SlowStart};
use std::collections::VecDeque;

const MS: Time = 1_000_000;
const RAMP: Time = 10_000 * MS;
const AIM: Time = 1_000 * MS;
/// Queries a second that the hosts bear once they are warm.
const WARM: f64 = 400.0;

/// What became of queries within the ramp's time: asked, whole, not whole in time though taken; and
/// when all were in full service.
#[derive(Debug, Default)]
struct Seen {
    asked: f64,
    complete: f64,
    late: f64,
    full_at: Option<Time>,
    dearest: (f64, f64),
}

/// Plays so many gatherers with clients that ask for a share of what warm hosts bear, beside hosts
/// that bear this share when cold, with what comes of queries told to the gatherers or not.
fn play(seed: u64, gatherers: usize, load: f64, cold: f64, transitions: bool) -> Seen {
    let mut rng = fastrand::Rng::with_seed(seed);
    let slow_start = SlowStart::new(0.2, RAMP, 2_000 * MS, &[1.0, 4.0]);
    let plan = Config {
        peer_timeout: 500 * MS,
        discovery_timeout: 500 * MS,
        restart_window: 3_000 * MS,
        slow_start,
        query_timeout: AIM,
    };
    let mut fleet: Vec<Recovery> = (0..gatherers)
        .map(|_| Recovery::new(plan.clone(), [], 0))
        .collect();
    fleet
        .iter_mut()
        .for_each(|one| one.on_endpoints(true, true, 0));
    let (mut queue, mut room, mut seen) = (VecDeque::new(), 0.0, Seen::default());
    let mut now = 0;
    while now < RAMP {
        now += 10 * MS;
        let bears = WARM * (cold + (1.0 - cold) * now as f64 / RAMP as f64);
        // What nobody has asked for cannot be done ahead.
        room = (room + bears / 100.0).min(bears / 100.0 + 1.0);
        while let Some(&(at, taken, class)) = queue.front() {
            let complete = now <= taken + AIM;
            if complete && room < 1.0 {
                break;
            }
            queue.pop_front();
            // What is out of its time is given up and costs nothing more.
            room -= if complete { 1.0 } else { 0.0 };
            seen.complete += if complete { 1.0 } else { 0.0 };
            seen.late += if complete { 0.0 } else { 1.0 };
            seen.dearest.1 += if complete && class == 1 { 1.0 } else { 0.0 };
            if transitions {
                let one: &mut Recovery = &mut fleet[at];
                one.on_query_completed(
                    taken,
                    QueryResult::new((now - taken) as f64 / AIM as f64, complete),
                    now,
                );
            }
        }
        let asked = WARM * load / 100.0;
        let asked = asked as u64 + u64::from(rng.f64() < asked.fract());
        for _ in 0..asked {
            let (at, class) = (rng.usize(0..gatherers), rng.usize(0..2));
            seen.asked += 1.0;
            seen.dearest.0 += class as f64;
            if fleet[at].admit(class, rng.f64(), now) == Admission::Admitted {
                queue.push_back((at, now, class));
            }
        }
        fleet.iter_mut().for_each(|one| one.tick(now));
        if fleet.iter().all(|one| one.phase() == Phase::Serving) {
            seen.full_at.get_or_insert(now);
        }
    }
    seen
}

/// Six tenths of what warm hosts bear are asked, and cold ones bear eight: by the settings' least
/// share alone, four in ten of all queries are refused for nothing over those ten seconds. The more
/// gatherers share the clients the fewer queries each has to judge by, and the later it is sure.
#[test]
fn admits_everything_soon_if_hosts_have_capacity() {
    for (seed, gatherers, least, full) in [
        (1, 3, 0.85, RAMP / 3),
        (2, 10, 0.75, RAMP / 2),
        (3, 30, 0.65, RAMP),
    ] {
        let seen = play(seed, gatherers, 0.6, 0.8, true);
        assert!(
            seen.complete > least * seen.asked && seen.late == 0.0,
            "{gatherers}: {seen:?}"
        );
        assert!(
            seen.full_at.is_some_and(|at| at < full),
            "{gatherers}: {seen:?}"
        );
        let blind = play(seed, gatherers, 0.6, 0.8, false);
        assert!(
            blind.complete < 0.62 * blind.asked && blind.full_at.is_none_or(|at| at >= RAMP),
            "{blind:?}"
        );
    }
}

/// As much is asked as warm hosts bear, and cold ones bear the fifth that the settings say: what is
/// taken stays near it, the dearest first, and little of it comes to nothing.
#[test]
fn does_not_overload_hosts_at_configured_capacity() {
    for (seed, gatherers) in [(1, 3), (2, 10), (3, 30)] {
        let seen = play(seed, gatherers, 1.0, 0.2, true);
        // Over ten seconds they bear six tenths of what is asked.
        assert!(seen.complete > 0.5 * seen.asked, "{gatherers}: {seen:?}");
        assert!(seen.late < 0.15 * seen.asked, "{gatherers}: {seen:?}");
        assert!(
            seen.dearest.1 > 0.75 * seen.dearest.0,
            "{gatherers}: {seen:?}"
        );
    }
}
