//! Rules on withdrawn backends: once a withdrawal is acknowledged, routers send no requests there.

use super::{SLACK_MS, Violation, violation, was_connected};
use crate::clock::Millis;
use crate::history::{BackendState, Execution, History, Request};
use crate::settings::DRAIN_TIMEOUT_MS;
use std::collections::HashMap;

/// A request that a connected router has received does not reach a backend later than
/// [`DRAIN_TIMEOUT_MS`] after the acknowledgement of the backend's withdrawal.
pub(super) fn late_requests(history: &History) -> Vec<Violation> {
    let requests: HashMap<u64, &Request> = history
        .requests
        .iter()
        .map(|request| (request.id, request))
        .collect();
    let withdrawn = acknowledged(history);
    let mut found = Vec::new();
    for execution in &history.executions {
        let Some(withdrawn_at) = withdrawn.get(&execution.backend) else {
            continue;
        };
        // Clients do not record requests that are in flight at the end of the soak run.
        let Some(request) = requests.get(&execution.request) else {
            continue;
        };
        let late_ms = execution.arrived_at.saturating_sub(*withdrawn_at);
        if late_ms > DRAIN_TIMEOUT_MS + SLACK_MS && was_sent_connected(history, request, execution)
        {
            let details = format!(
                "reached backend {} {late_ms} ms after its withdrawal was acknowledged",
                execution.backend
            );
            found.push(violation("DRAIN", execution.arrived_at, request, &details));
        }
    }
    found
}

/// Whether the router was connected from when it received the request until the request arrived.
fn was_sent_connected(history: &History, request: &Request, execution: &Execution) -> bool {
    was_connected(
        history,
        request.router,
        request.sent_at,
        execution.arrived_at,
    )
}

/// When each withdrawal was acknowledged.
fn acknowledged(history: &History) -> HashMap<u64, Millis> {
    let withdrawn = history
        .backends
        .iter()
        .filter(|event| event.state == BackendState::Withdrawn);
    withdrawn.map(|event| (event.backend, event.at)).collect()
}
