//! Health checks by one owner for the whole fleet: the owner's schedule for suspected hosts, and
//! the use of published verdicts by the other gatherers.

use crate::{Time, Token};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;

/// Configuration of the health checks.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// The interval between two checks of a host.
    pub period: Time,
    /// How long a verdict can replace a check by the gatherer itself.
    pub verdict_ttl: Time,
    /// The maximum number of suspected hosts.
    pub max_suspects: usize,
    /// The number of consecutive successful checks that clear a host of suspicion.
    pub healthy_threshold: u32,
}

/// The result of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// The owner's fencing token.
    pub token: Token,
    /// The sequence number of the check under that token. The number makes every verdict a change
    /// of the store, even if the result is the same.
    pub sequence: u64,
    /// Whether the host answered correctly.
    pub healthy: bool,
    /// The duration of the check.
    pub latency: Time,
}

impl Verdict {
    /// The stored form.
    pub fn to_json(&self) -> Json {
        json!({
            "token": self.token.to_json(),
            "number": self.sequence,
            "sound": self.healthy,
            "took": self.latency,
        })
    }

    /// Parses the stored form; `None` if `text` is not a verdict.
    pub fn parse(text: &str) -> Option<Verdict> {
        let json: Json = serde_json::from_str(text).ok()?;
        Some(Verdict {
            token: Token::from_json(&json["token"])?,
            sequence: json["number"].as_u64()?,
            healthy: json["sound"].as_bool()?,
            latency: json["took"].as_u64()?,
        })
    }
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    due: Time,
    in_flight: bool,
    successes: u32,
}

/// A finished check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finished {
    /// The verdict to publish.
    pub verdict: Verdict,
    /// Whether the check cleared the host of suspicion.
    pub cleared: bool,
}

/// The owner's schedule of checks. At most one check per host is in flight.
#[derive(Debug, Default)]
pub struct Scheduler {
    suspects: BTreeMap<String, Suspect>,
    sequence: u64,
}

impl Scheduler {
    /// Replaces the set of suspected hosts. Hosts in both sets keep their schedule.
    pub fn set_suspects<'a>(
        &mut self,
        names: impl Iterator<Item = &'a str>,
        config: &Config,
        now: Time,
    ) {
        let mut before = std::mem::take(&mut self.suspects);
        for name in names.take(config.max_suspects) {
            let suspect = before.remove(name).unwrap_or(Suspect {
                due: now,
                in_flight: false,
                successes: 0,
            });
            self.suspects.insert(name.to_owned(), suspect);
        }
    }

    /// A host that is due for a check.
    pub fn due(&self, now: Time) -> Option<&str> {
        let (name, _) = self
            .suspects
            .iter()
            .find(|(_, suspect)| !suspect.in_flight && suspect.due <= now)?;
        Some(name)
    }

    /// The time of the next check.
    pub fn due_at(&self) -> Option<Time> {
        self.suspects
            .values()
            .filter(|suspect| !suspect.in_flight)
            .map(|suspect| suspect.due)
            .min()
    }

    /// Records that a check of this host was sent.
    pub fn start(&mut self, name: &str) {
        if let Some(suspect) = self.suspects.get_mut(name) {
            suspect.in_flight = true;
        }
    }

    /// Records the result of a check. `None` if the host is no longer suspected.
    pub fn finish(
        &mut self,
        name: &str,
        token: Token,
        healthy: bool,
        latency: Time,
        config: &Config,
        now: Time,
    ) -> Option<Finished> {
        let suspect = self.suspects.get_mut(name)?;
        suspect.in_flight = false;
        suspect.due = now.saturating_add(config.period);
        suspect.successes = if healthy { suspect.successes + 1 } else { 0 };
        let cleared = suspect.successes >= config.healthy_threshold;
        if cleared {
            self.suspects.remove(name);
        }
        self.sequence += 1;
        let verdict = Verdict {
            token,
            sequence: self.sequence,
            healthy,
            latency,
        };
        Some(Finished { verdict, cleared })
    }

    /// Removes all suspects; called when the role has moved to another owner.
    pub fn clear(&mut self) {
        self.suspects.clear();
    }

    /// The number of suspected hosts.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no host is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}

#[derive(Debug, Clone, Copy)]
struct Received {
    verdict: Verdict,
    at: Time,
}

/// The verdicts that one gatherer has received.
#[derive(Debug, Default)]
pub struct VerdictCache {
    verdicts: BTreeMap<String, Received>,
    /// The highest token seen.
    token: Token,
    rejected: u64,
}

impl VerdictCache {
    /// Records that the owner's lease was granted or renewed under this token.
    pub fn observe_token(&mut self, token: Token) {
        self.token = self.token.max(token);
    }

    /// Handles a published verdict. A verdict with a stale token is counted and returns `false`.
    pub fn observe(&mut self, name: &str, verdict: Verdict, now: Time) -> bool {
        if verdict.token < self.token {
            self.rejected += 1;
            return false;
        }
        self.token = verdict.token;
        // A verdict that is received again keeps its age.
        let is_known = self.verdicts.get(name).is_some_and(|known| {
            known.verdict.token == verdict.token && known.verdict.sequence == verdict.sequence
        });
        if !is_known {
            self.verdicts
                .insert(name.to_owned(), Received { verdict, at: now });
        }
        true
    }

    /// Keeps only the verdicts on hosts for which `is_present` is true.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.verdicts.retain(|name, _| is_present(name));
    }

    /// The verdict that can replace a check by this gatherer, with its weight: 1 on arrival,
    /// falling linearly to 0 at [`Config::verdict_ttl`].
    pub fn weighted(&self, name: &str, config: &Config, now: Time) -> Option<(Verdict, f64)> {
        let received = self.verdicts.get(name)?;
        let age = now.saturating_sub(received.at);
        let weight = || 1.0 - age as f64 / config.verdict_ttl as f64;
        (age < config.verdict_ttl).then(|| (received.verdict, weight()))
    }

    /// The number of verdicts that were rejected for a stale token.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

#[cfg(test)]
mod tests;
