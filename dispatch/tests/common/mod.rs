//! An aggregator whose events and time are provided by a test.
#![allow(dead_code)]

use dispatch::Aggregator;
use dispatch::interface::*;

pub const MS: Time = 1_000_000;

/// An aggregator, its time, the actions of its last turn, and the next id.
pub struct Rig {
    pub aggregator: Aggregator,
    pub now: Time,
    pub actions: Vec<Action>,
    pub next_id: u64,
}

pub fn endpoint(id: u32, cell: u32) -> Endpoint {
    Endpoint {
        server: ServerId(id),
        cell,
        ..Endpoint::default()
    }
}

/// Settings with `cells` cells and each shard in `replication_factor` of them.
pub fn ring_settings(cells: u32, replication_factor: u32) -> Settings {
    Settings {
        cells,
        replication_factor,
        ..Settings::default()
    }
}

impl Rig {
    /// Starts an aggregator with one server per cell, numbered 100 + cell.
    pub fn new(settings: Settings) -> Self {
        Self::seeded(settings, 5)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let entries: Vec<Endpoint> = (0..settings.cells).map(|c| endpoint(100 + c, c)).collect();
        let mut rig = Rig {
            aggregator: Aggregator::new(settings, seed),
            now: 1000 * MS,
            actions: Vec::new(),
            next_id: 1,
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

    /// Advances the time by `elapsed` and runs a turn.
    pub fn turn(&mut self, elapsed: Time, events: &[Event]) {
        self.now += elapsed;
        self.actions.clear();
        self.aggregator.turn(self.now, events, &mut self.actions);
    }

    /// The number and the events of a new query. Its parts have the ids that follow its number.
    pub fn query(
        &mut self,
        class: usize,
        client_timeout: Time,
        shards: &[u32],
    ) -> (u64, Vec<Event>) {
        let number = self.next_id;
        self.next_id += 1 + shards.len() as u64;
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

    /// Submits a query of the first class after `elapsed` and returns its number.
    pub fn submit(&mut self, elapsed: Time, shards: &[u32]) -> u64 {
        let (number, events) = self.query(0, 2000 * MS, shards);
        self.turn(elapsed, &events);
        number
    }

    /// The attempts that the last turn started, with their deadlines.
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

    /// Answers queries to `shards` one after the other until the class's latency is learned.
    pub fn warm_up(&mut self, took: Time, shards: &[u32]) {
        for _ in 0..40 {
            self.submit(MS, shards);
            // A wide query sends a canary before its other parts.
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
