//! Faults that overlap: in each round as many disks are lost as are borne, and every other machine
//! may be killed, lose power, stand still or be cut off meanwhile. Afterwards there is a primary
//! again, everything acknowledged is there, nobody went back, and nothing old was read.
//!
//! `CONTROL_PLAYS` says how many seeds are played for each size; by default a few.

mod world;

use control::changes::Change;
use control::node::RoleName;
use world::{World, change, configuration};

/// Rounds of a play.
const ROUNDS: usize = 10;
/// Changes come for so long in each round.
const BUSY: u64 = 1_800;
/// They are under way when the faults strike, so long after the first one at the most.
const STRIKE_WITHIN: u64 = 400;
/// All faults of a round are over after this.
const ROUND: u64 = 2_600;
/// Time after which there has to be a primary again.
const FAILOVER: u64 = 6_000;
/// Time after which every replica has to be in step again.
const REPAIR: u64 = 20_000;

/// What makes a play harder.
#[derive(Debug, Clone, Copy, Default)]
struct Weather {
    /// How many messages are lost.
    loss: f64,
    /// How many messages come up to seconds late.
    late: f64,
    /// Cuts let messages through in one direction.
    one_way: bool,
    /// Disks take up to so long for a write.
    slowest_sync: u64,
}

struct Play {
    world: World,
    seed: u64,
    changes: u64,
    /// When a cut heals.
    heals: Vec<(u64, String)>,
    /// How long it took after each round until there was a primary.
    without_primary: Vec<u64>,
}

impl Play {
    fn new(seed: u64, count: usize, faults: usize, weather: Weather) -> Self {
        let mut world = World::founded(seed, count, faults);
        world.loss = weather.loss;
        world.late = weather.late;
        world.latency = 1 + seed % 4;
        for name in world.names() {
            let sync = 2 + world.rng.u64(0..=weather.slowest_sync);
            world.machines.get_mut(&name).expect("a machine").sync = Some(sync);
        }
        Play {
            world,
            seed,
            changes: 0,
            heals: Vec::new(),
            without_primary: Vec::new(),
        }
    }

    fn strike(&mut self, faults: usize, one_way: bool) {
        let mut names = self.world.names();
        self.world.rng.shuffle(&mut names);
        let (wiped, others) = names.split_at(faults);
        for name in wiped {
            let dark = self.world.rng.u64(100..1_500);
            self.world.wipe(name, dark);
        }
        for name in others {
            let lasts = self.world.rng.u64(50..2_500);
            match self.world.rng.u8(0..5) {
                0 => self.world.kill(name, lasts, false),
                1 => self.world.kill(name, lasts, true),
                2 => self.world.freeze(name, lasts),
                3 => self.cut(name, lasts, one_way),
                _ => {}
            }
        }
    }

    fn cut(&mut self, name: &str, lasts: u64, one_way: bool) {
        self.world.cut_off(name);
        if one_way {
            let hears = self.world.rng.bool();
            self.world
                .cut
                .retain(|(from, to)| if hears { from == name } else { to == name });
        }
        self.heals.push((self.world.now + lasts, name.to_owned()));
    }

    fn heal_due(&mut self) {
        let now = self.world.now;
        let heals = std::mem::take(&mut self.heals);
        let (due, later) = heals
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.heals = later;
        for (_, name) in due {
            self.world
                .cut
                .retain(|(from, to)| *from != name && *to != name);
        }
    }

    /// A change or a question at any machine.
    fn call(&mut self) {
        let names = self.world.names();
        let primaries = names
            .iter()
            .filter(|name| self.world.role(name) == Some(RoleName::Primary));
        let primaries: Vec<&String> = primaries.collect();
        // Calls are passed on to whoever is thought to lead; some go astray.
        let name = match self.world.rng.u8(0..4) {
            0 => self.world.rng.choice(&names),
            _ => self.world.rng.choice(&primaries).copied().or(names.first()),
        };
        let Some(name) = name.cloned() else { return };
        self.changes += 1;
        if self.changes % 3 == 0 {
            let known = |name: &String| self.world.machines[name].node.as_ref();
            let base = names
                .iter()
                .filter_map(known)
                .map(|node| node.state().version())
                .max()
                .unwrap_or(0);
            let change = configuration(
                base,
                base + 1 + self.changes % 2,
                &format!("c{}", self.changes),
            );
            self.world.submit(&name, change);
        } else {
            self.world
                .submit(&name, change(&format!("m{}", self.changes), 1));
        }
        self.world.read(&name);
    }

    fn round(&mut self, faults: usize, one_way: bool) {
        let whole = self.world.until(REPAIR, World::is_whole);
        assert!(
            whole,
            "seed {}: not all replicas are in step again: {}",
            self.seed,
            self.world.describe()
        );
        let started_at = self.world.now;
        let strikes_at = started_at + self.world.rng.u64(0..STRIKE_WITHIN);
        while self.world.now < strikes_at + ROUND {
            if self.world.now == strikes_at {
                self.strike(faults, one_way);
            }
            if self.world.now < started_at + BUSY && (self.world.now - started_at) % 60 == 0 {
                self.call();
            }
            self.world.run(1);
            self.heal_due();
            assert!(
                self.world.leaders() <= 1,
                "seed {}: two primaries",
                self.seed
            );
        }
        self.world.heal();
        let healed = self.world.now;
        let led = self
            .world
            .until(FAILOVER, |world| world.primary().is_some());
        self.without_primary.push(self.world.now - healed);
        assert!(
            led,
            "seed {}: no primary after all faults are over: {}",
            self.seed,
            self.world.describe()
        );
        self.world.assert_nothing_lost();
    }
}

fn plays(count: usize, faults: usize, weather: Weather) {
    let seeds = std::env::var("CONTROL_PLAYS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(6);
    let first = std::env::var("CONTROL_FIRST_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let (mut acknowledged, mut configurations, mut without_primary) = (0, 0, Vec::new());
    for seed in first..first + seeds {
        let mut play = Play::new(seed, count, faults, weather);
        for _ in 0..ROUNDS {
            play.round(faults, weather.one_way);
        }
        without_primary.append(&mut play.without_primary);
        let changes = &play.world.acknowledged;
        acknowledged += changes.len() as u64;
        let is_configuration = |change: &&Change| matches!(change, Change::Configuration { .. });
        configurations += changes.iter().filter(is_configuration).count() as u64;
    }
    // The plays would show little if hardly anything got through.
    without_primary.sort_unstable();
    let share = |share: usize| without_primary[(without_primary.len() - 1) * share / 100];
    println!(
        "{seeds} plays of {count} replicas: {acknowledged} changes, {configurations} of them configurations; \
         a primary after p50 {} p99 {} most {} ms",
        share(50),
        share(99),
        share(100)
    );
    assert!(
        acknowledged >= 5 * seeds,
        "{acknowledged} changes were acknowledged in {seeds} plays"
    );
    assert!(
        configurations >= seeds,
        "{configurations} configurations were acknowledged in {seeds} plays"
    );
}

const ROUGH: Weather = Weather {
    loss: 0.03,
    late: 0.02,
    one_way: true,
    slowest_sync: 40,
};

#[test]
fn three_replicas_bear_one_lost_disk_among_other_faults() {
    plays(3, 1, Weather::default());
}

#[test]
fn four_replicas_bear_one_lost_disk_among_other_faults() {
    plays(4, 1, Weather::default());
}

#[test]
fn five_replicas_bear_two_lost_disks_among_other_faults() {
    plays(5, 2, Weather::default());
}

#[test]
fn six_replicas_bear_two_lost_disks_among_other_faults() {
    plays(6, 2, Weather::default());
}

#[test]
fn seven_replicas_bear_three_lost_disks_among_other_faults() {
    plays(7, 3, Weather::default());
}

#[test]
fn three_replicas_bear_the_same_with_lost_and_late_messages_and_slow_disks() {
    plays(3, 1, ROUGH);
}

#[test]
fn four_replicas_bear_the_same_with_lost_and_late_messages_and_slow_disks() {
    plays(4, 1, ROUGH);
}

#[test]
fn five_replicas_bear_the_same_with_lost_and_late_messages_and_slow_disks() {
    plays(5, 2, ROUGH);
}

#[test]
fn six_replicas_bear_the_same_with_lost_and_late_messages_and_slow_disks() {
    plays(6, 2, ROUGH);
}

#[test]
fn seven_replicas_bear_the_same_with_lost_and_late_messages_and_slow_disks() {
    plays(7, 3, ROUGH);
}
