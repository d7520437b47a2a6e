//! Discovery: the snapshot, the watch, and what to do when either is lost.
//!
//! The module decides when to ask and how long to wait after a failure; this connection object
//! carries that out, notices silence, and keeps the last list in force meanwhile.

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

/// The states by their names: the list is read by it, and it is what `describe asyncapi` prints.
pub const STATES: &[(&str, ServerStatus)] = &[
    ("active", ServerStatus::Ready),
    ("leaving", ServerStatus::Draining),
    ("left", ServerStatus::Removed),
];

/// A list that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListError(pub &'static str);

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "list: {}", self.0)
    }
}

impl std::error::Error for ListError {}

/// Names that the list uses, and the numbers that stand for them.
#[derive(Debug, Default, Clone)]
pub struct Names {
    /// Halls, as far as they are known.
    pub zones: Vec<String>,
    /// Machine kinds, as far as they are known.
    pub kinds: Vec<String>,
}

fn place(names: &mut Vec<String>, name: &str) -> u32 {
    // A name that no setting told gets the next number, up to a bound.
    match names.iter().position(|n| n == name) {
        Some(at) => at as u32,
        None if names.len() < 64 => {
            names.push(name.to_owned());
            names.len() as u32 - 1
        }
        None => 63,
    }
}

/// Reads a list or a change: its version, whether it is the whole list, and its lines.
pub fn read_list(json: &Json, names: &mut Names) -> Result<(u64, bool, Vec<Member>), ListError> {
    let version = json["rev"].as_u64().ok_or(ListError("no `rev`"))?;
    let whole = json["all"].as_bool().unwrap_or(false);
    let targets = json["targets"]
        .as_array()
        .ok_or(ListError("no `targets`"))?;
    let mut members = Vec::with_capacity(targets.len());
    for target in targets {
        let standing = STATES
            .iter()
            .find(|(name, _)| target["state"] == *name)
            .map(|(_, s)| *s);
        let standing = standing.ok_or(ListError("unknown `state`"))?;
        let endpoint = target["endpoint"].as_str().and_then(|e| e.parse().ok());
        if standing == ServerStatus::Ready && endpoint.is_none() {
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
                zone: place(&mut names.zones, target["az"].as_str().unwrap_or_default()),
                kind: place(
                    &mut names.kinds,
                    target["model"].as_str().unwrap_or_default(),
                ),
                cell: target["pod_group"].as_u64().unwrap_or(0) as u32,
                status: standing,
                size: target["capacity_hint"].as_f64().unwrap_or(1.0),
                started_at: target["boot_ms"]
                    .as_u64()
                    .unwrap_or(0)
                    .saturating_mul(1_000_000),
                excluded: false,
            },
        });
    }
    Ok((version, whole, members))
}

/// The JSON objects that stand whole in `text`, and how much of it they and the space around them
/// take. An object may be indented, and so stand on many lines.
pub fn read_objects(text: &[u8]) -> Result<(Vec<Json>, usize), ListError> {
    let mut objects = serde_json::Deserializer::from_slice(text).into_iter::<Json>();
    let (mut told, mut used) = (Vec::new(), 0);
    loop {
        match objects.next() {
            Some(Ok(json)) => told.push(json),
            Some(Err(problem)) if problem.is_eof() => return Ok((told, used)),
            Some(Err(_)) => return Err(ListError("not JSON")),
            None => return Ok((told, text.len())),
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
    up: bool,
    /// Its head is there.
    begun: bool,
    answered: bool,
}

/// The object that speaks with discovery; its socket comes and goes.
pub struct Discovery {
    to: SocketAddr,
    names: Names,
    version: Option<u64>,
    open: Option<Open>,
    /// A call that waits until the one under way has ended.
    next: Option<Call>,
    /// The object that speaks with the former address, until this one has heard from the present
    /// one.
    former: Option<Token>,
    /// Discovery has moved: hears its watch out and calls no more.
    retiring: bool,
    /// How the last call or watch ended.
    last: Failure,
}

/// How a call or a watch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// Discovery could not be reached, or said no.
    Refused,
    /// It was there, or may have been, and told nothing that can be used.
    Untold,
}

impl Discovery {
    /// Speaks with discovery at this address; `version` is that of the list held from before, if
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
            last: Failure::Untold,
        }
    }

    /// Discovery listens elsewhere: a new object calls there, and this one keeps its watch until
    /// that has answered, so that no change is missed in between.
    fn moved(&mut self, cx: &mut Cx<'_>, to: SocketAddr) {
        if to == self.to || self.retiring {
            return;
        }
        tracing::info!(from = %self.to, %to, "discovery has moved");
        let mut next = Discovery::new(to, self.names.clone(), self.version);
        // Where this one has no watch of its own, the one before it is still the only one that
        // hears of changes.
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

    /// What the former address still says is older than what was just heard here.
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
                    up: false,
                    begun: false,
                    answered: false,
                });
                let limits = &cx.world.limits;
                let refused = self.last == Failure::Refused;
                let patience = if refused {
                    limits.discovery_busy_timeout
                } else {
                    limits.discovery_timeout
                };
                cx.set_timer(cx.now + patience);
            }
            Err(problem) => {
                tracing::warn!(%problem, "discovery cannot be called");
                cx.world.core.discovery_failed(false);
            }
        }
    }

    /// Drops the connection; what the list said last stays in force.
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

    /// One JSON object of a snapshot or a watch.
    fn take(&mut self, cx: &mut Cx<'_>, json: &Json) -> Result<(), ListError> {
        let (version, whole, members) = read_list(json, &mut self.names)?;
        tracing::debug!(version, whole, lines = members.len(), "list");
        cx.world.update_endpoints(whole, members, cx.net, cx.now);
        self.release_former(cx);
        self.version = Some(version);
        Ok(())
    }

    /// Takes what the body has brought: the lines of a watch at once, a snapshot when it is whole.
    fn body(&mut self, cx: &mut Cx<'_>, whole: bool) -> Result<(), ListError> {
        let Some(open) = &mut self.open else {
            return Ok(());
        };
        if open.call == Call::Snapshot {
            if !whole {
                return Ok(());
            }
            let body = std::mem::take(&mut open.reader.body);
            let json = serde_json::from_slice(&body).map_err(|_| ListError("not JSON"))?;
            return self.take(cx, &json);
        }
        // Up to the last line end: what follows it has come in part.
        let Some(end) = open.reader.body.iter().rposition(|b| *b == b'\n') else {
            return Ok(());
        };
        let (told, used) = read_objects(&open.reader.body[..=end])?;
        if used == 0 {
            return Ok(());
        }
        open.reader.body.drain(..used);
        // Without news it is an answer all the same: the next failure is the first again.
        if !std::mem::replace(&mut open.answered, true) && told.is_empty() {
            cx.world
                .core
                .update_endpoints(ListKind::Partial, Vec::new());
        }
        // Only what is whole breaks the silence: bytes that never make a line tell nothing.
        cx.set_timer(cx.now + cx.world.limits.watch_timeout);
        told.iter().try_for_each(|json| self.take(cx, json))
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
            return self.end(cx, Some(Failure::Refused), "refused");
        }
        let ended = !matches!(input, Ok(Input::Open));
        let whole = match progress {
            Ok(Progress::Whole) => true,
            // A reset is no end: an answer without a length may have been cut off anywhere.
            Ok(Progress::More) => {
                matches!(input, Ok(Input::Ended)) && open.reader.ends_with_connection()
            }
            Err(_) => return self.end(cx, Some(Failure::Untold), "not understood"),
        };
        let call = open.call;
        if call == Call::Watch
            && open.reader.head.is_some()
            && !std::mem::replace(&mut open.begun, true)
        {
            cx.set_timer(cx.now + cx.world.limits.watch_timeout);
        }
        // A watch that ends instead of telling has been there all the same.
        let failure = if open.begun && !open.answered {
            Failure::Untold
        } else {
            Failure::Refused
        };
        if let Err(problem) = self.body(cx, whole) {
            tracing::warn!(%problem, "discovery");
            return self.end(cx, Some(Failure::Untold), "not understood");
        }
        if whole || ended {
            let failed = call == Call::Watch || !whole;
            self.end(cx, failed.then_some(failure), "closed");
        }
    }
}

impl Connection<Gatherer> for Discovery {
    fn opened(&mut self, _cx: &mut Cx<'_>) -> io::Result<()> {
        Ok(())
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        let Some(open) = &mut self.open else { return };
        if !open.up {
            match open.stream.attempt() {
                Attempt::Pending => return,
                Attempt::Up => open.up = true,
                Attempt::Failed(_) => return self.end(cx, Some(Failure::Refused), "no connection"),
            }
        }
        if open
            .stream
            .flush_and_arm(cx.net, cx.token, Ready::READ)
            .is_err()
        {
            return self.end(cx, Some(Failure::Refused), "broken");
        }
        if ready.readable {
            self.read(cx);
        }
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        let under_way = self.open.as_ref().map(|open| open.call);
        match (message, under_way) {
            (Message::Watch(false), Some(Call::Watch)) => self.end(cx, None, "unwatched"),
            (Message::EndpointMoved(to), _) => self.moved(cx, to),
            (Message::CloseIdle, _) if self.retiring => cx.close(),
            // A retry that was due before discovery moved; the present watch must not be called for
            // twice.
            (Message::Watch(true), Some(Call::Watch)) => {}
            (Message::Watch(true), Some(_)) => self.next = Some(Call::Watch),
            (Message::Watch(true), None) => self.begin(cx, Call::Watch),
            (Message::Fetch, None) => self.begin(cx, Call::Snapshot),
            // A watch brings the whole list where much was missed; one beside a snapshot is asked
            // for after it.
            (Message::Fetch, Some(Call::Watch)) => {
                self.next = Some(Call::Watch);
                self.open = None;
                self.begin(cx, Call::Snapshot);
            }
            _ => {}
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.end(cx, Some(Failure::Untold), "silent");
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        self.release_former(cx);
    }
}
