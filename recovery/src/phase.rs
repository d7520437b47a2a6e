//! Phases of recovery and their transitions.

use crate::Time;
use crate::capacity::{CapacityEstimate, QueryResult};
use crate::slow_start::{Admission, SlowStart};
use std::collections::BTreeMap;
use std::fmt;

/// Phase of a recovery, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The gatherer queries its peers, to find out whether it alone or the whole fleet has
    /// restarted.
    QueryingPeers,
    /// The gatherer has no endpoint list of index hosts that it may use.
    AwaitingEndpoints,
    /// The gatherer serves, and admits one class after the other while index hosts warm up.
    SlowStart,
    /// The gatherer serves all queries.
    Serving,
}

impl Phase {
    /// Phase names in answers to peers and operators.
    const NAMES: [(Phase, &'static str); 4] = [
        (Phase::QueryingPeers, "asking"),
        (Phase::AwaitingEndpoints, "listing"),
        (Phase::SlowStart, "returning"),
        (Phase::Serving, "full"),
    ];

    /// Parses a phase name in the answer of a peer.
    pub fn named(name: &str) -> Option<Phase> {
        Self::NAMES
            .iter()
            .find(|(_, word)| *word == name)
            .map(|(phase, _)| *phase)
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = Self::NAMES
            .iter()
            .find(|(phase, _)| phase == self)
            .map_or("", |(_, word)| word);
        f.write_str(name)
    }
}

/// Why a gatherer is in its phase, or left the one before.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// This many peers have not answered yet.
    PeersPending(usize),
    /// This many peers did not answer in time.
    PeersTimedOut(usize),
    /// No endpoint list has named an index host that accepts work.
    NoEndpoints,
    /// The endpoint list was persisted before the start, and discovery has not confirmed it.
    EndpointsUnconfirmed,
    /// At least half of the peers that answered started together with this gatherer, so data
    /// learned before the restart says nothing about the index hosts.
    FleetRestart,
    /// Only this gatherer restarted: a peer serves in full, or most peers started much earlier.
    SingleRestart,
    /// No peer answered. Treated as a power failure, as the two cannot be distinguished.
    NoPeerAnswered,
    /// The index hosts have had enough time to warm up.
    WarmedUp,
    /// All queries were admitted and received fast, complete answers.
    CapacityProven,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::PeersPending(n) => write!(f, "{n} peers have not answered yet"),
            Reason::PeersTimedOut(n) => write!(f, "{n} peers did not answer in time"),
            Reason::NoEndpoints => f.write_str("no list has named an index host that takes work"),
            Reason::EndpointsUnconfirmed => {
                f.write_str("the list is from before; discovery has not confirmed it")
            }
            Reason::FleetRestart => f.write_str("most of the fleet started with this gatherer"),
            Reason::SingleRestart => {
                f.write_str("a peer serves in full: this gatherer alone was away")
            }
            Reason::NoPeerAnswered => f.write_str("no peer answered: held to be a loss of power"),
            Reason::WarmedUp => f.write_str("the index hosts have had their time to warm up"),
            Reason::CapacityProven => {
                f.write_str("all that clients ask was taken, and answered whole in its time")
            }
        }
    }
}

/// Configuration of recovery; times in nanoseconds.
#[derive(Debug, Clone)]
pub struct Config {
    /// Maximum time to wait for the answers of peers.
    pub peer_timeout: Time,
    /// Maximum time after the start to wait for discovery, if an endpoint list is persisted.
    pub discovery_timeout: Time,
    /// Gatherers whose starts differ by at most this are taken to have restarted for one cause.
    pub restart_window: Time,
    /// Slow start of the index hosts.
    pub slow_start: SlowStart,
    /// Maximum duration of a query.
    pub query_timeout: Time,
}

/// The answer of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Time since the peer's start, in nanoseconds.
    pub uptime: Time,
    /// The peer's phase; `None` if recovery is not configured there.
    pub phase: Option<Phase>,
}

/// A transition, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Transition {
    /// The phase that ended.
    pub from: Phase,
    /// Duration of the phase that ended, in nanoseconds.
    pub lasted: Time,
    /// The phase that starts.
    pub to: Phase,
    /// Reasons for the transition.
    pub reasons: Vec<Reason>,
}

/// Recovery of a gatherer.
#[derive(Debug, Clone)]
pub struct Recovery {
    config: Config,
    phase: Phase,
    started: Time,
    phase_started: Time,
    /// The answer of each peer, with its time of arrival.
    peers: BTreeMap<u64, Option<(Time, Peer)>>,
    /// Whether the endpoint list has a host that accepts work.
    has_endpoints: bool,
    /// Whether discovery has confirmed the endpoint list.
    confirmed: bool,
    /// Whether the whole fleet has restarted, so that queries are admitted by a slow start.
    fleet_restart: bool,
    capacity: CapacityEstimate,
    reasons: Vec<Reason>,
    transitions: Vec<Transition>,
}

impl Recovery {
    /// Starts the recovery of a gatherer with these peers.
    pub fn new(config: Config, peers: impl IntoIterator<Item = u64>, now: Time) -> Recovery {
        let mut recovery = Recovery {
            capacity: CapacityEstimate::new(
                config.slow_start.initial_share,
                config.query_timeout,
                now,
            ),
            config,
            phase: Phase::QueryingPeers,
            started: now,
            phase_started: now,
            peers: peers.into_iter().map(|peer| (peer, None)).collect(),
            has_endpoints: false,
            confirmed: false,
            fleet_restart: true,
            reasons: Vec::new(),
            transitions: Vec::new(),
        };
        recovery.advance(now);
        recovery
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The conditions for which the gatherer waits, or the reasons for its phase.
    pub fn reasons(&self) -> Vec<Reason> {
        let mut reasons = match self.phase {
            Phase::QueryingPeers => vec![Reason::PeersPending(self.pending_peers())],
            Phase::AwaitingEndpoints if self.has_endpoints => vec![Reason::EndpointsUnconfirmed],
            Phase::AwaitingEndpoints => vec![Reason::NoEndpoints],
            Phase::SlowStart | Phase::Serving => self.reasons.clone(),
        };
        if self.phase >= Phase::SlowStart && !self.confirmed {
            reasons.push(Reason::EndpointsUnconfirmed);
        }
        reasons
    }

    /// Whether the gatherer is ready for clients.
    pub fn is_ready(&self) -> bool {
        self.phase >= Phase::SlowStart
    }

    /// Whether index hosts have to be treated as cold regardless of a persisted endpoint list,
    /// because all hosts may have lost power.
    pub fn distrusts_hosts(&self) -> bool {
        self.phase < Phase::Serving && self.fleet_restart && !self.confirmed
    }

    /// Whether discovery has confirmed the endpoint list.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Time since the start, in nanoseconds.
    pub fn uptime(&self, now: Time) -> Time {
        now.saturating_sub(self.started)
    }

    /// Peers that still have to be queried.
    pub fn unanswered(&self) -> Vec<u64> {
        let pending = self.peers.iter().filter(|(_, answer)| answer.is_none());
        if self.phase == Phase::QueryingPeers {
            pending.map(|(peer, _)| *peer).collect()
        } else {
            Vec::new()
        }
    }

    /// When [`Recovery::tick`] has to be called next.
    pub fn due(&self) -> Option<Time> {
        match self.phase {
            Phase::QueryingPeers => Some(self.started.saturating_add(self.config.peer_timeout)),
            Phase::AwaitingEndpoints if self.has_endpoints => {
                Some(self.started.saturating_add(self.config.discovery_timeout))
            }
            Phase::SlowStart => {
                let warm_at = self
                    .phase_started
                    .saturating_add(self.config.slow_start.duration);
                Some(self.capacity.due().map_or(warm_at, |due| due.min(warm_at)))
            }
            Phase::AwaitingEndpoints | Phase::Serving => None,
        }
    }

    /// Takes the transitions since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// Handles the answer of a peer. Answers of unknown peers are ignored.
    pub fn on_peer_answer(&mut self, from: u64, peer: Peer, now: Time) {
        if let Some(answer) = self.peers.get_mut(&from) {
            *answer = Some((now, peer));
        }
        self.advance(now);
    }

    /// Handles a new endpoint list. `usable` is whether the list has a host that accepts work,
    /// `from_discovery` whether the list comes from discovery.
    pub fn on_endpoints(&mut self, usable: bool, from_discovery: bool, now: Time) {
        (self.has_endpoints, self.confirmed) = (usable, self.confirmed || from_discovery);
        self.advance(now);
    }

    /// Handles expired time limits.
    pub fn tick(&mut self, now: Time) {
        if self.phase == Phase::SlowStart {
            self.capacity.evaluate(now);
        }
        self.advance(now);
    }

    /// Decides whether to admit a query of a class. `random` is uniform in 0 to 1, drawn for each
    /// query.
    pub fn admit(&mut self, class: usize, random: f64, now: Time) -> Admission {
        if self.phase != Phase::SlowStart {
            return Admission::Admitted;
        }
        let elapsed = now.saturating_sub(self.phase_started);
        let admission = self
            .config
            .slow_start
            .admit(class, elapsed, self.capacity.share(), random);
        if admission == Admission::Admitted {
            self.capacity.on_admitted(now);
        }
        admission
    }

    /// Handles the result of a query that was admitted at the time `admitted`.
    pub fn on_query_completed(&mut self, admitted: Time, result: QueryResult, now: Time) {
        if self.phase == Phase::SlowStart {
            self.capacity.on_completed(admitted, result, now);
            self.advance(now);
        }
    }

    fn pending_peers(&self) -> usize {
        self.peers
            .values()
            .filter(|answer| answer.is_none())
            .count()
    }

    fn enter(&mut self, to: Phase, reasons: Vec<Reason>, now: Time) {
        self.transitions.push(Transition {
            from: self.phase,
            lasted: now.saturating_sub(self.phase_started),
            to,
            reasons: reasons.clone(),
        });
        (self.phase, self.phase_started, self.reasons) = (to, now, reasons);
        let initial_share = self.config.slow_start.initial_share;
        self.capacity = CapacityEstimate::new(initial_share, self.config.query_timeout, now);
    }

    /// Makes all transitions that are due, in the order of the phases.
    fn advance(&mut self, now: Time) {
        if self.phase == Phase::QueryingPeers {
            self.finish_peer_queries(now);
        }
        if self.phase == Phase::AwaitingEndpoints && self.may_use_endpoints(now) {
            let reasons = self.reasons.clone();
            let to = if self.fleet_restart {
                Phase::SlowStart
            } else {
                Phase::Serving
            };
            self.enter(to, reasons, now);
        }
        if self.phase == Phase::SlowStart {
            let warm_at = self
                .phase_started
                .saturating_add(self.config.slow_start.duration);
            if now >= warm_at {
                self.enter(Phase::Serving, vec![Reason::WarmedUp], now);
            } else if self.capacity.is_proven() {
                self.enter(Phase::Serving, vec![Reason::CapacityProven], now);
            }
        }
    }

    fn finish_peer_queries(&mut self, now: Time) {
        let pending = self.pending_peers();
        let timed_out = now >= self.started.saturating_add(self.config.peer_timeout);
        // A peer in full service rules out a fleet restart, so other answers are not needed.
        let serving = self.has_serving_peer();
        if pending == 0 || timed_out || serving {
            let (fleet_restart, mut reasons) = self.classify_restart();
            self.fleet_restart = fleet_restart;
            if timed_out && pending > 0 && !serving {
                reasons.push(Reason::PeersTimedOut(pending));
            }
            self.enter(Phase::AwaitingEndpoints, reasons, now);
        }
    }

    /// Whether the endpoint list may be used. After a fleet restart the gatherer waits for
    /// discovery, which knows when each host started; a persisted list does not.
    fn may_use_endpoints(&self, now: Time) -> bool {
        let timed_out = now >= self.started.saturating_add(self.config.discovery_timeout);
        self.has_endpoints && (self.confirmed || !self.fleet_restart || timed_out)
    }

    fn has_serving_peer(&self) -> bool {
        self.peers
            .values()
            .flatten()
            .any(|(_, peer)| peer.phase == Some(Phase::Serving))
    }

    /// Whether the answers of the peers indicate a restart of the whole fleet, with the reasons.
    fn classify_restart(&self) -> (bool, Vec<Reason>) {
        let answers: Vec<&(Time, Peer)> = self.peers.values().flatten().collect();
        if self.has_serving_peer() {
            return (false, vec![Reason::SingleRestart]);
        }
        if answers.is_empty() {
            // A gatherer without peers is the whole fleet.
            let reason = if self.peers.is_empty() {
                Reason::FleetRestart
            } else {
                Reason::NoPeerAnswered
            };
            return (true, vec![reason]);
        }
        let started_together = |(at, peer): &&&(Time, Peer)| {
            let own_uptime = at.saturating_sub(self.started);
            peer.uptime.abs_diff(own_uptime) <= self.config.restart_window
        };
        let count_together = answers.iter().filter(started_together).count();
        if 2 * count_together >= answers.len() {
            (true, vec![Reason::FleetRestart])
        } else {
            (false, vec![Reason::SingleRestart])
        }
    }
}

#[cfg(test)]
mod tests;
