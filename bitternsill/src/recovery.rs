//! Recovery of the gatherer on the event loop: queries peers at their stores' addresses and passes
//! their answers to the package `recovery`, which makes the decisions. Off unless the operator's
//! file has a section `recovery`.

pub mod cli;
pub mod peer_query;

use crate::front::Gatherer;
use crate::front::hosts::Member;
use crate::limits::{Limits, MS};
use crate::net::Net;
use ::recovery::Time;
use ::recovery::phase::{Config, Peer, Phase, Recovery};
use ::recovery::slow_start::{Admission, SlowStart};
use dispatch::interface::{ListKind, Settings};
use serde::Deserialize;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The section `recovery` of an operator's file.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoverySetup {
    /// Maximum time to wait for the answers of peers, in milliseconds.
    #[serde(rename = "ask_ms", default = "default_peer_timeout_ms")]
    pub peer_timeout_ms: u64,
    /// Gatherers that started within this many seconds of each other count as restarted by a common
    /// cause.
    #[serde(rename = "together_s", default = "default_restart_window_s")]
    pub restart_window_s: u64,
}

fn default_peer_timeout_ms() -> u64 {
    1_000
}

fn default_restart_window_s() -> u64 {
    30
}

/// Recovery of this gatherer.
pub struct RecoveryService {
    recovery: Recovery,
    rng: fastrand::Rng,
    /// The endpoint list persisted before the start, until it is used or discovery sends a newer
    /// one.
    persisted_hosts: Vec<Member>,
}

impl RecoveryService {
    /// Starts the recovery with the persisted endpoint list, and opens a query of each peer.
    pub fn start(
        setup: RecoverySetup,
        settings: &Settings,
        peers: &BTreeMap<u64, SocketAddr>,
        persisted_hosts: Vec<Member>,
        discovery_timeout: Time,
        seed: u64,
        net: &mut Net<Gatherer>,
    ) -> RecoveryService {
        let config = config(setup, settings, discovery_timeout);
        for (peer, address) in peers {
            net.open(Box::new(peer_query::PeerQuery::new(*peer, *address)));
        }
        let mut recovery = Recovery::new(config, peers.keys().copied(), net.now());
        recovery.on_endpoints(!persisted_hosts.is_empty(), false, net.now());
        RecoveryService {
            recovery,
            rng: fastrand::Rng::with_seed(seed),
            persisted_hosts,
        }
    }

    /// The recovery's state.
    pub fn recovery(&self) -> &Recovery {
        &self.recovery
    }

    /// The recovery's state, for passing events to it. Resulting transitions take effect in the
    /// gatherer's next turn.
    pub fn recovery_mut(&mut self) -> &mut Recovery {
        &mut self.recovery
    }

    /// Decides on a query that arrived at this time.
    pub fn admit(&mut self, class: usize, arrived: Time) -> Admission {
        self.recovery.admit(class, self.rng.f64(), arrived)
    }

    /// Handles time-outs and logs transitions. Returns the persisted endpoint list once it may be
    /// used.
    fn turn(&mut self, now: Time) -> Option<Vec<Member>> {
        self.recovery.tick(now);
        for transition in self.recovery.take_transitions() {
            let reasons: Vec<String> = transition.reasons.iter().map(ToString::to_string).collect();
            tracing::info!(from = %transition.from, lasted_ms = transition.lasted / MS, to = %transition.to, why = reasons.join("; "),
                "recovery phase changed");
        }
        if self.recovery.phase() < Phase::SlowStart || self.persisted_hosts.is_empty() {
            return None;
        }
        let mut hosts = std::mem::take(&mut self.persisted_hosts);
        if self.recovery.distrusts_hosts() {
            // The hosts may have lost power too: until discovery reports when each started, each
            // gets the share of a cold host.
            hosts
                .iter_mut()
                .for_each(|member| member.entry.started_at = now);
        }
        Some(hosts)
    }
}

fn config(setup: RecoverySetup, settings: &Settings, discovery_timeout: Time) -> Config {
    let values: Vec<f64> = settings.classes.iter().map(|class| class.value).collect();
    let latency_targets = settings.classes.iter().map(|class| class.latency_target);
    let longest_target = latency_targets.max().unwrap_or(0);
    // Without configured times index hosts count as warm at once.
    let slow_start = SlowStart::new(
        settings.initial_capacity,
        settings.slow_start,
        longest_target.max(settings.max_retry_after),
        &values,
    );
    Config {
        peer_timeout: Limits::ms(setup.peer_timeout_ms),
        discovery_timeout,
        restart_window: Limits::ms(setup.restart_window_s.saturating_mul(1_000)),
        slow_start,
        query_timeout: longest_target,
    }
}

impl Gatherer {
    /// Advances the recovery, if there is one.
    pub fn advance_recovery(&mut self, net: &mut Net<Self>, now: Time) {
        let Some(persisted) = self
            .returning
            .as_mut()
            .and_then(|returning| returning.turn(now))
        else {
            return;
        };
        let confirmed = self
            .returning
            .as_ref()
            .is_some_and(|returning| returning.recovery.is_confirmed());
        // A list that discovery has sent meanwhile is newer.
        if !confirmed {
            let entries = self.hosts.update(ListKind::Persisted, persisted, net, now);
            self.core.update_endpoints(ListKind::Persisted, entries);
            self.on_endpoint_list(false, now);
        }
    }

    /// Handles a new endpoint list; `by_discovery` is whether it comes from discovery.
    pub fn on_endpoint_list(&mut self, by_discovery: bool, now: Time) {
        let usable = self.hosts.any_active();
        if let Some(returning) = &mut self.returning {
            if by_discovery {
                returning.persisted_hosts.clear();
            }
            returning.recovery.on_endpoints(usable, by_discovery, now);
        }
    }

    /// The response line to a query for the phase.
    pub fn phase_line(&self, now: Time) -> String {
        let state = self.returning.as_ref().map(RecoveryService::recovery);
        let why = |state: &Recovery| {
            state
                .reasons()
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
        };
        let store = self.store_service.as_ref().map(|store_service| {
            let (status, waiting_for) = store_service.status();
            json!({"standing": status.as_str(), "waits_for": waiting_for, "id": format!("{:016x}", store_service.id())})
        });
        let line = json!({
            "phase": state.map(|state| state.phase().to_string()), "why": state.map(why),
            "running_ms": now.saturating_sub(self.started) / MS, "ready": self.is_ready(now),
            "waits_for": self.waiting_for(now).map(|wait| wait.to_string()), "index_hosts": self.hosts.active(), "store": store,
            "version": self.versions.as_ref().map(|versions| versions.to_json(now))
        });
        line.to_string() + "\n"
    }
}

/// The request line for a gatherer's phase.
pub const PHASE_REQUEST: &str = "phase";

/// Parses a peer's response to [`PHASE_REQUEST`]; `None` if it has another form.
pub fn parse_phase_line(line: &[u8]) -> Option<Peer> {
    let json: Json = serde_json::from_slice(line).ok()?;
    let uptime = json["running_ms"].as_u64()?.saturating_mul(MS);
    Some(Peer {
        uptime,
        phase: json["phase"].as_str().and_then(Phase::named),
    })
}
