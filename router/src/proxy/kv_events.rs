//! Reading the events by which backends and stores tell what they keep.

use super::cache_salt::CacheSalt;
use compact_str::CompactString;
use routing::prefix_index::PrefixKey;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;
use thiserror::Error;

/// How long a call for events may be held.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Patience beyond the time that a call may be held.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Events that come one by one are taken together after this.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Why a reading has ended.
#[derive(Debug, Error)]
pub enum ReadingError {
    /// The call failed.
    #[error("{address} does not answer: {problem}; it is tried again")]
    Unreachable {
        /// The backend or store.
        address: SocketAddrV4,
        /// What went wrong.
        problem: reqwest::Error,
    },
    /// The answer is none that the protocol knows.
    #[error("{address} answers with {status}; it is tried again")]
    Rejection {
        /// The backend or store.
        address: SocketAddrV4,
        /// The status.
        status: u16,
    },
    /// The answer can't be read.
    #[error("{address} sends events that can't be read: {problem}; it is tried again")]
    Unreadable {
        /// The backend or store.
        address: SocketAddrV4,
        /// What is wrong.
        problem: serde_json::Error,
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

/// What has become of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvEvent {
    /// The prefix that ends with the part.
    pub key: PrefixKey,
    /// The version of the weights.
    pub version: u64,
    /// Whether it is kept now.
    pub is_cached: bool,
}

/// Reads events for as long as they come. `heard` is told the life of whoever sends them with each
/// page.
pub async fn follow(
    address: SocketAddrV4,
    client: &reqwest::Client,
    heard: impl Fn(u64, Vec<KvEvent>),
) -> Result<(), ReadingError> {
    let (mut since, mut epoch) = (0, None);
    loop {
        let page = call(address, client, since).await?;
        // What was numbered in another life says nothing of this one.
        let is_same_life = epoch
            .replace(page.epoch)
            .is_none_or(|former| former == page.epoch);
        since = if is_same_life {
            page.next_page_token
        } else {
            0
        };
        let events = page
            .events
            .iter()
            .filter_map(|(_, sign, salt, part, tokens, model)| {
                let salt = CacheSalt::read(salt)?;
                let key = PrefixKey::of_segment(salt.cache_namespace, model, part);
                // What is left of a part that gives way in pieces is told with its removal, and is
                // of no use.
                Some(KvEvent {
                    key,
                    version: salt.version,
                    is_cached: sign == "+" && *tokens > 0,
                })
            });
        heard(page.epoch, events.collect());
        tokio::time::sleep(BATCH_INTERVAL).await;
    }
}

async fn call(
    address: SocketAddrV4,
    client: &reqwest::Client,
    since: u64,
) -> Result<Page, ReadingError> {
    let unreachable = |problem| ReadingError::Unreachable { address, problem };
    let url = format!("http://{address}/v1/kv-events?since={since}");
    let wait = LONG_POLL_WAIT.as_millis().to_string();
    let call = client
        .get(url)
        .header("wait-ms", wait)
        .timeout(LONG_POLL_WAIT + CALL_TIMEOUT);
    let answer = call.send().await.map_err(unreachable)?;
    let status = answer.status();
    if !status.is_success() {
        return Err(ReadingError::Rejection {
            address,
            status: status.as_u16(),
        });
    }
    let body = answer.bytes().await.map_err(unreachable)?;
    serde_json::from_slice(&body).map_err(|problem| ReadingError::Unreadable { address, problem })
}
