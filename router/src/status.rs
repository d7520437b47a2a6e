//! The status report for operators, as JSON.

use crate::fleet::Fleet;
use crate::sync::lock;
use serde_json::{Value as Json, json};

/// Builds the report. Its keys are a stable interface for operators' tools.
pub fn report(fleet: &Fleet) -> Json {
    let published = lock(&fleet.published);
    let directory = lock(&fleet.directory);
    let members: Vec<Json> = directory
        .members()
        .map(|(name, member)| {
            json!({"name": name.as_str(), "zone": member.zone.as_str(), "status": format!("{:?}", member.status),
                   "incarnation": member.revision, "replica": member.replica.as_ref().map(ToString::to_string)})
        })
        .collect();
    let backends: Vec<Json> = directory
        .backends()
        .map(|(id, backend)| {
            json!({"id": id.as_str(), "service": backend.service.as_str(), "address": backend.address.to_string(),
                   "zone": backend.zone.as_str(), "phase": format!("{:?}", backend.phase),
                   "silent": backend.unresponsive})
        })
        .collect();
    let weights: Vec<Json> = published
        .weights()
        .iter()
        .map(|(model, target)| json!({"model": model.as_str(), "version": target.version}))
        .collect();
    let traffic: Vec<Json> = fleet
        .links
        .traffic()
        .counts()
        .map(|(kind, count)| {
            json!({"about": format!("{kind:?}"), "messagesSent": count.messages_sent, "bytesSent": count.bytes_sent,
                   "messagesReceived": count.messages_received, "bytesReceived": count.bytes_received})
        })
        .collect();
    json!({
        "node": fleet.settings.node_name.as_str(),
        "configuration": published.version(),
        "change": published.position().index,
        "primary": fleet.leader().map(|(epoch, replica)| json!({"epoch": epoch, "replica": replica.to_string()})),
        "replica": fleet.replica.as_ref().map(crate::replica::handle::ReplicaHandle::status),
        "members": members,
        "backends": backends,
        "weights": weights,
        "traffic": traffic,
    })
}
