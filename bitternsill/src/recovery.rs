//! The gatherer's return on the loop: peers are asked over the store's addresses, and what they say
//! goes to the package `recovery`, which decides. Only where an operator's file asks for it.

pub mod cli;
pub mod questions;

use crate::front::Gatherer;
use crate::front::hosts::Member;
use crate::limits::Limits;
use crate::net::Net;
use ::recovery::Time;
use ::recovery::phase::{Phase, Plan, Recovery};
use ::recovery::ramp::{Ramp, Turn};
use dispatch::interface::{ListKind, Settings};
use serde::Deserialize;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What an operator's file says of the return.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoverySetup {
    /// Milliseconds that peers are waited for at the most.
    #[serde(default = "ask_ms")]
    pub ask_ms: u64,
    /// Gatherers that started within so many seconds of each other have one cause.
    #[serde(default = "together_s")]
    pub together_s: u64,
}

fn ask_ms() -> u64 {
    1_000
}

fn together_s() -> u64 {
    30
}

/// The return of this gatherer.
pub struct Return {
    recovery: Recovery,
    rng: fastrand::Rng,
    /// The list from before the start, until it is known what it is worth.
    kept: Vec<Member>,
}

impl Return {
    /// Begins it, with the list from before; each peer is asked by an object of its own.
    pub fn begin(
        setup: RecoverySetup,
        settings: &Settings,
        peers: &BTreeMap<u64, SocketAddr>,
        kept: Vec<Member>,
        list_for: Time,
        seed: u64,
        net: &mut Net<Gatherer>,
    ) -> Return {
        let worth: Vec<f64> = settings.classes.iter().map(|class| class.value).collect();
        let most = settings
            .classes
            .iter()
            .map(|class| class.latency_target)
            .max()
            .unwrap_or(0)
            .max(settings.max_retry_after);
        // Without stated times index hosts are taken to bear everything at once.
        let ramp = Ramp::new(settings.initial_capacity, settings.slow_start, most, &worth);
        let ms = Limits::ms;
        let (ask_for, together) = (ms(setup.ask_ms), ms(setup.together_s.saturating_mul(1_000)));
        let ends_within = settings
            .classes
            .iter()
            .map(|class| class.latency_target)
            .max()
            .unwrap_or(0);
        let plan = Plan {
            ask_for,
            list_for,
            together,
            ramp,
            ends_within,
        };
        for (peer, address) in peers {
            net.open(Box::new(questions::Question::new(*peer, *address)));
        }
        let mut recovery = Recovery::new(plan, peers.keys().copied(), net.now());
        recovery.listed(!kept.is_empty(), false, net.now());
        Return {
            recovery,
            rng: fastrand::Rng::with_seed(seed),
            kept,
        }
    }

    /// The decision's state.
    pub fn state(&self) -> &Recovery {
        &self.recovery
    }

    /// The same, to be told something; what comes of it is carried out in the gatherer's next turn.
    pub fn tell(&mut self) -> &mut Recovery {
        &mut self.recovery
    }

    /// Whether a query that came then is taken, and if not when it should come again.
    pub fn admit(&mut self, class: usize, came: Time) -> Turn {
        self.recovery.admit(class, self.rng.f64(), came)
    }

    /// Carries out what time has brought. Gives the list from before once it may be used.
    fn turn(&mut self, now: Time) -> Option<Vec<Member>> {
        self.recovery.tick(now);
        for change in self.recovery.take_changes() {
            let why: Vec<String> = change.why.iter().map(ToString::to_string).collect();
            tracing::info!(from = %change.from, lasted_ms = change.lasted / 1_000_000, to = %change.to, why = why.join("; "),
                "the return goes on");
        }
        if self.recovery.phase() < Phase::Returning || self.kept.is_empty() {
            return None;
        }
        let mut kept = std::mem::take(&mut self.kept);
        if self.recovery.distrusts_hosts() {
            // They may have lost their power too: until discovery says when each started, each has
            // a cold host's share.
            kept.iter_mut()
                .for_each(|member| member.entry.started_at = now);
        }
        Some(kept)
    }
}

impl Gatherer {
    /// The return goes on, where there is one.
    pub fn go_on_returning(&mut self, net: &mut Net<Self>, now: Time) {
        let Some(kept) = self
            .returning
            .as_mut()
            .and_then(|returning| returning.turn(now))
        else {
            return;
        };
        let told = self
            .returning
            .as_ref()
            .is_some_and(|returning| returning.recovery.is_confirmed());
        // What discovery has told meanwhile is newer.
        if !told {
            let entries = self.hosts.update(ListKind::Persisted, kept, net, now);
            self.core.update_endpoints(ListKind::Persisted, entries);
            self.list_is_there(false, now);
        }
    }

    /// A list has been taken; whether discovery itself told it.
    pub fn list_is_there(&mut self, by_discovery: bool, now: Time) {
        let usable = self.hosts.any_active();
        // Nothing of the list from before is needed any more.
        if let Some(returning) = &mut self.returning {
            if by_discovery {
                returning.kept.clear();
            }
            returning.recovery.listed(usable, by_discovery, now);
        }
    }

    /// What this gatherer says to one that asks for its phase.
    pub fn phase_line(&self, now: Time) -> String {
        let state = self.returning.as_ref().map(Return::state);
        let why = |state: &Recovery| {
            state
                .reasons()
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
        };
        let store = self.shelf.as_ref().map(|shelf| {
            let (standing, waits) = shelf.standing();
            json!({"standing": format!("{standing:?}").to_lowercase(), "waits_for": waits, "id": format!("{:016x}", shelf.id())})
        });
        let line = json!({
            "phase": state.map(|state| state.phase().to_string()), "why": state.map(why),
            "running_ms": now.saturating_sub(self.started) / 1_000_000, "ready": self.is_ready(now),
            "waits_for": self.waiting_for(now).map(|wait| wait.to_string()), "index_hosts": self.hosts.active(), "store": store,
            "version": self.versions.as_ref().map(|versions| versions.line(now))
        });
        line.to_string() + "\n"
    }
}

/// What a gatherer is asked its phase with.
pub const ASK: &str = "phase";

/// A peer as its line says.
pub fn read_line(line: &[u8]) -> Option<::recovery::phase::Peer> {
    let json: Json = serde_json::from_slice(line).ok()?;
    let running = json["running_ms"].as_u64()?.saturating_mul(1_000_000);
    Some(::recovery::phase::Peer {
        running,
        phase: json["phase"].as_str().and_then(Phase::named),
    })
}
