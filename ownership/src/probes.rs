//! Probing by one for all: which suspected hosts the owner probes when, and what a gatherer makes
//! of the verdicts.

use crate::{Time, Token};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;

/// Times and numbers that a deployment states.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Between two probes of one host by its owner.
    pub period: Time,
    /// How old a verdict may be to stand for a probe.
    pub good_for: Time,
    /// Suspects that are held at once.
    pub suspects: usize,
    /// Sound probes in a row after which a host is suspected no more.
    pub enough: u32,
}

/// What came of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// The owner's token.
    pub token: Token,
    /// Which probe of that owner it was, so that each is a change of its own.
    pub number: u64,
    /// Whether the host answered, and well.
    pub sound: bool,
    /// How long that took.
    pub took: Time,
}

impl Verdict {
    /// The verdict as JSON.
    pub fn json(&self) -> Json {
        json!({"token": self.token.json(), "number": self.number, "sound": self.sound, "took": self.took})
    }

    /// A verdict from its text.
    pub fn read(text: &str) -> Option<Verdict> {
        let json: Json = serde_json::from_str(text).ok()?;
        let (number, took) = (json["number"].as_u64()?, json["took"].as_u64()?);
        Some(Verdict {
            token: Token::read(&json["token"])?,
            number,
            sound: json["sound"].as_bool()?,
            took,
        })
    }
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    due: Time,
    out: bool,
    sound: u32,
}

/// The owner's round over those that are suspected.
#[derive(Debug, Default)]
pub struct Round {
    suspects: BTreeMap<String, Suspect>,
    number: u64,
}

impl Round {
    /// Those that are suspected now, and may be probed; others are forgotten.
    pub fn suspects<'a>(
        &mut self,
        names: impl Iterator<Item = &'a str>,
        bounds: &Bounds,
        now: Time,
    ) {
        let mut before = std::mem::take(&mut self.suspects);
        for name in names.take(bounds.suspects) {
            let new = Suspect {
                due: now,
                out: false,
                sound: 0,
            };
            let one = before.remove(name).unwrap_or(new);
            self.suspects.insert(name.to_owned(), one);
        }
    }

    /// Who is to be probed now; each is out until its verdict comes, so that no owner has two at
    /// one host.
    pub fn due(&self, now: Time) -> Option<&str> {
        let waits = self
            .suspects
            .iter()
            .find(|(_, one)| !one.out && one.due <= now);
        waits.map(|(name, _)| name.as_str())
    }

    /// When the next is.
    pub fn due_at(&self) -> Option<Time> {
        self.suspects
            .values()
            .filter(|one| !one.out)
            .map(|one| one.due)
            .min()
    }

    /// A probe has gone out.
    pub fn sent(&mut self, name: &str) {
        if let Some(one) = self.suspects.get_mut(name) {
            one.out = true;
        }
    }

    /// A probe has ended: what is to be published, and whether the host is suspected no more.
    pub fn ended(
        &mut self,
        name: &str,
        token: Token,
        sound: bool,
        took: Time,
        bounds: &Bounds,
        now: Time,
    ) -> Option<(Verdict, bool)> {
        let one = self.suspects.get_mut(name)?;
        (one.out, one.due) = (false, now.saturating_add(bounds.period));
        one.sound = if sound { one.sound + 1 } else { 0 };
        let cleared = one.sound >= bounds.enough;
        if cleared {
            self.suspects.remove(name);
        }
        self.number += 1;
        Some((
            Verdict {
                token,
                number: self.number,
                sound,
                took,
            },
            cleared,
        ))
    }

    /// The work is another's now.
    pub fn clear(&mut self) {
        self.suspects.clear();
    }

    /// How many are suspected.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}

/// Verdicts as one gatherer has seen them.
#[derive(Debug, Default)]
pub struct Verdicts {
    all: BTreeMap<String, (Verdict, Time)>,
    token: Token,
    refused: u64,
}

impl Verdicts {
    /// The highest token that probing was heard of under.
    pub fn signed(&mut self, token: Token) {
        self.token = self.token.max(token);
    }

    /// A verdict was published; one of an owner of before is refused and counted.
    pub fn published(&mut self, name: &str, verdict: Verdict, now: Time) -> bool {
        if verdict.token < self.token {
            self.refused += 1;
            return false;
        }
        self.token = verdict.token;
        let known = self
            .all
            .get(name)
            .map(|(known, _)| (known.token, known.number));
        if known != Some((verdict.token, verdict.number)) {
            self.all.insert(name.to_owned(), (verdict, now));
        }
        true
    }

    /// Hosts whose verdicts are gone from the store.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.all.retain(|name, _| is_there(name));
    }

    /// What may stand for a probe of this gatherer's own, and how much it weighs: 1 when it has
    /// just come, 0 at the end of its time. What is older is nothing.
    pub fn stands_for(&self, name: &str, bounds: &Bounds, now: Time) -> Option<(Verdict, f64)> {
        let (verdict, at) = self.all.get(name)?;
        let age = now.saturating_sub(*at);
        (age < bounds.good_for).then(|| (*verdict, 1.0 - age as f64 / bounds.good_for as f64))
    }

    /// How many came under an old token.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

#[cfg(test)]
mod tests;
