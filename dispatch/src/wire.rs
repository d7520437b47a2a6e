//! The simulator's line protocol: a codec and a host for many aggregators. Translation only.

use crate::dispatcher::Aggregator;
use crate::interface::{
    Action, Budget, Class, Effect, Endpoint, Event, ListKind, LoadReport, Outcome, PartId, QueryId,
    ServerId, ServerStatus, Settings, Time,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::sync::Arc;

/// How many server lists the protocol numbers.
const SHEETS: usize = 16;

/// A line that does not say what the protocol asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    /// The number of the line, from 1.
    pub line: u64,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.problem)
    }
}

impl std::error::Error for WireError {}

/// One line, split into its message name and its fields.
struct Line<'a> {
    name: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    fn new(text: &'a str) -> Self {
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        Line { name, rest }
    }

    fn find(&self, field: &str) -> Option<&'a str> {
        self.rest.split(' ').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == field).then_some(value)
        })
    }

    /// A text field: everything from its `=` to the end of the line.
    fn text(&self, field: &str) -> Result<&'a str, String> {
        let start = self.rest.split(' ').try_fold(0, |at, pair| {
            match pair.split_once('=') {
                Some((key, _)) if key == field => Err(at + field.len() + 1), // found
                _ => Ok(at + pair.len() + 1),
            }
        });
        match start {
            Err(at) => Ok(&self.rest[at..]),
            Ok(_) => Err(self.missing(field)),
        }
    }

    fn missing(&self, field: &str) -> String {
        format!("{}: field `{field}` is missing", self.name)
    }

    fn word(&self, field: &str) -> Result<&'a str, String> {
        self.find(field).ok_or_else(|| self.missing(field))
    }

    fn parse<T: std::str::FromStr>(&self, field: &str, value: &str) -> Result<T, String> {
        value.parse().map_err(|_| {
            format!(
                "{}: field `{field}` is no such number: `{value}`",
                self.name
            )
        })
    }

    fn number<T: std::str::FromStr>(&self, field: &str) -> Result<T, String> {
        self.parse(field, self.word(field)?)
    }

    fn number_or<T: std::str::FromStr>(&self, field: &str, absent: T) -> Result<T, String> {
        match self.find(field) {
            Some(value) => self.parse(field, value),
            None => Ok(absent),
        }
    }

    fn real(&self, field: &str) -> Result<f64, String> {
        let value: f64 = self.number(field)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("{}: field `{field}` is not finite", self.name))
        }
    }

    /// A whole number that the protocol types as a number, so `3` and `3.0` are both well formed.
    fn whole(&self, field: &str) -> Result<i64, String> {
        let value = self.real(field)?;
        if value.fract() == 0.0 && value.abs() < 9e15 {
            Ok(value as i64)
        } else {
            Err(format!("{}: field `{field}` is not whole", self.name))
        }
    }

    fn flag(&self, field: &str) -> Result<bool, String> {
        match self.find(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!(
                "{}: field `{field}` is neither 0 nor 1: `{other}`",
                self.name
            )),
        }
    }

    fn unknown(&self, field: &str, value: &str) -> String {
        format!(
            "{}: field `{field}` has an unknown value: `{value}`",
            self.name
        )
    }

    fn outcome(&self) -> Result<Outcome, String> {
        Ok(match self.word("code")? {
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

    fn load(&self) -> Result<LoadReport, String> {
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

    fn entry(&self) -> Result<Endpoint, String> {
        Ok(Endpoint {
            server: ServerId(self.number("leaf")?),
            zone: self.number_or("area", 0)?,
            kind: self.number_or("kind", 0)?,
            cell: self.number_or("cell", 0)?,
            status: match self.word("status")? {
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

/// A group of the settings, read with plain messages.
struct Group<'a> {
    path: String,
    value: &'a Value,
}

impl<'a> Group<'a> {
    fn sub(&self, key: &str) -> Group<'a> {
        Group {
            path: format!("{}.{key}", self.path),
            value: &self.value[key],
        }
    }

    fn items(&self) -> Vec<Group<'a>> {
        let items = self.value.as_array().map(Vec::as_slice).unwrap_or_default();
        let numbered = items.iter().enumerate();
        numbered
            .map(|(i, value)| Group {
                path: format!("{}[{i}]", self.path),
                value,
            })
            .collect()
    }

    fn maybe(&self, key: &str) -> Result<Option<f64>, String> {
        match &self.value[key] {
            Value::Null => Ok(None),
            value => match value.as_f64() {
                Some(number) if number >= 0.0 => Ok(Some(number)),
                _ => Err(format!(
                    "INIT: setting `{}.{key}` is no number of 0 or more",
                    self.path
                )),
            },
        }
    }

    fn real(&self, key: &str) -> Result<f64, String> {
        self.maybe(key)?
            .ok_or_else(|| format!("INIT: setting `{}.{key}` is missing", self.path))
    }

    fn real_or(&self, key: &str, absent: f64) -> Result<f64, String> {
        Ok(self.maybe(key)?.unwrap_or(absent))
    }

    fn time_or(&self, key: &str, absent: Time) -> Result<Time, String> {
        Ok(self.maybe(key)?.map_or(absent, |number| number as Time))
    }

    fn flag(&self, key: &str) -> bool {
        self.value[key].as_bool().unwrap_or(false)
    }
}

fn at(list: &[Group<'_>], place: usize, absent: f64) -> f64 {
    list.get(place)
        .and_then(|item| item.value.as_f64())
        .unwrap_or(absent)
}

/// Reads the settings an aggregator starts with; unknown keys are skipped.
pub fn read_settings(text: &str) -> Result<Settings, String> {
    let value: Value = serde_json::from_str(text)
        .map_err(|e| format!("INIT: field `boot_info` is not JSON: {e}"))?;
    let root = Group {
        path: "boot_info".to_owned(),
        value: &value,
    };
    let (limits, rules, extra) = (
        root.sub("limits"),
        root.sub("guarantees"),
        root.sub("extra"),
    );
    let prices = root.sub("prices");
    let floors = extra.sub("floor_by_class").items();
    let needs = extra.sub("class_need").items();
    let shorts = extra.sub("short_worth").items();
    let fetches = extra.sub("class_fetch").items();
    let mut classes = Vec::new();
    for (i, class) in root.sub("request_classes").items().iter().enumerate() {
        classes.push(Class {
            latency_target: class.real("target")? as Time,
            deadline: class.real("deadline")? as Time,
            value: class.real_or("credit", 1.0)?,
            late_value: class.real_or("late_share", 0.0)?,
            effect: match class.value["effect"].as_str() {
                Some("read_like") => Effect::Safe,
                Some("idempotency_key") => Effect::Keyed,
                Some("non_idempotent") => Effect::Unsafe,
                _ => return Err(format!("INIT: setting `{}.effect` is unknown", class.path)),
            },
            key_lifetime: class.time_or("key_ttl", 0)?,
            floor: at(&floors, i, 1.0),
            need: at(&needs, i, 1.0),
            partial_value: at(&shorts, i, 0.0),
            second_step: at(&fetches, i, 0.0) as u32,
            max_attempts: limits.real_or("max_attempts", 1.0)? as u32,
            retired: false,
        });
    }
    if classes.is_empty() {
        return Err("INIT: setting `boot_info.request_classes` is missing".to_owned());
    }
    let budget = match rules.maybe("counted_over")? {
        Some(window) => Some(Budget {
            free: rules.time_or("budget_free", 0)?,
            ratio: rules.real_or("repeat_ratio", 0.0)?,
            window: window as Time,
        }),
        None => None,
    };
    Ok(Settings {
        aggregators: root.real_or("group_size", 1.0)?.max(1.0) as u32,
        zone: root.real_or("zone", 0.0)? as u32,
        tick: root.time_or("tick", 0)?,
        discovery_on_request: value["discovery"].as_str() == Some("ask"),
        classes,
        cells: extra.real_or("sets", 1.0)?.max(1.0) as u32,
        replication_factor: extra.real_or("in_a_row", 1.0)?.max(1.0) as u32,
        call_parts: extra.real_or("batch", 1.0)?.max(1.0) as u32,
        call_work: extra.time_or("per_call_work", 0)?,
        max_open: limits.real_or("max_open", f64::from(u32::MAX))? as u32,
        can_cancel: limits.flag("cancel"),
        can_probe: limits.flag("probes"),
        probe_price: prices.real_or("probe", 0.0)?,
        waste_price: prices.real_or("waste", 0.0)?,
        can_hedge: limits.flag("second_copies"),
        retries_marked: root.sub("clients").flag("marks_retry"),
        max_retry_after: if limits.flag("retry_after") {
            limits.time_or("max_retry_after", 0)?
        } else {
            0
        },
        max_list_age: rules.time_or("ask_within", Time::MAX)?,
        drain_grace: rules.time_or("drain_grace", 0)?,
        initial_capacity: rules.real_or("start_capacity", 1.0)?,
        slow_start: rules.time_or("ramp_time", 0)?,
        overload_multiple: rules.real_or("tip_multiple", f64::INFINITY)?,
        overload_window: rules.time_or("fall", 0)?,
        budget,
    })
}

/// An aggregator and the events of the batch being read.
struct Hosted {
    name: String,
    classes: usize,
    aggregator: Aggregator,
    events: Vec<Event>,
}

/// Hosts many aggregators on one pair of streams.
#[derive(Default)]
pub struct Host {
    hosted: Vec<Hosted>,
    places: BTreeMap<String, usize>,
    sheets: [Option<Arc<[Endpoint]>>; SHEETS],
    reading: Option<(usize, usize, Vec<Endpoint>)>,
    frame: Option<(Time, u64)>,
    selected: Option<String>,
    acting: Vec<usize>,
    lines: u64,
}

impl Host {
    /// A host without aggregators.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one line; a whole batch gives its reply.
    pub fn line(&mut self, text: &str) -> Result<Option<String>, WireError> {
        self.lines += 1;
        let line = Line::new(text.trim_end_matches(['\r', '\n']));
        self.take(&line).map_err(|problem| WireError {
            line: self.lines,
            problem,
        })
    }

    /// To be called when the input ends: a batch cut short is an error.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.frame {
            None => Ok(()),
            Some((_, turn)) => Err(WireError {
                line: self.lines,
                problem: format!("input ended inside batch {turn}: EOF_BATCH is missing"),
            }),
        }
    }

    fn take(&mut self, line: &Line<'_>) -> Result<Option<String>, String> {
        if line.name.is_empty() {
            return if self.frame.is_none() {
                Ok(None)
            } else {
                Err("an empty line inside a batch".to_owned())
            };
        }
        if line.name == "FRAME" {
            if self.frame.is_some() {
                return Err("FRAME inside a batch: EOF_BATCH is missing".to_owned());
            }
            self.frame = Some((line.number("now")?, line.number("turn")?));
            self.selected = None;
            return Ok(None);
        }
        let Some((now, turn)) = self.frame else {
            return Err(format!("{} outside a batch: FRAME is missing", line.name));
        };
        if let Some((sheet, wanted, entries)) = &mut self.reading {
            if line.name != "ENTRY" {
                return Err(format!("{}: SHEET {sheet} lacks entries", line.name));
            }
            entries.push(line.entry()?);
            if entries.len() == *wanted {
                self.sheets[*sheet] = Some(entries.as_slice().into());
                self.reading = None;
            }
            return Ok(None);
        }
        match line.name {
            "SHEET" => {
                let sheet: usize = line.number("sheet")?;
                if sheet >= SHEETS {
                    return Err(format!(
                        "SHEET: field `sheet` is over {}: `{sheet}`",
                        SHEETS - 1
                    ));
                }
                match line.number("items")? {
                    0 => self.sheets[sheet] = Some(Arc::new([])),
                    items => self.reading = Some((sheet, items, Vec::new())),
                }
            }
            "SELECT" => self.selected = Some(line.word("who")?.to_owned()),
            "INIT" => self.start(line)?,
            "STOP" => {
                let who = self.who(line)?.to_owned();
                let place = self
                    .places
                    .remove(&who)
                    .ok_or_else(|| format!("STOP: unknown instance `{who}`"))?;
                self.hosted[place].events.clear();
                self.acting.retain(|p| *p != place);
            }
            "EOF_BATCH" => {
                self.frame = None;
                return Ok(Some(self.reply(now, turn)));
            }
            _ => {
                let who = self.who(line)?;
                let place = *self
                    .places
                    .get(who)
                    .ok_or_else(|| format!("{}: unknown instance `{who}`", line.name))?;
                if !self.acting.contains(&place) {
                    self.acting.push(place);
                }
                if let Some(event) = self.event(line)? {
                    if let Event::Query { class, .. } = &event
                        && *class >= self.hosted[place].classes
                    {
                        return Err(format!("ORDER: field `band` names no class: `{class}`"));
                    }
                    self.hosted[place].events.push(event);
                }
            }
        }
        Ok(None)
    }

    fn who(&self, line: &Line<'_>) -> Result<&str, String> {
        self.selected
            .as_deref()
            .ok_or_else(|| format!("{}: no SELECT before it in this batch", line.name))
    }

    fn start(&mut self, line: &Line<'_>) -> Result<(), String> {
        let name = self.who(line)?.to_owned();
        let settings = read_settings(line.text("boot_info")?)?;
        let classes = settings.classes.len();
        let aggregator = Aggregator::new(settings, line.number("random_seed")?);
        let fresh = Hosted {
            name: name.clone(),
            classes,
            aggregator,
            events: Vec::new(),
        };
        // A stopped instance's place is used again, so that restarts do not pile up memory.
        let place = match self.hosted.iter().position(|hosted| hosted.name == name) {
            Some(place) => {
                self.hosted[place] = fresh;
                place
            }
            None => {
                self.hosted.push(fresh);
                self.hosted.len() - 1
            }
        };
        self.places.insert(name, place);
        if !self.acting.contains(&place) {
            self.acting.push(place);
        }
        Ok(())
    }

    fn event(&self, line: &Line<'_>) -> Result<Option<Event>, String> {
        Ok(Some(match line.name {
            "MEMBERSHIP" => {
                let kind = match line.word("mode")? {
                    "Partial" => ListKind::Partial,
                    "Complete" => ListKind::Complete,
                    "Persisted" => ListKind::Persisted,
                    "Error" => return Ok(Some(Event::DiscoveryFailed { refused: true })),
                    other => return Err(line.unknown("mode", other)),
                };
                let sheet: usize = line.number("sheet")?;
                let entries = self.sheets.get(sheet).cloned().flatten();
                let entries =
                    entries.ok_or_else(|| format!("MEMBERSHIP: no SHEET numbered `{sheet}`"))?;
                Event::Endpoints { kind, entries }
            }
            "ORDER" => order(
                line,
                line.number("tid")?,
                line.whole("group_no")?.unsigned_abs(),
            )?,
            "DONE" => Event::AttemptEnded {
                part: PartId(line.number("tid")?),
                attempt: line.number("leg")?,
                server: ServerId(line.number("leaf")?),
                outcome: line.outcome()?,
                took: line.number_or("took", 0)?,
                load: line.load()?,
            },
            "PING_RESULT" => Event::ProbeEnded {
                server: ServerId(line.number("leaf")?),
                outcome: line.outcome()?,
                took: line.number_or("took", 0)?,
                load: line.load()?,
            },
            "ABORTED" => Event::ClientLeft {
                id: QueryId(line.number("tid")?),
            },
            "RING" => Event::Wake,
            // No class here streams its answers and no peer speaks: nothing to decide on these.
            "HEADERS" | "FROM_PEER" => return Ok(None),
            other => return Err(format!("unknown message `{other}`")),
        }))
    }

    fn reply(&mut self, now: Time, turn: u64) -> String {
        let mut out = String::new();
        let mut actions = Vec::new();
        for place in std::mem::take(&mut self.acting) {
            let hosted = &mut self.hosted[place];
            hosted.aggregator.turn(now, &hosted.events, &mut actions);
            hosted.events.clear();
            if !actions.is_empty() {
                put(&mut out, format_args!("BY who={}", hosted.name));
            }
            for action in actions.drain(..) {
                write_action(&mut out, &action);
            }
        }
        put(&mut out, format_args!("READY turn={turn}"));
        out
    }
}

fn order(line: &Line<'_>, id: u64, number: u64) -> Result<Event, String> {
    let shard = line.whole("slab")?;
    if shard >= 0 {
        let shard =
            u32::try_from(shard).map_err(|_| "ORDER: field `slab` is too large".to_owned())?;
        let weight = line.real("size_or_weight")?;
        return Ok(Event::Part {
            id: PartId(id),
            number,
            shard,
            weight,
        });
    }
    Ok(Event::Query {
        id: QueryId(id),
        number,
        class: line.number("band")?,
        parts: line.whole("size_or_weight")?.clamp(0, i64::from(u32::MAX)) as u32,
        client_timeout: line.number("time_budget")?,
        is_retry: line.flag("resent")?,
    })
}

fn put(out: &mut String, line: fmt::Arguments<'_>) {
    out.write_fmt(line)
        .expect("writing to a string cannot fail");
    out.push('\n');
}

fn write_action(out: &mut String, action: &Action) {
    match action {
        Action::Send {
            part,
            server,
            until,
        } => {
            put(
                out,
                format_args!("PLACE tid={} leaf={} try_until={until}", part.0, server.0),
            );
        }
        Action::Cancel { part, attempt } => {
            put(
                out,
                format_args!("STOP_ATTEMPT tid={} leg={attempt}", part.0),
            );
        }
        Action::Answer { query, complete } => {
            put(
                out,
                format_args!("ANSWER tid={} on={}", query.0, u8::from(*complete)),
            );
        }
        Action::Reject { query, retry_after } => {
            put(
                out,
                format_args!("REFUSE tid={} hold_off={retry_after}", query.0),
            );
        }
        Action::Fail { query } => put(out, format_args!("RESPOND_ERROR tid={}", query.0)),
        Action::WakeAt(instant) => put(out, format_args!("NOTIFY_ME instant={instant} label=wake")),
        Action::Probe(server) => put(out, format_args!("ASK_LOAD leaf={}", server.0)),
        Action::Watch(on) => put(out, format_args!("WATCH on={}", u8::from(*on))),
        Action::Fetch => put(out, format_args!("FETCH")),
        Action::Close(server) => put(out, format_args!("DISCONNECT leaf={}", server.0)),
        Action::Log(text) => put(
            out,
            format_args!("NOTE_DOWN line={}", text.replace(['\r', '\n'], " ")),
        ),
    }
}
