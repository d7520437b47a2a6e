//! A Z39.50 session with a reader's client: Init, Search, Present, Close.

use super::Shared;
use super::found::Found;
use crate::core::ports::{Answer, Caller};
use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Input, Ready, Stream};
use bramblestair::interface::Time;
use catalogue::ber::{self, Class, Item, Writer};
use catalogue::rpn::{self, Diagnostic};
use catalogue::z3950::{self, CloseReason, SERVICES, ServiceKind, SetStatus, Unsupported, tag};
use std::collections::BTreeMap;
use std::io;

type Cx<'a> = Context<'a, Gatherer>;

/// A present's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PresentStatus {
    Success = 0,
    /// Some records are missing, by the target's own bound.
    Partial = 4,
    Failure = 5,
}

struct ResultSet {
    cql: String,
    hits: u64,
}

/// What is with the core.
enum Pending {
    Search { set: String, cql: String, small: u64, large: u64, medium: u64, xml: bool },
    Present { start: u64, count: u64, clipped: bool },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Init has not come.
    Fresh,
    Open,
    /// A Close is being written.
    Closing,
}

/// One session.
pub struct Session {
    catalogue: Shared,
    stream: Stream,
    input: Vec<u8>,
    state: State,
    sets: BTreeMap<String, ResultSet>,
    pending: Option<(Option<Vec<u8>>, Pending)>,
    /// When the data unit that is not whole yet began to come, or the session, where there was none.
    begun: Option<Time>,
}

impl Session {
    /// The connection object of an accepted socket.
    pub fn accept(catalogue: Shared, stream: Stream) -> Box<dyn Connection<Gatherer>> {
        Box::new(Session {
            catalogue,
            stream,
            input: Vec::new(),
            state: State::Fresh,
            sets: BTreeMap::new(),
            pending: None,
            begun: None,
        })
    }

    /// Reads data units and acts on them, one at a time.
    fn read_units(&mut self, cx: &mut Cx<'_>) {
        while self.state != State::Closing && self.pending.is_none() {
            match ber::read(&mut self.input, cx.world.limits.body_bytes, cx.world.limits.ber_depth) {
                Ok(Some(unit)) => self.unit(cx, &unit),
                Ok(None) => return,
                Err(problem) => {
                    tracing::debug!(%problem, "bad data unit");
                    self.close_session(cx, CloseReason::ProtocolError, &problem.to_string());
                }
            }
        }
    }

    fn unit(&mut self, cx: &mut Cx<'_>, unit: &Item) {
        let reference = unit.get(tag::REFERENCE).map(Item::bytes);
        let service = SERVICES.iter().find(|(tag, _)| unit.class == Class::Context && *tag == unit.tag);
        match (service.map(|(_, kind)| *kind), self.state) {
            (Some(ServiceKind::Init), State::Fresh) => self.init(unit, reference.as_deref()),
            (Some(ServiceKind::Search), State::Open) => self.search(cx, unit, reference),
            (Some(ServiceKind::Present), State::Open) => self.present(cx, unit, reference),
            (Some(ServiceKind::Unsupported(how)), State::Open) => self.unsupported(how, reference.as_deref()),
            (Some(ServiceKind::Close), _) => self.close_session(cx, CloseReason::ResponseToPeer, ""),
            _ => self.close_session(cx, CloseReason::ProtocolError, "no such service, or out of order"),
        }
    }

    fn init(&mut self, unit: &Item, reference: Option<&[u8]>) {
        // Versions 2 and 3 are spoken; a client that has neither is told so and let go.
        let known = unit.get(tag::VERSION).is_some_and(|v| v.bit(1) || v.bit(2));
        let size = |tag| unit.get(tag).and_then(Item::integer).unwrap_or(128 << 10).clamp(1 << 10, 1 << 20);
        let most = size(tag::PREFERRED_SIZE) as usize;
        self.stream.push(&z3950::unit(tag::INIT_RESPONSE, reference, |w| {
            z3950::introduce(w, most);
            w.boolean(tag::RESULT, known);
            z3950::name_self(w);
        }));
        if known {
            self.state = State::Open;
        }
    }

    fn search(&mut self, cx: &mut Cx<'_>, unit: &Item, reference: Option<Vec<u8>>) {
        match self.start_search(cx, unit) {
            Ok(pending) => self.wait(cx, reference, pending),
            Err(diagnostic) => self.search_failed(reference.as_deref(), &diagnostic),
        }
    }

    fn start_search(&mut self, cx: &mut Cx<'_>, unit: &Item) -> Result<Pending, Diagnostic> {
        let malformed = || Diagnostic::new(108, "a parameter is missing");
        let number = |tag| {
            unit.get(tag).and_then(Item::integer).and_then(|n| u64::try_from(n).ok()).ok_or_else(malformed)
        };
        let (small, large, medium) =
            (number(tag::SMALL_SET)?, number(tag::LARGE_SET)?, number(tag::MEDIUM_SET)?);
        let set = unit.get(tag::SET_NAME).and_then(Item::text).ok_or_else(malformed)?;
        let replace = unit.get(tag::REPLACE).and_then(Item::boolean).ok_or_else(malformed)?;
        if set.len() > cx.world.limits.name_bytes {
            return Err(Diagnostic::new(22, "the name is too long"));
        }
        if self.sets.contains_key(&set) && !replace {
            return Err(Diagnostic::new(21, set));
        }
        if !self.sets.contains_key(&set) && self.sets.len() >= cx.world.limits.result_sets {
            return Err(Diagnostic::new(112, cx.world.limits.result_sets.to_string()));
        }
        let databases = unit.get(tag::DATABASES).map(Item::items).unwrap_or_default();
        let [database] = databases else { return Err(Diagnostic::new(23, "")) };
        let database = database.text().unwrap_or_default();
        if !database.eq_ignore_ascii_case(&self.catalogue.database) {
            return Err(Diagnostic::new(235, database));
        }
        let node = rpn::read(unit.get(tag::QUERY).ok_or_else(malformed)?)?;
        let cql = node.to_string();
        if cql.len() > cx.world.limits.head_bytes {
            return Err(Diagnostic::new(5, ""));
        }
        // A search that is replaced is gone, whatever becomes of the new one.
        self.sets.remove(&set);
        let xml = self.wants_xml(unit);
        let wanted = if xml { small.max(if large > 1 { medium } else { 0 }) } else { 0 };
        let wanted = wanted.min(cx.world.limits.records as u64) as usize;
        self.ask(cx, wanted, &cql)?;
        Ok(Pending::Search { set, cql, small, large, medium, xml })
    }

    fn wants_xml(&self, unit: &Item) -> bool {
        unit.get(tag::SYNTAX).is_none_or(|syntax| syntax.oid().as_deref() == Some(z3950::XML))
    }

    fn ask(&self, cx: &mut Cx<'_>, wanted: usize, cql: &str) -> Result<(), Diagnostic> {
        let caller = Caller(cx.token.bits());
        let taken = self.catalogue.search(cx.world, caller, wanted, cql, cx.since, cx.now);
        taken.map_err(|_| Diagnostic::new(2, "too much is held"))
    }

    fn wait(&mut self, cx: &mut Cx<'_>, reference: Option<Vec<u8>>, pending: Pending) {
        self.pending = Some((reference, pending));
        cx.world.clients.set_busy(cx.token);
        cx.clear_timer();
    }

    fn search_failed(&mut self, reference: Option<&[u8]>, diagnostic: &Diagnostic) {
        self.stream.push(&z3950::unit(tag::SEARCH_RESPONSE, reference, |w| {
            w.integer(tag::RESULT_COUNT, 0);
            w.integer(tag::RETURNED, 0);
            w.integer(tag::NEXT_POSITION, 0);
            w.boolean(tag::SEARCH_STATUS, false);
            w.integer(tag::SET_STATUS, SetStatus::None as i64);
            w.inside(tag::DIAGNOSTIC, |d| z3950::write_diagnostic(d, diagnostic));
        }));
    }

    fn present(&mut self, cx: &mut Cx<'_>, unit: &Item, reference: Option<Vec<u8>>) {
        match self.start_present(cx, unit) {
            Ok(pending) => self.wait(cx, reference, pending),
            Err(diagnostic) => {
                self.presented(reference.as_deref(), PresentStatus::Failure, &[], 0, Some(&diagnostic));
            }
        }
    }

    fn start_present(&mut self, cx: &mut Cx<'_>, unit: &Item) -> Result<Pending, Diagnostic> {
        let number = |tag| unit.get(tag).and_then(Item::integer).and_then(|n| u64::try_from(n).ok());
        let name = unit.get(tag::SET_ID).and_then(Item::text).unwrap_or_default();
        let set = self.sets.get(&name).ok_or_else(|| Diagnostic::new(30, name.clone()))?;
        let (Some(start), Some(count)) = (number(tag::START), number(tag::REQUESTED)) else {
            return Err(Diagnostic::new(13, ""));
        };
        if !self.wants_xml(unit) {
            return Err(Diagnostic::new(239, "only XML"));
        }
        let end = start.saturating_add(count);
        let limit = cx.world.limits.records as u64;
        if start == 0 || count == 0 || end - 1 > set.hits || start > limit {
            return Err(Diagnostic::new(13, ""));
        }
        // A slice gives its first records only, up to the limit.
        let clipped = end - 1 > limit;
        let count = if clipped { limit + 1 - start } else { count };
        let cql = set.cql.clone();
        self.ask(cx, (start - 1 + count) as usize, &cql)?;
        Ok(Pending::Present { start, count, clipped })
    }

    fn presented(
        &mut self,
        reference: Option<&[u8]>,
        status: PresentStatus,
        records: &[String],
        next: u64,
        diagnostic: Option<&Diagnostic>,
    ) {
        let database = self.catalogue.database.clone();
        self.stream.push(&z3950::unit(tag::PRESENT_RESPONSE, reference, |w| {
            w.integer(tag::RETURNED, records.len() as i64);
            w.integer(tag::NEXT_POSITION, next as i64);
            w.integer(tag::PRESENT_STATUS, status as i64);
            match diagnostic {
                Some(diagnostic) => w.inside(tag::DIAGNOSTIC, |d| z3950::write_diagnostic(d, diagnostic)),
                None => z3950::write_records(w, &database, records),
            }
        }));
    }

    fn unsupported(&mut self, how: Unsupported, reference: Option<&[u8]>) {
        let diagnostic = Diagnostic::new(how.condition, "");
        self.stream.push(&z3950::unit(how.response, reference, |w| {
            w.integer(how.status.0, how.status.1);
            let write = |w: &mut Writer| z3950::write_diagnostic(w, &diagnostic);
            match how.diagnostics {
                // A list of entries' diagnostics: each is tagged by its form.
                Some((tag, true)) => w.inside(tag, |list| {
                    list.inside(2, |all| all.inside_universal(ber::universal::SEQUENCE, write));
                }),
                Some((tag, false)) => {
                    w.inside(tag, |list| list.inside_universal(ber::universal::SEQUENCE, write));
                }
                None => {}
            }
        }));
    }

    /// The core's answer to what is pending.
    fn answered(&mut self, cx: &mut Cx<'_>, answer: &Answer) {
        let Some((reference, pending)) = self.pending.take() else { return };
        let reference = reference.as_deref();
        let (whole, values) = match answer {
            Answer::Served { whole, values } => (*whole, values),
            other => {
                let diagnostic = match other {
                    Answer::Refused { .. } => Diagnostic::new(2, "ask again later"),
                    _ => Diagnostic::new(31, "no answer in time"),
                };
                match pending {
                    Pending::Search { .. } => self.search_failed(reference, &diagnostic),
                    Pending::Present { .. } => {
                        self.presented(reference, PresentStatus::Failure, &[], 0, Some(&diagnostic));
                    }
                }
                return;
            }
        };
        let limit = cx.world.limits.records;
        match pending {
            Pending::Present { start, count, clipped } => {
                let found = Found::merge(values, start, count as usize);
                let short = (found.records.len() as u64) < count;
                let ok = whole && !clipped && !short;
                let status = if ok { PresentStatus::Success } else { PresentStatus::Partial };
                let next = start + found.records.len() as u64;
                let next = if next > found.hits { 0 } else { next };
                self.presented(reference, status, &found.records, next, None);
            }
            Pending::Search { set, cql, small, large, medium, xml } => {
                let hits = Found::merge(values, 1, 0).hits;
                let wanted = match hits {
                    n if n <= small => n,
                    n if n >= large => 0,
                    n => medium.min(n),
                };
                let found = Found::merge(values, 1, wanted.min(limit as u64) as usize);
                let records = if xml { found.records.as_slice() } else { &[] };
                let all = records.len() as u64 == wanted;
                self.searched(reference, hits, whole, records, (wanted > 0).then_some(all && xml));
                self.sets.insert(set, ResultSet { cql, hits });
            }
        }
    }

    fn searched(
        &mut self,
        reference: Option<&[u8]>,
        hits: u64,
        whole: bool,
        records: &[String],
        all: Option<bool>,
    ) {
        let database = self.catalogue.database.clone();
        self.stream.push(&z3950::unit(tag::SEARCH_RESPONSE, reference, |w| {
            w.integer(tag::RESULT_COUNT, i64::try_from(hits).unwrap_or(i64::MAX));
            w.integer(tag::RETURNED, records.len() as i64);
            let next = records.len() as u64 + 1;
            w.integer(tag::NEXT_POSITION, if next > hits { 0 } else { next as i64 });
            // A search in which slices are missing did not succeed; its set is a valid subset.
            w.boolean(tag::SEARCH_STATUS, whole);
            if !whole {
                w.integer(tag::SET_STATUS, SetStatus::Subset as i64);
            }
            match all {
                Some(true) => w.integer(tag::PRESENT_STATUS, PresentStatus::Success as i64),
                Some(false) if records.is_empty() => {
                    w.integer(tag::PRESENT_STATUS, PresentStatus::Failure as i64);
                }
                Some(false) => w.integer(tag::PRESENT_STATUS, PresentStatus::Partial as i64),
                None => {}
            }
            if !records.is_empty() {
                z3950::write_records(w, &database, records);
            } else if !whole {
                let subset = Diagnostic::new(33, "some slices did not answer in time");
                w.inside(tag::DIAGNOSTIC, |d| z3950::write_diagnostic(d, &subset));
            } else if all == Some(false) {
                let syntax = Diagnostic::new(239, "only XML");
                w.inside(tag::DIAGNOSTIC, |d| z3950::write_diagnostic(d, &syntax));
            }
        }));
    }

    fn close_session(&mut self, cx: &mut Cx<'_>, reason: CloseReason, words: &str) {
        self.stream.push(&z3950::unit(tag::CLOSE, None, |w| {
            w.integer(tag::CLOSE_REASON, reason as i64);
            if !words.is_empty() {
                w.bytes(3, words.as_bytes());
            }
        }));
        self.state = State::Closing;
        cx.set_timer(cx.now + cx.world.limits.linger);
    }

    /// Between requests: may be closed for room, and is closed after long disuse, or when it leaves a data unit
    /// half said.
    fn rest(&mut self, cx: &mut Cx<'_>) {
        if self.state == State::Closing || self.pending.is_some() {
            return;
        }
        if self.input.is_empty() {
            self.begun = None;
            // A session holds result sets, so it is worth more than a connection that asked once.
            cx.world.clients.set_idle(cx.token, cx.now, u32::MAX);
            cx.set_timer(cx.now + cx.world.limits.session_idle);
        } else {
            let begun = *self.begun.get_or_insert(cx.now);
            cx.world.clients.set_partial(cx.token, begun);
            cx.set_timer(begun + cx.world.limits.request_read);
        }
    }

    fn flush(&mut self, cx: &mut Cx<'_>) {
        let readable = self.input.len() <= cx.world.limits.body_bytes;
        match self.stream.flush_and_arm(cx.net, cx.token, readable) {
            Ok(false) if self.state == State::Closing => self.stream.end_output(),
            Ok(_) => {}
            Err(_) => cx.close(),
        }
    }
}

impl Connection<Gatherer> for Session {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        self.begun = Some(cx.now);
        cx.set_timer(cx.now + cx.world.limits.request_read);
        self.stream.arm(cx.net, cx.token, Ready { readable: true, writable: false })
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        if ready.readable {
            match self.stream.read(&mut self.input, cx.world.limits.read_burst) {
                Ok(Input::Open) if self.state == State::Closing => self.input.clear(),
                Ok(Input::Open) => {
                    self.read_units(cx);
                    self.rest(cx);
                }
                Ok(Input::Ended) | Err(_) => return cx.close(),
            }
        }
        self.flush(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        match message {
            Message::Answer(answer) => {
                self.answered(cx, &answer);
                self.read_units(cx);
                self.rest(cx);
            }
            Message::MakeRoom | Message::Retire if self.pending.is_none() && self.state != State::Closing => {
                self.close_session(cx, CloseReason::Shutdown, "");
            }
            _ => {}
        }
        let leaving = cx.world.is_leaving(cx.now) && self.pending.is_none() && self.state != State::Closing;
        if leaving {
            self.close_session(cx, CloseReason::Shutdown, "");
        }
        self.flush(cx);
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        if self.state == State::Closing {
            return cx.close();
        }
        self.close_session(cx, CloseReason::LackOfActivity, "");
        self.flush(cx);
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        if self.pending.is_some() {
            cx.world.core.client_left(Caller(cx.token.bits()));
        }
        cx.world.clients.remove(cx.token);
    }
}
