//! The metrics page: event counters and gauges of a router, as lines of text.

use crate::counters::Event;
use crate::fleet::Fleet;
use crate::proxy::backend_table::BackendTable;
use crate::sync::lock;
use crate::weights::RolloutController;
use control::directory::BackendPhase;
use control::rollout::RolloutOwnership;
use poem::{Endpoint, Request, Response, Result};
use routing::version_floor::AnnouncedVersion;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

/// The metrics page.
pub struct MetricsPage {
    fleet: Arc<Fleet>,
    table: Arc<BackendTable>,
    rollout: Option<Arc<RolloutController>>,
}

impl MetricsPage {
    /// Creates the page. Only a node with a replica has a rollout controller.
    pub fn new(
        fleet: Arc<Fleet>,
        table: Arc<BackendTable>,
        rollout: Option<Arc<RolloutController>>,
    ) -> Self {
        MetricsPage {
            fleet,
            table,
            rollout,
        }
    }

    /// Renders the page: one line per metric, with its name, labels if any, and value.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (event, name) in Event::ALL {
            write_metric(
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
        write_metric(
            text,
            "configuration_version",
            published.version().unwrap_or(0),
        );
        write_metric(text, "control_change", published.position().index);
        drop(published);
        write_metric(
            text,
            "control_epoch",
            fleet.leader().map_or(0, |(epoch, _)| epoch),
        );
        let is_leader = fleet
            .replica
            .as_ref()
            .is_some_and(crate::replica::handle::ReplicaHandle::is_leader);
        write_metric(text, "control_leads", u64::from(is_leader));
        if let Some(age) = fleet.staleness() {
            write_metric(text, "control_age_ms", age);
        }
        write_metric(text, "members_up", fleet.members_up() as u64);
    }

    fn write_weights(&self, text: &mut String) {
        for (model, target) in lock(&self.fleet.published).weights() {
            write_metric(
                text,
                &format!("weights_named{{model=\"{model}\"}}"),
                target.version,
            );
        }
        for announced in self.fleet.announced_weights() {
            let labels = format!(
                "model=\"{}\",version=\"{}\"",
                announced.model, announced.version
            );
            write_metric(
                text,
                &format!("weights_named_ms_ago{{{labels}}}"),
                announced.age_ms,
            );
        }
        let mut backends: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for backend in self.table.all() {
            for (model, version) in backend.versions() {
                *backends.entry((model.to_string(), version)).or_default() += 1;
            }
        }
        for ((model, version), count) in backends {
            write_metric(
                text,
                &format!("backends_with_weights{{model=\"{model}\",version=\"{version}\"}}"),
                count,
            );
        }
    }

    fn write_orders(&self, text: &mut String) {
        if let Some(rollout) = &self.rollout {
            let is_owner = rollout.ownership() == RolloutOwnership::Owned;
            write_metric(text, "orders_given_here", u64::from(is_owner));
            write_metric(text, "backends_refusing_fences", rollout.fenced_backends());
        }
        for rollout in self.fleet.incomplete_rollouts() {
            let AnnouncedVersion {
                model,
                version,
                age_ms,
            } = rollout.announced;
            let labels = format!("model=\"{model}\",version=\"{version}\"");
            write_metric(text, &format!("weights_unfinished_ms{{{labels}}}"), age_ms);
        }
        for (reason, count) in self.fleet.outdated_by_reason() {
            let name = reason.name();
            write_metric(
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
            write_metric(text, &format!("backends{{phase=\"{name}\"}}"), count as u64);
        }
        let unresponsive = directory
            .backends()
            .filter(|(_, backend)| backend.unresponsive)
            .count();
        write_metric(text, "backends_silent", unresponsive as u64);
    }
}

fn write_metric(text: &mut String, name: &str, value: u64) {
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
