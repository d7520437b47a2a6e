//! Every decision of the aggregator. Its types, events and actions stand in `src/interface.rs`.
//!
//! The ordinary path: a query's first sends go to the least-loaded row, each part has one timer at
//! its class's recent 95th percentile, a part pending then gets one copy elsewhere, and the first
//! answer wins.

mod admission;
mod attempts;
mod outlier_detection;
mod pacing;
mod slow_start;

use crate::calls::Calls;
use crate::interface::*;
use crate::timers::Timers;
pub use pacing::Pace;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Answers kept for a class's percentiles.
const WINDOW: usize = 96;
/// Before any answer, the copy timer stands at this share of the aim, and the median at a third of
/// that.
const START_SHARE: f64 = 0.3;
/// Copies per part sent, and the most that may be saved up.
const COPY_SHARE: f64 = 0.1;
const COPY_SAVED: f64 = 4.0;
/// Part of a told attempt budget that copies of slow parts leave to attempts after failures.
const BUDGET_KEPT: f64 = 0.4;
/// Calls out to a server at the start, and the least.
const START_LIMIT: f64 = 3.0;
const LEAST_LIMIT: f64 = 1.0;
/// With thin evidence a query is refused if a shard may take this share of its time; its wait
/// drains so fast.
const HOT_SHARE: f64 = 0.5;
const HOT_DRAIN: f64 = 0.25;
/// A probe is good for this share of the least aim and awaited so many ticks.
const PROBE_GOOD: f64 = 0.125;
const PROBE_WAIT: Time = 4;
/// A part leaves its row for a holder expected to be so many times as quick; less is a tie.
const ROW_LEFT: f64 = 1.25;
/// A server whose smoothed delay is over this share of the aim has its limit lowered, to this share
/// of it.
const SLOW_SHARE: f64 = 0.2;
const LIMIT_CUT: f64 = 0.75;
/// Judged answers that are counted of a server, as what was learned of it rests on no older ones.
const JUDGED: f64 = 16.0;
/// Weight of one sample in a server's slowness (1 = like its peers), and the sample that a failure
/// counts as.
const SAMPLE: f64 = 0.25;
const FAILURE: f64 = 8.0;
/// A server with more than this share of errors among its last answers fails. As it fails at once
/// it is always idle, so it is tried by one part an aim, or where a shard has nobody else by one in
/// this share of an aim.
const FAILING: f64 = 0.5;
const FAILING_TRY: f64 = 0.25;
/// So many times slower than usual and twice its median peer, a server is left out; fading over so
/// many aims.
const SICK: f64 = 3.0;
const FADE: f64 = 12.0;
/// A server with no answer since its oldest part went out, this many 95th percentiles ago, is
/// silent.
const SILENT: f64 = 2.0;
/// When more than this share of the servers look silent the cause is common, and none is judged.
const COMMON: f64 = 0.4;
/// A query with more parts than this share of the servers sends a scout first, as it could kill so
/// many.
const WIDE: f64 = 0.125;
const SCOUT_WAIT: f64 = 1.4; // With no deaths about, a scout is trusted after so many medians, times that share
/// Before this share of a median no part can have been at work.
const QUICK: f64 = 0.125;
const STALE: f64 = 0.75; // A connection idle for this share of the least time that broke one is closed before use
/// Share of what was counted over a window of sends that is no chance, of many servers too: two
/// deviations less.
const SURE: f64 = 0.8;
/// Share of a cold server's stated budget that is used, and bursts that may not break it, in times
/// the usual.
const COLD_USED: f64 = 0.7;
const COLD_BURST: f64 = 1.5;
/// Before a known list is asked for again: first, longer in large fleets, and at last; with a
/// silence and a call, 6 s.
const LIST_AGAIN: (Time, Time) = (200_000_000, 1_300_000_000);
/// Work held back may fill this share of the least aim, at the rate answers come; more is refused.
const HELD_SHARE: f64 = 0.25;
/// After a server's death queries send a scout for this many of the least aim.
const DOUBT: Time = 8;
/// A query is not started with less than its class's 95th percentile left, or this share of the aim
/// if less.
const START_BY: f64 = 0.4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Copy(PartId),
    Cut(u64),
    End(u64),
    Watch,
    Beat,
}

#[derive(Debug, Default)]
struct Server {
    cell: u32,
    ready: bool,
    gone: bool,
    out: bool, // Taken out by hand
    calls: Calls,
    limit: f64,
    delay: f64,
    cut_at: Time,
    probed: Time,
    took: (f64, Time),
    seen: Time,
    busy: f64,
    used: Time, // When its connection last brought something; 0 where it has none
    slowness: Vec<(f64, Time)>, // For each class (1 = like its peers), and when that was last judged
    cold_from: Option<Time>,
    turn: f64, // When this aggregator's turn to send a cold server a part begins, from 0 to 1
    sent: VecDeque<Time>,
    answered: Time,
    errors: f64, // Smoothed share of errors among its answers, and when the last one came
    erred: Time,
    judged: f64, // How many answers have been judged, up to a bound
}

#[derive(Debug)]
struct Sent {
    server: ServerId,
    at: Time,
    call: u64,
    class: usize,
    shard: u32,
    idle: Time, // How long its connection had been without use
    lost: bool, // A twin has answered its part: it speaks of its server alone
}

#[derive(Debug, Default)]
struct Part {
    number: u64,
    shard: u32,
    weight: f64,
    first_sent: Option<Time>,
    attempts: u32,
    live: Vec<u32>,
    tried: Vec<ServerId>,
    again: Option<ServerId>, // Where a connection broke that had been idle
    done: bool,
    held: bool,
    may_have_run: Option<Time>,
}

#[derive(Debug, Default)]
struct Query {
    id: QueryId,
    class: usize,
    parts: Vec<PartId>,
    expected: usize,
    done: usize,
    weight: f64,
    second: bool,
    first_whole: bool,
    time: Time, // The time that its client gave a first try; the aim for a repeat
    useful: Time,
    started: bool,
    scout: Option<PartId>, // The part sent first and alone while deaths are being seen
    wait_until: Time,
}

/// One aggregator: fed with events, it says what to do.
#[derive(Debug, Default)]
pub struct Aggregator {
    settings: Settings,
    aim: Time, // The least aim of all classes
    rng: fastrand::Rng,
    servers: BTreeMap<ServerId, Server>,
    holders: Vec<Vec<ServerId>>,
    queries: BTreeMap<u64, Query>,
    parts: BTreeMap<PartId, Part>,
    sends: BTreeMap<(PartId, u32), Sent>,
    pace: Vec<Pace>,
    tries: Vec<Pace>, // Of answered attempts alone: lost ones stretch what parts take, but not this
    timers: Timers<Timer>,
    shards: BTreeMap<u32, (f64, Time)>,
    common: bool,    // Whether so many servers are silent that the cause is common
    peers: Vec<f64>, // The median slowness of ready servers, by class
    ready: usize,
    death_at: Time,
    stale: (Time, Time), // The least idle time that broke a connection, and when one last did
    doubt_until: Time,
    oldest: BTreeMap<ServerId, (Time, usize)>,
    misses: (u32, u32), // Calls for the list that failed since one came: unanswered ones, or refused ones, in a row
    borne: (f64, Time), // Answers of each warm server, smoothed over a ramp, and when the last came
    tokens: f64,
    taken: VecDeque<Time>,
    extras: VecDeque<Time>,
    answers: VecDeque<Time>,
    started: Option<Time>,
    usual: Vec<VecDeque<Time>>,
    lacking: BTreeSet<u64>, // Queries with parts that found no room, not those that wait for a scout or a probe
    touched: Option<BTreeSet<ServerId>>, // Judged since what was learned was last asked for; none where nobody asks
    now: Time,
}

/// A time seen at a server, less what has drained since.
fn drained((took, at): (f64, Time), now: Time) -> f64 {
    (took - HOT_DRAIN * (now - at) as f64).max(0.0)
}

impl Aggregator {
    /// An aggregator that has just started and knows only its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let start = |c: &Class| Pace::starting(c.aim);
        Aggregator {
            aim: settings
                .classes
                .iter()
                .filter(|c| !c.retired)
                .map(|c| c.aim)
                .min()
                .unwrap_or(1),
            rng: fastrand::Rng::with_seed(seed),
            holders: vec![Vec::new(); settings.cells as usize],
            pace: settings.classes.iter().map(start).collect(),
            tries: settings.classes.iter().map(start).collect(),
            usual: vec![VecDeque::new(); settings.classes.len()],
            peers: vec![1.0; settings.classes.len()],
            tokens: 1.0,
            settings,
            ..Aggregator::default()
        }
    }

    /// Takes all that happened up to `now`, outcomes before timers, and adds what to do to `out`.
    pub fn turn(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        self.now = now;
        let window = self.settings.budget.map_or(0, |b| b.window);
        self.taken.retain(|at| at + window > now);
        self.extras.retain(|at| at + window >= now);
        let watches = self.started.is_none() && self.settings.list_on_request;
        out.extend(watches.then_some(Action::Watch(true)));
        self.started.get_or_insert(now);
        for event in events {
            self.take(event, out);
        }
        self.survey();
        while let Some(timer) = self.timers.due(now) {
            self.fire(timer, out);
        }
        self.answers.retain(|at| at + self.aim >= now);
        self.probe(out);
        self.dispatch(out);
        self.shed(out);
        if !self.queries.is_empty() && !self.timers.has(Timer::Beat) {
            self.timers.set(now + self.aim / 32, Timer::Beat);
        }
        out.extend(self.timers.next_wake(now).map(Action::WakeAt));
    }

    fn take(&mut self, event: &Event, out: &mut Vec<Action>) {
        match *event {
            Event::Settings {
                ref settings,
                ref from,
            } => self.resettle(settings, from),
            Event::List { kind, ref entries } => self.list(kind, entries),
            Event::ListFailed { refused } => {
                // All fail together and would call again together: the more there are, the more
                // they spread.
                let (asked, size) = (
                    self.settings.ask_within,
                    self.settings.aggregators.max(1).ilog2(),
                );
                let (unanswered, refusals) = self.misses;
                self.misses = if refused {
                    (0, refusals + 1)
                } else {
                    (unanswered + 1, 0)
                };
                let (spread, again) = if refused {
                    (2, refusals)
                } else {
                    (1, unanswered.saturating_sub(1))
                };
                let known = (
                    LIST_AGAIN.0 << size.saturating_sub(4).min(spread),
                    LIST_AGAIN.1,
                );
                let (first, most) = if self.ready > 0 {
                    known
                } else {
                    (asked >> 4, asked)
                };
                let wait = (first << again.min(size)).min(most);
                let at = self
                    .now
                    .saturating_add(wait)
                    .saturating_add(self.rng.u64(..1 + wait));
                self.timers.set(at, Timer::Watch);
            }
            Event::Query { .. } => self.admit(event),
            Event::Part {
                id,
                number,
                shard,
                weight,
            } => {
                self.taken.push_back(self.now);
                if let Some(query) = self.queries.get_mut(&number) {
                    query.parts.push(id);
                    query.expected = query.expected.max(query.parts.len());
                    self.parts.insert(
                        id,
                        Part {
                            number,
                            shard,
                            weight,
                            held: true,
                            ..Part::default()
                        },
                    );
                }
            }
            Event::Ended { .. } => self.ended(event, out),
            Event::ClientLeft { id } => {
                let number = self.queries.iter().find(|q| q.1.id == id).map(|q| *q.0);
                number
                    .into_iter()
                    .for_each(|number| self.forget(number, out));
            }
            Event::Probed {
                server,
                outcome,
                took,
                ..
            } => self.probed(server, outcome, took),
            Event::Recall(ref learned) => self.recall(learned),
            Event::Wake => {}
        }
    }

    /// Takes other settings: each class goes on from one of before, or starts anew.
    fn resettle(&mut self, settings: &Settings, from: &[Option<usize>]) {
        fn carry<T: Clone>(old: &mut Vec<T>, new: Vec<T>, from: &[Option<usize>]) {
            let kept = |(new, from): (T, &Option<usize>)| from.map_or(new, |at| old[at].clone());
            *old = new.into_iter().zip(from).map(kept).collect();
        }
        let new = Aggregator::new(settings.clone(), 0);
        carry(&mut self.pace, new.pace, from);
        carry(&mut self.tries, new.tries, from);
        carry(&mut self.usual, new.usual, from);
        carry(&mut self.peers, new.peers, from);
        self.servers
            .values_mut()
            .for_each(|s| carry(&mut s.slowness, vec![(1.0, 0); from.len()], from));
        (self.aim, self.settings) = (new.aim, new.settings);
    }

    fn list(&mut self, kind: ListKind, entries: &[Entry]) {
        self.misses = (0, 0);
        if kind != ListKind::Partial {
            let listed: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (id, server) in &mut self.servers {
                server.gone |= !listed.contains(id);
                server.ready &= !server.gone;
            }
        }
        for e in entries {
            let slowness = vec![(1.0, 0); self.settings.classes.len()];
            let new = Server {
                limit: START_LIMIT,
                slowness,
                ..Server::default()
            };
            let server = self.servers.entry(e.server).or_insert(new);
            server.cell = e.cell % self.settings.cells;
            server.ready = e.standing == Standing::Ready && !e.out;
            server.gone = e.standing == Standing::Gone;
            // Started anew it is cold, whatever was known of its last life; so is one back that was
            // out by hand.
            let back = std::mem::replace(&mut server.out, e.out) && !e.out;
            if back || e.born > 0 && server.cold_from.is_none_or(|from| e.born > from) {
                server.limit = START_LIMIT / 2.0;
                server.slowness.fill((1.0, 0));
                (server.errors, server.judged) = (0.0, 0.0);
                server.cold_from = Some(if back { self.now } else { e.born });
                server.sent.retain(|at| *at >= e.born);
                server.turn = self.rng.f64();
            }
        }
        // Servers are replaced under new ids for as long as the aggregator runs.
        self.servers.retain(|_, s| !s.gone || !s.calls.is_empty());
        self.ready = self.servers.values().filter(|s| s.ready).count();
        self.holders = vec![Vec::new(); self.settings.cells as usize];
        for (&id, server) in self.servers.iter().filter(|s| s.1.ready) {
            self.holders[server.cell as usize].push(id);
        }
    }

    fn ended(&mut self, event: &Event, out: &mut Vec<Action>) {
        let Event::Ended {
            part: id,
            attempt,
            outcome,
            took,
            ..
        } = *event
        else {
            return;
        };
        let Some(sent) = self.sends.remove(&(id, attempt)) else {
            return;
        };
        // What has drained away is no evidence: the next answer counts whole.
        let (now, out_for) = (self.now, took as f64);
        let learn = |took: &mut (f64, Time)| {
            let seen = drained(*took, now);
            if outcome == Outcome::Ok || out_for > seen {
                *took = (
                    if seen > 0.0 {
                        0.5 * (seen + out_for)
                    } else {
                        out_for
                    },
                    now,
                );
            }
        };
        if !sent.lost {
            learn(self.shards.entry(sent.shard).or_default());
        }
        if let Some(server) = self.servers.get_mut(&sent.server) {
            learn(&mut server.took);
            let broken = matches!(outcome, Outcome::Reset | Outcome::ConnectFailed);
            server.used = if broken { 0 } else { self.now };
            server.calls.end(sent.call);
        }
        // A connection that breaks at once when used after long disuse speaks of itself, not of its
        // server or query: the part goes there again, and only if none is made now was it a death.
        let quick = QUICK * self.pace[sent.class].median;
        let stale = outcome == Outcome::Reset && sent.idle > self.aim / 2 && (took as f64) < quick;
        if stale {
            let before = if self.breaking() {
                self.stale.0
            } else {
                Time::MAX
            };
            self.stale = (before.min(sent.idle), self.now);
        } else {
            self.judge(&sent, outcome, took);
        }
        // A query may itself kill its servers: while deaths go on each proves itself by one part
        // first.
        let known = !stale && self.servers.get(&sent.server).is_some_and(|s| s.ready);
        let again = self
            .parts
            .get(&id)
            .is_some_and(|p| p.again == Some(sent.server));
        let died =
            known && (outcome == Outcome::Reset || again && outcome == Outcome::ConnectFailed);
        if died && self.now > self.death_at + self.aim / 2 {
            // Deaths at one moment are a crash; deaths that go on have a cause among what is sent.
            if self.now < self.death_at + DOUBT * self.aim {
                self.doubt_until = self.now + DOUBT * self.aim;
            }
            self.death_at = self.now;
        }
        let Some(part) = self.parts.get_mut(&id) else {
            return;
        };
        part.live.retain(|a| *a != attempt);
        if !outcome.never_ran() {
            part.may_have_run = Some(part.may_have_run.map_or(sent.at, |at| at.min(sent.at)));
        }
        let (number, over) = (
            part.number,
            matches!(outcome, Outcome::TimedOut | Outcome::Skipped),
        );
        if outcome == Outcome::Ok && !part.done {
            self.tries[sent.class].add(took);
            (part.done, part.held) = (true, false);
            // By the time it was out, so that an own stall is not taken for slow servers.
            self.pace[sent.class].add(sent.at + took - part.first_sent.unwrap_or(sent.at));
            let (weight, live) = (part.weight, part.live.clone());
            self.answers.push_back(self.now);
            if self
                .servers
                .get(&sent.server)
                .is_some_and(|s| self.is_warm(s))
            {
                let ((rate, at), ramp) = (self.borne, (self.settings.ramp as f64).max(1.0));
                let warm = self
                    .servers
                    .values()
                    .filter(|s| s.ready && self.is_warm(s))
                    .count()
                    .max(1) as f64;
                self.borne = (
                    rate * (-((now - at) as f64) / ramp).exp() + 1.0 / ramp / warm,
                    now,
                );
            }
            for twin in live {
                self.sends
                    .entry((id, twin))
                    .and_modify(|sent| sent.lost = true);
                self.cancel(id, twin, out);
            }
            self.queries
                .entry(number)
                .and_modify(|q| (q.done, q.weight) = (q.done + 1, q.weight + weight));
            self.settle(number, false, out);
        } else if !part.done && part.live.is_empty() && !part.held && !over {
            part.held = true;
            part.again = stale.then_some(sent.server);
            let Some(query) = self.queries.get_mut(&number) else {
                return;
            };
            // Where no part has been answered the query itself is the first to be doubted.
            if died && query.done == 0 && !query.second {
                let live = |p: &&PartId| self.parts.get(p).is_some_and(|p| !p.live.is_empty());
                query.scout = query.parts.iter().find(live).copied();
                if query.scout.is_none() {
                    self.doubt_until = self.now + DOUBT * self.aim;
                    self.give_up(number, out);
                }
            }
        }
    }

    fn fire(&mut self, timer: Timer, out: &mut Vec<Action>) {
        match timer {
            Timer::Copy(id) => self.copy(id, out),
            Timer::Cut(number) => {
                let Some(query) = self.queries.get(&number) else {
                    return;
                };
                let c = &self.settings.classes[query.class];
                if !query.second && query.weight >= c.floor {
                    self.settle(number, true, out);
                } else if !query.second && self.now < query.useful {
                    self.timers.set(
                        self.now + self.settings.tick.max(c.aim / 64),
                        Timer::Cut(number),
                    );
                }
            }
            Timer::End(number) => self.settle(number, true, out),
            Timer::Watch => out.push(Action::Watch(true)),
            Timer::Beat => {}
        }
    }

    /// Answers a query that is whole; when its time is up, answers it with what is in or ends it.
    fn settle(&mut self, number: u64, time_up: bool, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&number) else {
            return;
        };
        let c = &self.settings.classes[query.class];
        let all = query.done >= query.expected && query.parts.len() >= query.expected;
        let whole = all || (!query.second && c.need < 1.0 && query.weight >= c.need);
        if !whole && !time_up {
            return;
        }
        // A first step that ends at the last moment leaves no time for a second: that query is
        // over.
        let over = c.second_step > 0 && !query.second && self.now >= query.useful;
        if over || !(whole || (c.floor < c.need && query.weight >= c.floor)) {
            return self.give_up(number, out);
        }
        let honest = whole && (!query.second || query.first_whole);
        out.push(Action::Answer {
            query: query.id,
            whole: honest,
        });
        if c.second_step > 0 && !query.second {
            (query.second, query.first_whole) = (true, whole);
            query.expected = (c.second_step as usize).min(query.done);
            (query.done, query.weight) = (0, 0.0);
            let old = std::mem::take(&mut query.parts);
            return self.drop_parts(&old, out);
        }
        self.forget(number, out);
    }

    /// Ends a query that cannot be answered any more.
    fn give_up(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&number) else {
            return;
        };
        let unsafe_class = self.settings.classes[query.class].effect == Effect::Unsafe;
        let ran = |p: &Part| p.done || !p.live.is_empty() || p.may_have_run.is_some();
        let ran = unsafe_class && self.parts_of(query).any(|(_, p)| ran(p));
        let refused = Action::Refuse {
            query: query.id,
            hold_off: self.settings.max_hold_off,
        };
        out.push(if ran {
            Action::Fail { query: query.id }
        } else {
            refused
        });
        self.forget(number, out);
    }

    fn forget(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&number) else {
            return;
        };
        self.drop_parts(&query.parts, out);
    }

    fn drop_parts(&mut self, ids: &[PartId], out: &mut Vec<Action>) {
        for id in ids {
            let live = self
                .parts
                .remove(id)
                .map_or_else(Vec::new, |part| part.live);
            live.into_iter()
                .for_each(|attempt| self.cancel(*id, attempt, out));
        }
    }

    fn cancel(&mut self, part: PartId, attempt: u32, out: &mut Vec<Action>) {
        let cancels = self.settings.cancels && self.sends.contains_key(&(part, attempt));
        out.extend(cancels.then_some(Action::Cancel { part, attempt }));
    }

    fn parts_of<'a>(&'a self, query: &'a Query) -> impl Iterator<Item = (PartId, &'a Part)> {
        query
            .parts
            .iter()
            .filter_map(|id| Some((*id, self.parts.get(id)?)))
    }

    fn replicas(&self, shard: u32) -> Vec<ServerId> {
        let cells = (0..self.settings.reach).map(|j| (shard + j) % self.settings.cells);
        cells
            .flat_map(|cell| self.holders[cell as usize].clone())
            .collect()
    }
}
