//! Simulation of gatherers and a store with clock drift, process suspensions, network partitions,
//! power losses and restored backups; deterministic by seed. `OWNERSHIP_SEEDS=10000 cargo test
//! --release -p bitternsill-ownership --test simulation -- --nocapture` runs that many seeds.

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

/// A part of the protocol that is omitted, to show that the simulation detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ablation {
    None,
    /// An acquisition does not check that no renewal has been committed since.
    RenewalCheck,
    /// Fencing check and write are not in one transaction.
    Fencing,
    /// A lease starts at the response instead of the request.
    LeaseFromSend,
    /// The takeover delay has no margin for clock drift.
    DriftMargin,
    /// Incarnations of one name are not distinguished.
    Incarnation,
    /// A store that is restored from a backup keeps its era.
    Era,
}

/// A command in flight to the store.
struct InFlight {
    arrives_at: Time,
    command: Command,
}

/// A request without a response yet, and its time-out.
struct Awaited {
    request: u64,
    until: Time,
}

struct Gatherer {
    name: String,
    incarnation: u64,
    lease: Lease,
    /// The rate of this gatherer's clock relative to true time, and its reading at true time 0.
    rate: f64,
    offset: Time,
    /// This member's copy of the store, and the number of commands applied to it.
    state: State,
    applied: usize,
    session: u64,
    requests: u64,
    awaited: Option<Awaited>,
    up: bool,
    suspended_until: Time,
    partitioned: bool,
    /// An effect that has a permit: token, fencing check, and whether it is outside the store. The
    /// process may be suspended before it makes the effect.
    pending_effect: Option<(Token, Check, bool)>,
    /// How long after its commit a command is applied here.
    replication_lag: Time,
}

impl Gatherer {
    fn clock(&self, now: Time) -> Time {
        self.offset + (now as f64 * self.rate) as Time
    }
}

struct Simulation {
    rng: fastrand::Rng,
    ablation: Ablation,
    now: Time,
    /// The maximum drift of a clock, per mille.
    drift: u64,
    /// Whether faults are injected.
    faults: bool,
    log: Vec<(Time, Command)>,
    /// The state after all commands of the log.
    committed: State,
    in_flight: Vec<InFlight>,
    gatherers: Vec<Gatherer>,
    incarnations: u64,
    /// The tokens of the effects in the store, in order.
    store_effects: Vec<Token>,
    /// The number of effects outside the store, and of the late ones among them.
    outside_effects: u64,
    late_effects: u64,
    /// The number of acquisitions.
    acquisitions: u64,
    backup: Option<State>,
    /// The session of the gatherer that reported the acquisition of each token.
    tokens: BTreeMap<Token, u64>,
    /// The number of suspensions between a permit and its effect.
    suspensions: u64,
}

impl Simulation {
    fn new(seed: u64, ablation: Ablation) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (count, drift) = (rng.usize(3..=6), [50, 200][rng.usize(0..2)]);
        let has_duplicate_name = rng.u8(0..4) == 0;
        let mut simulation = Simulation {
            ablation,
            drift,
            now: 0,
            faults: true,
            log: Vec::new(),
            committed: State::default(),
            in_flight: Vec::new(),
            gatherers: Vec::new(),
            incarnations: 0,
            store_effects: Vec::new(),
            outside_effects: 0,
            late_effects: 0,
            acquisitions: 0,
            backup: None,
            tokens: BTreeMap::new(),
            suspensions: 0,
            rng,
        };
        simulation.append(Command::Put(Change {
            key: keys::ERA.to_owned(),
            value: Some("1".to_owned()),
        }));
        for at in 0..count {
            // Often as far apart as the configuration allows.
            let max_drift = drift as f64 / 1_000.0;
            let between = 1.0 - max_drift + 2.0 * max_drift * simulation.rng.f64();
            let rate = [1.0 - max_drift, 1.0 + max_drift, between][simulation.rng.usize(0..3)];
            // Two processes of one gatherer, as during an upgrade.
            let number = if has_duplicate_name && at + 1 == count {
                0
            } else {
                at
            };
            let gatherer = Gatherer {
                name: format!("g{number}"),
                incarnation: 0,
                lease: Lease::new(ROLE, simulation.config(), "", 0, 0),
                rate,
                offset: simulation.rng.u64(0..1 << 40),
                state: State::default(),
                applied: 0,
                session: 0,
                requests: 0,
                awaited: None,
                up: false,
                suspended_until: 0,
                partitioned: false,
                pending_effect: None,
                replication_lag: simulation.rng.u64(0..30) * MS,
            };
            simulation.gatherers.push(gatherer);
            simulation.start(at);
        }
        simulation
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
        let (changes, _) = self.committed.apply(revision, &command, CAPACITY);
        // The value of an effect has the token under which it was made.
        for change in changes.iter().filter(|change| change.key == "effect") {
            let json: serde_json::Value =
                serde_json::from_str(change.value.as_deref().unwrap()).unwrap();
            self.store_effects.push(Token::from_json(&json[0]).unwrap());
        }
    }

    fn start(&mut self, at: usize) {
        self.incarnations += 1;
        let nonce = self.incarnations;
        self.append(Command::Open(nonce));
        let (session, config) = (self.log.len() as u64, self.config());
        let gatherer = &mut self.gatherers[at];
        gatherer.incarnation = if self.ablation == Ablation::Incarnation {
            1
        } else {
            nonce
        };
        let now = gatherer.clock(self.now);
        gatherer.lease = Lease::new(ROLE, config, &gatherer.name, gatherer.incarnation, now);
        (
            gatherer.session,
            gatherer.requests,
            gatherer.awaited,
            gatherer.pending_effect,
        ) = (session, 0, None, None);
        (gatherer.up, gatherer.suspended_until) = (true, 0);
    }

    /// Sends a transaction; it may be lost or delayed.
    fn send(&mut self, at: usize, request: Request, awaited: bool) {
        let is_delayed = self.faults && self.rng.u8(0..20) == 0;
        let delay = if is_delayed {
            self.rng.u64(0..2_000)
        } else {
            self.rng.u64(1..40)
        } * MS;
        let lost = self.faults && self.rng.u8(0..25) == 0;
        let gatherer = &mut self.gatherers[at];
        gatherer.requests += 1;
        let number = gatherer.requests;
        let txn = Txn {
            session: gatherer.session,
            request: number,
            checks: request.checks,
            sets: request.changes,
        };
        if awaited {
            gatherer.awaited = Some(Awaited {
                request: number,
                until: gatherer.clock(self.now) + LEASE / 4,
            });
        }
        if !lost && !gatherer.partitioned {
            self.in_flight.push(InFlight {
                arrives_at: self.now + delay,
                command: Command::Txn(txn),
            });
        }
    }

    /// Applies committed commands at a member and delivers the responses.
    fn receive(&mut self, at: usize) {
        let (now, log) = (self.now, &self.log);
        let gatherer = &mut self.gatherers[at];
        if gatherer.partitioned {
            return;
        }
        let mut responses = Vec::new();
        while gatherer.applied < log.len()
            && log[gatherer.applied].0 + gatherer.replication_lag <= now
        {
            let (_, command) = &log[gatherer.applied];
            gatherer.applied += 1;
            let (_, completion) = gatherer
                .state
                .apply(gatherer.applied as u64, command, CAPACITY);
            if let Some(Completion::Txn {
                session,
                request,
                outcome,
            }) = completion
                && session == gatherer.session
                && gatherer
                    .awaited
                    .as_ref()
                    .is_some_and(|awaited| awaited.request == request)
            {
                gatherer.awaited = None;
                responses.push(match outcome {
                    Outcome::Applied(revision) => Response::Committed(revision),
                    Outcome::Rejected(_) => Response::Rejected,
                });
            }
        }
        let clock = gatherer.clock(now);
        let view = View::of(&gatherer.state, ROLE, &gatherer.name);
        gatherer.lease.observe(view, clock);
        responses
            .into_iter()
            .for_each(|response| gatherer.lease.handle_response(response, clock));
    }

    fn step(&mut self, at: usize) {
        self.receive(at);
        let now = self.now;
        let gatherer = &mut self.gatherers[at];
        let clock = gatherer.clock(now);
        if gatherer
            .awaited
            .take_if(|awaited| awaited.until <= clock)
            .is_some()
        {
            gatherer.lease.handle_response(Response::Unknown, clock);
        }
        let candidates: BTreeMap<String, f64> = (0..self.gatherers.len())
            .map(|n| (format!("g{n}"), 1.0))
            .collect();
        let order = election::rank(ROLE, &candidates);
        let gatherer = &mut self.gatherers[at];
        let rank = order.iter().position(|name| *name == gatherer.name);
        gatherer.lease.set_rank(rank, order.len(), clock);
        // Stands for a lease that starts at the response: longer by the round trip.
        let sent_at = if self.ablation == Ablation::LeaseFromSend {
            clock + LEASE / 4
        } else {
            clock
        };
        if let Some(mut request) = gatherer.lease.poll(sent_at) {
            if self.ablation == Ablation::RenewalCheck {
                request
                    .checks
                    .retain(|check| check.key != keys::renewal(ROLE));
            }
            self.send(at, request, true);
        }
        let gatherer = &mut self.gatherers[at];
        for event in gatherer.lease.take_events() {
            if let Event::Acquired(token, _) = event {
                self.acquisitions += 1;
                let known = self.tokens.insert(token, gatherer.session);
                assert!(
                    known.is_none_or(|session| session == gatherer.session),
                    "two owners with the same token: {token}"
                );
            }
        }
        // A permit is requested right before an effect; the process may be suspended right after.
        if gatherer.pending_effect.is_none() && self.rng.u8(0..10) == 0 {
            let outside = self.rng.bool();
            let target = if outside {
                Target::IndexHosts
            } else {
                Target::Store
            };
            let clock = gatherer.clock(self.now);
            if let Some(permit) = gatherer.lease.permit(target, clock) {
                gatherer.pending_effect = Some((
                    permit.token(),
                    gatherer.lease.fencing_check(&permit),
                    outside,
                ));
                if self.faults && self.rng.u8(0..12) == 0 {
                    self.suspensions += 1;
                    gatherer.suspended_until = self.now + self.rng.u64(100..5_000) * MS;
                    return;
                }
            }
        }
        self.make_pending_effect(at);
    }

    /// Makes the effect whose permit was issued.
    fn make_pending_effect(&mut self, at: usize) {
        let Some((token, fence, outside)) = self.gatherers[at].pending_effect.take() else {
            return;
        };
        if outside {
            self.outside_effects += 1;
            self.late_effects += u64::from(
                self.gatherers[at]
                    .lease
                    .valid_token(self.gatherers[at].clock(self.now))
                    != Some(token),
            );
            return;
        }
        // Without fencing an owner checks its own copy of the store first, and writes later.
        let Expects::At(revision) = fence.expects else {
            panic!("a fencing check expects a revision")
        };
        let seems_owner = self.gatherers[at]
            .state
            .versioned(&fence.key)
            .is_some_and(|entry| entry.revision == revision);
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
        if self.ablation != Ablation::Fencing || seems_owner {
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
        let valid_token = |(at, gatherer): (usize, &Gatherer)| {
            Some((at, gatherer.lease.valid_token(gatherer.clock(self.now))?))
        };
        self.gatherers
            .iter()
            .enumerate()
            .filter(|(_, gatherer)| gatherer.up)
            .filter_map(valid_token)
            .collect()
    }

    /// One tick of true time.
    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (due, later): (Vec<InFlight>, Vec<InFlight>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.arrives_at <= now);
        self.in_flight = later;
        due.into_iter()
            .for_each(|message| self.append(message.command));
        if self.faults {
            self.inject_fault();
        }
        for at in 0..self.gatherers.len() {
            let gatherer = &self.gatherers[at];
            if gatherer.up && gatherer.suspended_until <= now {
                self.step(at);
            }
        }
        let owners = self.owners();
        assert!(
            owners.len() <= 1,
            "two owners at the same time: {owners:?} at {} ms",
            now / MS
        );
        assert!(
            self.store_effects.windows(2).all(|pair| pair[0] <= pair[1]),
            "the store accepted an effect under a stale token"
        );
    }

    fn inject_fault(&mut self) {
        if self.rng.u16(0..60) != 0 {
            return;
        }
        let at = self.rng.usize(0..self.gatherers.len());
        let owner = self.owners().first().map_or(at, |(at, _)| *at);
        match self.rng.u8(0..14) {
            0..=3 => {
                // Owners are suspended more often than others.
                let at = if self.rng.bool() { owner } else { at };
                self.gatherers[at].suspended_until = self.now + self.rng.u64(100..4_000) * MS;
            }
            4..=6 => self.gatherers[at].partitioned = true,
            7 | 8 => self
                .gatherers
                .iter_mut()
                .for_each(|gatherer| gatherer.partitioned = false),
            9 => self.gatherers[owner].up = false,
            10 | 11 => {
                for at in 0..self.gatherers.len() {
                    if !self.gatherers[at].up {
                        self.start(at);
                    }
                }
            }
            12 if self.rng.u8(0..3) == 0 => {
                // All gatherers lose power.
                (0..self.gatherers.len()).for_each(|at| self.start(at));
            }
            13 if self.rng.u8(0..3) == 0 => match self.backup.take() {
                None => self.backup = Some(self.committed.clone()),
                Some(state) => self.restore(state),
            },
            _ => {}
        }
    }

    /// Restores the store from a backup at every member. Messages in flight are lost.
    fn restore(&mut self, mut state: State) {
        let era: u64 = state.get(keys::ERA).unwrap().parse().unwrap();
        // The operator's clock is part of the era, so that two restores of one backup get different
        // eras.
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
        self.committed = state.clone();
        self.in_flight.clear();
        // Revisions continue from the end of the backup.
        if self.ablation == Ablation::Era {
            let last = state
                .keys()
                .map(|(_, entry)| entry.revision)
                .max()
                .unwrap_or(0) as usize;
            self.log.truncate(last);
        }
        let applied = self.log.len();
        for at in 0..self.gatherers.len() {
            (self.gatherers[at].state, self.gatherers[at].applied) = (state.clone(), applied);
        }
        (0..self.gatherers.len()).for_each(|at| self.start(at));
    }
}

/// Runs one seed; returns the numbers of grants, effects and late effects, or the violated
/// property.
fn run_seed(seed: u64, ablation: Ablation) -> Result<(u64, u64, u64), String> {
    let result = std::panic::catch_unwind(|| {
        let mut simulation = Simulation::new(seed, ablation);
        while simulation.now < 20_000 * MS {
            simulation.tick();
        }
        // After the faults end the role gets an owner within a bounded time, and keeps it.
        simulation
            .gatherers
            .iter_mut()
            .for_each(|gatherer| (gatherer.partitioned, gatherer.suspended_until) = (false, 0));
        (0..simulation.gatherers.len()).for_each(|at| {
            if !simulation.gatherers[at].up {
                simulation.start(at)
            }
        });
        let faults_ended_at = simulation.now;
        simulation.faults = false;
        let parked = |simulation: &Simulation| {
            View::of(&simulation.committed, ROLE, "")
                .grant
                .is_some_and(|(_, grant)| grant.parked.is_some())
        };
        while simulation.owners().is_empty() && !parked(&simulation) {
            simulation.tick();
            assert!(
                simulation.now < faults_ended_at + 8 * LEASE,
                "the role still has no owner long after the faults ended"
            );
        }
        let acquisitions = simulation.acquisitions;
        let until = simulation.now + 3_000 * MS;
        while simulation.now < until {
            simulation.tick();
        }
        assert!(
            simulation.acquisitions <= acquisitions + 1,
            "the role changes owners without faults"
        );
        // A permit is for one effect, so each suspension can delay only one effect outside the
        // store.
        assert!(
            simulation.late_effects <= simulation.suspensions,
            "{} late effects, {} suspensions",
            simulation.late_effects,
            simulation.suspensions
        );
        (
            simulation.acquisitions,
            simulation.store_effects.len() as u64 + simulation.outside_effects,
            simulation.late_effects,
        )
    });
    result.map_err(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()))
            .unwrap_or_default()
    })
}

/// Runs a closure without printing the messages of its panics.
fn without_panic_output<T>(run: impl FnOnce() -> T) -> T {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let result = run();
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
        let (grants, effects, late) =
            run_seed(seed, Ablation::None).unwrap_or_else(|p| panic!("seed {seed}: {p}"));
        total = (total.0 + grants, total.1 + effects, total.2 + late);
    }
    println!(
        "{seeds} seeds: {} grants, {} effects, {} of them late outside the store",
        total.0, total.1, total.2
    );
    assert!(total.0 > 3 * seeds && total.2 > 0, "{total:?}");
}

#[test]
fn detects_each_ablation() {
    let ablations = [
        Ablation::RenewalCheck,
        Ablation::Fencing,
        Ablation::LeaseFromSend,
        Ablation::DriftMargin,
        Ablation::Incarnation,
        Ablation::Era,
    ];
    without_panic_output(|| {
        for ablation in ablations {
            let found = (0..3_000).find_map(|seed| {
                run_seed(seed, ablation)
                    .err()
                    .map(|problem| (seed, problem))
            });
            println!("without {ablation:?}: {found:?}");
            assert!(
                found.is_some(),
                "no violation without {ablation:?} in 3000 seeds"
            );
        }
    });
}
