//! Sends attempts, and records how attempts and probes end.

use super::Core;
use super::ports::{Answer, AttemptId, FailureReason, Hosts, Outgoing, Value};
use super::state::Attempt;
use dispatch::interface::{Effect, Event, LoadReport, Outcome, PartId, QueryId, ServerId, Time};

/// Adds a part to the call for its host.
pub(super) fn add_to_call(
    calls: &mut Vec<(ServerId, Vec<Outgoing>)>,
    host: ServerId,
    part: Outgoing,
) {
    match calls.iter_mut().find(|(to, _)| *to == host) {
        Some((_, parts)) => parts.push(part),
        None => calls.push((host, vec![part])),
    }
}

impl Core {
    /// Records that the last byte of an attempt's message was written, so that the host may run it.
    pub fn mark_written(&mut self, attempt: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&attempt) {
            attempt.written = true;
        }
    }

    /// Records the answer to an attempt.
    pub fn attempt_served(&mut self, attempt: AttemptId, value: Value, now: Time) {
        if self.attempts.contains_key(&attempt)
            && let Some(part) = self.parts.get_mut(&attempt.part)
        {
            part.value.get_or_insert(value);
        }
        self.attempt_ended(attempt, Outcome::Ok, now);
    }

    /// Ends an attempt. Later calls for the same attempt are ignored: the dispatcher counts
    /// attempts in flight, so it must see exactly one end of each.
    pub fn attempt_ended(&mut self, id: AttemptId, outcome: Outcome, now: Time) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.timeouts.remove(&(attempt.until, id));
        tracing::debug!(
            part = id.part,
            number = id.number,
            host = attempt.host.0,
            ?outcome,
            "attempt ended"
        );
        self.events.push(Event::AttemptEnded {
            part: PartId(id.part),
            attempt: id.number,
            server: attempt.host,
            outcome,
            took: now.saturating_sub(attempt.sent),
            load: LoadReport::default(),
        });
    }

    /// Ends an attempt whose connection broke or was closed. If the message was written completely,
    /// the host may have run it; otherwise it cannot have.
    pub fn connection_broken(&mut self, attempt: AttemptId, now: Time) {
        self.attempt_interrupted(attempt, Outcome::Reset, now);
    }

    /// Like [`Self::connection_broken`], with a more specific `outcome` for an attempt that the
    /// host may have run.
    pub fn attempt_interrupted(&mut self, attempt: AttemptId, outcome: Outcome, now: Time) {
        let written = self.attempts.get(&attempt).is_some_and(|a| a.written);
        self.attempt_ended(
            attempt,
            if written {
                outcome
            } else {
                Outcome::ConnectFailed
            },
            now,
        );
    }

    /// Reports the end of a probe to the dispatcher.
    pub fn probe_ended(&mut self, host: ServerId, outcome: Outcome, now: Time) {
        if let Some(sent) = self.probes.remove(&host) {
            let took = now.saturating_sub(sent);
            self.events.push(Event::ProbeEnded {
                server: host,
                outcome,
                took,
                load: LoadReport::default(),
            });
        }
    }

    pub(super) fn expire(&mut self, now: Time, ports: &mut impl Hosts) {
        while let Some(&(at, id)) = self.timeouts.first()
            && at <= now
        {
            self.timeouts.pop_first();
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            let outcome = if attempt.written {
                Outcome::TimedOut
            } else {
                Outcome::ConnectFailed
            };
            ports.cancel(attempt.host, id);
            self.attempt_ended(id, outcome, now);
        }
        let late: Vec<ServerId> = self
            .probes
            .iter()
            .filter(|p| *p.1 + self.limits.probe <= now)
            .map(|p| *p.0)
            .collect();
        for host in late {
            self.probe_ended(host, Outcome::TimedOut, now);
        }
        // The dispatcher should end each query before its deadline; this is the safeguard.
        while let Some(&(at, number)) = self.deadlines.first()
            && at <= now
        {
            self.deadlines.pop_first();
            if let Some(query) = self.finish(number, Answer::Failed(FailureReason::TimeUp), now) {
                tracing::warn!(
                    query = &*query.name,
                    "query failed: no decision before its deadline"
                );
                self.events.push(Event::ClientLeft {
                    id: QueryId(number),
                });
            }
        }
    }

    pub(super) fn send(
        &mut self,
        number: u64,
        host: ServerId,
        until: Time,
        now: Time,
        calls: &mut Vec<(ServerId, Vec<Outgoing>)>,
    ) {
        let Some(part) = self.parts.get_mut(&number) else {
            return;
        };
        let Some(query) = self.queries.get_mut(&part.query) else {
            return;
        };
        let id = AttemptId {
            part: number,
            number: part.attempts,
        };
        part.attempts += 1;
        let until = if until == 0 {
            query.deadline
        } else {
            until.min(query.deadline)
        };
        self.attempts.insert(
            id,
            Attempt {
                host,
                sent: now,
                until,
                written: false,
            },
        );
        let class = &self.settings.classes[query.class];
        // After the key's lifetime an index host no longer recognises a retry as a duplicate.
        let first_sent = *part.first_sent.get_or_insert(now);
        let repeatable_until = match class.effect {
            Effect::Keyed if id.number > 0 => first_sent + class.key_lifetime,
            _ => Time::MAX,
        };
        let exhausted = part.value.is_some() || part.attempts > class.max_attempts;
        if exhausted || until.min(repeatable_until) <= now {
            self.attempt_ended(id, Outcome::Skipped, now);
            return;
        }
        query.attempts += 1;
        self.timeouts.insert((until, id));
        let first_step = query.first_step.as_ref();
        let outgoing = Outgoing {
            id,
            name: format!(
                "{}.{}{}",
                query.name,
                part.shard,
                if first_step.is_some() { ".r" } else { "" }
            ),
            shard: part.shard,
            until,
            not_after: repeatable_until,
            key: query.key.clone(),
            from: first_step.map(|first| first.shards.clone()),
            text: query.text.clone(),
            first_step_complete: first_step.map(|first| first.complete),
        };
        // The index hosts end the first step when the first part of the second arrives. A host that
        // has not learned of that yet would reject its part, so the other parts are sent one turn
        // later.
        if query.first_step.is_some() {
            let (first_host, at) = *query.second_step_opened.get_or_insert((host, now));
            if at == now && first_host != host {
                self.delayed.push((host, outgoing));
                return;
            }
        }
        add_to_call(calls, host, outgoing);
    }
}
