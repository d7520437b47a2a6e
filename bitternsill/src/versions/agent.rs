//! The object of the event loop that queries the store for the active version, votes on proposals
//! and switches versions.

use super::keys::{ACTIVE, EXCLUDED, GATHERERS, ON_HOLD, PROPOSAL, VOTE};
use super::{FORMAT, NANOS_PER_MS};
use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Net, Ready};
use crate::store::requests::Requester;
use dispatch::interface::Time;
use serde_json::{Value as Json, json};
use std::io;
use store::command::Change;
use store::member::{Call, Reply};
use versions::Version;
use versions::audit_log::Record;

type Cx<'a> = Context<'a, Gatherer>;

/// A query has to be answered within this fraction of the validity.
const QUERY_TIMEOUTS_PER_VALIDITY: Time = 4;

/// Queries the store for the active version periodically.
pub(super) struct Agent;

impl Agent {
    fn poll(&self, cx: &mut Cx<'_>) {
        let now = cx.net.now();
        let (Some(store_service), Some(versions)) =
            (&mut cx.world.store_service, &mut cx.world.versions)
        else {
            return;
        };
        versions.lease.update(now);
        if versions.lease.begin_query(now) {
            let validity = versions.setup.validity_ms.saturating_mul(NANOS_PER_MS);
            let timeout = validity / QUERY_TIMEOUTS_PER_VALIDITY;
            store_service.submit(Call::Read, Requester::Internal(cx.token), timeout, cx.net);
        }
        versions.report_status_changes(cx.net);
        let due = versions.lease.due();
        cx.set_timer(due.max(now + NANOS_PER_MS));
    }

    fn handle_query_response(cx: &mut Cx<'_>) {
        // The state that this member has applied is now at least as new as when the query was sent.
        cx.world.apply_store_state(cx.net, cx.now);
        let state = cx
            .world
            .store_service
            .as_ref()
            .map(|store_service| store_service.store().state());
        let active = state
            .and_then(|state| state.versioned(ACTIVE))
            .map_or(0, |entry| entry.revision);
        let now = cx.net.now();
        let Some(versions) = &mut cx.world.versions else {
            return;
        };
        let excluded =
            state.is_some_and(|state| state.get(&format!("{EXCLUDED}{}", versions.name)).is_some());
        if excluded {
            versions.lease.handle_exclusion(now);
        } else {
            versions.lease.handle_response(active, now);
        }
    }
}

impl Connection<Gatherer> for Agent {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.set_timer(cx.now);
        Ok(())
    }

    fn ready(&mut self, _cx: &mut Cx<'_>, _ready: Ready) {}

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        match message {
            Message::StoreChanged(changes) => {
                cx.world.observe_registrations(&changes);
                cx.world.apply_store_state(cx.net, cx.now);
            }
            Message::Replied(Reply::Read(_)) => Agent::handle_query_response(cx),
            Message::Replied(_) => {
                let now = cx.net.now();
                if let Some(versions) = &mut cx.world.versions {
                    versions.lease.handle_timeout(now);
                }
            }
            _ => return,
        }
        self.poll(cx);
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.poll(cx);
    }
}

impl Gatherer {
    /// Checks every committed registration of this gatherer's name, in order.
    fn observe_registrations(&mut self, changes: &[Change]) {
        let Some(versions) = &mut self.versions else {
            return;
        };
        let key = format!("{GATHERERS}{}", versions.name);
        let incarnations = changes
            .iter()
            .filter(|change| change.key == key)
            .filter_map(|change| change.value.as_ref())
            .filter_map(|value| serde_json::from_str::<Json>(value).ok()?["life"].as_u64());
        for incarnation in incarnations {
            if versions.registration.observe_commit(incarnation) {
                tracing::error!(
                    name = versions.name,
                    "another process has registered this gatherer's name: this process accepts no clients"
                );
            }
        }
    }

    /// Acts on the state of the store: votes on a new proposal, switches to a new active version,
    /// follows an operator's hold, and registers.
    fn apply_store_state(&mut self, net: &mut Net<Self>, now: Time) {
        let (Some(store_service), Some(versions)) = (&mut self.store_service, &mut self.versions)
        else {
            return;
        };
        let name = versions.name.clone();
        let state = store_service.store().state();
        let document = |key: &str| {
            let entry = state.versioned(key)?;
            let document = serde_json::from_str::<Json>(&entry.value).ok()?;
            Some((entry.revision, document))
        };
        let active = document(ACTIVE);
        let proposal = document(PROPOSAL);
        let on_hold = state.get(&format!("{ON_HOLD}{name}")).is_some();
        let mut writes: Vec<(String, Json)> = Vec::new();
        versions
            .lease
            .set_on_hold(on_hold || versions.registration.is_displaced(), now);
        if let Some((proposal, document)) = proposal.filter(|(at, _)| *at > versions.voted_on) {
            writes.push((format!("{VOTE}{name}"), versions.vote(proposal, &document)));
        }
        let attempted = versions.attempted;
        if let Some((version, document)) = active.filter(|(version, _)| *version != attempted) {
            self.switch(version, &document, net, now);
        }
        let (Some(store_service), Some(versions)) = (&mut self.store_service, &mut self.versions)
        else {
            return;
        };
        if !versions.registration.is_displaced() {
            writes.push((format!("{GATHERERS}{name}"), versions.registration_json()));
        }
        for (key, value) in writes {
            store_service.propose(&key, &value.to_string(), net);
        }
        versions.report_status_changes(net);
    }

    /// Switches to an active version, if this gatherer can use it.
    fn switch(&mut self, version: Version, document: &Json, net: &mut Net<Self>, now: Time) {
        let Some(versions) = &mut self.versions else {
            return;
        };
        versions.attempted = version;
        let name = versions.name.clone();
        let autonomous = document["keepers"]
            .as_array()
            .is_some_and(|names| names.iter().any(|one| *one == *name));
        // Queries served until here were served under the previous version.
        self.record_finished_queries(net, now);
        let Some(versions) = &mut self.versions else {
            return;
        };
        versions.flush(now, net);
        let prepared = versions.prepare(document);
        match prepared.and_then(|prepared| Ok(self.reconfigure(prepared, now)?)) {
            Ok(()) => {
                self.core.set_version(version);
                let Some(versions) = &mut self.versions else {
                    return;
                };
                versions.lease.switch(version, autonomous, now);
                tracing::info!(version, autonomous, "switched to the active version");
                let record = Record::Switched {
                    version,
                    autonomous,
                };
                versions.record(vec![(now, record)], net);
            }
            Err(problem) => {
                let problem = problem.to_string();
                tracing::error!(
                    version,
                    problem,
                    "this gatherer cannot use the active version and stays on its current one"
                );
            }
        }
    }
}

impl super::Versions {
    /// This gatherer's vote on a proposal, in its stored form.
    fn vote(&mut self, proposal: u64, document: &Json) -> Json {
        self.voted_on = proposal;
        let cannot = self.prepare(document).err().map(|error| error.to_string());
        tracing::info!(proposal, cannot, "voted on a proposal");
        json!({"to": proposal, "life": self.incarnation, "cannot": cannot})
    }

    /// This gatherer's registration, in its stored form.
    fn registration_json(&self) -> Json {
        json!({
            "life": self.incarnation,
            "runs": self.running(),
            "program": env!("CARGO_PKG_VERSION"),
            "validity_ms": self.setup.validity_ms,
            "reads": FORMAT,
        })
    }
}

/// Subscribes the agent to the store, and starts with the active version in this member's own file.
/// That version may be outdated: the gatherer serves under it only after a response of the store
/// or, if it is autonomous, after a whole validity period without a response.
pub fn connect(gatherer: &mut Gatherer, net: &mut Net<Gatherer>) {
    let now = net.now();
    let (Some(store_service), Some(versions)) =
        (&mut gatherer.store_service, &mut gatherer.versions)
    else {
        return;
    };
    if let Some(agent) = versions.agent {
        let keys = vec![
            "config/".to_owned(),
            format!("{GATHERERS}{}", versions.name),
        ];
        store_service.subscribe(keys, agent);
    }
    let store = store_service.store();
    let known = store.latest_known(ACTIVE);
    let known =
        known.and_then(|(version, text)| Some((version, serde_json::from_str::<Json>(text).ok()?)));
    match known {
        Some((version, document)) => gatherer.switch(version, &document, net, now),
        // If no version was ever active, each gatherer runs its own file and none can be excluded.
        // A member that has lost its file does not know whether a version was active.
        None => {
            let autonomous = store.status() != store::rejoin::Status::Lost;
            versions.lease.switch(0, autonomous, now);
            let record = Record::Switched {
                version: 0,
                autonomous,
            };
            versions.record(vec![(now, record)], net);
        }
    }
}
