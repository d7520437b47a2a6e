//! Every decision of the aggregator. Its types, events and actions stand in `src/interface.rs`.
//!
//! The ordinary path: a query's first sends go to the least-loaded row, each part has one timer at its
//! class's recent 95th percentile, a part pending then gets one copy elsewhere, and the first answer wins.

mod pace;

use crate::interface::*;
pub use pace::Pace;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Answers kept for a class's percentiles.
const WINDOW: usize = 96;
/// Before any answer, the copy timer stands at this share of the aim, and the median at a third of that.
const START_SHARE: f64 = 0.3;
/// Copies per part sent, and the most that may be saved up.
const COPY_SHARE: f64 = 0.1;
const COPY_SAVED: f64 = 4.0;
/// Part of a told attempt budget that copies of slow parts leave to attempts after failures.
const BUDGET_KEPT: f64 = 0.4;
/// Calls out to a server at the start, and the least.
const START_LIMIT: f64 = 3.0;
const LEAST_LIMIT: f64 = 1.0;
/// With thin evidence a query is refused if a shard may take this share of its time; its wait drains so fast.
const HOT_SHARE: f64 = 0.5;
const HOT_DRAIN: f64 = 0.25;
/// A probe is good for this share of the least aim and awaited so many ticks.
const PROBE_GOOD: f64 = 0.125;
const PROBE_WAIT: Time = 4;
/// A part leaves its row for a holder expected to be so many times as quick; less is a tie.
const ROW_LEFT: f64 = 1.25;
/// A server whose smoothed delay is over this share of the aim has its limit lowered, to this share of it.
const SLOW_SHARE: f64 = 0.2;
const LIMIT_CUT: f64 = 0.75;
/// Judged answers that are counted of a server, as what was learned of it rests on no older ones.
const JUDGED: f64 = 16.0;
/// Weight of one sample in a server's slowness (1 = like its peers), and the sample that a failure counts as.
const SAMPLE: f64 = 0.25;
const FAILURE: f64 = 8.0;
/// A server with more than this share of errors among its last answers fails. As it fails at once it is always
/// idle, so it is tried by one part an aim, or where a shard has nobody else by one in this share of an aim.
const FAILING: f64 = 0.5;
const FAILING_TRY: f64 = 0.25;
/// So many times slower than usual and twice its median peer, a server is left out; fading over so many aims.
const SICK: f64 = 3.0;
const FADE: f64 = 12.0;
/// A server with no answer since its oldest part went out, this many 95th percentiles ago, is silent.
const SILENT: f64 = 2.0;
/// When more than this share of the servers look silent the cause is common, and none is judged.
const COMMON: f64 = 0.4;
/// A query with more parts than this share of the servers sends a scout first, as it could kill so many; with
/// no deaths about the scout is trusted after so many medians, times that share.
const WIDE: f64 = 0.125;
const SCOUT_WAIT: f64 = 1.4;
/// Before this share of a median no part can have been at work. A connection idle for this share of the least
/// time that broke one is closed before it is used.
const QUICK: f64 = 0.125;
const STALE: f64 = 0.75;
/// Share of what was counted over a window of sends that is no chance, of many servers too: two deviations less.
const SURE: f64 = 0.8;
/// Share of a cold server's stated budget that is used, and bursts that may not break it, in times the usual.
const COLD_USED: f64 = 0.7;
const COLD_BURST: f64 = 1.5;
/// Before a known list is asked for again: first, longer in large fleets, and at last; with a silence and a call, 6 s.
const LIST_AGAIN: (Time, Time) = (200_000_000, 1_300_000_000);
/// Work held back may fill this share of the least aim, at the rate answers come; more is refused.
const HELD_SHARE: f64 = 0.25;
/// After a server's death queries send a scout for this many of the least aim.
const DOUBT: Time = 8;
/// A query is not started with less than its class's 95th percentile left, or this share of the aim if less.
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
    calls: BTreeMap<u64, u32>,
    limit: f64,
    delay: f64,
    cut_at: Time,
    probed: Time,
    took: (f64, Time),
    seen: Time,
    busy: f64,
    used: Time, // When its connection last brought something; 0 where it has none
    /// How slow it is for each class (1 = like its peers), and when that was last judged.
    slowness: Vec<(f64, Time)>,
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
    timers: BTreeSet<(Time, Timer)>,
    wake: Time,
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
    /// Queries with parts that found no room, unlike those that wait for a scout or a probe.
    lacking: BTreeSet<u64>,
    /// Servers judged since what was learned was last asked for; none where nobody asks.
    touched: Option<BTreeSet<ServerId>>,
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
            aim: settings.classes.iter().filter(|c| !c.retired).map(|c| c.aim).min().unwrap_or(1),
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
        while let Some(&(at, timer)) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            self.fire(timer, out);
        }
        self.answers.retain(|at| at + self.aim >= now);
        self.probe(out);
        self.dispatch(out);
        self.shed(out);
        if !self.queries.is_empty() && !self.timers.iter().any(|t| t.1 == Timer::Beat) {
            self.timers.insert((now + self.aim / 32, Timer::Beat));
        }
        let next = self.timers.first().map(|timer| timer.0).filter(|at| self.wake <= now || *at < self.wake);
        self.wake = next.unwrap_or(self.wake);
        out.extend(next.map(Action::WakeAt));
    }

    fn take(&mut self, event: &Event, out: &mut Vec<Action>) {
        match *event {
            Event::Settings { ref settings, ref from } => self.resettle(settings, from),
            Event::List { kind, ref entries } => self.list(kind, entries),
            Event::ListFailed { refused } => {
                // All fail together and would call again together: the more there are, the more they spread.
                let (asked, size) = (self.settings.ask_within, self.settings.aggregators.max(1).ilog2());
                let (unanswered, refusals) = self.misses;
                self.misses = if refused { (0, refusals + 1) } else { (unanswered + 1, 0) };
                let (spread, again) = if refused { (2, refusals) } else { (1, unanswered.saturating_sub(1)) };
                let known = (LIST_AGAIN.0 << size.saturating_sub(4).min(spread), LIST_AGAIN.1);
                let (first, most) = if self.ready > 0 { known } else { (asked >> 4, asked) };
                let wait = (first << again.min(size)).min(most);
                let at = self.now.saturating_add(wait).saturating_add(self.rng.u64(..1 + wait));
                self.timers.insert((at, Timer::Watch));
            }
            Event::Query { .. } => self.admit(event),
            Event::Part { id, number, shard, weight } => {
                self.taken.push_back(self.now);
                if let Some(query) = self.queries.get_mut(&number) {
                    query.parts.push(id);
                    query.expected = query.expected.max(query.parts.len());
                    self.parts.insert(id, Part { number, shard, weight, held: true, ..Part::default() });
                }
            }
            Event::Ended { .. } => self.ended(event, out),
            Event::ClientLeft { id } => {
                let number = self.queries.iter().find(|q| q.1.id == id).map(|q| *q.0);
                number.into_iter().for_each(|number| self.forget(number, out));
            }
            Event::Probed { server, outcome, took, .. } => self.probed(server, outcome, took),
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
        self.servers.values_mut().for_each(|s| carry(&mut s.slowness, vec![(1.0, 0); from.len()], from));
        (self.aim, self.settings) = (new.aim, new.settings);
    }

    /// What was learned: of so many servers judged since last told of (noted from the first call on), and of classes.
    pub fn learned(&mut self, most: usize) -> Learned {
        let server = |id| {
            let s: &Server = self.servers.get(&id)?;
            let slowness = s.slowness.iter().map(|s| s.0).collect();
            let (delay, limit, errors) = (s.delay, s.limit, s.errors);
            Some((id, ServerMemory { slowness, delay, limit, errors, answers: s.judged }))
        };
        let mut touched = self.touched.take().unwrap_or_default();
        let servers = (0..most).map_while(|_| touched.pop_first()).filter_map(server).collect();
        self.touched = Some(touched);
        let pace =
            |p: &Pace| PaceMemory { median: p.median, p95: p.p95, least: p.least, answers: p.recent.len() };
        let [parts, tries] = [&self.pace, &self.tries].map(|all| all.iter().map(pace).collect());
        Learned { servers, parts, tries }
    }

    /// Takes what an earlier life had learned. It only warns: no server is held to be better than a new one. Held to be
    /// judged an aim ago, so that the first answers that say otherwise count double.
    fn recall(&mut self, learned: &Learned) {
        let at = self.now.saturating_sub(self.aim);
        for (id, memory) in &learned.servers {
            let Some(server) = self.servers.get_mut(id).filter(|s| s.judged == 0.0) else { continue };
            for (own, slowness) in server.slowness.iter_mut().zip(&memory.slowness) {
                *own = (slowness.clamp(1.0, FAILURE), at);
            }
            server.limit = memory.limit.clamp(LEAST_LIMIT, server.limit);
            server.delay = memory.delay.clamp(0.0, 1.0);
            (server.errors, server.erred) = (memory.errors.clamp(0.0, 1.0), at);
        }
        for (own, told) in [(&mut self.pace, &learned.parts), (&mut self.tries, &learned.tries)] {
            let new =
                own.iter_mut().zip(told).filter(|(own, told)| own.recent.is_empty() && told.answers > 0);
            for (own, told) in new {
                (own.median, own.p95, own.least) =
                    (told.median.max(1.0), told.p95.max(1.0), told.least.max(1.0));
            }
        }
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
            let new = Server { limit: START_LIMIT, slowness, ..Server::default() };
            let server = self.servers.entry(e.server).or_insert(new);
            server.cell = e.cell % self.settings.cells;
            server.ready = e.standing == Standing::Ready && !e.out;
            server.gone = e.standing == Standing::Gone;
            // Started anew it is cold, whatever was known of its last life; so is one back that was out by hand.
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

    /// How long a probe waited. Reports of load say no more of a server than its answers do, so none is read.
    fn probed(&mut self, id: ServerId, outcome: Outcome, took: Time) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.seen, server.busy) = (self.now, if outcome == Outcome::Ok { 1.0 } else { FAILURE });
        server.busy += (took / (PROBE_WAIT * self.settings.tick).max(1)) as f64;
    }

    /// Where evidence is thin and answers slow, probes two holders of each shard; the query waits some ticks. A probe
    /// dearer than the work that a bad choice loses is not worth its answer: of many aggregators all have thin evidence.
    fn probe(&mut self, out: &mut Vec<Action>) {
        let s = &self.settings;
        let tight = |q: &Query| self.pace[q.class].p95 > START_SHARE * s.classes[q.class].aim as f64;
        let new = self.queries.iter().filter(|q| q.1.wait_until == 0 && tight(q.1));
        let probing = s.probes && s.probe_price <= s.waste_price && self.answers.len() < self.ready;
        let new: Vec<u64> = new.map(|q| *q.0).filter(|_| probing).collect();
        for number in new {
            let query = self.queries.get_mut(&number).expect("listed above");
            query.wait_until = self.now + PROBE_WAIT * self.settings.tick;
            self.timers.insert((query.wait_until, Timer::Beat));
            let (class, parts) = (query.class, query.parts.clone());
            for shard in parts.iter().filter_map(|p| self.parts.get(p)).map(|p| p.shard).collect::<Vec<_>>() {
                let mut free = self.replicas(shard);
                free.retain(|id| self.room(*id, class));
                self.rng.shuffle(&mut free);
                for id in free.into_iter().take(2) {
                    let server = self.servers.get_mut(&id).expect("a replica is known");
                    if self.now > server.seen.max(server.probed) + (PROBE_GOOD * self.aim as f64) as Time {
                        server.probed = self.now;
                        out.push(Action::Probe(id));
                    }
                }
            }
        }
    }

    /// How long a part may take: by slowness, a probe, the last answers less what drained, what is out now
    fn expected(&self, id: ServerId, class: usize, shard: u32) -> f64 {
        let s = &self.servers[&id];
        let fresh = self.aim / 2;
        let base = self.slowness(s, class) * self.pace[class].median;
        let probed = match s.seen {
            seen if s.probed > seen && self.now > s.probed + PROBE_WAIT * self.settings.tick => 3.0 + s.busy,
            seen if seen > 0 && seen + fresh / 2 > self.now => 1.0 + s.busy,
            _ => 2.0,
        };
        let own = if s.took.1 + fresh > self.now { Some(&s.took) } else { self.shards.get(&shard) };
        let own = own.map_or(0.0, |took| drained(*took, self.now));
        let out_for = self.oldest.get(&id).map_or(0, |o| self.now - o.0);
        (base * probed / 2.0).max(own).max(out_for as f64)
    }

    fn admit(&mut self, event: &Event) {
        let Event::Query { id, number, class, parts, patience, repeat } = *event else { return };
        self.taken.push_back(self.now);
        let c = &self.settings.classes[class];
        // The aim runs from the first try. A try of no usual patience ends with its client's deadline.
        let usual = &mut self.usual[class];
        if !repeat {
            usual.push_front(patience);
            usual.truncate(WINDOW / 2);
        }
        let like = usual.iter().filter(|u| u.abs_diff(patience) <= patience / 64).count();
        let left = c.deadline.saturating_sub(patience);
        let again = Time::from(repeat || !self.settings.repeats_marked);
        let age = if like * 16 >= usual.len() { left / 2 * Time::from(repeat) } else { left * again };
        let wanted = patience.min(c.aim.saturating_sub(age));
        let useful = self.now + wanted.saturating_sub(2 * self.settings.tick);
        let time = if repeat || age > 0 { c.aim } else { wanted };
        let query = Query { id, class, time, expected: parts as usize, useful, ..Query::default() };
        self.timers.insert((useful, Timer::End(number)));
        if c.floor < c.need && c.second_step > 0 {
            // A class with partial answers keeps time for its second step.
            let kept = (1.2 * self.pace[class].p95).clamp(0.2 * c.aim as f64, 0.6 * c.aim as f64);
            self.timers.insert((useful.saturating_sub(kept as Time), Timer::Cut(number)));
        }
        self.queries.insert(number, query);
    }

    fn ended(&mut self, event: &Event, out: &mut Vec<Action>) {
        let Event::Ended { part: id, attempt, outcome, took, .. } = *event else { return };
        let Some(sent) = self.sends.remove(&(id, attempt)) else { return };
        // What has drained away is no evidence: the next answer counts whole.
        let (now, out_for) = (self.now, took as f64);
        let learn = |took: &mut (f64, Time)| {
            let seen = drained(*took, now);
            if outcome == Outcome::Ok || out_for > seen {
                *took = (if seen > 0.0 { 0.5 * (seen + out_for) } else { out_for }, now);
            }
        };
        if !sent.lost {
            learn(self.shards.entry(sent.shard).or_default());
        }
        if let Some(server) = self.servers.get_mut(&sent.server) {
            learn(&mut server.took);
            let broken = matches!(outcome, Outcome::Reset | Outcome::ConnectFailed);
            server.used = if broken { 0 } else { self.now };
            server.calls.retain(|call, parts| {
                *parts -= u32::from(*call == sent.call);
                *parts > 0
            });
        }
        // A connection that breaks at once when used after long disuse speaks of itself, not of its server or
        // query: the part goes there again, and only if none is made now was it a death.
        let quick = QUICK * self.pace[sent.class].median;
        let stale = outcome == Outcome::Reset && sent.idle > self.aim / 2 && (took as f64) < quick;
        if stale {
            let before = if self.breaking() { self.stale.0 } else { Time::MAX };
            self.stale = (before.min(sent.idle), self.now);
        } else {
            self.judge(&sent, outcome, took);
        }
        // A query may itself kill its servers: while deaths go on each proves itself by one part first.
        let known = !stale && self.servers.get(&sent.server).is_some_and(|s| s.ready);
        let again = self.parts.get(&id).is_some_and(|p| p.again == Some(sent.server));
        let died = known && (outcome == Outcome::Reset || again && outcome == Outcome::ConnectFailed);
        if died && self.now > self.death_at + self.aim / 2 {
            // Deaths at one moment are a crash; deaths that go on have a cause among what is sent.
            if self.now < self.death_at + DOUBT * self.aim {
                self.doubt_until = self.now + DOUBT * self.aim;
            }
            self.death_at = self.now;
        }
        let Some(part) = self.parts.get_mut(&id) else { return };
        part.live.retain(|a| *a != attempt);
        if !outcome.never_ran() {
            part.may_have_run = Some(part.may_have_run.map_or(sent.at, |at| at.min(sent.at)));
        }
        let (number, over) = (part.number, matches!(outcome, Outcome::TimedOut | Outcome::Skipped));
        if outcome == Outcome::Ok && !part.done {
            self.tries[sent.class].add(took);
            (part.done, part.held) = (true, false);
            // By the time it was out, so that an own stall is not taken for slow servers.
            self.pace[sent.class].add(sent.at + took - part.first_sent.unwrap_or(sent.at));
            let (weight, live) = (part.weight, part.live.clone());
            self.answers.push_back(self.now);
            if self.servers.get(&sent.server).is_some_and(|s| self.is_warm(s)) {
                let ((rate, at), ramp) = (self.borne, (self.settings.ramp as f64).max(1.0));
                let warm = self.servers.values().filter(|s| s.ready && self.is_warm(s)).count().max(1) as f64;
                self.borne = (rate * (-((now - at) as f64) / ramp).exp() + 1.0 / ramp / warm, now);
            }
            for twin in live {
                self.sends.entry((id, twin)).and_modify(|sent| sent.lost = true);
                self.cancel(id, twin, out);
            }
            self.queries.entry(number).and_modify(|q| (q.done, q.weight) = (q.done + 1, q.weight + weight));
            self.settle(number, false, out);
        } else if !part.done && part.live.is_empty() && !part.held && !over {
            part.held = true;
            part.again = stale.then_some(sent.server);
            let Some(query) = self.queries.get_mut(&number) else { return };
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

    /// What an ended attempt says of its server.
    fn judge(&mut self, sent: &Sent, outcome: Outcome, took: Time) {
        let (aim, now, common) = (self.settings.classes[sent.class].aim, self.now, self.peers[sent.class]);
        let ratio = (took as f64 / self.pace[sent.class].median).min(FAILURE);
        let Some(server) = self.servers.get_mut(&sent.server) else { return };
        server.answered = if matches!(outcome, Outcome::Ok | Outcome::Error) { now } else { server.answered };
        if let Some(touched) = &mut self.touched {
            touched.insert(sent.server);
            server.judged = (server.judged + 1.0).min(JUDGED);
        }
        let refused = outcome == Outcome::ConnectFailed && common < SICK; // Where none can be made, no server's fault
        let failed = refused || matches!(outcome, Outcome::Error | Outcome::Full);
        server.erred = if failed { now } else { server.erred };
        if failed || outcome == Outcome::Ok {
            server.errors += SAMPLE * (f64::from(u8::from(failed)) - server.errors);
        }
        let sample = match outcome {
            Outcome::Ok => {
                server.delay += SAMPLE * (took as f64 / aim as f64 - server.delay);
                let slow = server.delay > SLOW_SHARE;
                if slow && sent.at >= server.cut_at {
                    (server.limit, server.cut_at) = ((server.limit * LIMIT_CUT).max(LEAST_LIMIT), now);
                } else if !slow && server.calls.len() as f64 + 2.0 > server.limit {
                    server.limit += 1.0 / server.limit;
                }
                ratio
            }
            Outcome::Error => FAILURE,
            Outcome::Reset | Outcome::ConnectFailed | Outcome::Full => {
                server.limit = LEAST_LIMIT;
                FAILURE
            }
            // Cut short: it would have taken at least this long.
            Outcome::Cancelled | Outcome::TimedOut if ratio > server.slowness[sent.class].0 => ratio,
            _ => return,
        };
        // An error speaks of its class alone; what is slow or broken is so for all.
        for (class, (slowness, at)) in server.slowness.iter_mut().enumerate() {
            if class == sent.class || outcome != Outcome::Error {
                // The older what was known, the more the new counts.
                let old = ((now - *at) as f64 / self.aim as f64).min(1.0);
                *slowness += SAMPLE * (1.0 + old) * (sample - *slowness);
                *at = now;
            }
        }
    }

    /// Whether idle connections have lately been found broken.
    fn breaking(&self) -> bool {
        self.stale.0 > 0 && self.now < self.stale.1 + (FADE * self.aim as f64) as Time
    }

    /// A server's slowness as far as it is still known.
    fn slowness(&self, server: &Server, class: usize) -> f64 {
        let (slowness, at) = server.slowness[class];
        1.0 + (slowness - 1.0) * (1.0 - (self.now - at) as f64 / (FADE * self.aim as f64)).max(0.0)
    }

    /// Whether a server fails what it is sent and was tried less than this share of the least aim ago.
    fn failing(&self, server: &Server, share: f64) -> bool {
        let again = server.erred + (share * self.aim as f64) as Time;
        server.errors > FAILING && (self.now < again || !server.calls.is_empty())
    }

    fn sick(&self, server: &Server, class: usize) -> bool {
        self.slowness(server, class) > SICK.max(2.0 * self.peers[class])
    }

    /// Looks over what is out: the oldest part at each server, the median peer, and who is silent.
    fn survey(&mut self) {
        self.oldest.clear();
        for sent in self.sends.values() {
            let oldest = self.oldest.entry(sent.server).or_insert((sent.at, sent.class));
            *oldest = (sent.at, sent.class).min(*oldest);
        }
        let silent = self.oldest.iter().filter(|(id, (at, class))| self.silent(**id, *at, *class)).count();
        self.common = silent as f64 > COMMON * self.ready as f64;
        for class in 0..self.peers.len() {
            let ready = self.servers.values().filter(|s| s.ready);
            let mut peers: Vec<f64> = ready.map(|s| self.slowness(s, class)).collect();
            peers.sort_by(f64::total_cmp);
            self.peers[class] = peers.get(peers.len() / 2).copied().unwrap_or(1.0);
        }
    }

    /// Whether a server has answered nothing since a part went out to it, for long.
    fn silent(&self, id: ServerId, at: Time, class: usize) -> bool {
        let quiet = self.servers.get(&id).is_some_and(|s| s.answered < at);
        quiet && (self.now - at) as f64 >= SILENT * self.tries[class].p95
    }

    fn fire(&mut self, timer: Timer, out: &mut Vec<Action>) {
        match timer {
            Timer::Copy(id) => self.copy(id, out),
            Timer::Cut(number) => {
                let Some(query) = self.queries.get(&number) else { return };
                let c = &self.settings.classes[query.class];
                if !query.second && query.weight >= c.floor {
                    self.settle(number, true, out);
                } else if !query.second && self.now < query.useful {
                    self.timers.insert((self.now + self.settings.tick.max(c.aim / 64), Timer::Cut(number)));
                }
            }
            Timer::End(number) => self.settle(number, true, out),
            Timer::Watch => out.push(Action::Watch(true)),
            Timer::Beat => {}
        }
    }

    /// Answers a query that is whole; when its time is up, answers it with what is in or ends it.
    fn settle(&mut self, number: u64, time_up: bool, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        let c = &self.settings.classes[query.class];
        let all = query.done >= query.expected && query.parts.len() >= query.expected;
        let whole = all || (!query.second && c.need < 1.0 && query.weight >= c.need);
        if !whole && !time_up {
            return;
        }
        // A first step that ends at the last moment leaves no time for a second: that query is over.
        let over = c.second_step > 0 && !query.second && self.now >= query.useful;
        if over || !(whole || (c.floor < c.need && query.weight >= c.floor)) {
            return self.give_up(number, out);
        }
        let honest = whole && (!query.second || query.first_whole);
        out.push(Action::Answer { query: query.id, whole: honest });
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
        let Some(query) = self.queries.get(&number) else { return };
        let unsafe_class = self.settings.classes[query.class].effect == Effect::Unsafe;
        let ran = |p: &Part| p.done || !p.live.is_empty() || p.may_have_run.is_some();
        let ran = unsafe_class && self.parts_of(query).any(|(_, p)| ran(p));
        let refused = Action::Refuse { query: query.id, hold_off: self.settings.max_hold_off };
        out.push(if ran { Action::Fail { query: query.id } } else { refused });
        self.forget(number, out);
    }

    fn forget(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&number) else { return };
        self.drop_parts(&query.parts, out);
    }

    fn drop_parts(&mut self, ids: &[PartId], out: &mut Vec<Action>) {
        for id in ids {
            let live = self.parts.remove(id).map_or_else(Vec::new, |part| part.live);
            live.into_iter().for_each(|attempt| self.cancel(*id, attempt, out));
        }
    }

    fn cancel(&mut self, part: PartId, attempt: u32, out: &mut Vec<Action>) {
        let cancels = self.settings.cancels && self.sends.contains_key(&(part, attempt));
        out.extend(cancels.then_some(Action::Cancel { part, attempt }));
    }

    /// Whether a shard of a query lately took too much of the time that it has left, even at its best holder.
    fn hot(&self, query: &Query) -> bool {
        let left = HOT_SHARE * query.useful.saturating_sub(self.now) as f64;
        let left = left.max(2.0 * self.pace[query.class].median);
        let best = |(_, p): (PartId, &Part)| {
            let all = self.replicas(p.shard).into_iter();
            all.map(|id| self.expected(id, query.class, p.shard)).reduce(f64::min).unwrap_or(0.0)
        };
        let thin = self.answers.len() < self.ready;
        thin && !query.started && self.parts_of(query).any(|part| best(part) > left)
    }

    /// Whether a query that needs every part is too late for its slowest part or, once started, a usual one.
    fn late(&self, query: &Query) -> bool {
        let (c, pace) = (&self.settings.classes[query.class], &self.pace[query.class]);
        let needed = if query.started { pace.median } else { pace.p95.min(START_BY * query.time as f64) };
        c.needs_all() && (self.now as f64 + needed > query.useful as f64 || self.hot(query))
    }

    /// Ends what can no longer be answered in time, and refuses what would only wait.
    fn shed(&mut self, out: &mut Vec<Action>) {
        let (mut lost, mut fresh, mut held) = (Vec::new(), Vec::new(), 0.0);
        for (&number, query) in &self.queries {
            let c = &self.settings.classes[query.class];
            let waiting = self.parts_of(query).filter(|p| p.1.held).count();
            let stuck = |p: &Part| !p.done && !p.held && p.live.is_empty(); // It may not be sent again
            let over = c.needs_all() && self.parts_of(query).any(|p| stuck(p.1));
            if over || waiting > 0 && self.late(query) {
                lost.push(number);
            } else if self.lacking.contains(&number) {
                // Of a partial class only the floor must be sent.
                let must = waiting as f64 * c.floor;
                held += must;
                let work = query.parts.len() as f64 * self.pace[query.class].median;
                if waiting > 0 && !query.started {
                    fresh.push((c.worth / work, number, must));
                }
            }
        }
        lost.into_iter().for_each(|number| self.give_up(number, out));
        let warm = self.started.is_some_and(|at| at + self.aim < self.now);
        fresh.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        for (_, number, must) in fresh {
            // A query that waits alone is never too much.
            if !warm || held - must <= HELD_SHARE * self.answers.len() as f64 {
                break;
            }
            held -= must;
            self.give_up(number, out);
        }
    }

    fn room(&self, id: ServerId, class: usize) -> bool {
        let Some(server) = self.servers.get(&id) else { return false };
        let joins = server.calls.range(self.now..).any(|c| *c.1 < self.settings.call_parts);
        server.ready
            && !self.sick(server, class)
            && !self.failing(server, 1.0)
            && (joins || server.calls.len() as f64 + 1.0 <= server.limit)
            && self.cold_room(server)
    }

    fn is_warm(&self, server: &Server) -> bool {
        server.cold_from.is_none_or(|from| from + self.settings.ramp <= self.now)
    }

    /// Whether a cold server's told budget has room: of what a warm one bears, or one core at the dearest class answered.
    fn cold_room(&self, server: &Server) -> bool {
        let s = &self.settings;
        let from = server.cold_from.filter(|_| s.fall > 0 && !self.is_warm(server));
        let Some(from) = from else { return true };
        let (all, fall, age) = (f64::from(s.aggregators), s.fall as f64, (self.now.max(from) - from) as f64);
        let capacity = s.start_capacity + (1.0 - s.start_capacity) * age / s.ramp as f64;
        let least = self.pace.iter().map(|p| (!p.recent.is_empty(), p.least));
        let work = least.fold((false, 1.0), |a, b| if b > a { b } else { a }).1 + s.call_work as f64;
        let share = s.tip_multiple * capacity * fall * (1.0 / all / work).max(self.borne());
        let (parts, budget, ask) = (COLD_USED * share, share * all, COLD_BURST * self.usual() * fall);
        // A share below one part is rounded up: to one, or to two where two of each are chance or one of each is not any more.
        // Of a burst that would bring out too many only a share of the aggregators goes on, by their turns.
        let (chance, burst) = (budget + 2.0 * budget.sqrt() + 2.0, all * (2.0 - (2.0 + ask) * (-ask).exp()));
        let (few, turn) = (ask == 0.0 || ask > COLD_BURST * share, server.turn + age * parts / fall);
        let sent = |n: f64| server.sent.iter().filter(|at| (self.now - **at) as f64 <= n * fall).count();
        let closed = turn.fract() * (1.0 - parts) >= COLD_USED * parts + 0.5 / all;
        let waits = closed || server.sent.is_empty() && turn < 1.0 || sent(1.0 / parts) > 0;
        let early = if few { waits } else { chance < all && turn.fract() * burst > budget - budget.sqrt() };
        let one = parts >= 1.0 || (all..2.0 * all).contains(&chance);
        let most = if one { parts.max(1.0) } else { 2.0 };
        sent(1.0) as f64 + 1.0 <= most && (parts >= 1.0 || sent(2.0 / parts) < 2 && !early)
    }

    /// Parts that a warm server bears for this aggregator in a nanosecond: what one lately answers on average, or what
    /// the busiest sound one surely does, as far as its last sends are more than chance.
    fn borne(&self) -> f64 {
        let sound = self.servers.values().filter(|s| s.ready && self.is_warm(s) && s.delay < SLOW_SHARE);
        let span = sound.filter_map(|s| s.sent.get(WINDOW - 1)).map(|at| self.now - at).min();
        self.usual().max(span.map_or(0.0, |span| SURE * WINDOW as f64 / span.max(self.settings.fall) as f64))
    }

    /// Parts that warm servers answer on average for this aggregator in a nanosecond, as far as it is known.
    fn usual(&self) -> f64 {
        let ((rate, at), s) = (self.borne, &self.settings);
        // Soon after the start the average holds little yet; one query must not pass for a steady load.
        let told = at.saturating_sub(self.started.unwrap_or(at)).max(s.fall) as f64;
        rate / (1.0 - (-told / s.ramp as f64).exp())
    }

    /// The server with the fewest calls out; then the one expected to be quickest, ties at random.
    fn least(&mut self, ids: &[ServerId], class: usize, shard: u32) -> Option<ServerId> {
        let fewest = ids.iter().map(|id| self.servers[id].calls.len()).min()?;
        let alike = ids.iter().filter(|id| self.servers[*id].calls.len() == fewest);
        let times: Vec<_> = alike.map(|id| (self.expected(*id, class, shard), *id)).collect();
        let quickest = times.iter().map(|t| t.0).fold(f64::MAX, f64::min);
        let ties: Vec<_> = times.iter().filter(|t| t.0 <= ROW_LEFT * quickest).collect();
        Some(ties[self.rng.usize(0..ties.len())].1)
    }

    fn parts_of<'a>(&'a self, query: &'a Query) -> impl Iterator<Item = (PartId, &'a Part)> {
        query.parts.iter().filter_map(|id| Some((*id, self.parts.get(id)?)))
    }

    fn replicas(&self, shard: u32) -> Vec<ServerId> {
        let cells = (0..self.settings.reach).map(|j| (shard + j) % self.settings.cells);
        cells.flat_map(|cell| self.holders[cell as usize].clone()).collect()
    }

    fn dispatch(&mut self, out: &mut Vec<Action>) {
        let mut order: Vec<(bool, bool, Time, u64)> = Vec::new();
        for (&number, query) in &self.queries {
            if !self.late(query) && self.parts_of(query).any(|p| p.1.held) {
                // What can be answered from less gives way until its last step.
                let gives_way = !self.settings.classes[query.class].needs_all() && !query.second;
                order.push((gives_way, !query.started, query.useful, number));
            }
        }
        order.sort_unstable();
        let mut lacking = BTreeSet::new();
        for (_, _, _, number) in order {
            let query = &self.queries[&number];
            // A deadly query kills as its part begins: a scout that lives on proves it. Haste allows none.
            let calls = if self.settings.call_parts > 1 { self.settings.cells as usize } else { usize::MAX };
            let share = query.parts.len().min(calls) as f64 / self.ready.max(1) as f64;
            let enough = (SCOUT_WAIT * share * self.pace[query.class].median) as Time;
            let calm = self.now >= self.doubt_until && share <= COMMON;
            // One whose server has fallen silent proves nothing any more.
            let waits = |s: &Sent| !self.silent(s.server, s.at, s.class);
            let sound = |p: &PartId| self.sends.range((*p, 0)..=(*p, u32::MAX)).any(|s| waits(s.1));
            let scout = query.scout.filter(sound).and_then(|p| self.parts.get(&p));
            let since = scout.and_then(|p| p.first_sent).unwrap_or(self.now);
            let proved = query.done > 0 || query.second || calm && since + enough <= self.now;
            if !proved && (scout.is_some() || self.now < query.wait_until) {
                continue;
            }
            let held = self.parts_of(query).filter(|p| p.1.held);
            let mut held: Vec<_> = held.map(|(id, p)| (id, p.shard, p.weight)).collect();
            held.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
            let class = query.class;
            let most = if query.time < self.settings.classes[class].aim { COMMON } else { WIDE };
            let wide = query.parts.len() > self.settings.reach as usize && share > most;
            let alone = !query.started && !proved && (wide || self.now < self.doubt_until);
            let gang = !query.started && self.settings.classes[class].needs_all();
            let row = if query.started { BTreeMap::new() } else { self.row(class, &held) };
            // A query that needs every part starts only when each has room, so none is left half done.
            let mut off_row = held.iter().filter(|(id, ..)| !row.contains_key(id));
            if gang && off_row.any(|(id, shard, _)| self.other(*id, class, *shard, false).is_none()) {
                lacking.insert(number);
                continue;
            }
            if alone {
                // At a server that is silent or sick it would prove nothing.
                let sound = |p: &(PartId, u32, f64)| {
                    self.replicas(p.1).iter().any(|s| !self.sick(&self.servers[s], class))
                };
                let first = held.iter().position(sound).unwrap_or(0);
                held = vec![held[first]];
                self.timers.insert((self.now + enough, Timer::Beat));
                self.queries.get_mut(&number).expect("in order").scout = Some(held[0].0);
            }
            for (id, shard, _) in held {
                let again = self.parts[&id].again.filter(|s| self.room(*s, class));
                let in_row = again.or(row.get(&id).copied()).filter(|s| self.room(*s, class));
                let mut target = in_row.or_else(|| self.other(id, class, shard, false));
                // A part leaves its row for a holder with no more out that is clearly quicker.
                if again.is_none()
                    && self.settings.reach > 1
                    && let (Some(here), Some(there)) = (target, self.other(id, class, shard, false))
                    && self.servers[&there].calls.len() <= self.servers[&here].calls.len()
                    && self.expected(here, class, shard) > ROW_LEFT * self.expected(there, class, shard)
                {
                    target = Some(there);
                }
                let Some(target) = target else {
                    lacking.insert(number);
                    continue;
                };
                self.send(id, target, out);
            }
        }
        self.lacking = lacking;
    }

    /// The least-loaded row: for each part the server that one offset of the placement rule gives.
    fn row(&mut self, class: usize, held: &[(PartId, u32, f64)]) -> BTreeMap<PartId, ServerId> {
        let mut best = None;
        for offset in 0..self.settings.reach {
            let (mut cells, mut row, mut load) = (BTreeMap::new(), BTreeMap::new(), 0);
            for &(id, shard, _) in held {
                let cell = ((shard + offset) % self.settings.cells) as usize;
                if !cells.contains_key(&cell) || self.settings.call_parts == 1 {
                    let mut free = self.holders[cell].clone();
                    free.retain(|id| self.room(*id, class));
                    let chosen = self.least(&free, class, shard);
                    load += chosen.map_or(0, |id| self.servers[&id].calls.len());
                    cells.insert(cell, chosen);
                }
                row.extend(cells[&cell].map(|server| (id, server)));
            }
            let key = (held.len() - row.len(), load, self.rng.u32(..));
            if best.as_ref().is_none_or(|(least, _)| key < *least) {
                best = Some((key, row));
            }
        }
        best.map(|b| b.1).unwrap_or_default()
    }

    /// A holder off the row, one not yet tried first; idle sick ones only when the shard has no other.
    fn other(&mut self, id: PartId, class: usize, shard: u32, copy: bool) -> Option<ServerId> {
        let mut free = self.replicas(shard);
        let alone = free.len() == 1;
        let idle = |s: &Server| {
            let fits = s.calls.len() as f64 + 1.0 <= if alone { s.limit } else { LEAST_LIMIT };
            fits && (alone || !self.failing(s, FAILING_TRY)) && self.cold_room(s)
        };
        let none = !copy && !free.iter().any(|id| self.room(*id, class));
        free.retain(|id| if none { idle(&self.servers[id]) } else { self.room(*id, class) });
        let tried = self.parts.get(&id).map_or(&[][..], |p| &p.tried);
        let untried: Vec<_> = free.iter().copied().filter(|s| !tried.contains(s)).collect();
        self.least(if copy || !untried.is_empty() { &untried } else { &free }, class, shard)
    }

    fn send(&mut self, id: PartId, target: ServerId, out: &mut Vec<Action>) -> bool {
        let Some(part) = self.parts.get(&id) else { return false };
        let Some(query) = self.queries.get(&part.number) else { return false };
        let c = &self.settings.classes[query.class];
        let (attempt, first) = (part.attempts, part.attempts == 0);
        let alone = part.live.is_empty();
        let may_repeat = match c.effect {
            Effect::Safe => true,
            Effect::Keyed => alone && part.may_have_run.is_none_or(|at| self.now < at + c.key_lifetime),
            Effect::Unsafe => alone && part.may_have_run.is_none(),
        };
        let over = part.attempts >= c.max_attempts || !first && !may_repeat;
        if over || !(alone || self.settings.second_copies) || !first && !self.budget_left(0.0) {
            self.parts.get_mut(&id).expect("looked up above").held &= !over; // a lack of budget passes
            return false;
        }
        let (number, shard, class, until) = (part.number, part.shard, query.class, query.useful);
        let breaking = self.breaking();
        let Some(server) = self.servers.get_mut(&target) else { return false };
        // While idle connections break, one idle for as long is closed first, and a new one made.
        let used = if server.calls.is_empty() { server.used } else { 0 };
        let mut idle = if used > 0 { self.now - used } else { 0 };
        if breaking && idle as f64 > STALE * self.stale.0 as f64 {
            idle = 0;
            out.push(Action::Close(target));
        }
        // Calls are numbered from the turn's time on, so that the sends of one turn share them.
        let mut call = self.now;
        while server.calls.get(&call).is_some_and(|parts| *parts >= self.settings.call_parts) {
            call += 1;
        }
        *server.calls.entry(call).or_insert(0) += 1;
        server.sent.push_front(self.now);
        server.sent.truncate(4 * WINDOW);
        let part = self.parts.get_mut(&id).expect("looked up above");
        part.attempts += 1;
        part.live.push(attempt);
        part.tried.push(target);
        part.held = false;
        if first {
            part.first_sent = Some(self.now);
            self.tokens = (self.tokens + COPY_SHARE).min(COPY_SAVED);
            if self.settings.classes[class].effect == Effect::Safe && self.settings.second_copies {
                let first = self.pace[class].p95.min(SILENT * self.tries[class].p95);
                self.timers.insert((self.now + first as Time, Timer::Copy(id)));
            }
        } else if self.settings.budget.is_some() {
            self.extras.push_back(self.now);
        }
        let query = self.queries.get_mut(&number).expect("looked up above");
        query.started = query.scout != Some(id) || query.second;
        let (server, at, lost) = (target, self.now, false);
        self.sends.insert((id, attempt), Sent { server, at, call, class, shard, idle, lost });
        out.push(Action::Send { part: id, server: target, until });
        true
    }

    /// One copy of a part pending at its timer; without an allowance only once its server is found silent.
    fn copy(&mut self, id: PartId, out: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id) else { return };
        let Some(query) = self.queries.get(&part.number) else { return };
        let late = self.now as f64 + self.pace[query.class].median > query.useful as f64;
        if part.done || part.held || part.live.len() != 1 || late {
            return;
        }
        let (class, shard) = (query.class, part.shard);
        let Some(sent) = self.sends.get(&(id, part.live[0])) else { return };
        let rescue = !self.common && self.silent(sent.server, sent.at, class);
        // While parts wait for room a copy would only push them back: all servers are slow, or too few.
        let waits = [self.pace[class].p95, SILENT * self.tries[class].p95].map(|wait| sent.at + wait as Time);
        // A wide query's last parts are worth a copy whatever was saved up: all its other work hangs on them.
        let spare = COPY_SHARE * query.expected as f64;
        let last = spare >= 2.0 && (query.expected - query.done) as f64 <= spare;
        let free = (last || self.tokens >= 1.0) && self.lacking.is_empty() && self.budget_left(BUDGET_KEPT);
        if !(rescue || free && self.now >= waits[0]) {
            let next = waits.into_iter().filter(|at| *at > self.now).min();
            self.timers.extend(next.map(|at| (at, Timer::Copy(id))));
            return;
        }
        if let Some(target) = self.other(id, class, shard, true)
            && self.send(id, target, out)
        {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
    }

    /// Whether the told budget has room for one more attempt after leaving `kept` of it.
    fn budget_left(&self, kept: f64) -> bool {
        let Some(budget) = self.settings.budget else { return true };
        let all = budget.free as f64 + budget.ratio * self.taken.len() as f64;
        self.extras.len() as f64 + 1.0 <= all * (1.0 - kept)
    }
}
