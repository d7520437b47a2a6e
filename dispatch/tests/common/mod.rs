//! A hand-driven aggregator and its surroundings, for tests of the decisions.
#![allow(dead_code)]

use dispatch::Aggregator;
use dispatch::interface::*;

pub const MS: Time = 1_000_000;

/// An aggregator with the time, the actions of its last turn, and the ids handed out.
pub struct Rig {
    pub aggregator: Aggregator,
    pub now: Time,
    pub actions: Vec<Action>,
    pub next: u64,
}

pub fn entry(id: u32, cell: u32) -> Endpoint {
    Endpoint {
        server: ServerId(id),
        cell,
        ..Endpoint::default()
    }
}

/// A ring of `cells` cells with one server each, every shard on `reach` of them.
pub fn ring(cells: u32, replication_factor: u32) -> Settings {
    Settings {
        cells,
        replication_factor,
        ..Settings::default()
    }
}

impl Rig {
    /// Starts an aggregator whose cells hold one server each, numbered 100 + cell.
    pub fn new(settings: Settings) -> Self {
        Self::seeded(settings, 5)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let entries: Vec<Endpoint> = (0..settings.cells).map(|c| entry(100 + c, c)).collect();
        let mut rig = Rig {
            aggregator: Aggregator::new(settings, seed),
            now: 1000 * MS,
            actions: Vec::new(),
            next: 1,
        };
        rig.turn(
            0,
            &[Event::Endpoints {
                kind: ListKind::Persisted,
                entries: entries.into(),
            }],
        );
        rig
    }

    pub fn turn(&mut self, later: Time, events: &[Event]) {
        self.now += later;
        self.actions.clear();
        self.aggregator.turn(self.now, events, &mut self.actions);
    }

    /// The events of a query of a class on some shards; its parts have the ids after its own.
    pub fn query(
        &mut self,
        class: usize,
        client_timeout: Time,
        shards: &[u32],
    ) -> (u64, Vec<Event>) {
        let number = self.next;
        self.next += 1 + shards.len() as u64;
        let parts = shards.len() as u32;
        let id = QueryId(number);
        let mut events = vec![Event::Query {
            id,
            number,
            class,
            parts,
            client_timeout,
            is_retry: false,
        }];
        for (i, &shard) in shards.iter().enumerate() {
            let weight = 1.0 / f64::from(parts);
            events.push(Event::Part {
                id: PartId(number + 1 + i as u64),
                number,
                shard,
                weight,
            });
        }
        (number, events)
    }

    pub fn ask(&mut self, later: Time, shards: &[u32]) -> u64 {
        let (number, events) = self.query(0, 2000 * MS, shards);
        self.turn(later, &events);
        number
    }

    pub fn sends(&self) -> Vec<(PartId, ServerId, Time)> {
        let send = |a: &Action| match *a {
            Action::Send {
                part,
                server,
                until,
            } => Some((part, server, until)),
            _ => None,
        };
        self.actions.iter().filter_map(send).collect()
    }

    /// Answers queries on `shards` one after the other until the class's pace is learnt.
    pub fn warm_up(&mut self, took: Time, shards: &[u32]) {
        for _ in 0..40 {
            self.ask(MS, shards);
            // A wide query sends one part ahead of the others.
            while !self.sends().is_empty() {
                let sends = self.sends();
                let events: Vec<Event> = sends
                    .iter()
                    .map(|s| ended(s.0, 0, s.1, Outcome::Ok, took))
                    .collect();
                self.turn(took, &events);
            }
        }
    }
}

pub fn ended(part: PartId, attempt: u32, server: ServerId, outcome: Outcome, took: Time) -> Event {
    Event::AttemptEnded {
        part,
        attempt,
        server,
        outcome,
        took,
        load: LoadReport::default(),
    }
}
