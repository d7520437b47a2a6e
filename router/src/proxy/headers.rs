//! Headers of requests and answers: their names, and which go along.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName, HeaderValue};

/// The id of one try of a client.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the client, or this router, waits.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Proves that an answer is a backend's own.
pub const SEAL: HeaderName = HeaderName::from_static("x-response-seal");
/// The tenant of a key.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant-id");
/// The backend that is meant.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// The version of weights that is meant.
pub const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// A backend's load.
pub const LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// The request has not run.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The model.
pub const MODEL: HeaderName = HeaderName::from_static("x-model-name");
/// Sizes of a prompt and its answer.
pub const TOKENS: HeaderName = HeaderName::from_static("x-token-counts");
/// Parts of a prompt.
pub const PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Under which text kept parts are found.
pub const SALT: HeaderName = HeaderName::from_static("cache-salt");
/// From where parts are to be taken.
pub const KV_FETCH: HeaderName = HeaderName::from_static("kv-fetch");
/// Where parts are to be sent.
pub const KV_SAVE: HeaderName = HeaderName::from_static("kv-save");
/// The urgency at a backend.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// The version of weights that an answer was made with.
pub const VERSIONS: HeaderName = HeaderName::from_static("versions");
/// Where a stream goes on.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// How long a connection may be idle.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers by which this router speaks to backends; a client's own never go along.
const ROUTER_ONLY: [HeaderName; 8] = [
    TENANT,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    SALT,
    KV_FETCH,
    KV_SAVE,
    PRIORITY,
    header::AUTHORIZATION,
];

/// Removes what concerns one connection only.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    named.iter().chain(&HOP_BY_HOP).for_each(|name| {
        headers.remove(name);
    });
}

/// Removes what a client may not say to a backend.
pub fn remove_router_only(headers: &mut HeaderMap) {
    ROUTER_ONLY.iter().for_each(|name| {
        headers.remove(name);
    });
}

/// A header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header as a whole number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Sets a header; a value that can't stand in one is left out.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The key of `Authorization: Bearer KEY`.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let (scheme, key) = text(headers, &header::AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Whether a message closes its connection.
pub fn closes(headers: &HeaderMap) -> bool {
    let value = text(headers, &header::CONNECTION).unwrap_or_default();
    value
        .split(',')
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
