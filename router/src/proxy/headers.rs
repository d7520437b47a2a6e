//! Header names, and the rules for forwarding headers.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName, HeaderValue};

/// Id that a client assigns to each of its attempts.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time for which the sender waits for the response, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Proves that a response was produced by the backend itself.
pub const SEAL: HeaderName = HeaderName::from_static("x-response-seal");
/// Name of the tenant to which the API key belongs.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant-id");
/// Id of the backend instance that the request is addressed to.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// Version of the weights that the backend is expected to have.
pub const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// Load reported by a backend.
pub const LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// States that the backend did not execute the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// Name of the model that the prompt is for.
pub const MODEL: HeaderName = HeaderName::from_static("x-model-name");
/// Token count of the prompt, and maximum token count of the output.
pub const TOKENS: HeaderName = HeaderName::from_static("x-token-counts");
/// Ids and lengths of the prompt's segments.
pub const PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Salt under which the prompt's segments are cached.
pub const SALT: HeaderName = HeaderName::from_static("cache-salt");
/// Address to fetch segments from.
pub const KV_FETCH: HeaderName = HeaderName::from_static("kv-fetch");
/// Address to save segments to.
pub const KV_SAVE: HeaderName = HeaderName::from_static("kv-save");
/// Scheduling priority at a backend.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Version of the weights that produced a response.
pub const VERSIONS: HeaderName = HeaderName::from_static("versions");
/// Id of the event after which a stream resumes.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Keep-alive parameters of a connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
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

/// Headers that are removed from client requests. Only routers may send them to backends, and API
/// keys are not forwarded.
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

/// Removes hop-by-hop headers, including those listed in `Connection`.
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

/// Removes headers that clients must not send to backends.
pub fn remove_router_only(headers: &mut HeaderMap) {
    ROUTER_ONLY.iter().for_each(|name| {
        headers.remove(name);
    });
}

/// Value of a header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Value of a header as an unsigned integer.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Sets a header, unless the value is invalid.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The API key in `Authorization: Bearer KEY`.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let (scheme, key) = text(headers, &header::AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns whether a message announces that its connection closes.
pub fn closes(headers: &HeaderMap) -> bool {
    let value = text(headers, &header::CONNECTION).unwrap_or_default();
    value
        .split(',')
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
