//! A caller of the store from outside: an operator's command, at the addresses of its members.

use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use store::command::{Change, Check, Expects, Txn};

use store::state::{Outcome, Rejection, State, VersionedValue};

/// What a read brought.
#[derive(Debug, Clone, Default)]
pub struct ReadResult {
    /// The revision at which it is true.
    pub revision: u64,
    /// Each key with its value and the revision of its last change.
    pub keys: BTreeMap<String, (String, u64)>,
}

impl ReadResult {
    /// What a member itself holds at a revision.
    pub fn of(state: &State, revision: u64) -> ReadResult {
        let key = |(key, held): (&str, &VersionedValue)| {
            (key.to_owned(), (held.value.clone(), held.revision))
        };
        ReadResult {
            revision,
            keys: state.keys().map(key).collect(),
        }
    }

    /// A key's value as JSON, with its revision.
    pub fn json(&self, key: &str) -> Option<(Json, u64)> {
        let (value, revision) = self.keys.get(key)?;
        Some((serde_json::from_str(value).ok()?, *revision))
    }

    /// What has to be so for nothing to have changed of a key since.
    pub fn unchanged(&self, key: &str) -> Check {
        let expects = self
            .keys
            .get(key)
            .map_or(Expects::Absent, |(_, revision)| Expects::At(*revision));
        Check {
            key: key.to_owned(),
            expects,
        }
    }

    /// The names behind a prefix.
    pub fn names<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        self.keys
            .keys()
            .filter_map(move |key| key.strip_prefix(prefix))
    }
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It was made at this revision.
    Applied(u64),
    /// It was not.
    Rejected(Rejection),
    /// Nobody could be asked to the end: it may have been made.
    Unknown,
}

/// The addresses, and how long an answer is waited for in all.
#[derive(Debug, Clone)]
pub struct Client {
    /// Addresses of members.
    pub addresses: Vec<SocketAddr>,
    /// The longest for one call.
    pub timeout: Duration,
}

/// One line to an address, and one line back.
pub fn exchange_line(
    addresses: SocketAddr,
    request: &str,
    timeout: Duration,
) -> Result<Json, String> {
    let io_error = |problem: std::io::Error| match problem.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
            "no answer in time".to_owned()
        }
        _ => problem.to_string(),
    };
    let mut socket = TcpStream::connect_timeout(&addresses, timeout).map_err(io_error)?;
    socket.set_read_timeout(Some(timeout)).map_err(io_error)?;
    socket
        .write_all(format!("{request}\n").as_bytes())
        .map_err(io_error)?;
    let mut exchange_line = String::new();
    BufReader::new(socket)
        .read_line(&mut exchange_line)
        .map_err(io_error)?;
    serde_json::from_str(&exchange_line)
        .map_err(|_| "the answer cannot be read; is it a gatherer's store?".to_owned())
}

impl Client {
    /// Asks one member after the other until one has an answer.
    fn request(&self, request: &Json) -> Result<Json, String> {
        let (started, mut problem) = (Instant::now(), "no address is told".to_owned());
        let each = self.timeout / 3;
        loop {
            for address in &self.addresses {
                match exchange_line(*address, &request.to_string(), each) {
                    Ok(answer) if answer["unknown"] == true => {
                        problem = format!("{address}: the store has no majority that answers");
                    }
                    Ok(answer) => return Ok(answer),
                    Err(why) => problem = format!("{address}: {why}"),
                }
                if started.elapsed() >= self.timeout {
                    return Err(problem);
                }
            }
            thread::sleep(Duration::from_millis(50));
            if started.elapsed() >= self.timeout {
                return Err(problem);
            }
        }
    }

    /// Keys that begin so, as new as anything that anybody was told.
    pub fn read(&self, prefix: &str) -> Result<ReadResult, String> {
        let answer = self.request(&json!({"ask": "read", "prefix": prefix}))?;
        read_result(&answer).ok_or_else(|| format!("no answer to a read: {answer}"))
    }

    /// Makes a change, at most once, whatever is lost on the way.
    pub fn change(&self, checks: Vec<Check>, sets: Vec<Change>) -> Result<ChangeOutcome, String> {
        let opened = self.request(&json!({"ask": "open"}))?;
        let session = opened["opened"]
            .as_u64()
            .ok_or_else(|| format!("no session: {opened}"))?;
        let txn = Txn {
            session,
            request: 1,
            checks,
            sets,
        };
        match self.request(&json!({"ask": "txn", "txn": txn.json()})) {
            Ok(answer) => match Outcome::read(&answer["made"]) {
                Some(Outcome::Applied(revision)) => Ok(ChangeOutcome::Applied(revision)),
                Some(Outcome::Rejected(why)) => Ok(ChangeOutcome::Rejected(why)),
                None => Err(format!("no answer to a change: {answer}")),
            },
            Err(_) => Ok(ChangeOutcome::Unknown),
        }
    }
}

/// What an answer to a read says.
pub fn read_result(answer: &Json) -> Option<ReadResult> {
    let key = |key: &Json| {
        let value = (key[1].as_str()?.to_owned(), key[2].as_u64()?);
        Some((key[0].as_str()?.to_owned(), value))
    };
    let keys = answer["keys"]
        .as_array()?
        .iter()
        .map(key)
        .collect::<Option<_>>()?;
    Some(ReadResult {
        revision: answer["revision"].as_u64()?,
        keys,
    })
}
