//! The protocols of clients, index hosts and discovery, and the state that all connections share.

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

/// Why a gatherer can't take other settings while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ReconfigureError {
    /// Open queries are still of former classes, and there are too many classes together.
    #[error("more classes at once than {0}")]
    TooManyClasses(usize),
}

/// What all connections share.
pub struct Gatherer {
    /// Queries and decisions.
    pub core: Core,
    /// The index hosts and the connections to them.
    pub hosts: HostTable,
    /// The clients' connections.
    pub clients: ClientTable,
    /// Every bound.
    pub limits: Rc<Limits>,
    /// How far the shutdown has come.
    pub phase: Phase,
    /// The connection that speaks with discovery, where there is one.
    pub directory: Option<Token>,
    /// When to report ready at the latest; `None` once the list has come.
    pub ready_deadline: Option<Time>,
    /// The listeners.
    pub listeners: Vec<Token>,
    /// What operators have requested.
    pub orders: Orders,
    /// Shutting down while another process serves the same address.
    pub has_successor: bool,
    /// The store, off the request path; absent once its file has failed.
    pub store_service: Option<StoreService>,
    /// What is learned, where it is kept.
    pub keeper: Option<LearnedState>,
    /// The return after a start, where an operator's file asks for it.
    pub returning: Option<RecoveryService>,
    /// Which version it acts on, where the store has these.
    pub versions: Option<Versions>,
    /// When the program started.
    pub started: Time,
    /// Requests that were rejected before they became queries.
    pub rejections: Rejections,
    /// What was last logged that clients wait for.
    pub last_reported_wait: Option<Wait>,
}

impl Gatherer {
    /// Whether clients should be sent here.
    pub fn is_ready(&self, now: Time) -> bool {
        self.waiting_for(now).is_none()
    }

    /// What keeps clients from being sent here.
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

    /// Logs what clients wait for whenever that has changed.
    fn log_wait(&mut self, now: Time) {
        let waits = self.waiting_for(now);
        if waits == self.last_reported_wait {
            return;
        }
        self.last_reported_wait = waits;
        match waits {
            None => tracing::info!(hosts = self.hosts.active(), "taking clients"),
            Some(Wait::NoHost) => tracing::warn!("not taking clients: {}", Wait::NoHost),
            Some(wait) => tracing::info!("not taking clients: {wait}"),
        }
    }

    /// Counts a rejected request that is no query, and logs it at a limited rate.
    pub fn reject_request(&mut self, why: &str, asked: &str, now: Time) {
        if let Some(report) = self.rejections.record(why, asked, now, &self.limits) {
            tracing::warn!(
                why = report.why,
                count = report.new,
                asked = report.example,
                "requests turned away"
            );
        }
    }

    /// Whether answers close their connections.
    pub fn closes_connections(&self, now: Time) -> bool {
        match self.phase {
            Phase::Serving => self.orders.drain.closes_after_answer(now),
            Phase::Draining(until) => self.has_successor || until <= now + self.limits.farewell,
            Phase::Finishing(_) | Phase::Done { .. } => true,
        }
    }

    /// How many connections clients may have: both processes of an upgrade stand under one limit of
    /// descriptors.
    pub fn max_clients(&self) -> usize {
        if self.orders.has_successor() {
            self.limits.clients / 2
        } else {
            self.limits.clients
        }
    }

    /// Takes over new settings, or leaves everything as it was.
    pub fn reconfigure(&mut self, fresh: NewSettings, now: Time) -> Result<(), ReconfigureError> {
        let NewSettings {
            settings,
            deployment,
            limits,
            connector,
        } = fresh;
        let fleet = Fleet {
            classes: deployment.classes.clone(),
            cells: settings.cells,
            reach: settings.replication_factor,
        };
        let taken = self
            .core
            .reconfigure(settings, deployment, limits.clone(), now);
        taken.map_err(|_| ReconfigureError::TooManyClasses(limits.classes))?;
        self.core
            .update_endpoints(ListKind::Complete, self.hosts.entries());
        self.hosts.reconfigure(connector, limits.clone());
        self.limits = limits;
        if let Some(keeper) = &mut self.keeper {
            keeper.on_settings(fleet);
        }
        Ok(())
    }

    /// Applies the operators' exclusions to the index hosts.
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

    /// Begins the graceful shutdown; requests are still served for a while. Where another process
    /// serves the address it gets every new connection from now on.
    pub fn begin_shutdown(&mut self, net: &mut Net<Self>, now: Time) {
        if self.phase == Phase::Serving {
            self.has_successor = self.orders.withdraw(now);
            tracing::info!(
                open = self.core.open_queries(),
                followed = self.has_successor,
                "told to end"
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

    /// Records something in the store.
    pub fn record(&mut self, what: &str, value: &str, net: &mut Net<Self>) {
        if let Some(store_service) = &mut self.store_service {
            store_service.record(what, value, net);
        }
    }

    /// Takes over an endpoint list from discovery: the complete one, or changes.
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

    /// Stores the index hosts as they are known now.
    pub fn record_members(&mut self, net: &mut Net<Self>) {
        let known = self.hosts.to_json().to_string();
        self.record("members", &known, net);
        if let Some(keeper) = &mut self.keeper {
            keeper.forget_unlisted(&self.hosts);
            keeper.apply_loaded(&mut self.core, &self.hosts, net.now());
        }
    }

    fn advance(&mut self, net: &mut Net<Self>, now: Time) {
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
                    let mut desk = ConnectionPorts::new(&mut self.hosts, net, self.directory, now);
                    self.core.fail_all(&mut desk);
                }
                if self.core.open_queries() == 0 {
                    self.phase = Phase::Done {
                        until: now + self.limits.linger,
                        last: until,
                    };
                }
            }
            // A client accepted at the last moment sends its request only now, and gets an answer.
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
        let keeper = self.keeper.as_ref().map(LearnedState::due);
        let waits = self
            .ready_deadline
            .filter(|_| self.last_reported_wait == Some(Wait::FirstList));
        let returning = self
            .returning
            .as_ref()
            .and_then(|returning| returning.recovery().due());
        let noted = self.versions.as_ref().and_then(Versions::due);
        [
            self.core.due(),
            phase,
            keeper,
            self.orders.due(),
            waits,
            returning,
            noted,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn turn(&mut self, net: &mut Net<Self>, now: Time) {
        if self.core.due().is_some_and(|at| at <= now) {
            let mut desk = ConnectionPorts::new(&mut self.hosts, net, self.directory, now);
            self.core.turn(now, &mut desk);
            let (unsent, unprobed) = (desk.unsent, desk.unprobed);
            for attempt in unsent {
                self.core
                    .attempt_ended(attempt, Outcome::ConnectFailed, now);
            }
            for host in unprobed {
                self.core.probe_ended(host, Outcome::ConnectFailed, now);
            }
        }
        if let Some(keeper) = &mut self.keeper {
            keeper.turn(&mut self.core, &self.hosts, now);
        }
        if self.orders.poll(now) {
            self.apply_exclusions(net, now);
        }
        if let Some(sweep) = self.orders.drain.sweep(now) {
            self.clients.sweep(net, sweep);
        }
        self.record_finished_queries(net, now);
        self.advance_recovery(net, now);
        self.advance(net, now);
        self.log_wait(now);
    }

    fn undelivered(&mut self, message: Message, now: Time) {
        // Not a byte of these was written; unreported, they would stay in flight until their
        // time-out.
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
