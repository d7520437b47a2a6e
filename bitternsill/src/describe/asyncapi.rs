//! The streaming interfaces as an AsyncAPI description: discovery's watch and the store's
//! connections.

use crate::front::platform::discovery::{MEMBERS, STATES};
use crate::store::server::WATCH;
use serde_json::{Map, Value as Json, json};
use store::message::KINDS;

fn object(required: &[&str], properties: Json) -> Json {
    json!({"type": "object", "required": required, "properties": properties})
}

fn list() -> Json {
    let states: Vec<&str> = STATES.iter().map(|(name, _)| *name).collect();
    let target = object(
        &["uid", "state"],
        json!({
            "uid": {"type": "string"}, "endpoint": {"type": "string"}, "az": {"type": "string"},
            "model": {"type": "string"}, "pod_group": {"type": "integer"},
            "state": {"type": "string", "enum": states},
            "capacity_hint": {"type": "number"}, "boot_ms": {"type": "integer"}
        }),
    );
    let targets = json!({"type": "array", "items": target});
    object(
        &["rev", "targets"],
        json!({"rev": {"type": "integer"}, "all": {"type": "boolean"}, "targets": targets}),
    )
}

/// The description.
pub fn describe() -> Json {
    let mut packets = Map::new();
    for (kind, about) in KINDS {
        let payload = object(
            &["kind", "from", "term", "sequence"],
            json!({
                "kind": {"const": kind}, "from": {"type": "integer"},
                "term": {"type": "integer"}, "sequence": {"type": "integer"}
            }),
        );
        packets.insert(
            (*kind).to_owned(),
            json!({"summary": about, "payload": payload}),
        );
    }
    let change = object(
        &["key", "value"],
        json!({"key": {"type": "string"}, "value": {"type": "string"}}),
    );
    let message = |summary: &str, payload: Json| json!({"summary": summary, "payload": payload});
    json!({
        "asyncapi": "3.0.0",
        "info": {"title": "bitternsill", "version": env!("CARGO_PKG_VERSION")},
        "channels": {
            "members": {
                "address": format!("{MEMBERS}?stream=1"),
                "description": "Discovery's watch: one JSON object per line, and an empty line while nothing changes",
                "messages": {"list": message("The changed entries, or the whole list", list())}
            },
            "store": {
                "address": "store.members",
                "description": "Between members of the store: one JSON object per line",
                "messages": packets
            },
            "storeWatch": {
                "address": "store.members",
                "description": format!("After a line `{WATCH}`: every key, then each change as it is committed"),
                "messages": {"change": message("A key and its value", change)}
            }
        },
        "operations": {
            "receiveMembers": {"action": "receive", "channel": {"$ref": "#/channels/members"}},
            "receivePackets": {"action": "receive", "channel": {"$ref": "#/channels/store"}},
            "sendPackets": {"action": "send", "channel": {"$ref": "#/channels/store"}},
            "sendChanges": {"action": "send", "channel": {"$ref": "#/channels/storeWatch"}}
        }
    })
}
