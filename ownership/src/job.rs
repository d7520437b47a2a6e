//! Jobs: sequences of steps whose progress is stored, so that a new owner continues where the
//! previous one stopped. Attempts at a step are counted, so that a step that crashes its owners is
//! not attempted forever.

use crate::Token;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fmt;

/// The maximum number of attempts at a step; one more parks the job.
pub const MAX_ATTEMPTS: u64 = 3;

/// A step of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Switch all gatherers to a proposal.
    Activate(u64),
    /// Shut these gatherers down gracefully; an external supervisor starts them again.
    Restart(Vec<String>),
}

impl Step {
    fn to_json(&self) -> Json {
        match self {
            Step::Activate(proposal) => json!({"activate": proposal}),
            Step::Restart(names) => json!({"restart": names}),
        }
    }

    fn from_json(json: &Json) -> Option<Step> {
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

/// The status of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status {
    /// The job is being executed.
    Open,
    /// The job waits for an operator, because the fleet is not in the expected state.
    Paused(String),
    /// The job waits for an operator, because its owners failed while they executed it.
    Parked(String),
    /// All steps are complete.
    Done,
    /// An operator cancelled the job.
    Cancelled,
}

impl Status {
    fn to_json(&self) -> Json {
        match self {
            Status::Open => json!("open"),
            Status::Paused(reason) => json!({"paused": reason}),
            Status::Parked(reason) => json!({"parked": reason}),
            Status::Done => json!("done"),
            Status::Cancelled => json!("cancelled"),
        }
    }

    fn from_json(json: &Json) -> Option<Status> {
        Some(match json.as_str() {
            Some("open") => Status::Open,
            Some("done") => Status::Done,
            Some("cancelled") => Status::Cancelled,
            Some(_) => return None,
            None => match (json["paused"].as_str(), json["parked"].as_str()) {
                (Some(reason), _) => Status::Paused(reason.to_owned()),
                (_, Some(reason)) => Status::Parked(reason.to_owned()),
                _ => return None,
            },
        })
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Status::Open => f.write_str("open"),
            Status::Paused(reason) => write!(f, "paused: {reason}"),
            Status::Parked(reason) => write!(f, "parked: {reason}"),
            Status::Done => f.write_str("done"),
            Status::Cancelled => f.write_str("called off"),
        }
    }
}

/// A sequence of steps and its progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The steps, in order of execution.
    pub steps: Vec<Step>,
    /// The index of the current step.
    pub position: usize,
    /// The number of attempts at the current step.
    pub attempts: u64,
    /// The token of the owner that made the last attempt.
    pub attempted_by: Option<Token>,
    /// The gatherers that the current step has ordered to restart, each with the incarnation to
    /// which the order applies.
    pub restarted: BTreeMap<String, u64>,
    /// The maximum number of gatherers out of service at once.
    pub max_unavailable: usize,
    /// The status.
    pub status: Status,
}

impl Job {
    /// A new job.
    pub fn new(steps: Vec<Step>, max_unavailable: usize) -> Job {
        Job {
            steps,
            position: 0,
            attempts: 0,
            attempted_by: None,
            restarted: BTreeMap::new(),
            max_unavailable,
            status: Status::Open,
        }
    }

    /// The current step, while the job is open.
    pub fn current_step(&self) -> Option<&Step> {
        self.steps
            .get(self.position)
            .filter(|_| self.status == Status::Open)
    }

    /// The job with an attempt at its current step by the owner with this token. After an orderly
    /// release by the previous owner this does not count as a new attempt.
    ///
    /// The job is parked if its step has been attempted [`MAX_ATTEMPTS`] times already.
    pub fn begin_attempt(&self, by: Token, orderly: bool) -> Job {
        let attempts = if orderly {
            self.attempts.max(1)
        } else {
            self.attempts + 1
        };
        let mut job = Job {
            attempts,
            attempted_by: Some(by),
            ..self.clone()
        };
        if attempts > MAX_ATTEMPTS {
            let step = self
                .steps
                .get(self.position)
                .map_or(String::new(), ToString::to_string);
            job.status = Status::Parked(format!(
                "`{step}` was begun {MAX_ATTEMPTS} times and never ended"
            ));
        }
        job
    }

    /// The job with its current step complete.
    pub fn complete_step(&self) -> Job {
        let position = self.position + 1;
        let status = if position >= self.steps.len() {
            Status::Done
        } else {
            Status::Open
        };
        Job {
            position,
            attempts: 0,
            attempted_by: None,
            restarted: BTreeMap::new(),
            status,
            ..self.clone()
        }
    }

    /// The job with another status. Reopening it resets the count of attempts.
    pub fn with_status(&self, status: Status) -> Job {
        let attempts = if status == Status::Open {
            0
        } else {
            self.attempts
        };
        Job {
            status,
            attempts,
            attempted_by: None,
            ..self.clone()
        }
    }

    /// The stored form.
    pub fn to_json(&self) -> Json {
        let steps: Vec<Json> = self.steps.iter().map(Step::to_json).collect();
        json!({
            "steps": steps,
            "at": self.position,
            "tries": self.attempts,
            "by": self.attempted_by.map(Token::to_json),
            "ordered": self.restarted,
            "out": self.max_unavailable,
            "stands": self.status.to_json(),
        })
    }

    /// Parses the stored form; `None` if `text` is not a job.
    pub fn parse(text: &str) -> Option<Job> {
        let json: Json = serde_json::from_str(text).ok()?;
        let number = |key: &str| json[key].as_u64();
        let steps = json["steps"]
            .as_array()?
            .iter()
            .map(Step::from_json)
            .collect::<Option<_>>()?;
        let restarted = json["ordered"]
            .as_object()?
            .iter()
            .map(|(name, incarnation)| Some((name.clone(), incarnation.as_u64()?)))
            .collect::<Option<_>>()?;
        Some(Job {
            steps,
            position: number("at")? as usize,
            attempts: number("tries")?,
            attempted_by: Token::from_json(&json["by"]),
            restarted,
            max_unavailable: number("out")? as usize,
            status: Status::from_json(&json["stands"])?,
        })
    }
}

#[cfg(test)]
mod tests;
