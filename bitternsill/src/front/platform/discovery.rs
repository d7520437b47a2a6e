//! The discovery client: requests and watches the list of index hosts.
//!
//! The dispatcher decides when to request the list and how long to wait after a failure. This
//! module makes the calls and detects unresponsive ones. The last list stays in use until a new one
//! arrives.

use crate::front::hosts::Member;
use crate::front::http::{Progress, Reader};
use crate::front::{Gatherer, Message};
use crate::net::{self, Attempt, Connection, Context, Input, Ready, Stream, Token};
use dispatch::interface::{Endpoint, ListKind, ServerId, ServerStatus};
use serde_json::Value as Json;
use std::fmt;
use std::io;
use std::net::SocketAddr;

type Cx<'a> = Context<'a, Gatherer>;

/// The path of the list and of its watch.
pub const MEMBERS: &str = "/catalog/members";

/// The host states by their names in the list; `describe asyncapi` prints this table.
pub const STATES: &[(&str, ServerStatus)] = &[
    ("active", ServerStatus::Ready),
    ("leaving", ServerStatus::Draining),
    ("left", ServerStatus::Removed),
];

/// A list that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListError(pub &'static str);

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "list: {}", self.0)
    }
}

impl std::error::Error for ListError {}

/// The names used in the list; the dispatcher identifies each by its index.
#[derive(Debug, Default, Clone)]
pub struct Names {
    /// The known zones.
    pub zones: Vec<String>,
    /// The known machine kinds.
    pub kinds: Vec<String>,
}

/// Returns the index of a name. Names that are not in the settings are added, up to a bound.
fn index_of(names: &mut Vec<String>, name: &str) -> u32 {
    match names.iter().position(|n| n == name) {
        Some(at) => at as u32,
        None if names.len() < 64 => {
            names.push(name.to_owned());
            names.len() as u32 - 1
        }
        None => 63,
    }
}

/// Parses a list or a change to it. Returns the version, whether it is the complete list, and its
/// members.
pub fn read_list(json: &Json, names: &mut Names) -> Result<(u64, bool, Vec<Member>), ListError> {
    let version = json["rev"].as_u64().ok_or(ListError("no `rev`"))?;
    let is_complete = json["all"].as_bool().unwrap_or(false);
    let targets = json["targets"]
        .as_array()
        .ok_or(ListError("no `targets`"))?;
    let mut members = Vec::with_capacity(targets.len());
    for target in targets {
        let status = STATES
            .iter()
            .find(|(name, _)| target["state"] == *name)
            .map(|(_, s)| *s);
        let status = status.ok_or(ListError("unknown `state`"))?;
        let endpoint = target["endpoint"].as_str().and_then(|e| e.parse().ok());
        if status == ServerStatus::Ready && endpoint.is_none() {
            return Err(ListError("an active target without `endpoint`"));
        }
        members.push(Member {
            uid: target["uid"]
                .as_str()
                .ok_or(ListError("no `uid`"))?
                .to_owned(),
            endpoint,
            entry: Endpoint {
                server: ServerId(0),
                zone: index_of(&mut names.zones, target["az"].as_str().unwrap_or_default()),
                kind: index_of(
                    &mut names.kinds,
                    target["model"].as_str().unwrap_or_default(),
                ),
                cell: target["pod_group"].as_u64().unwrap_or(0) as u32,
                status,
                size: target["capacity_hint"].as_f64().unwrap_or(1.0),
                started_at: target["boot_ms"]
                    .as_u64()
                    .unwrap_or(0)
                    .saturating_mul(1_000_000),
                excluded: false,
            },
        });
    }
    Ok((version, is_complete, members))
}

/// Parses the complete JSON objects at the start of `text`. Returns them and the number of bytes
/// that they use, whitespace included. An object may span several lines.
pub fn read_objects(text: &[u8]) -> Result<(Vec<Json>, usize), ListError> {
    let mut objects = serde_json::Deserializer::from_slice(text).into_iter::<Json>();
    let (mut parsed, mut used) = (Vec::new(), 0);
    loop {
        match objects.next() {
            Some(Ok(json)) => parsed.push(json),
            Some(Err(problem)) if problem.is_eof() => return Ok((parsed, used)),
            Some(Err(_)) => return Err(ListError("not JSON")),
            None => return Ok((parsed, text.len())),
        }
        used = objects.byte_offset();
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Snapshot,
    Watch,
}

struct Open {
    stream: Stream,
    call: Call,
    reader: Reader,
    input: Vec<u8>,
    connected: bool,
    /// Whether the head of the response has arrived.
    has_head: bool,
    /// Whether a watch has received data.
    answered: bool,
}

/// The connection to discovery, which opens a socket per call.
pub struct Discovery {
    to: SocketAddr,
    names: Names,
    version: Option<u64>,
    open: Option<Open>,
    /// A call to be made once the current one has ended.
    next: Option<Call>,
    /// The connection to the former address, kept until this one has received a list.
    former: Option<Token>,
    /// Discovery has moved to another address: keep the watch for now, but make no more calls.
    retiring: bool,
    /// How the last call or watch ended.
    last: Failure,
}

/// How a call or a watch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// Discovery could not be reached, rejected the call, or closed the connection.
    Refused,
    /// Discovery may have accepted the call, but sent nothing usable.
    NoData,
}

impl Discovery {
    /// A connection to discovery at an address. `version` is that of the list already known, if
    /// any.
    pub fn new(to: SocketAddr, names: Names, version: Option<u64>) -> Self {
        Discovery {
            to,
            names,
            version,
            open: None,
            next: None,
            former: None,
            retiring: false,
            last: Failure::NoData,
        }
    }

    /// Switches to a new address of discovery. This connection keeps its watch until the new one
    /// has received a list, so that no change is missed in between.
    fn moved(&mut self, cx: &mut Cx<'_>, to: SocketAddr) {
        if to == self.to || self.retiring {
            return;
        }
        tracing::info!(from = %self.to, %to, "discovery has moved");
        let mut next = Discovery::new(to, self.names.clone(), self.version);
        // Without a call of its own, this connection's predecessor is still the one that receives
        // changes, so the new connection takes over the reference to it.
        next.former = if self.open.is_some() {
            Some(cx.token)
        } else {
            self.former.take()
        };
        let token = cx.net.open(Box::new(next));
        cx.net.post(token, Message::Watch(true));
        cx.world.directory = Some(token);
        (self.retiring, self.next) = (true, None);
        if self.open.is_none() {
            cx.close();
        }
    }

    /// Closes the connection to the former address, as its data is older than what arrived here.
    fn release_former(&mut self, cx: &mut Cx<'_>) {
        if let Some(former) = self.former.take() {
            cx.net.post(former, Message::CloseIdle);
        }
    }

    fn begin(&mut self, cx: &mut Cx<'_>, call: Call) {
        let target = match (call, self.version) {
            (Call::Snapshot, _) => MEMBERS.to_owned(),
            (Call::Watch, Some(version)) => format!("{MEMBERS}?stream=1&index={version}"),
            (Call::Watch, None) => format!("{MEMBERS}?stream=1"),
        };
        let close = if call == Call::Snapshot {
            "Connection: close\r\n"
        } else {
            ""
        };
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n{close}\r\n", self.to);
        let opened = net::connect(self.to).and_then(|mut stream| {
            stream.push(request.as_bytes());
            stream.arm(cx.net, cx.token, Ready::WRITE)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                let reader =
                    Reader::responses(cx.world.limits.head_bytes, cx.world.limits.watch_line_bytes);
                self.open = Some(Open {
                    stream,
                    call,
                    reader,
                    input: Vec::new(),
                    connected: false,
                    has_head: false,
                    answered: false,
                });
                let limits = &cx.world.limits;
                let refused = self.last == Failure::Refused;
                let timeout = if refused {
                    limits.discovery_busy_timeout
                } else {
                    limits.discovery_timeout
                };
                cx.set_timer(cx.now + timeout);
            }
            Err(problem) => {
                tracing::warn!(%problem, "cannot connect to discovery");
                cx.world.core.discovery_failed(false);
            }
        }
    }

    /// Closes the socket and reports the failure, if any. The last list stays in use.
    fn end(&mut self, cx: &mut Cx<'_>, failure: Option<Failure>, why: &str) {
        if self.open.take().is_some() {
            cx.clear_timer();
            if self.retiring {
                return cx.close();
            }
            if let Some(failure) = failure {
                tracing::info!(why, "discovery call or watch ended");
                self.last = failure;
                cx.world.core.discovery_failed(failure == Failure::Refused);
            }
        }
        if let Some(call) = self.next.take() {
            self.begin(cx, call);
        }
    }

    /// Applies one JSON object of a snapshot or a watch.
    fn apply(&mut self, cx: &mut Cx<'_>, json: &Json) -> Result<(), ListError> {
        let (version, is_complete, members) = read_list(json, &mut self.names)?;
        tracing::debug!(
            version,
            is_complete,
            members = members.len(),
            "endpoint list received"
        );
        cx.world
            .update_endpoints(is_complete, members, cx.net, cx.now);
        self.release_former(cx);
        self.version = Some(version);
        Ok(())
    }

    /// Applies the body received so far: objects of a watch as they arrive, a snapshot once
    /// complete.
    fn apply_body(&mut self, cx: &mut Cx<'_>, is_complete: bool) -> Result<(), ListError> {
        let Some(open) = &mut self.open else {
            return Ok(());
        };
        if open.call == Call::Snapshot {
            if !is_complete {
                return Ok(());
            }
            let body = std::mem::take(&mut open.reader.body);
            let json = serde_json::from_slice(&body).map_err(|_| ListError("not JSON"))?;
            return self.apply(cx, &json);
        }
        // What follows the last line end has only arrived in part.
        let Some(end) = open.reader.body.iter().rposition(|b| *b == b'\n') else {
            return Ok(());
        };
        let (updates, used) = read_objects(&open.reader.body[..=end])?;
        if used == 0 {
            return Ok(());
        }
        open.reader.body.drain(..used);
        // An empty line counts as an answer, too: an empty update resets the dispatcher's count of
        // failures.
        if !std::mem::replace(&mut open.answered, true) && updates.is_empty() {
            cx.world
                .core
                .update_endpoints(ListKind::Partial, Vec::new());
        }
        // Only complete lines restart the timer: bytes that never end a line are no sign of life.
        cx.set_timer(cx.now + cx.world.limits.watch_timeout);
        updates.iter().try_for_each(|json| self.apply(cx, json))
    }

    fn read(&mut self, cx: &mut Cx<'_>) {
        let Some(open) = &mut self.open else { return };
        let input = open
            .stream
            .read(&mut open.input, cx.world.limits.read_burst);
        let progress = open.reader.read(&mut open.input);
        if let Some(head) = &open.reader.head
            && head.start.1 != "200"
        {
            return self.end(cx, Some(Failure::Refused), "rejected");
        }
        let ended = !matches!(input, Ok(Input::Open));
        let is_complete = match progress {
            Ok(Progress::Whole) => true,
            // A response without a length may be truncated where the connection was reset, so only
            // an orderly end completes it.
            Ok(Progress::More) => {
                matches!(input, Ok(Input::Ended)) && open.reader.ends_with_connection()
            }
            Err(_) => return self.end(cx, Some(Failure::NoData), "malformed response"),
        };
        let call = open.call;
        if call == Call::Watch
            && open.reader.head.is_some()
            && !std::mem::replace(&mut open.has_head, true)
        {
            cx.set_timer(cx.now + cx.world.limits.watch_timeout);
        }
        // A watch that ends before any data was nevertheless accepted.
        let failure = if open.has_head && !open.answered {
            Failure::NoData
        } else {
            Failure::Refused
        };
        if let Err(problem) = self.apply_body(cx, is_complete) {
            tracing::warn!(%problem, "malformed response from discovery");
            return self.end(cx, Some(Failure::NoData), "malformed response");
        }
        if is_complete || ended {
            let failed = call == Call::Watch || !is_complete;
            self.end(cx, failed.then_some(failure), "connection closed");
        }
    }
}

impl Connection<Gatherer> for Discovery {
    fn opened(&mut self, _cx: &mut Cx<'_>) -> io::Result<()> {
        Ok(())
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        let Some(open) = &mut self.open else { return };
        if !open.connected {
            match open.stream.attempt() {
                Attempt::Pending => return,
                Attempt::Up => open.connected = true,
                Attempt::Failed(_) => {
                    return self.end(cx, Some(Failure::Refused), "connection failed");
                }
            }
        }
        if open
            .stream
            .flush_and_arm(cx.net, cx.token, Ready::READ)
            .is_err()
        {
            return self.end(cx, Some(Failure::Refused), "connection broken");
        }
        if ready.readable {
            self.read(cx);
        }
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        let current = self.open.as_ref().map(|open| open.call);
        match (message, current) {
            (Message::Watch(false), Some(Call::Watch)) => self.end(cx, None, "watch stopped"),
            (Message::EndpointMoved(to), _) => self.moved(cx, to),
            (Message::CloseIdle, _) if self.retiring => cx.close(),
            // A retry scheduled before discovery moved: there is a watch already.
            (Message::Watch(true), Some(Call::Watch)) => {}
            (Message::Watch(true), Some(_)) => self.next = Some(Call::Watch),
            (Message::Watch(true), None) => self.begin(cx, Call::Watch),
            (Message::Fetch, None) => self.begin(cx, Call::Snapshot),
            // The snapshot replaces the watch, which is started again after it.
            (Message::Fetch, Some(Call::Watch)) => {
                self.next = Some(Call::Watch);
                self.open = None;
                self.begin(cx, Call::Snapshot);
            }
            _ => {}
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.end(cx, Some(Failure::NoData), "timed out");
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        self.release_former(cx);
    }
}
