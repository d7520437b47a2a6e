//! A host of many aggregators, which handles the lines of the protocol.

use super::actions::{write_action, write_line};
use super::error::{ProtocolError, WireError};
use super::line::Line;
use super::settings::read_settings;
use crate::dispatcher::Aggregator;
use crate::interface::{Endpoint, Event, ListKind, PartId, QueryId, ServerId, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of endpoint lists that the protocol can refer to.
const MAX_SHEETS: usize = 16;

/// An aggregator and the events of the batch being read.
struct Hosted {
    name: String,
    classes: usize,
    aggregator: Aggregator,
    events: Vec<Event>,
}

#[derive(Clone, Copy)]
struct Batch {
    now: Time,
    turn: u64,
}

/// An endpoint list that is being read.
struct PartialSheet {
    number: usize,
    size: usize,
    entries: Vec<Endpoint>,
}

/// Hosts many aggregators.
#[derive(Default)]
pub struct Host {
    hosted: Vec<Hosted>,
    /// Indices of the running instances in `hosted`, by name.
    instances: BTreeMap<String, usize>,
    sheets: [Option<Arc<[Endpoint]>>; MAX_SHEETS],
    partial_sheet: Option<PartialSheet>,
    batch: Option<Batch>,
    selected: Option<String>,
    /// Indices of the instances that take a turn in this batch, in order of their first message.
    active: Vec<usize>,
    lines: u64,
}

impl Host {
    /// Creates a host without aggregators.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles one line. The line that ends a batch returns the reply.
    ///
    /// # Errors
    ///
    /// If the line violates the protocol. The host must not be used after that.
    pub fn line(&mut self, text: &str) -> Result<Option<String>, WireError> {
        self.lines += 1;
        let line = Line::new(text.trim_end_matches(['\r', '\n']));
        self.handle(&line).map_err(|problem| WireError {
            line: self.lines,
            problem,
        })
    }

    /// Checks that the input is complete.
    ///
    /// # Errors
    ///
    /// If the input ended inside a batch.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.batch {
            None => Ok(()),
            Some(Batch { turn, .. }) => Err(WireError {
                line: self.lines,
                problem: ProtocolError::UnfinishedBatch { turn },
            }),
        }
    }

    fn handle(&mut self, line: &Line<'_>) -> Result<Option<String>, ProtocolError> {
        if line.name.is_empty() {
            return match self.batch {
                None => Ok(None),
                Some(_) => Err(ProtocolError::EmptyLine),
            };
        }
        if line.name == "FRAME" {
            if self.batch.is_some() {
                return Err(ProtocolError::FrameInsideBatch);
            }
            let (now, turn) = (line.number("now")?, line.number("turn")?);
            self.batch = Some(Batch { now, turn });
            self.selected = None;
            return Ok(None);
        }
        let Some(Batch { now, turn }) = self.batch else {
            return Err(ProtocolError::OutsideBatch(line.name.to_owned()));
        };
        if self.partial_sheet.is_some() {
            self.read_entry(line)?;
            return Ok(None);
        }
        match line.name {
            "SHEET" => self.begin_sheet(line)?,
            "SELECT" => self.selected = Some(line.str("who")?.to_owned()),
            "INIT" => self.start(line)?,
            "STOP" => self.stop(line)?,
            "EOF_BATCH" => {
                self.batch = None;
                return Ok(Some(self.reply(now, turn)));
            }
            _ => self.queue_event(line)?,
        }
        Ok(None)
    }

    fn begin_sheet(&mut self, line: &Line<'_>) -> Result<(), ProtocolError> {
        let number: usize = line.number("sheet")?;
        if number >= MAX_SHEETS {
            return Err(ProtocolError::SheetTooLarge {
                sheet: number,
                max: MAX_SHEETS - 1,
            });
        }
        match line.number("items")? {
            0 => self.sheets[number] = Some(Arc::new([])),
            size => {
                let entries = Vec::new();
                self.partial_sheet = Some(PartialSheet {
                    number,
                    size,
                    entries,
                });
            }
        }
        Ok(())
    }

    fn read_entry(&mut self, line: &Line<'_>) -> Result<(), ProtocolError> {
        let Some(list) = &mut self.partial_sheet else {
            return Ok(());
        };
        if line.name != "ENTRY" {
            return Err(ProtocolError::IncompleteSheet {
                message: line.name.to_owned(),
                sheet: list.number,
            });
        }
        list.entries.push(line.entry()?);
        if list.entries.len() == list.size {
            self.sheets[list.number] = Some(list.entries.as_slice().into());
            self.partial_sheet = None;
        }
        Ok(())
    }

    fn stop(&mut self, line: &Line<'_>) -> Result<(), ProtocolError> {
        let index = self.selected_instance(line)?;
        self.instances.retain(|_, other| *other != index);
        self.hosted[index].events.clear();
        self.active.retain(|other| *other != index);
        Ok(())
    }

    fn queue_event(&mut self, line: &Line<'_>) -> Result<(), ProtocolError> {
        let index = self.selected_instance(line)?;
        if !self.active.contains(&index) {
            self.active.push(index);
        }
        let Some(event) = self.event(line)? else {
            return Ok(());
        };
        let hosted = &mut self.hosted[index];
        if let Event::Query { class, .. } = &event
            && *class >= hosted.classes
        {
            return Err(ProtocolError::UnknownClass(*class));
        }
        hosted.events.push(event);
        Ok(())
    }

    /// The name of the selected instance, which messages in the batch are for.
    fn selected(&self, line: &Line<'_>) -> Result<&str, ProtocolError> {
        self.selected
            .as_deref()
            .ok_or_else(|| ProtocolError::NothingSelected(line.name.to_owned()))
    }

    fn selected_instance(&self, line: &Line<'_>) -> Result<usize, ProtocolError> {
        let name = self.selected(line)?;
        let unknown = || ProtocolError::UnknownInstance {
            message: line.name.to_owned(),
            instance: name.to_owned(),
        };
        self.instances.get(name).copied().ok_or_else(unknown)
    }

    fn start(&mut self, line: &Line<'_>) -> Result<(), ProtocolError> {
        let name = self.selected(line)?.to_owned();
        let settings = read_settings(line.text("boot_info")?)?;
        let classes = settings.classes.len();
        let aggregator = Aggregator::new(settings, line.number("random_seed")?);
        let new = Hosted {
            name: name.clone(),
            classes,
            aggregator,
            events: Vec::new(),
        };
        // The slot of an earlier incarnation is reused, so that restarts don't increase the memory
        // use.
        let existing = self.hosted.iter().position(|hosted| hosted.name == name);
        let index = match existing {
            Some(index) => {
                self.hosted[index] = new;
                index
            }
            None => {
                self.hosted.push(new);
                self.hosted.len() - 1
            }
        };
        self.instances.insert(name, index);
        if !self.active.contains(&index) {
            self.active.push(index);
        }
        Ok(())
    }

    fn event(&self, line: &Line<'_>) -> Result<Option<Event>, ProtocolError> {
        Ok(Some(match line.name {
            "MEMBERSHIP" => {
                let kind = match line.str("mode")? {
                    "Partial" => ListKind::Partial,
                    "Complete" => ListKind::Complete,
                    "Persisted" => ListKind::Persisted,
                    "Error" => return Ok(Some(Event::DiscoveryFailed { refused: true })),
                    other => return Err(line.unknown("mode", other)),
                };
                let sheet: usize = line.number("sheet")?;
                let entries = self.sheets.get(sheet).cloned().flatten();
                let entries = entries.ok_or(ProtocolError::UnknownSheet(sheet))?;
                Event::Endpoints { kind, entries }
            }
            "ORDER" => order(
                line,
                line.number("tid")?,
                line.integer("group_no")?.unsigned_abs(),
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
            // Ignored: no class streams its answers, and peers send nothing.
            "HEADERS" | "FROM_PEER" => return Ok(None),
            other => return Err(ProtocolError::UnknownMessage(other.to_owned())),
        }))
    }

    fn reply(&mut self, now: Time, turn: u64) -> String {
        let mut out = String::new();
        let mut actions = Vec::new();
        for index in std::mem::take(&mut self.active) {
            let hosted = &mut self.hosted[index];
            hosted.aggregator.turn(now, &hosted.events, &mut actions);
            hosted.events.clear();
            if !actions.is_empty() {
                write_line(&mut out, format_args!("BY who={}", hosted.name));
            }
            for action in actions.drain(..) {
                write_action(&mut out, &action);
            }
        }
        write_line(&mut out, format_args!("READY turn={turn}"));
        out
    }
}

fn order(line: &Line<'_>, id: u64, number: u64) -> Result<Event, ProtocolError> {
    let shard = line.integer("slab")?;
    if shard >= 0 {
        let shard = u32::try_from(shard).map_err(|_| ProtocolError::ShardTooLarge)?;
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
        parts: line
            .integer("size_or_weight")?
            .clamp(0, i64::from(u32::MAX)) as u32,
        client_timeout: line.number("time_budget")?,
        is_retry: line.flag("resent")?,
    })
}
