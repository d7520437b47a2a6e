//! The protocols of clients, index hosts and discovery, and the state shared by all connections.

pub mod arrivals;
pub mod catalogue;
pub mod clients;
mod connection_ports;
pub mod hosts;
pub mod http;
pub mod listener;
mod message;
pub mod overflow;
pub mod platform;
mod readiness;
pub mod rejections;
pub mod server;
pub mod signals;

pub use message::Message;
pub use readiness::{Phase, Wait};

use crate::admin::Orders;
use crate::core::Core;
use crate::learned::LearnedState;
use crate::limits::Limits;
use crate::net::{Net, Token, World};
use crate::recovery::RecoveryService;
use crate::store::service::StoreService;
use crate::versions::Versions;
use clients::ClientTable;
use connection_ports::ConnectionPorts;
use dispatch::interface::{ListKind, Outcome, Time};
use hosts::{HostTable, Member};
use learning::snapshot::Fleet;
use rejections::Rejections;
use signals::NewSettings;
use std::rc::Rc;
use thiserror::Error;

/// Why new settings cannot be applied at run time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ReconfigureError {
    /// The new classes and the former classes of open queries exceed the limit.
    #[error("more classes at once than {0}")]
    TooManyClasses(usize),
}

/// The state shared by all connections.
pub struct Gatherer {
    /// The queries and the dispatcher.
    pub core: Core,
    /// The index hosts and the connections to them.
    pub hosts: HostTable,
    /// The client connections.
    pub clients: ClientTable,
    /// The program's limits.
    pub limits: Rc<Limits>,
    /// The phase of the shutdown.
    pub phase: Phase,
    /// The connection to discovery, if there is one.
    pub directory: Option<Token>,
    /// When to stop waiting for the first endpoint list; `None` once a list has arrived.
    pub ready_deadline: Option<Time>,
    /// The listeners.
    pub listeners: Vec<Token>,
    /// The requests of operators.
    pub orders: Orders,
    /// Whether another process serves the same address during the shutdown.
    pub has_successor: bool,
    /// The store, which is not on the request path; `None` once its file has failed.
    pub store_service: Option<StoreService>,
    /// The persisted estimates, if they are configured.
    pub learned_state: Option<LearnedState>,
    /// The recovery after a start, if an operator's file configures it.
    pub returning: Option<RecoveryService>,
    /// The active configuration version, if versions are kept in the store.
    pub versions: Option<Versions>,
    /// When the program started.
    pub started: Time,
    /// Requests that were rejected before they became queries.
    pub rejections: Rejections,
    /// The last logged reason for not being ready.
    pub last_reported_wait: Option<Wait>,
}

impl Gatherer {
    /// Whether clients should be sent here.
    pub fn is_ready(&self, now: Time) -> bool {
        self.waiting_for(now).is_none()
    }

    /// Why clients should not be sent here; `None` if the gatherer is ready.
    pub fn waiting_for(&self, now: Time) -> Option<Wait> {
        if self.phase != Phase::Serving {
            Some(Wait::Ending)
        } else if self.orders.drain.is_under_way() {
            Some(Wait::Drained)
        } else if let Some(state) = self
            .returning
            .as_ref()
            .map(RecoveryService::recovery)
            .filter(|state| !state.is_ready())
        {
            Some(Wait::Returning(state.phase()))
        } else if let Some(versions) = self
            .versions
            .as_ref()
            .filter(|versions| !versions.may_accept(now))
        {
            Some(Wait::Version(versions.status()))
        } else if self.ready_deadline.is_some_and(|by| by > now) {
            Some(Wait::FirstList)
        } else if !self.hosts.any_active() {
            Some(Wait::NoHost)
        } else {
            None
        }
    }

    /// Logs changes of readiness and of its reason.
    fn log_readiness(&mut self, now: Time) {
        let wait = self.waiting_for(now);
        if wait == self.last_reported_wait {
            return;
        }
        self.last_reported_wait = wait;
        match wait {
            None => tracing::info!(hosts = self.hosts.active(), "ready"),
            Some(Wait::NoHost) => tracing::warn!("not ready: {}", Wait::NoHost),
            Some(wait) => tracing::info!("not ready: {wait}"),
        }
    }

    /// Counts a request that was rejected before it became a query, and logs it at a limited rate.
    pub fn reject_request(&mut self, why: &str, request: &str, now: Time) {
        if let Some(report) = self.rejections.record(why, request, now, &self.limits) {
            tracing::warn!(
                why = report.why,
                count = report.new,
                asked = report.example,
                "requests turned away"
            );
        }
    }

    /// Whether connections are closed after their next answer.
    pub fn closes_connections(&self, now: Time) -> bool {
        match self.phase {
            Phase::Serving => self.orders.drain.closes_after_answer(now),
            Phase::Draining(until) => {
                self.has_successor || until <= now + self.limits.close_after_answer
            }
            Phase::Finishing(_) | Phase::Done { .. } => true,
        }
    }

    /// The maximum number of client connections. During an upgrade both processes share one limit
    /// of descriptors.
    pub fn max_clients(&self) -> usize {
        if self.orders.has_successor() {
            self.limits.clients / 2
        } else {
            self.limits.clients
        }
    }

    /// Applies new settings; on an error nothing changes.
    pub fn reconfigure(&mut self, new: NewSettings, now: Time) -> Result<(), ReconfigureError> {
        let NewSettings {
            settings,
            deployment,
            limits,
            connector,
        } = new;
        let fleet = Fleet {
            classes: deployment.classes.clone(),
            cells: settings.cells,
            reach: settings.replication_factor,
        };
        let result = self
            .core
            .reconfigure(settings, deployment, limits.clone(), now);
        result.map_err(|_| ReconfigureError::TooManyClasses(limits.classes))?;
        self.core
            .update_endpoints(ListKind::Complete, self.hosts.entries());
        self.hosts.reconfigure(connector, limits.clone());
        self.limits = limits;
        if let Some(learned_state) = &mut self.learned_state {
            learned_state.on_settings(fleet);
        }
        Ok(())
    }

    /// Applies the hosts that operators have excluded.
    pub fn apply_exclusions(&mut self, net: &mut Net<Self>, now: Time) {
        let entries = self.hosts.set_excluded(
            self.orders
                .exclusions
                .excluded()
                .map(str::to_owned)
                .collect(),
            net,
            now,
        );
        if !entries.is_empty() {
            self.core.update_endpoints(ListKind::Partial, entries);
        }
    }

    /// Starts the graceful shutdown, during which requests are still served for some time. If
    /// another process serves the same address, that process gets all new connections from now on.
    pub fn begin_shutdown(&mut self, net: &mut Net<Self>, now: Time) {
        if self.phase == Phase::Serving {
            self.has_successor = self.orders.withdraw(now);
            tracing::info!(
                open_queries = self.core.open_queries(),
                has_successor = self.has_successor,
                "shutdown requested"
            );
            self.phase = Phase::Draining(now + self.limits.keep_serving);
            if self.has_successor {
                self.close_listeners(net);
            }
        }
    }

    fn close_listeners(&mut self, net: &mut Net<Self>) {
        for token in self.listeners.drain(..) {
            net.post(token, Message::Retire);
        }
    }

    /// Writes a value to the store.
    pub fn record(&mut self, key: &str, value: &str, net: &mut Net<Self>) {
        if let Some(store_service) = &mut self.store_service {
            store_service.record(key, value, net);
        }
    }

    /// Applies an endpoint list from discovery, either complete or with changes only.
    pub fn update_endpoints(
        &mut self,
        is_complete: bool,
        members: Vec<Member>,
        net: &mut Net<Self>,
        now: Time,
    ) {
        let kind = if is_complete {
            ListKind::Complete
        } else {
            ListKind::Partial
        };
        let entries = self.hosts.update(kind, members, net, now);
        self.core.update_endpoints(kind, entries);
        self.record_members(net);
        self.ready_deadline = None;
        self.on_endpoint_list(true, now);
    }

    /// Stores the current index hosts.
    pub fn record_members(&mut self, net: &mut Net<Self>) {
        let members = self.hosts.to_json().to_string();
        self.record("members", &members, net);
        if let Some(learned_state) = &mut self.learned_state {
            learned_state.forget_unlisted(&self.hosts);
            learned_state.apply_loaded(&mut self.core, &self.hosts, net.now());
        }
    }

    /// Moves the shutdown to its next phase when that is due.
    fn advance_shutdown(&mut self, net: &mut Net<Self>, now: Time) {
        match self.phase {
            Phase::Draining(until) if until <= now => {
                let last = now
                    + self
                        .limits
                        .shutdown_deadline
                        .saturating_sub(self.limits.keep_serving);
                self.phase = Phase::Finishing(last);
                self.close_listeners(net);
                for token in self.clients.tokens() {
                    net.post(token, Message::Retire);
                }
            }
            Phase::Finishing(until) => {
                if until <= now {
                    let mut ports = ConnectionPorts::new(&mut self.hosts, net, self.directory, now);
                    self.core.fail_all(&mut ports);
                }
                if self.core.open_queries() == 0 {
                    self.phase = Phase::Done {
                        until: now + self.limits.linger,
                        last: until,
                    };
                }
            }
            // A client that was accepted last may send its request only now, and still gets an
            // answer.
            Phase::Done { last, .. } if self.core.open_queries() > 0 => {
                self.phase = Phase::Finishing(last)
            }
            _ => {}
        }
    }
}

impl World for Gatherer {
    type Message = Message;

    fn due(&self, now: Time) -> Option<Time> {
        let phase = match self.phase {
            Phase::Serving => None,
            Phase::Draining(until) | Phase::Done { until, .. } => Some(until),
            Phase::Finishing(_) if self.core.open_queries() == 0 => Some(now),
            Phase::Finishing(until) => Some(until),
        };
        let learned_state = self.learned_state.as_ref().map(LearnedState::due);
        let first_list = self
            .ready_deadline
            .filter(|_| self.last_reported_wait == Some(Wait::FirstList));
        let returning = self
            .returning
            .as_ref()
            .and_then(|returning| returning.recovery().due());
        let versions = self.versions.as_ref().and_then(Versions::due);
        [
            self.core.due(),
            phase,
            learned_state,
            self.orders.due(),
            first_list,
            returning,
            versions,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn turn(&mut self, net: &mut Net<Self>, now: Time) {
        if self.core.due().is_some_and(|at| at <= now) {
            let mut ports = ConnectionPorts::new(&mut self.hosts, net, self.directory, now);
            self.core.turn(now, &mut ports);
            let (unsent, unprobed) = (ports.unsent, ports.unprobed);
            for attempt in unsent {
                self.core
                    .attempt_ended(attempt, Outcome::ConnectFailed, now);
            }
            for host in unprobed {
                self.core.probe_ended(host, Outcome::ConnectFailed, now);
            }
        }
        if let Some(learned_state) = &mut self.learned_state {
            learned_state.turn(&mut self.core, &self.hosts, now);
        }
        if self.orders.poll(now) {
            self.apply_exclusions(net, now);
        }
        if let Some(sweep) = self.orders.drain.sweep(now) {
            self.clients.sweep(net, sweep);
        }
        self.record_finished_queries(net, now);
        self.advance_recovery(net, now);
        self.advance_shutdown(net, now);
        self.log_readiness(now);
    }

    fn undelivered(&mut self, message: Message, now: Time) {
        // The connection is gone and no byte of these parts was written. Without an end their
        // attempts would stay in flight until they time out.
        if let Message::Call(parts) = message {
            for part in parts {
                self.hosts.forget_attempt(part.id);
                self.core
                    .attempt_ended(part.id, Outcome::ConnectFailed, now);
            }
        }
    }

    fn finished(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Done { until, .. } if self.clients.is_empty() || until <= now)
    }
}
