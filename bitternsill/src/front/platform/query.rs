//! Parses the queries of the platform's clients and builds the responses.

use crate::core::Core;
use crate::core::ports::{Answer, Caller, FailureReason, QueryRequest};
use crate::front::http::{Head, Response};
use crate::limits::Limits;
use dispatch::interface::Time;
use serde_json::Value as Json;
use std::collections::BTreeSet;
use std::fmt;

/// Why a request is not a valid query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryError {
    /// A header is missing, repeated or malformed.
    Header(&'static str),
    /// The body is invalid.
    Body(&'static str),
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QueryError::Header(name) => write!(f, "header {name} is missing or malformed"),
            QueryError::Body(what) => write!(f, "body: {what}"),
        }
    }
}

impl std::error::Error for QueryError {}

/// The header with the query's id.
pub const CALL_ID: &str = "X-Call-Id";
/// The header with the name of the query's class.
pub const CALL_CLASS: &str = "X-Call-Class";
/// The header with the time that the client waits, in seconds.
pub const BUDGET: &str = "X-Budget";
/// The header that marks a retry.
pub const AGAIN: &str = "X-Again";
/// The header with the idempotency key, which makes retries safe in a keyed class.
pub const KEY: &str = "Idempotency-Key";

/// Tolerance for the sum of a query's `portion`s, as clients round them.
const PORTION_TOLERANCE: f64 = 0.01;

/// Parses a query.
pub fn parse(
    head: &Head,
    body: &[u8],
    caller: Caller,
    arrived: Time,
    core: &Core,
    now: Time,
    limits: &Limits,
) -> Result<QueryRequest, QueryError> {
    // Ids and keys are sent on in the header lines of frames, where spaces, commas, equals signs
    // and line ends are delimiters.
    let plain = |name: &'static str| {
        let fits = |v: &&str| {
            (1..=limits.name_bytes).contains(&v.len())
                && v.bytes()
                    .all(|b| b.is_ascii_graphic() && b != b',' && b != b'=')
        };
        head.get(name).filter(fits).ok_or(QueryError::Header(name))
    };
    let name = plain(CALL_ID)?;
    let class = head
        .get(CALL_CLASS)
        .and_then(|class| core.class(class, head.get(KEY).is_some(), now));
    let (class, keyed) = class.ok_or(QueryError::Header(CALL_CLASS))?;
    let budget = head
        .get(BUDGET)
        .and_then(seconds)
        .ok_or(QueryError::Header(BUDGET))?;
    let key = if keyed {
        Some(plain(KEY)?.into())
    } else {
        None
    };
    let (text, parts) = parse_body(body, core.deployment().shards)?;
    Ok(QueryRequest {
        caller,
        name: name.into(),
        class,
        key,
        is_retry: head.get(AGAIN) == Some("1"),
        budget,
        arrived,
        text: text.into(),
        parts,
    })
}

/// Parses decimal seconds; values above an hour are reduced to an hour.
fn seconds(text: &str) -> Option<Time> {
    let digits = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| digits)?;
    Some((seconds.min(3600.0) * 1e9) as Time).filter(|time| *time > 0)
}

fn parse_body(body: &[u8], shards: u32) -> Result<(String, Vec<(u32, f64)>), QueryError> {
    let json: Json = serde_json::from_slice(body).map_err(|_| QueryError::Body("not JSON"))?;
    let text = json["predicate"]
        .as_str()
        .ok_or(QueryError::Body("`predicate` is not text"))?;
    let ranges = json["ranges"]
        .as_array()
        .ok_or(QueryError::Body("`ranges` is not a list"))?;
    let mut seen = BTreeSet::new();
    let mut parts = Vec::with_capacity(ranges.len());
    for range in ranges {
        let shard = range["range"].as_u64().and_then(|n| u32::try_from(n).ok());
        let shard = shard
            .filter(|n| *n < shards)
            .ok_or(QueryError::Body("`range` names no shard"))?;
        let weight = range["portion"]
            .as_f64()
            .filter(|w| *w > 0.0 && *w <= 1.0 + PORTION_TOLERANCE);
        let weight = weight.ok_or(QueryError::Body("`portion` is no share"))?;
        // Two parts at the same shard would have the same id on the wire.
        if !seen.insert(shard) {
            return Err(QueryError::Body("a `range` stands twice"));
        }
        parts.push((shard, weight));
    }
    if parts.is_empty() {
        return Err(QueryError::Body("`ranges` is empty"));
    }
    // The weight of a partial answer is only meaningful if the weights of all parts add up to 1.
    if (parts.iter().map(|(_, weight)| weight).sum::<f64>() - 1.0).abs() > PORTION_TOLERANCE {
        return Err(QueryError::Body("the `portion`s do not add up to 1"));
    }
    Ok((text.to_owned(), parts))
}

/// Builds the response for an answer.
pub fn respond(answer: &Answer) -> Response {
    match answer {
        Answer::Served { complete, values } => {
            let answers: Vec<Json> = values
                .iter()
                .map(|(shard, value)| serde_json::json!({"range": shard, "blob": &*value.body}))
                .collect();
            let body = serde_json::json!({"total": complete, "answers": answers})
                .to_string()
                .into_bytes();
            Response {
                status: 200,
                headers: Vec::new(),
                content_type: "application/json",
                body,
            }
        }
        Answer::Rejected { retry_after } => {
            let mut response = Response::text(503, "refused: ask again later");
            if *retry_after > 0 {
                response
                    .headers
                    .push(format!("Retry-After: {:.3}", *retry_after as f64 / 1e9));
            }
            response
        }
        Answer::Failed(reason) => match reason {
            FailureReason::TimeUp => Response::text(504, "failed: no answer in time"),
            FailureReason::GivenUp => Response::text(500, "failed: given up"),
            FailureReason::Ending => Response::text(500, "failed: the gatherer is ending"),
        },
    }
}
