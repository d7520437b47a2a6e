//! Reads the KV cache events of backends and stores by long polling.

use super::cache_salt::CacheSalt;
use crate::response_body::{self, BodyError};
use compact_str::CompactString;
use routing::prefix_index::PrefixKey;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;
use thiserror::Error;

/// Maximum time for which the server may hold a poll.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);
/// A poll times out this long after [`LONG_POLL_WAIT`].
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// Pause between polls, so that events arrive in batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of a page of events, in bytes.
const MAX_PAGE_BYTES: usize = 16 << 20;

/// Why polling for events stopped.
#[derive(Debug, Error)]
pub enum KvEventsError {
    /// The request failed.
    #[error("KV event poll of {address} failed: {error}; retrying")]
    Unreachable {
        /// The backend or store.
        address: SocketAddrV4,
        /// The cause.
        error: reqwest::Error,
    },
    /// The response status is not a success.
    #[error("KV event poll of {address} returned status {status}; retrying")]
    Rejection {
        /// The backend or store.
        address: SocketAddrV4,
        /// The status.
        status: u16,
    },
    /// The body of the response can't be read.
    #[error("KV events from {address} can't be read: {error}; retrying")]
    Body {
        /// The backend or store.
        address: SocketAddrV4,
        /// The cause.
        error: BodyError,
    },
    /// The response can't be parsed.
    #[error("KV events from {address} can't be parsed: {error}; retrying")]
    Unreadable {
        /// The backend or store.
        address: SocketAddrV4,
        /// The cause.
        error: serde_json::Error,
    },
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    epoch: u64,
    next_page_token: u64,
    #[serde(default)]
    events: Vec<(
        u64,
        CompactString,
        CompactString,
        CompactString,
        u64,
        CompactString,
    )>,
}

/// A cached or evicted segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvEvent {
    /// The prefix that ends with the segment.
    pub key: PrefixKey,
    /// Version of the weights with which the segment was computed.
    pub version: u64,
    /// Whether the segment is cached after this event.
    pub is_cached: bool,
}

/// The events in one response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvEventPage {
    /// Incarnation of the sender.
    pub epoch: u64,
    /// Whether the page contains all events that the sender retains. Segments that are cached
    /// according to these events are cached there now.
    pub is_first: bool,
    /// The events, in order.
    pub events: Vec<KvEvent>,
}

/// Polls for events until an error occurs, and passes each page to `on_page`.
pub async fn poll(
    address: SocketAddrV4,
    client: &reqwest::Client,
    on_page: impl Fn(KvEventPage),
) -> Result<(), KvEventsError> {
    let (mut since, mut epoch) = (0, None);
    loop {
        let is_first = since == 0;
        let page = fetch_page(address, client, since).await?;
        // Page tokens are valid within one incarnation only: start over after a restart.
        let is_same_incarnation = epoch
            .replace(page.epoch)
            .is_none_or(|previous| previous == page.epoch);
        since = if is_same_incarnation {
            page.next_page_token
        } else {
            0
        };
        let events =
            page.events
                .iter()
                .filter_map(|(_, operation, salt, segment, tokens, model)| {
                    let salt = CacheSalt::parse(salt)?;
                    let key = PrefixKey::of_segment(salt.cache_namespace, model, segment);
                    // A segment that is evicted in chunks counts as evicted with the first one.
                    // That event also announces the rest, which is of no use.
                    Some(KvEvent {
                        key,
                        version: salt.version,
                        is_cached: operation == "+" && *tokens > 0,
                    })
                });
        on_page(KvEventPage {
            epoch: page.epoch,
            is_first,
            events: events.collect(),
        });
        tokio::time::sleep(BATCH_INTERVAL).await;
    }
}

async fn fetch_page(
    address: SocketAddrV4,
    client: &reqwest::Client,
    since: u64,
) -> Result<Page, KvEventsError> {
    let unreachable = |error| KvEventsError::Unreachable { address, error };
    let url = format!("http://{address}/v1/kv-events?since={since}");
    let wait = LONG_POLL_WAIT.as_millis().to_string();
    let request = client
        .get(url)
        .header("wait-ms", wait)
        .timeout(LONG_POLL_WAIT + POLL_TIMEOUT_MARGIN);
    let response = request.send().await.map_err(unreachable)?;
    let status = response.status();
    if !status.is_success() {
        return Err(KvEventsError::Rejection {
            address,
            status: status.as_u16(),
        });
    }
    let body = response_body::read(response, MAX_PAGE_BYTES).await;
    let body = body.map_err(|error| KvEventsError::Body { address, error })?;
    serde_json::from_slice(&body).map_err(|error| KvEventsError::Unreadable { address, error })
}
