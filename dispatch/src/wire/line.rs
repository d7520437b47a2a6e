//! Parses the lines of the protocol: a message name and its `key=value` fields.

use super::error::{FieldProblem, ProtocolError};
use crate::interface::{Endpoint, LoadReport, Outcome, ServerId, ServerStatus};

/// A line, split into its message name and its fields.
pub(super) struct Line<'a> {
    pub(super) name: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        Line { name, rest }
    }

    fn find(&self, field: &str) -> Option<&'a str> {
        self.rest.split(' ').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == field).then_some(value)
        })
    }

    /// The value of a text field, which extends to the end of the line.
    pub(super) fn text(&self, field: &str) -> Result<&'a str, ProtocolError> {
        let start = self.rest.split(' ').try_fold(0, |at, pair| {
            match pair.split_once('=') {
                Some((key, _)) if key == field => Err(at + field.len() + 1), // stops the fold
                _ => Ok(at + pair.len() + 1),
            }
        });
        match start {
            Err(at) => Ok(&self.rest[at..]),
            Ok(_) => Err(self.missing(field)),
        }
    }

    fn missing(&self, field: &str) -> ProtocolError {
        ProtocolError::MissingField {
            message: self.name.to_owned(),
            field: field.to_owned(),
        }
    }

    fn invalid(&self, field: &str, problem: FieldProblem) -> ProtocolError {
        ProtocolError::InvalidField {
            message: self.name.to_owned(),
            field: field.to_owned(),
            problem,
        }
    }

    pub(super) fn str(&self, field: &str) -> Result<&'a str, ProtocolError> {
        self.find(field).ok_or_else(|| self.missing(field))
    }

    fn parse<T: std::str::FromStr>(&self, field: &str, value: &str) -> Result<T, ProtocolError> {
        value
            .parse()
            .map_err(|_| self.invalid(field, FieldProblem::NotANumber(value.to_owned())))
    }

    pub(super) fn number<T: std::str::FromStr>(&self, field: &str) -> Result<T, ProtocolError> {
        self.parse(field, self.str(field)?)
    }

    pub(super) fn number_or<T: std::str::FromStr>(
        &self,
        field: &str,
        absent: T,
    ) -> Result<T, ProtocolError> {
        match self.find(field) {
            Some(value) => self.parse(field, value),
            None => Ok(absent),
        }
    }

    pub(super) fn real(&self, field: &str) -> Result<f64, ProtocolError> {
        let value: f64 = self.number(field)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.invalid(field, FieldProblem::NotFinite))
        }
    }

    /// An integer in a field of type number, where both `3` and `3.0` are valid.
    pub(super) fn integer(&self, field: &str) -> Result<i64, ProtocolError> {
        let value = self.real(field)?;
        if value.fract() == 0.0 && value.abs() < 9e15 {
            Ok(value as i64)
        } else {
            Err(self.invalid(field, FieldProblem::NotAnInteger))
        }
    }

    pub(super) fn flag(&self, field: &str) -> Result<bool, ProtocolError> {
        match self.find(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(self.invalid(field, FieldProblem::NotAFlag(other.to_owned()))),
        }
    }

    pub(super) fn unknown(&self, field: &str, value: &str) -> ProtocolError {
        self.invalid(field, FieldProblem::Unknown(value.to_owned()))
    }

    pub(super) fn outcome(&self) -> Result<Outcome, ProtocolError> {
        Ok(match self.str("code")? {
            "done" => Outcome::Ok,
            "err" => Outcome::Error,
            "busy" => Outcome::Rejected,
            "etimedout" => Outcome::TimedOut,
            "econnrefused" => Outcome::ConnectFailed,
            "econnreset" => Outcome::Reset,
            "ecanceled" => Outcome::Cancelled,
            "skipped" => Outcome::Skipped,
            other => return Err(self.unknown("code", other)),
        })
    }

    pub(super) fn load(&self) -> Result<LoadReport, ProtocolError> {
        let mut load = LoadReport::default();
        for pair in self
            .find("telemetry")
            .unwrap_or("")
            .split(',')
            .filter(|p| !p.is_empty())
        {
            let (name, value) = pair
                .split_once(':')
                .ok_or_else(|| self.unknown("telemetry", pair))?;
            let value: f64 = self.parse("telemetry", value)?;
            match name {
                "outstanding" => load.in_flight = Some(value),
                "backlog" => load.queued = Some(value),
                "utilization" => load.busy = Some(value),
                _ => {}
            }
        }
        Ok(load)
    }

    pub(super) fn entry(&self) -> Result<Endpoint, ProtocolError> {
        Ok(Endpoint {
            server: ServerId(self.number("leaf")?),
            zone: self.number_or("area", 0)?,
            kind: self.number_or("kind", 0)?,
            cell: self.number_or("cell", 0)?,
            status: match self.str("status")? {
                "ready" => ServerStatus::Ready,
                "draining" => ServerStatus::Draining,
                "gone" => ServerStatus::Removed,
                other => return Err(self.unknown("status", other)),
            },
            size: self.number_or("heft", 1.0)?,
            started_at: self.number_or("born", 0)?,
            excluded: false,
        })
    }
}
