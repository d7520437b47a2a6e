//! Work in steps, with its place in the store: begun steps are counted, and an owner that comes
//! after another goes on where that one was.

use crate::Token;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fmt;

/// How often a step may be begun and not ended before it is left to an operator.
pub const TRIES: u64 = 3;

/// One step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Has all gatherers switch to a proposal.
    Activate(u64),
    /// Has these gatherers end in order, to be started again by whoever does that.
    Restart(Vec<String>),
}

impl Step {
    fn json(&self) -> Json {
        match self {
            Step::Activate(proposal) => json!({"activate": proposal}),
            Step::Restart(names) => json!({"restart": names}),
        }
    }

    fn read(json: &Json) -> Option<Step> {
        if let Some(proposal) = json["activate"].as_u64() {
            return Some(Step::Activate(proposal));
        }
        let names = json["restart"]
            .as_array()?
            .iter()
            .map(|name| name.as_str().map(str::to_owned));
        Some(Step::Restart(names.collect::<Option<_>>()?))
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Activate(proposal) => write!(f, "activate proposal {proposal}"),
            Step::Restart(names) => write!(f, "restart {}", names.join(", ")),
        }
    }
}

/// How a job stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stands {
    /// It is worked on.
    Open,
    /// It waits for an operator, as something is not as it should be.
    Paused(String),
    /// It waits for an operator, as whoever took it came to grief.
    Parked(String),
    /// Every step is done.
    Done,
    /// An operator has called it off.
    Cancelled,
}

impl Stands {
    fn json(&self) -> Json {
        match self {
            Stands::Open => json!("open"),
            Stands::Paused(why) => json!({"paused": why}),
            Stands::Parked(why) => json!({"parked": why}),
            Stands::Done => json!("done"),
            Stands::Cancelled => json!("cancelled"),
        }
    }

    fn read(json: &Json) -> Option<Stands> {
        Some(match json.as_str() {
            Some("open") => Stands::Open,
            Some("done") => Stands::Done,
            Some("cancelled") => Stands::Cancelled,
            Some(_) => return None,
            None => match (json["paused"].as_str(), json["parked"].as_str()) {
                (Some(why), _) => Stands::Paused(why.to_owned()),
                (_, Some(why)) => Stands::Parked(why.to_owned()),
                _ => return None,
            },
        })
    }
}

impl fmt::Display for Stands {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Stands::Open => f.write_str("open"),
            Stands::Paused(why) => write!(f, "paused: {why}"),
            Stands::Parked(why) => write!(f, "parked: {why}"),
            Stands::Done => f.write_str("done"),
            Stands::Cancelled => f.write_str("called off"),
        }
    }
}

/// A job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Its steps.
    pub steps: Vec<Step>,
    /// The place: so many steps are done.
    pub at: usize,
    /// How often the present step was begun.
    pub tries: u64,
    /// By whom last.
    pub by: Option<Token>,
    /// Of the present step: which gatherers were told to end, and in which life.
    pub ordered: BTreeMap<String, u64>,
    /// How many gatherers may be out of service at once.
    pub out: usize,
    /// How it stands.
    pub stands: Stands,
}

impl Job {
    /// A job that nobody has begun.
    pub fn new(steps: Vec<Step>, out: usize) -> Job {
        Job {
            steps,
            at: 0,
            tries: 0,
            by: None,
            ordered: BTreeMap::new(),
            out,
            stands: Stands::Open,
        }
    }

    /// The step that it stands before.
    pub fn step(&self) -> Option<&Step> {
        self.steps
            .get(self.at)
            .filter(|_| self.stands == Stands::Open)
    }

    /// The job with its present step begun by this owner. After one that gave the work up in order
    /// that is no new attempt.
    pub fn begun(&self, by: Token, orderly: bool) -> Job {
        let tries = if orderly {
            self.tries.max(1)
        } else {
            self.tries + 1
        };
        let mut job = Job {
            tries,
            by: Some(by),
            ..self.clone()
        };
        if tries > TRIES {
            let step = self
                .steps
                .get(self.at)
                .map_or(String::new(), ToString::to_string);
            job.stands =
                Stands::Parked(format!("`{step}` was begun {TRIES} times and never ended"));
        }
        job
    }

    /// The job with its present step done.
    pub fn advanced(&self) -> Job {
        let at = self.at + 1;
        let stands = if at >= self.steps.len() {
            Stands::Done
        } else {
            Stands::Open
        };
        Job {
            at,
            tries: 0,
            by: None,
            ordered: BTreeMap::new(),
            stands,
            ..self.clone()
        }
    }

    /// The job as it stands otherwise. One that goes on has its attempts counted anew.
    pub fn stood(&self, stands: Stands) -> Job {
        let tries = if stands == Stands::Open {
            0
        } else {
            self.tries
        };
        Job {
            stands,
            tries,
            by: None,
            ..self.clone()
        }
    }

    /// The job as JSON.
    pub fn json(&self) -> Json {
        let steps: Vec<Json> = self.steps.iter().map(Step::json).collect();
        json!({"steps": steps, "at": self.at, "tries": self.tries, "by": self.by.map(Token::json), "ordered": self.ordered,
               "out": self.out, "stands": self.stands.json()})
    }

    /// A job from its text.
    pub fn read(text: &str) -> Option<Job> {
        let json: Json = serde_json::from_str(text).ok()?;
        let steps = json["steps"]
            .as_array()?
            .iter()
            .map(Step::read)
            .collect::<Option<_>>()?;
        let ordered = json["ordered"].as_object()?.iter();
        let ordered = ordered
            .map(|(name, life)| Some((name.clone(), life.as_u64()?)))
            .collect::<Option<_>>()?;
        let number = |key: &str| json[key].as_u64();
        Some(Job {
            steps,
            at: number("at")? as usize,
            tries: number("tries")?,
            by: Token::read(&json["by"]),
            ordered,
            out: number("out")? as usize,
            stands: Stands::read(&json["stands"])?,
        })
    }
}

#[cfg(test)]
mod tests;
