//! A blocking client of the store, for operators' commands: it exchanges JSON lines with the
//! members.

use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use store::command::{Change, Check, Expects, Txn};
use store::state::{Outcome, Rejection, State, VersionedValue};

/// Pause between two rounds over the members' addresses.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The timeout of one attempt is that of the request divided by this.
const ATTEMPTS_PER_TIMEOUT: u32 = 3;

/// A request that got no usable response.
#[derive(Debug)]
pub enum ClientError {
    /// The exchange timed out.
    TimedOut,
    /// The connection failed.
    Io(io::Error),
    /// The response is not JSON.
    NotJson,
    /// The client has no address.
    NoAddress,
    /// This member reached no majority.
    NoMajority(SocketAddr),
    /// The exchange with this member failed.
    Member(SocketAddr, Box<ClientError>),
    /// The response is not of the expected form, which is named first.
    UnexpectedResponse(&'static str, Json),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::TimedOut => f.write_str("timed out waiting for a response"),
            ClientError::Io(error) => error.fmt(f),
            ClientError::NotJson => {
                f.write_str("the response is not JSON; is this the address of a gatherer's store?")
            }
            ClientError::NoAddress => f.write_str("no address given"),
            ClientError::NoMajority(member) => {
                write!(f, "{member}: no majority of the store's members responds")
            }
            ClientError::Member(member, error) => write!(f, "{member}: {error}"),
            ClientError::UnexpectedResponse(expected, response) => {
                write!(f, "expected {expected}, got {response}")
            }
        }
    }
}

impl Error for ClientError {}

impl From<io::Error> for ClientError {
    fn from(error: io::Error) -> ClientError {
        match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => ClientError::TimedOut,
            _ => ClientError::Io(error),
        }
    }
}

/// The result of a read.
#[derive(Debug, Clone, Default)]
pub struct ReadResult {
    /// Revision of the state that was read.
    pub revision: u64,
    /// Each key with its value and the revision of its last change.
    pub keys: BTreeMap<String, (String, u64)>,
}

impl ReadResult {
    /// The keys of a member's own state at a revision.
    pub fn of(state: &State, revision: u64) -> ReadResult {
        let key = |(key, versioned): (&str, &VersionedValue)| {
            (
                key.to_owned(),
                (versioned.value.clone(), versioned.revision),
            )
        };
        ReadResult {
            revision,
            keys: state.keys().map(key).collect(),
        }
    }

    /// The value of a key as JSON, with its revision.
    pub fn json(&self, key: &str) -> Option<(Json, u64)> {
        let (value, revision) = self.keys.get(key)?;
        Some((serde_json::from_str(value).ok()?, *revision))
    }

    /// A precondition that a key has not changed since the read.
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

    /// The rest of each key with this prefix.
    pub fn names<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        self.keys
            .keys()
            .filter_map(move |key| key.strip_prefix(prefix))
    }
}

/// Outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Applied at this revision.
    Applied(u64),
    /// Rejected: nothing was changed.
    Rejected(Rejection),
    /// No member responded in time: the change may have been applied.
    Unknown,
}

/// A client of a store.
#[derive(Debug, Clone)]
pub struct Client {
    /// Addresses of members, which are tried in this order.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of a request, over all attempts.
    pub timeout: Duration,
}

/// Sends a line to an address and reads the response line.
///
/// # Errors
///
/// [`ClientError`] if the connection fails or times out, or the response is not JSON.
pub fn exchange_line(
    address: SocketAddr,
    request: &str,
    timeout: Duration,
) -> Result<Json, ClientError> {
    let mut socket = TcpStream::connect_timeout(&address, timeout)?;
    socket.set_read_timeout(Some(timeout))?;
    socket.write_all(format!("{request}\n").as_bytes())?;
    let mut response = String::new();
    BufReader::new(socket).read_line(&mut response)?;
    serde_json::from_str(&response).map_err(|_| ClientError::NotJson)
}

impl Client {
    /// Sends a request to one member after the other until one returns a result.
    fn request(&self, request: &Json) -> Result<Json, ClientError> {
        let started = Instant::now();
        let request = request.to_string();
        let mut last_error = ClientError::NoAddress;
        loop {
            for address in &self.addresses {
                match exchange_line(*address, &request, self.timeout / ATTEMPTS_PER_TIMEOUT) {
                    Ok(response) if response["unknown"] == true => {
                        last_error = ClientError::NoMajority(*address);
                    }
                    Ok(response) => return Ok(response),
                    Err(error) => last_error = ClientError::Member(*address, Box::new(error)),
                }
                if started.elapsed() >= self.timeout {
                    return Err(last_error);
                }
            }
            thread::sleep(RETRY_DELAY);
            if started.elapsed() >= self.timeout {
                return Err(last_error);
            }
        }
    }

    /// Reads the keys with this prefix, linearizably.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no member responds in time.
    pub fn read(&self, prefix: &str) -> Result<ReadResult, ClientError> {
        let response = self.request(&json!({"ask": "read", "prefix": prefix}))?;
        read_result(&response).ok_or(ClientError::UnexpectedResponse(
            "a response to a read",
            response,
        ))
    }

    /// Applies a change in a session of its own, and so at most once.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no session could be opened or the response has another form. Without a
    /// response to the change itself the outcome is [`ChangeOutcome::Unknown`].
    pub fn change(
        &self,
        checks: Vec<Check>,
        sets: Vec<Change>,
    ) -> Result<ChangeOutcome, ClientError> {
        let opened = self.request(&json!({"ask": "open"}))?;
        let session = opened["opened"]
            .as_u64()
            .ok_or(ClientError::UnexpectedResponse("a session", opened))?;
        let txn = Txn {
            session,
            request: 1,
            checks,
            sets,
        };
        let Ok(response) = self.request(&json!({"ask": "txn", "txn": txn.json()})) else {
            return Ok(ChangeOutcome::Unknown);
        };
        match Outcome::read(&response["made"]) {
            Some(Outcome::Applied(revision)) => Ok(ChangeOutcome::Applied(revision)),
            Some(Outcome::Rejected(rejection)) => Ok(ChangeOutcome::Rejected(rejection)),
            None => Err(ClientError::UnexpectedResponse(
                "a response to a change",
                response,
            )),
        }
    }
}

/// Parses a response to a read; `None` if it has another form.
pub fn read_result(response: &Json) -> Option<ReadResult> {
    let key = |key: &Json| {
        let value = (key[1].as_str()?.to_owned(), key[2].as_u64()?);
        Some((key[0].as_str()?.to_owned(), value))
    };
    let keys = response["keys"]
        .as_array()?
        .iter()
        .map(key)
        .collect::<Option<_>>()?;
    Some(ReadResult {
        revision: response["revision"].as_u64()?,
        keys,
    })
}
