//! Messages between the replicas, which are delayed, lost, partitioned or held back.

use super::World;
use control::Millis;
use control::message::{Envelope, Message};
use std::net::SocketAddrV4;

/// The longest extra delay of a message.
const LONGEST_DELAY: Millis = 3_000;

pub(super) struct InFlight {
    at: Millis,
    envelope: Envelope,
}

/// The fate of an intercepted message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interception {
    Deliver,
    Drop,
    /// Held back until [`World::release_held`] is called.
    Hold,
}

pub(super) type Interceptor = Box<dyn Fn(&Envelope) -> Interception>;

impl World {
    pub fn cut_off(&mut self, name: &str) {
        for other in self.names() {
            if other != name {
                self.cut.insert((name.to_owned(), other.clone()));
                self.cut.insert((other, name.to_owned()));
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Intercepts the messages to a machine from now on. Replaces an earlier interceptor.
    pub fn intercept(&mut self, to: &str, decide: impl Fn(&Message) -> Interception + 'static) {
        let to = to.to_owned();
        self.interceptor = Some(Box::new(move |envelope| match envelope.to.node == to {
            true => decide(&envelope.message),
            false => Interception::Deliver,
        }));
    }

    /// Delivers the messages that were held back and returns their number.
    pub fn release_held(&mut self) -> usize {
        let held = std::mem::take(&mut self.held);
        let count = held.len();
        let at = self.now + 1;
        self.in_flight
            .extend(held.into_iter().map(|envelope| InFlight { at, envelope }));
        count
    }

    /// The machine at an address; `None` if it was removed.
    fn name_of(&self, address: SocketAddrV4) -> Option<&String> {
        let found = self
            .machines
            .iter()
            .find(|(_, machine)| machine.address == address);
        found.map(|(name, _)| name)
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        if !self.in_flight.iter().any(|message| message.at <= now) {
            return;
        }
        let mut due = Vec::new();
        let mut later = Vec::new();
        for message in std::mem::take(&mut self.in_flight) {
            let Some(to) = self.name_of(message.envelope.to.address).cloned() else {
                continue;
            };
            let frozen = self.machines[&to].frozen_until > now;
            if message.at <= now && !frozen {
                due.push((to, message.envelope))
            } else {
                later.push(message)
            }
        }
        self.in_flight.extend(later);
        for (to, envelope) in due {
            let machine = self.machines.get_mut(&to).expect("a machine");
            if let Some(node) = &mut machine.node {
                node.receive(envelope, now);
                self.apply_effects(&to);
            }
        }
    }

    pub(super) fn send(&mut self, from: &str, envelope: Envelope) {
        let Some(to) = self.name_of(envelope.to.address).cloned() else {
            return;
        };
        if self.cut.contains(&(from.to_owned(), to.clone())) || self.rng.f64() < self.loss {
            return;
        }
        let intercept = |interceptor: &Interceptor| interceptor(&envelope);
        match self.interceptor.as_ref().map(intercept) {
            Some(Interception::Drop) => return,
            Some(Interception::Hold) => return self.held.push(envelope),
            Some(Interception::Deliver) | None => {}
        }
        let bytes = encode_message(&envelope.message);
        *self.bytes_sent.entry(to).or_default() += bytes.len() as u64;
        let transmission = self
            .bytes_per_ms
            .map_or(0, |rate| bytes.len() as u64 / rate);
        let message = decode_message(&bytes);
        let is_late = self.late > 0.0 && self.rng.f64() < self.late;
        let delay = if is_late {
            self.rng.u64(0..=LONGEST_DELAY)
        } else {
            self.rng.u64(0..=self.latency)
        };
        let at = self.now + self.latency + delay + transmission;
        self.in_flight.push(InFlight {
            at,
            envelope: Envelope {
                message,
                ..envelope
            },
        });
    }
}

fn encode_message(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).expect("a message can be encoded")
}

fn decode_message(bytes: &[u8]) -> Message {
    postcard::from_bytes(bytes).expect("a message can be decoded")
}
