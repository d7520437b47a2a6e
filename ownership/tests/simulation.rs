//! Simulation of gatherers and a store with clock drift, process suspensions, network partitions,
//! power losses and restored backups; deterministic by seed. `OWNERSHIP_SEEDS=10000 cargo test
//! --release -p bitternsill-ownership --test simulation -- --nocapture` runs that many.

use ownership::lease::{Config, Event, Lease, Request, Response, View};
use ownership::role::{Role, Target};
use ownership::{Time, Token, election, keys};
use std::collections::BTreeMap;
use store::command::Change;
use store::command::{Check, Command, Expects, Txn};
use store::state::{Capacity, Completion, Outcome, State};

const MS: Time = 1_000_000;
const LEASE: Time = 1_000 * MS;
const TICK: Time = 10 * MS;
const ROLE: Role = Role::HealthChecks;
const CAPACITY: Capacity = Capacity {
    keys: 500,
    sessions: 500,
};

/// A part of the protocol that is left out, to show that the simulation notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ablation {
    None,
    /// An acquisition does not check that no renewal was committed meanwhile.
    RenewalCheck,
    /// Fencing check and write are not one transaction.
    Fencing,
    /// A lease counts from the response instead of the request.
    LeaseFromSend,
    /// The takeover delay has no margin for clock drift.
    DriftMargin,
    /// Incarnations of one name are not distinguished.
    Incarnation,
    /// A store that is restored from a backup keeps its era.
    Era,
}

/// A command in flight to the store.
struct Sent {
    at: Time,
    command: Command,
}

struct Awaited {
    request: u64,
    until: Time,
}

struct Gatherer {
    name: String,
    incarnation: u64,
    lease: Lease,
    /// This gatherer's clock: how it runs, and what it shows at a true time.
    rate: f64,
    offset: Time,
    state: State,
    applied: usize,
    session: u64,
    requests: u64,
    awaited: Option<Awaited>,
    up: bool,
    suspended_until: Time,
    partitioned: bool,
    /// An effect whose permit was issued right before the process was suspended: it lands when
    /// the process resumes.
    pending_effect: Option<(Token, Check, bool)>,
    lag: Time,
}

impl Gatherer {
    fn clock(&self, now: Time) -> Time {
        self.offset + (now as f64 * self.rate) as Time
    }
}

struct World {
    rng: fastrand::Rng,
    ablation: Ablation,
    now: Time,
    /// How far clocks run apart, in parts of a thousand.
    drift: u64,
    /// Whether anything goes wrong.
    faults: bool,
    log: Vec<(Time, Command)>,
    /// The truth: everything of the log applied.
    truth: State,
    in_flight: Vec<Sent>,
    all: Vec<Gatherer>,
    incarnations: u64,
    /// Effects in the store, by the token that they were made under, in order; and those outside,
    /// each with whether it was late.
    fenced: Vec<Token>,
    outside: u64,
    late: u64,
    owned: u64,
    backup: Option<State>,
    /// Who is held to own the work by which token, as they say so.
    tokens: BTreeMap<Token, u64>,
    /// How often a process was suspended between a permit and its effect.
    suspensions: u64,
}

impl World {
    fn new(seed: u64, ablation: Ablation) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (count, drift) = (rng.usize(3..=6), [50, 200][rng.usize(0..2)]);
        let namesakes = rng.u8(0..4) == 0;
        let mut world = World {
            ablation,
            drift,
            now: 0,
            faults: true,
            log: Vec::new(),
            truth: State::default(),
            in_flight: Vec::new(),
            all: Vec::new(),
            incarnations: 0,
            fenced: Vec::new(),
            outside: 0,
            late: 0,
            owned: 0,
            backup: None,
            tokens: BTreeMap::new(),
            suspensions: 0,
            rng,
        };
        world.append(Command::Put(Change {
            key: keys::ERA.to_owned(),
            value: Some("1".to_owned()),
        }));
        for at in 0..count {
            // As far apart as the configuration allows.
            let apart = drift as f64 / 1_000.0;
            let between = 1.0 - apart + 2.0 * apart * world.rng.f64();
            let rate = [1.0 - apart, 1.0 + apart, between][world.rng.usize(0..3)];
            // Two processes of one gatherer, as in an upgrade.
            let number = if namesakes && at + 1 == count { 0 } else { at };
            let gatherer = Gatherer {
                name: format!("g{number}"),
                incarnation: 0,
                lease: Lease::new(ROLE, world.config(), "", 0, 0),
                rate,
                offset: world.rng.u64(0..1 << 40),
                state: State::default(),
                applied: 0,
                session: 0,
                requests: 0,
                awaited: None,
                up: false,
                suspended_until: 0,
                partitioned: false,
                pending_effect: None,
                lag: world.rng.u64(0..30) * MS,
            };
            world.all.push(gatherer);
            world.start(at);
        }
        world
    }

    fn config(&self) -> Config {
        let drift = if self.ablation == Ablation::DriftMargin {
            0
        } else {
            self.drift
        };
        Config {
            duration: LEASE,
            drift_permille: drift,
            safety_margin: 50 * MS,
            stagger: 100 * MS,
        }
    }

    fn append(&mut self, command: Command) {
        self.log.push((self.now, command.clone()));
        let revision = self.log.len() as u64;
        let (changes, _) = self.truth.apply(revision, &command, CAPACITY);
        // Every effect carries the token under which it was made.
        for change in changes.iter().filter(|change| change.key == "effect") {
            let json: serde_json::Value =
                serde_json::from_str(change.value.as_deref().unwrap()).unwrap();
            self.fenced.push(Token::from_json(&json[0]).unwrap());
        }
    }

    fn start(&mut self, at: usize) {
        self.incarnations += 1;
        let nonce = self.incarnations;
        self.append(Command::Open(nonce));
        let (session, config) = (self.log.len() as u64, self.config());
        let one = &mut self.all[at];
        one.incarnation = if self.ablation == Ablation::Incarnation {
            1
        } else {
            nonce
        };
        let now = one.clock(self.now);
        one.lease = Lease::new(ROLE, config, &one.name, one.incarnation, now);
        (one.session, one.requests, one.awaited, one.pending_effect) = (session, 0, None, None);
        (one.up, one.suspended_until) = (true, 0);
    }

    /// Sends a transaction; it may be lost or delayed.
    fn send(&mut self, at: usize, ask: Request, awaited: bool) {
        let late = self.faults && self.rng.u8(0..20) == 0;
        let delay = if late {
            self.rng.u64(0..2_000)
        } else {
            self.rng.u64(1..40)
        } * MS;
        let lost = self.faults && self.rng.u8(0..25) == 0;
        let one = &mut self.all[at];
        one.requests += 1;
        let request = one.requests;
        let txn = Txn {
            session: one.session,
            request,
            checks: ask.checks,
            sets: ask.changes,
        };
        if awaited {
            one.awaited = Some(Awaited {
                request,
                until: one.clock(self.now) + LEASE / 4,
            });
        }
        if !lost && !one.partitioned {
            self.in_flight.push(Sent {
                at: self.now + delay,
                command: Command::Txn(txn),
            });
        }
    }

    /// Applies committed commands at a member and delivers the responses.
    fn receive(&mut self, at: usize) {
        let (now, log) = (self.now, &self.log);
        let one = &mut self.all[at];
        if one.partitioned {
            return;
        }
        let mut answers = Vec::new();
        while one.applied < log.len() && log[one.applied].0 + one.lag <= now {
            let (_, command) = &log[one.applied];
            one.applied += 1;
            let (_, done) = one.state.apply(one.applied as u64, command, CAPACITY);
            if let Some(Completion::Txn {
                session,
                request,
                outcome,
            }) = done
                && session == one.session
                && one
                    .awaited
                    .as_ref()
                    .is_some_and(|awaited| awaited.request == request)
            {
                one.awaited = None;
                answers.push(match outcome {
                    Outcome::Applied(revision) => Response::Committed(revision),
                    Outcome::Rejected(_) => Response::Rejected,
                });
            }
        }
        let clock = one.clock(now);
        let view = View::of(&one.state, ROLE, &one.name);
        one.lease.observe(view, clock);
        answers
            .into_iter()
            .for_each(|answer| one.lease.handle_response(answer, clock));
    }

    fn step(&mut self, at: usize) {
        self.receive(at);
        let now = self.now;
        let one = &mut self.all[at];
        let clock = one.clock(now);
        if one
            .awaited
            .take_if(|awaited| awaited.until <= clock)
            .is_some()
        {
            one.lease.handle_response(Response::Unknown, clock);
        }
        let candidates: BTreeMap<String, f64> = (0..self.all.len())
            .map(|n| (format!("g{n}"), 1.0))
            .collect();
        let order = election::rank(ROLE, &candidates);
        let one = &mut self.all[at];
        let rank = order.iter().position(|name| *name == one.name);
        one.lease.set_rank(rank, order.len(), clock);
        // Counted from the response, a lease would be longer by the round trip.
        let asked = if self.ablation == Ablation::LeaseFromSend {
            clock + LEASE / 4
        } else {
            clock
        };
        if let Some(mut ask) = one.lease.poll(asked) {
            if self.ablation == Ablation::RenewalCheck {
                ask.checks.retain(|check| check.key != keys::renewal(ROLE));
            }
            self.send(at, ask, true);
        }
        let one = &mut self.all[at];
        for event in one.lease.take_events() {
            if let Event::Acquired(token, _) = event {
                self.owned += 1;
                let known = self.tokens.insert(token, one.session);
                assert!(
                    known.is_none_or(|who| who == one.session),
                    "one token, two owners: {token}"
                );
            }
        }
        // A permit is requested right before an effect; the process may be suspended right after.
        if one.pending_effect.is_none() && self.rng.u8(0..10) == 0 {
            let outside = self.rng.bool();
            let target = if outside {
                Target::IndexHosts
            } else {
                Target::Store
            };
            let clock = one.clock(self.now);
            if let Some(permit) = one.lease.permit(target, clock) {
                one.pending_effect =
                    Some((permit.token(), one.lease.fencing_check(&permit), outside));
                if self.faults && self.rng.u8(0..12) == 0 {
                    self.suspensions += 1;
                    one.suspended_until = self.now + self.rng.u64(100..5_000) * MS;
                    return;
                }
            }
        }
        self.land(at);
    }

    /// An effect whose permit was issued lands.
    fn land(&mut self, at: usize) {
        let Some((token, fence, outside)) = self.all[at].pending_effect.take() else {
            return;
        };
        if outside {
            self.outside += 1;
            self.late += u64::from(
                self.all[at].lease.valid_token(self.all[at].clock(self.now)) != Some(token),
            );
            return;
        }
        // Without fencing an owner checks first, and then writes.
        let Expects::At(revision) = fence.expects else {
            panic!("a fence is a revision")
        };
        let looks = self.all[at]
            .state
            .versioned(&fence.key)
            .is_some_and(|held| held.revision == revision);
        let value = Some(serde_json::json!([token.to_json(), self.now]).to_string());
        let sets = vec![Change {
            key: "effect".to_owned(),
            value,
        }];
        let checks = if self.ablation == Ablation::Fencing {
            Vec::new()
        } else {
            vec![fence]
        };
        if self.ablation != Ablation::Fencing || looks {
            self.send(
                at,
                Request {
                    checks,
                    changes: sets,
                },
                false,
            );
        }
    }

    fn owners(&self) -> Vec<(usize, Token)> {
        let holds =
            |(at, one): (usize, &Gatherer)| Some((at, one.lease.valid_token(one.clock(self.now))?));
        self.all
            .iter()
            .enumerate()
            .filter(|(_, one)| one.up)
            .filter_map(holds)
            .collect()
    }

    /// One tick of true time.
    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (due, later): (Vec<Sent>, Vec<Sent>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|sent| sent.at <= now);
        self.in_flight = later;
        due.into_iter().for_each(|sent| self.append(sent.command));
        if self.faults {
            self.inject_fault();
        }
        for at in 0..self.all.len() {
            let one = &self.all[at];
            if one.up && one.suspended_until <= now {
                self.step(at);
            }
        }
        let owners = self.owners();
        assert!(
            owners.len() <= 1,
            "two owners at one time: {owners:?} at {} ms",
            now / MS
        );
        assert!(
            self.fenced.windows(2).all(|two| two[0] <= two[1]),
            "an effect under an old token landed"
        );
    }

    fn inject_fault(&mut self) {
        if self.rng.u16(0..60) != 0 {
            return;
        }
        let at = self.rng.usize(0..self.all.len());
        let owner = self.owners().first().map_or(at, |(at, _)| *at);
        match self.rng.u8(0..14) {
            0..=3 => {
                // The owner is struck more often than others.
                let at = if self.rng.bool() { owner } else { at };
                self.all[at].suspended_until = self.now + self.rng.u64(100..4_000) * MS;
            }
            4..=6 => self.all[at].partitioned = true,
            7 | 8 => self.all.iter_mut().for_each(|one| one.partitioned = false),
            9 => self.all[owner].up = false,
            10 | 11 => {
                for at in 0..self.all.len() {
                    if !self.all[at].up {
                        self.start(at);
                    }
                }
            }
            12 if self.rng.u8(0..3) == 0 => {
                // All lose power.
                (0..self.all.len()).for_each(|at| self.start(at));
            }
            13 if self.rng.u8(0..3) == 0 => match self.backup.take() {
                None => self.backup = Some(self.truth.clone()),
                Some(state) => self.restore(state),
            },
            _ => {}
        }
    }

    /// The store is lost and restored from a backup at every member. What was in flight is lost.
    fn restore(&mut self, mut state: State) {
        let era: u64 = state.get(keys::ERA).unwrap().parse().unwrap();
        // The operator's clock is part of the era, so that two restores of one backup differ.
        let era = if self.ablation == Ablation::Era {
            era
        } else {
            (era + 1).max(1_000 + self.now / MS)
        };
        let change = Change {
            key: keys::ERA.to_owned(),
            value: Some(era.to_string()),
        };
        state.apply(self.log.len() as u64, &Command::Put(change), CAPACITY);
        self.truth = state.clone();
        self.in_flight.clear();
        // Revisions continue from the end of the backup.
        if self.ablation == Ablation::Era {
            let last = state
                .keys()
                .map(|(_, held)| held.revision)
                .max()
                .unwrap_or(0) as usize;
            self.log.truncate(last);
        }
        let applied = self.log.len();
        for at in 0..self.all.len() {
            (self.all[at].state, self.all[at].applied) = (state.clone(), applied);
        }
        (0..self.all.len()).for_each(|at| self.start(at));
    }
}

/// Runs one seed: the numbers of grants, effects and late effects, or the violated property.
fn play(seed: u64, ablation: Ablation) -> Result<(u64, u64, u64), String> {
    let played = std::panic::catch_unwind(|| {
        let mut world = World::new(seed, ablation);
        while world.now < 20_000 * MS {
            world.tick();
        }
        // After the faults the role gets an owner before long, and keeps it.
        world
            .all
            .iter_mut()
            .for_each(|one| (one.partitioned, one.suspended_until) = (false, 0));
        (0..world.all.len()).for_each(|at| {
            if !world.all[at].up {
                world.start(at)
            }
        });
        let healed = world.now;
        world.faults = false;
        let parked = |world: &World| {
            View::of(&world.truth, ROLE, "")
                .grant
                .is_some_and(|(_, grant)| grant.parked.is_some())
        };
        while world.owners().is_empty() && !parked(&world) {
            world.tick();
            assert!(
                world.now < healed + 8 * LEASE,
                "nobody owns the work long after all is well"
            );
        }
        let owned = world.owned;
        let until = world.now + 3_000 * MS;
        while world.now < until {
            world.tick();
        }
        assert!(
            world.owned <= owned + 1,
            "it changes hands though all is well"
        );
        // A permit is for one effect: no more effects outside can be late than processes were
        // suspended.
        assert!(
            world.late <= world.suspensions,
            "{} late effects, {} pauses",
            world.late,
            world.suspensions
        );
        (
            world.owned,
            world.fenced.len() as u64 + world.outside,
            world.late,
        )
    });
    played.map_err(|problem| {
        let text = problem.downcast_ref::<String>().cloned();
        text.or_else(|| {
            problem
                .downcast_ref::<&str>()
                .map(|text| (*text).to_owned())
        })
        .unwrap_or_default()
    })
}

fn quietly<T>(play: impl FnOnce() -> T) -> T {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let result = play();
    std::panic::set_hook(hook);
    result
}

#[test]
fn keeps_one_owner_and_rejects_stale_tokens() {
    let seeds = std::env::var("OWNERSHIP_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(120);
    let first = std::env::var("OWNERSHIP_FIRST")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut total = (0, 0, 0);
    for seed in first..first + seeds {
        let (owned, effects, late) =
            play(seed, Ablation::None).unwrap_or_else(|p| panic!("seed {seed}: {p}"));
        total = (total.0 + owned, total.1 + effects, total.2 + late);
    }
    println!(
        "{seeds} seeds: {} grants, {} effects, {} of them late outside",
        total.0, total.1, total.2
    );
    assert!(total.0 > 3 * seeds && total.2 > 0, "{total:?}");
}

#[test]
fn detects_each_ablation() {
    let of = [
        Ablation::RenewalCheck,
        Ablation::Fencing,
        Ablation::LeaseFromSend,
        Ablation::DriftMargin,
        Ablation::Incarnation,
        Ablation::Era,
    ];
    quietly(|| {
        for ablation in of {
            let found = (0..3_000)
                .find_map(|seed| play(seed, ablation).err().map(|problem| (seed, problem)));
            println!("without {ablation:?}: {found:?}");
            assert!(
                found.is_some(),
                "without {ablation:?} nothing is found in 3000 seeds"
            );
        }
    });
}
