//! Health checks by one owner for the whole fleet: which suspected hosts the owner checks when, and
//! how a gatherer uses the published verdicts.

use crate::{Time, Token};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;

/// The bounds of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// The time between two checks of one host.
    pub period: Time,
    /// How long a verdict can stand in for a check by the gatherer itself.
    pub verdict_ttl: Time,
    /// The largest number of hosts that are suspected at once.
    pub max_suspects: usize,
    /// The number of successful checks in a row after which a host is no longer suspected.
    pub healthy_threshold: u32,
}

/// The result of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// The owner's fencing token.
    pub token: Token,
    /// The number of the check under that token. It makes every verdict a change of the store, also
    /// where the result is the same.
    pub sequence: u64,
    /// Whether the host answered correctly.
    pub healthy: bool,
    /// How long the check took.
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

    /// Reads the stored form; `None` if it is not a verdict.
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
    /// What is to be published.
    pub verdict: Verdict,
    /// Whether the host is no longer suspected.
    pub cleared: bool,
}

/// The owner's schedule of checks. At most one check per host is in flight.
#[derive(Debug, Default)]
pub struct Scheduler {
    suspects: BTreeMap<String, Suspect>,
    sequence: u64,
}

impl Scheduler {
    /// Replaces the set of suspected hosts. Hosts that stay keep their schedule; hosts that are
    /// missing are forgotten.
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

    /// The next host to be checked now.
    pub fn due(&self, now: Time) -> Option<&str> {
        let (name, _) = self
            .suspects
            .iter()
            .find(|(_, suspect)| !suspect.in_flight && suspect.due <= now)?;
        Some(name)
    }

    /// When the next check is due.
    pub fn due_at(&self) -> Option<Time> {
        self.suspects
            .values()
            .filter(|suspect| !suspect.in_flight)
            .map(|suspect| suspect.due)
            .min()
    }

    /// A check of this host was sent.
    pub fn start(&mut self, name: &str) {
        if let Some(suspect) = self.suspects.get_mut(name) {
            suspect.in_flight = true;
        }
    }

    /// A check of this host has finished. `None` if the host is no longer suspected.
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

    /// Forgets all suspects, as the role has moved to another owner.
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
    /// The owner's lease was renewed or granted under this token.
    pub fn observe_token(&mut self, token: Token) {
        self.token = self.token.max(token);
    }

    /// A verdict was published. Returns `false`, and counts it, if its token is stale.
    pub fn observe(&mut self, name: &str, verdict: Verdict, now: Time) -> bool {
        if verdict.token < self.token {
            self.rejected += 1;
            return false;
        }
        self.token = verdict.token;
        // A verdict that is seen again keeps its age.
        let is_known = self.verdicts.get(name).is_some_and(|known| {
            known.verdict.token == verdict.token && known.verdict.sequence == verdict.sequence
        });
        if !is_known {
            self.verdicts
                .insert(name.to_owned(), Received { verdict, at: now });
        }
        true
    }

    /// Drops the verdicts on hosts for which `is_present` is false.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.verdicts.retain(|name, _| is_present(name));
    }

    /// The verdict that can stand in for a check by this gatherer, with its weight: 1 when it has
    /// just arrived, falling linearly to 0 at [`Config::verdict_ttl`].
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
