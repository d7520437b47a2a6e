//! For how long nobody commits changes and nobody may send orders after a replica is lost.
//!
//! Aims, by the operators: a change is committed again 0.7 s after a replica was lost in 99 of 100
//! cases, and 0.25 s after its process was told to end in every case. A holder of orders that
//! is struck every 3 s may send orders in four fifths of the time. `CONTROL_PLAYS` says how many
//! plays of each kind are measured; by default 60.

mod world;

use control::Millis;
use control::changes::Outcome;
use control::node::RoleName;
use world::World;
use world::orders::Orders;

/// Commit again within this time after a loss, in 99 of 100 plays.
const FAILOVER_AIM: Millis = 700;
/// Commit again within this time after a process was told to end, in every play.
const HANDOVER_AIM: Millis = 250;
/// Time between two strikes at the holder of orders.
const STRIKE_INTERVAL: Millis = 3_000;
/// Percentage of the time in which a holder that is struck so often may send orders.
const ORDERS_AIM: Millis = 80;

/// Orders are possible again within this time after a strike, where the holder is back by then.
const RESUME_AIM: Millis = 1_500;

/// How a replica is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Killed,
    PowerLost,
    Frozen,
    CutOff,
    /// Others hear it, and it hears nobody.
    Deaf,
    /// It hears others, and nobody hears it.
    Mute,
    ToldToEnd,
}

const LOSSES: [Loss; 7] = [
    Loss::Killed,
    Loss::PowerLost,
    Loss::Frozen,
    Loss::CutOff,
    Loss::Deaf,
    Loss::Mute,
    Loss::ToldToEnd,
];

impl Loss {
    /// Strikes a machine for longer than a play lasts.
    fn strike(self, world: &mut World, name: &str) {
        const LASTING: Millis = 60_000;
        match self {
            Loss::Killed => world.kill(name, LASTING, false),
            Loss::PowerLost => world.kill(name, LASTING, true),
            Loss::Frozen => world.freeze(name, LASTING),
            Loss::CutOff => world.cut_off(name),
            Loss::Deaf => {
                world.cut_off(name);
                world.cut.retain(|(_, to)| to == name);
            }
            Loss::Mute => {
                world.cut_off(name);
                world.cut.retain(|(from, _)| from == name);
            }
            Loss::ToldToEnd => world.leave(name),
        }
    }
}

/// Which replica is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Struck {
    Primary,
    /// A backup that is in sync.
    Backup,
}

impl Struck {
    fn name(self, world: &World) -> String {
        let primary = world.primary().expect("a primary");
        let names = world.names();
        let struck = match self {
            Struck::Primary => Some(&primary),
            Struck::Backup => names.iter().find(|name| **name != primary),
        };
        struck.expect("a replica").clone()
    }
}

/// Milliseconds from the loss of a replica until a change that was submitted after it commits.
fn interruption(seed: u64, struck: Struck, loss: Loss) -> Millis {
    let mut world = World::founded(seed, 5, 2);
    world.latency = 1 + seed % 2;
    world.run(1_000 + seed * 37 % 400);
    let lost = struck.name(&world);
    let struck_at = world.now;
    loss.strike(&mut world, &lost);
    let mut tickets = Vec::new();
    while world.now < struck_at + 10_000 {
        for name in world.names() {
            if world.role(&name) == Some(RoleName::Primary) {
                let model = format!("m{}", world.now);
                tickets.push(world.submit(&name, world::change(&model, 1)));
            }
        }
        world.run(1);
        let is_committed = |ticket| world.outcomes.get(ticket) == Some(&Outcome::Committed);
        if tickets.iter().any(is_committed) {
            return world.now - struck_at;
        }
    }
    panic!("seed {seed}, {struck:?} {loss:?}: {}", world.describe());
}

fn plays() -> u64 {
    let plays = std::env::var("CONTROL_PLAYS").ok();
    plays.and_then(|plays| plays.parse().ok()).unwrap_or(60)
}

/// The percentile of sorted values.
fn percentile(values: &[Millis], percent: usize) -> Millis {
    values[(values.len() - 1) * percent / 100]
}

/// Plays the loss of a replica in every way, and prints how long nothing commits.
fn assert_interruptions_are_short(struck: Struck) {
    let mut late = Vec::new();
    for loss in LOSSES {
        let times = (0..plays()).map(|seed| interruption(seed, struck, loss));
        let mut times: Vec<Millis> = times.collect();
        times.sort_unstable();
        let [p50, p99, longest] = [50, 99, 100].map(|percent| percentile(&times, percent));
        println!("{struck:?} {loss:?}: p50 {p50}, p99 {p99}, longest {longest} ms");
        let is_in_time = match loss {
            Loss::ToldToEnd => longest <= HANDOVER_AIM,
            _ => p99 <= FAILOVER_AIM,
        };
        if !is_in_time {
            late.push((loss, p99, longest));
        }
    }
    assert!(late.is_empty(), "later than aimed (p99, longest): {late:?}");
}

#[test]
fn changes_commit_soon_after_loss_of_primary() {
    assert_interruptions_are_short(Struck::Primary);
}

#[test]
fn changes_commit_soon_after_loss_of_backup() {
    assert_interruptions_are_short(Struck::Backup);
}

/// The holder of orders is struck every 3 s, and is back soon after.
#[test]
fn struck_holder_sends_orders_four_fifths_of_the_time() {
    const STRIKES: u64 = 10;
    for seed in 0..plays() / 6 {
        for is_frozen in [false, true] {
            let mut orders = Orders::founded(seed);
            orders.run(5_000);
            let started_at = orders.world.now;
            for _ in 0..STRIKES {
                let holder = orders.last_holder().expect("a holder");
                let lasts = orders.world.rng.u64(200..400);
                match is_frozen {
                    true => orders.world.freeze(&holder, lasts),
                    false => orders.world.kill(&holder, lasts, false),
                }
                orders.run(STRIKE_INTERVAL);
            }
            let percent = orders.ordered_since(started_at) * 100 / (STRIKES * STRIKE_INTERVAL);
            println!("seed {seed}, frozen {is_frozen}: orders in {percent} % of the time");
            assert!(percent >= ORDERS_AIM, "seed {seed}: {percent} %");
            orders.assert_apart();
        }
    }
}

/// The primary and the holder of orders are struck in turn, every 1.5 s one of them.
#[test]
fn orders_go_on_soon_whoever_is_struck() {
    const STRIKES: u64 = 20;
    let mut longest = 0;
    for seed in 0..plays() / 6 {
        let mut orders = Orders::founded(seed);
        orders.run(5_000);
        let started_at = orders.world.now;
        for strike in 0..STRIKES {
            let struck = match strike % 2 {
                0 => orders.last_holder(),
                _ => orders.world.primary(),
            };
            if let Some(struck) = struck {
                let lasts = orders.world.rng.u64(600..900);
                orders.world.kill(&struck, lasts, false);
            }
            orders.run(STRIKE_INTERVAL / 2);
        }
        orders.assert_apart();
        let pause = orders.longest_pause_since(started_at);
        println!("seed {seed}: {pause} ms without orders at the most");
        longest = longest.max(pause);
    }
    assert!(longest <= RESUME_AIM, "{longest} ms without orders");
}
