//! Figures of a router for whoever watches it: counters of what it did, and how it stands, as lines
//! of text.

use crate::fleet::Fleet;
use crate::links::lock;
use crate::proxy::table::Table;
use crate::weights::Orders;
use control::directory::BackendPhase;
use control::rollout::RolloutOwnership;
use poem::{Endpoint, Request, Response, Result};
use routing::version_floor::NamedVersion;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Something that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A request of a client has come.
    RequestBegun,
    /// The start of a backend's answer went to a client.
    AnswerBegun,
    /// A request was refused as it has not run and will not.
    RefusedUnrun,
    /// A request was given up that may have run.
    GivenUp,
    /// A client closed its connection before its answer had begun.
    ClientLeftWaiting,
    /// A client closed its connection in the middle of an answer.
    ClientLeftStreaming,
    /// A request, a copy or a repeat was sent to a backend.
    Sent,
    /// Of these, a copy of a request that was pending for long.
    Copied,
    /// Of these, a repeat after a failure or a rejection.
    Repeated,
    /// A backend turned a request away.
    Rejected,
    /// A request was turned away by a backend whose instance or weights are others than expected.
    Misdirected,
    /// An order was taken by a backend, or holds already.
    OrderTaken,
    /// An order got no clear answer.
    OrderUnanswered,
    /// An order was refused for a lower fencing token.
    OrderFenced,
    /// An order was refused as another one was under way, or taken in its place.
    OrderOvertaken,
}

impl Event {
    /// Every event, in the order of its counters, with its name.
    pub const ALL: [(Event, &'static str); 15] = [
        (Event::RequestBegun, "requests_begun"),
        (Event::AnswerBegun, "answers_begun"),
        (Event::RefusedUnrun, "requests_refused_unrun"),
        (Event::GivenUp, "requests_given_up"),
        (Event::ClientLeftWaiting, "clients_left_waiting"),
        (Event::ClientLeftStreaming, "clients_left_streaming"),
        (Event::Sent, "sends"),
        (Event::Copied, "copies"),
        (Event::Repeated, "repeats"),
        (Event::Rejected, "rejections"),
        (Event::Misdirected, "misdirections"),
        (Event::OrderTaken, "orders_taken"),
        (Event::OrderUnanswered, "orders_unanswered"),
        (Event::OrderFenced, "orders_fenced"),
        (Event::OrderOvertaken, "orders_overtaken"),
    ];
}

/// Counters of one process.
#[derive(Debug, Default)]
pub struct Counters([AtomicU64; Event::ALL.len()]);

impl Counters {
    /// It happened once more.
    pub fn count(&self, event: Event) {
        self.0[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How often it happened.
    pub fn get(&self, event: Event) -> u64 {
        self.0[event as usize].load(Ordering::Relaxed)
    }
}

/// The page with all figures.
pub struct MetricsPage {
    fleet: Arc<Fleet>,
    table: Arc<Table>,
    orders: Option<Arc<Orders>>,
}

impl MetricsPage {
    /// The page of a router; a node with a replica may give orders.
    pub fn new(fleet: Arc<Fleet>, table: Arc<Table>, orders: Option<Arc<Orders>>) -> Self {
        MetricsPage {
            fleet,
            table,
            orders,
        }
    }

    /// One line a figure: its name, labels if any, and its value.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (event, name) in Event::ALL {
            line(
                &mut text,
                &format!("{name}_total"),
                self.fleet.counters.get(event),
            );
        }
        self.write_control(&mut text);
        self.write_weights(&mut text);
        self.write_orders(&mut text);
        self.write_backends(&mut text);
        text
    }

    fn write_control(&self, text: &mut String) {
        let fleet = &self.fleet;
        let published = lock(&fleet.published);
        line(
            text,
            "configuration_version",
            published.version().unwrap_or(0),
        );
        line(text, "control_change", published.position().index);
        drop(published);
        line(
            text,
            "control_epoch",
            fleet.leader().map_or(0, |(epoch, _)| epoch),
        );
        let leads = fleet
            .replica
            .as_ref()
            .is_some_and(crate::replica::ReplicaHandle::leads);
        line(text, "control_leads", u64::from(leads));
        if let Some(age) = fleet.age() {
            line(text, "control_age_ms", age);
        }
        line(text, "members_up", fleet.members_up() as u64);
    }

    fn write_weights(&self, text: &mut String) {
        for (model, target) in lock(&self.fleet.published).weights() {
            line(
                text,
                &format!("weights_named{{model=\"{model}\"}}"),
                target.version,
            );
        }
        for named in self.fleet.named_weights() {
            let labels = format!("model=\"{}\",version=\"{}\"", named.model, named.version);
            line(
                text,
                &format!("weights_named_ms_ago{{{labels}}}"),
                named.age_ms,
            );
        }
        let mut backends: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for backend in self.table.all() {
            for (model, version) in backend.versions() {
                *backends.entry((model.to_string(), version)).or_default() += 1;
            }
        }
        for ((model, version), count) in backends {
            line(
                text,
                &format!("backends_with_weights{{model=\"{model}\",version=\"{version}\"}}"),
                count,
            );
        }
    }

    fn write_orders(&self, text: &mut String) {
        if let Some(orders) = &self.orders {
            let gives = orders.turn() == RolloutOwnership::Owned;
            line(text, "orders_given_here", u64::from(gives));
            line(text, "backends_refusing_fences", orders.refusing_backends());
        }
        for unfinished in self.fleet.unfinished_versions() {
            let NamedVersion {
                model,
                version,
                age_ms,
            } = unfinished.named;
            let labels = format!("model=\"{model}\",version=\"{version}\"");
            line(text, &format!("weights_unfinished_ms{{{labels}}}"), age_ms);
        }
        for (cause, count) in self.fleet.outdated_by_reason() {
            let name = cause.name();
            line(
                text,
                &format!("backends_lacking_weights{{cause=\"{name}\"}}"),
                count,
            );
        }
    }

    fn write_backends(&self, text: &mut String) {
        let directory = lock(&self.fleet.directory);
        for (phase, name) in [
            (BackendPhase::Ready, "ready"),
            (BackendPhase::Draining, "draining"),
            (BackendPhase::Gone, "gone"),
        ] {
            let count = directory
                .backends()
                .filter(|(_, backend)| backend.phase == phase)
                .count();
            line(text, &format!("backends{{phase=\"{name}\"}}"), count as u64);
        }
        let unresponsive = directory
            .backends()
            .filter(|(_, backend)| backend.unresponsive)
            .count();
        line(text, "backends_silent", unresponsive as u64);
    }
}

fn line(text: &mut String, name: &str, value: u64) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "{name} {value}");
}

impl Endpoint for MetricsPage {
    type Output = Response;

    async fn call(&self, _: Request) -> Result<Self::Output> {
        Ok(Response::builder()
            .content_type("text/plain; charset=utf-8")
            .body(self.text()))
    }
}
