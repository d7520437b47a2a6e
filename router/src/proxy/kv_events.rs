//! Reads the KV cache events of backends and stores by long polling.

use super::cache_salt::CacheSalt;
use compact_str::CompactString;
use routing::prefix_index::PrefixKey;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;
use thiserror::Error;

/// How long a poll may be held by the server.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Time limit of a poll beyond that.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time to wait between polls, so that single events come in batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Why reading events ended.
#[derive(Debug, Error)]
pub enum KvEventsError {
    /// The request failed.
    #[error("{address} does not answer: {error}; it is tried again")]
    Unreachable {
        /// The backend or store.
        address: SocketAddrV4,
        /// The cause.
        error: reqwest::Error,
    },
    /// The response has an unexpected status.
    #[error("{address} answers with {status}; it is tried again")]
    Rejection {
        /// The backend or store.
        address: SocketAddrV4,
        /// The status.
        status: u16,
    },
    /// The response can't be parsed.
    #[error("{address} sends events that can't be read: {error}; it is tried again")]
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
    /// Version of the weights.
    pub version: u64,
    /// Whether the segment is cached now.
    pub is_cached: bool,
}

/// Events that were sent together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvEventPage {
    /// The sender's incarnation.
    pub epoch: u64,
    /// Whether these are all events that the sender retains: what they say is cached there now.
    pub is_first: bool,
    /// The events, in order.
    pub events: Vec<KvEvent>,
}

/// Polls for events until an error. `heard` receives each page.
pub async fn poll(
    address: SocketAddrV4,
    client: &reqwest::Client,
    heard: impl Fn(KvEventPage),
) -> Result<(), KvEventsError> {
    let (mut since, mut epoch) = (0, None);
    loop {
        let is_first = since == 0;
        let page = call(address, client, since).await?;
        // Event numbers of another incarnation are meaningless.
        let is_same_incarnation = epoch
            .replace(page.epoch)
            .is_none_or(|former| former == page.epoch);
        since = if is_same_incarnation {
            page.next_page_token
        } else {
            0
        };
        let events = page
            .events
            .iter()
            .filter_map(|(_, sign, salt, part, tokens, model)| {
                let salt = CacheSalt::parse(salt)?;
                let key = PrefixKey::of_segment(salt.cache_namespace, model, part);
                // A segment that is evicted in chunks counts as evicted with the first one: the
                // rest is announced with its removal and is of no use.
                Some(KvEvent {
                    key,
                    version: salt.version,
                    is_cached: sign == "+" && *tokens > 0,
                })
            });
        heard(KvEventPage {
            epoch: page.epoch,
            is_first,
            events: events.collect(),
        });
        tokio::time::sleep(BATCH_INTERVAL).await;
    }
}

async fn call(
    address: SocketAddrV4,
    client: &reqwest::Client,
    since: u64,
) -> Result<Page, KvEventsError> {
    let unreachable = |error| KvEventsError::Unreachable { address, error };
    let url = format!("http://{address}/v1/kv-events?since={since}");
    let wait = LONG_POLL_WAIT.as_millis().to_string();
    let call = client
        .get(url)
        .header("wait-ms", wait)
        .timeout(LONG_POLL_WAIT + CALL_TIMEOUT);
    let answer = call.send().await.map_err(unreachable)?;
    let status = answer.status();
    if !status.is_success() {
        return Err(KvEventsError::Rejection {
            address,
            status: status.as_u16(),
        });
    }
    let body = answer.bytes().await.map_err(unreachable)?;
    serde_json::from_slice(&body).map_err(|error| KvEventsError::Unreadable { address, error })
}
