//! What is known of servers: how slow each is, whether it fails, is sick or silent, and what of
//! that outlives a restart.

use super::*;

impl Aggregator {
    /// What was learned: of so many servers judged since last told of (noted from the first call
    /// on), and of classes.
    pub fn learned(&mut self, most: usize) -> Learned {
        let server = |id| {
            let s: &Server = self.servers.get(&id)?;
            let slowness = s.slowness.iter().map(|s| s.0).collect();
            let (delay, limit, errors) = (s.delay, s.limit, s.errors);
            Some((
                id,
                ServerMemory {
                    slowness,
                    delay,
                    limit,
                    errors,
                    answers: s.judged,
                },
            ))
        };
        let mut touched = self.touched.take().unwrap_or_default();
        let servers = (0..most)
            .map_while(|_| touched.pop_first())
            .filter_map(server)
            .collect();
        self.touched = Some(touched);
        let pace = |p: &Pace| PaceMemory {
            median: p.median,
            p95: p.p95,
            least: p.least,
            answers: p.recent.len(),
        };
        let [parts, tries] = [&self.pace, &self.tries].map(|all| all.iter().map(pace).collect());
        Learned {
            servers,
            parts,
            tries,
        }
    }

    /// Takes what an earlier life had learned. It only warns: no server is held to be better than a
    /// new one. Held to be judged an aim ago, so that the first answers that say otherwise count
    /// double.
    pub(super) fn recall(&mut self, learned: &Learned) {
        let at = self.now.saturating_sub(self.aim);
        for (id, memory) in &learned.servers {
            let Some(server) = self.servers.get_mut(id).filter(|s| s.judged == 0.0) else {
                continue;
            };
            for (own, slowness) in server.slowness.iter_mut().zip(&memory.slowness) {
                *own = (slowness.clamp(1.0, FAILURE), at);
            }
            server.limit = memory.limit.clamp(LEAST_LIMIT, server.limit);
            server.delay = memory.delay.clamp(0.0, 1.0);
            (server.errors, server.erred) = (memory.errors.clamp(0.0, 1.0), at);
        }
        for (own, told) in [
            (&mut self.pace, &learned.parts),
            (&mut self.tries, &learned.tries),
        ] {
            let new = own
                .iter_mut()
                .zip(told)
                .filter(|(own, told)| own.recent.is_empty() && told.answers > 0);
            for (own, told) in new {
                (own.median, own.p95, own.least) =
                    (told.median.max(1.0), told.p95.max(1.0), told.least.max(1.0));
            }
        }
    }

    /// How long a probe waited. Reports of load say no more of a server than its answers do, so
    /// none is read.
    pub(super) fn probed(&mut self, id: ServerId, outcome: Outcome, took: Time) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        (server.seen, server.busy) = (self.now, if outcome == Outcome::Ok { 1.0 } else { FAILURE });
        server.busy += (took / (PROBE_WAIT * self.settings.tick).max(1)) as f64;
    }

    /// Where evidence is thin and answers slow, probes two holders of each shard; the query waits
    /// some ticks. A probe dearer than the work that a bad choice loses is not worth its answer: of
    /// many aggregators all have thin evidence.
    pub(super) fn probe(&mut self, out: &mut Vec<Action>) {
        let s = &self.settings;
        let tight =
            |q: &Query| self.pace[q.class].p95 > START_SHARE * s.classes[q.class].aim as f64;
        let new = self
            .queries
            .iter()
            .filter(|q| q.1.wait_until == 0 && tight(q.1));
        let probing = s.probes && s.probe_price <= s.waste_price && self.answers.len() < self.ready;
        let new: Vec<u64> = new.map(|q| *q.0).filter(|_| probing).collect();
        for number in new {
            let query = self.queries.get_mut(&number).expect("listed above");
            query.wait_until = self.now + PROBE_WAIT * self.settings.tick;
            self.timers.set(query.wait_until, Timer::Beat);
            let (class, parts) = (query.class, query.parts.clone());
            for shard in parts
                .iter()
                .filter_map(|p| self.parts.get(p))
                .map(|p| p.shard)
                .collect::<Vec<_>>()
            {
                let mut free = self.replicas(shard);
                free.retain(|id| self.room(*id, class));
                self.rng.shuffle(&mut free);
                for id in free.into_iter().take(2) {
                    let server = self.servers.get_mut(&id).expect("a replica is known");
                    if self.now
                        > server.seen.max(server.probed) + (PROBE_GOOD * self.aim as f64) as Time
                    {
                        server.probed = self.now;
                        out.push(Action::Probe(id));
                    }
                }
            }
        }
    }

    /// How long a part may take: by slowness, a probe, the last answers less what drained, what is
    /// out now
    pub(super) fn expected(&self, id: ServerId, class: usize, shard: u32) -> f64 {
        let s = &self.servers[&id];
        let fresh = self.aim / 2;
        let base = self.slowness(s, class) * self.pace[class].median;
        let probed = match s.seen {
            seen if s.probed > seen && self.now > s.probed + PROBE_WAIT * self.settings.tick => {
                3.0 + s.busy
            }
            seen if seen > 0 && seen + fresh / 2 > self.now => 1.0 + s.busy,
            _ => 2.0,
        };
        let own = if s.took.1 + fresh > self.now {
            Some(&s.took)
        } else {
            self.shards.get(&shard)
        };
        let own = own.map_or(0.0, |took| drained(*took, self.now));
        let out_for = self.oldest.get(&id).map_or(0, |o| self.now - o.0);
        (base * probed / 2.0).max(own).max(out_for as f64)
    }

    /// What an ended attempt says of its server.
    pub(super) fn judge(&mut self, sent: &Sent, outcome: Outcome, took: Time) {
        let (aim, now, common) = (
            self.settings.classes[sent.class].aim,
            self.now,
            self.peers[sent.class],
        );
        let ratio = (took as f64 / self.pace[sent.class].median).min(FAILURE);
        let Some(server) = self.servers.get_mut(&sent.server) else {
            return;
        };
        server.answered = if matches!(outcome, Outcome::Ok | Outcome::Error) {
            now
        } else {
            server.answered
        };
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
                    (server.limit, server.cut_at) =
                        ((server.limit * LIMIT_CUT).max(LEAST_LIMIT), now);
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
            Outcome::Cancelled | Outcome::TimedOut if ratio > server.slowness[sent.class].0 => {
                ratio
            }
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
    pub(super) fn breaking(&self) -> bool {
        self.stale.0 > 0 && self.now < self.stale.1 + (FADE * self.aim as f64) as Time
    }

    /// A server's slowness as far as it is still known.
    pub(super) fn slowness(&self, server: &Server, class: usize) -> f64 {
        let (slowness, at) = server.slowness[class];
        1.0 + (slowness - 1.0) * (1.0 - (self.now - at) as f64 / (FADE * self.aim as f64)).max(0.0)
    }

    /// Whether a server fails what it is sent and was tried less than this share of the least aim
    /// ago.
    pub(super) fn failing(&self, server: &Server, share: f64) -> bool {
        let again = server.erred + (share * self.aim as f64) as Time;
        server.errors > FAILING && (self.now < again || !server.calls.is_empty())
    }

    pub(super) fn sick(&self, server: &Server, class: usize) -> bool {
        self.slowness(server, class) > SICK.max(2.0 * self.peers[class])
    }

    /// Looks over what is out: the oldest part at each server, the median peer, and who is silent.
    pub(super) fn survey(&mut self) {
        self.oldest.clear();
        for sent in self.sends.values() {
            let oldest = self
                .oldest
                .entry(sent.server)
                .or_insert((sent.at, sent.class));
            *oldest = (sent.at, sent.class).min(*oldest);
        }
        let silent = self
            .oldest
            .iter()
            .filter(|(id, (at, class))| self.silent(**id, *at, *class))
            .count();
        self.common = silent as f64 > COMMON * self.ready as f64;
        for class in 0..self.peers.len() {
            let ready = self.servers.values().filter(|s| s.ready);
            let mut peers: Vec<f64> = ready.map(|s| self.slowness(s, class)).collect();
            peers.sort_by(f64::total_cmp);
            self.peers[class] = peers.get(peers.len() / 2).copied().unwrap_or(1.0);
        }
    }

    /// Whether a server has answered nothing since a part went out to it, for long.
    pub(super) fn silent(&self, id: ServerId, at: Time, class: usize) -> bool {
        let quiet = self.servers.get(&id).is_some_and(|s| s.answered < at);
        quiet && (self.now - at) as f64 >= SILENT * self.tries[class].p95
    }
}
