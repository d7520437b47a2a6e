//! Pulls updates from other nodes, and responds to their pulls.

use super::Fleet;
use super::announced_weights::SendTimeBounds;
use super::confirmation::MAX_STALENESS;
use crate::clock;
use crate::links::Reply;
use crate::protocol::{PullRequest, Pulled, Request, Response};
use crate::sync::lock;
use control::directory::{Directory, Key, MemberStatus, Value, VersionVector};
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long a pull may wait for updates.
pub const PULL_WAIT: Duration = Duration::from_millis(1_500);
/// Time beyond the wait after which a response with updates is late.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(900);
/// The same for a response with the full state.
const FULL_STATE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// A pull fails after this time beyond the wait. A connection to an unresponsive peer breaks
/// sooner.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Updates for routers without replicas are batched for this long per member, up to the maximum, as
/// responses for every changed backend would be too many in a large fleet.
const BATCH_DELAY_PER_MEMBER: Duration = Duration::from_micros(500);
const MAX_BATCH_DELAY: Duration = Duration::from_millis(250);
/// Memory limit of full-state responses in progress, in kilobytes.
pub(super) const FULL_STATE_BUDGET_KB: u32 = 8 << 10;
/// Estimated size of a record in a response, in bytes.
const RECORD_BYTES: usize = 200;

/// Outcome of a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pull {
    /// A response from a node that is current.
    Current,
    /// A response from a stale node; another node may have newer state.
    Stale,
    /// No response in time, or a broken connection.
    Failed,
}

impl Fleet {
    fn pull_request(&self, wait: Duration) -> PullRequest {
        let directory = lock(&self.directory);
        let published = lock(&self.published);
        let own = directory.get(&Key::Member(self.settings.node_name.clone()));
        let revision = match own {
            Some(Value::Member(member))
                if member.incarnation != self.incarnation
                    || member.status == MemberStatus::Down =>
            {
                member.revision + 1
            }
            Some(Value::Member(member)) => member.revision,
            _ => 1,
        };
        PullRequest {
            name: self.settings.node_name.clone(),
            member: self.local_member(revision),
            vector: self.stated_vector(&directory).clone(),
            position: published.position(),
            base: published.base(),
            epoch: lock(&self.leader).as_ref().map_or(0, |leader| leader.0),
            wait_ms: wait.as_millis() as u64,
            missing: self.missing_members(&directory),
        }
    }

    /// The vector that this node states in its pulls. Those of a replica node count for
    /// acknowledgements, so they cover no withdrawal that is not on its disk.
    fn stated_vector<'a>(&self, directory: &'a Directory) -> &'a VersionVector {
        if self.replica.is_some() {
            directory.durable_vector()
        } else {
            directory.vector()
        }
    }

    /// Pulls from one node once. Calls `is_late` if the response is late, and then keeps waiting
    /// for it, as another pull would only add to the peer's queue.
    pub async fn pull(&self, from: SocketAddrV4, wait: Duration, is_late: impl FnOnce()) -> Pull {
        let request = self.pull_request(wait);
        let requested_at = clock::now();
        // A node without state gets the full state, which many nodes may request at once.
        let timeout = if request.base.is_none() {
            FULL_STATE_TIMEOUT
        } else {
            UPDATE_TIMEOUT
        };
        let response = self
            .links
            .call(from, Request::Pull(request), wait + RESPONSE_TIMEOUT);
        tokio::pin!(response);
        let response = match tokio::time::timeout(wait + timeout, &mut response).await {
            Ok(response) => response,
            Err(_) => {
                is_late();
                response.await
            }
        };
        let Some(Response::Pulled(mut pulled)) = response else {
            return Pull::Failed;
        };
        let Pulled {
            records, vector, ..
        } = &mut *pulled;
        let records = std::mem::take(records);
        let changed = self.update_directory(|directory| directory.merge(records, vector));
        let sent_at = SendTimeBounds {
            earliest: requested_at + pulled.delay_ms,
            latest: clock::now(),
        };
        self.merge_announcements(pulled.announced_weights, sent_at);
        let changes = pulled.state.is_some_and(|state| {
            self.announce_weights(&state.weights);
            lock(&self.published).apply_update(state)
        });
        self.observe_leader(pulled.leader);
        if !changed.is_empty() || changes {
            self.notify_change();
        }
        // The age is that of the responder's state, which an update that can't be applied leaves
        // ahead of the state here.
        if lock(&self.published).is_outdated() {
            return Pull::Stale;
        }
        self.record_age(requested_at + pulled.delay_ms, pulled.age_ms);
        let is_current = pulled.age_ms.is_some_and(|age| age < MAX_STALENESS);
        if is_current {
            Pull::Current
        } else {
            Pull::Stale
        }
    }

    /// Responds to a pull as soon as there are updates, or this node finds its state to be current
    /// or stale, which the requester then knows of its own. Full-state responses are large and many
    /// routers may request them at once, so a semaphore limits how many are in memory.
    pub(super) async fn answer_pull(&self, request: PullRequest) -> Reply {
        self.observe_member(&request);
        let mut changes = self.subscribe();
        self.observe_peer(&request);
        let started_at = clock::now();
        let wait = tokio::time::sleep(Duration::from_millis(request.wait_ms));
        let was_current = self.is_current();
        let becomes_stale = self.becomes_stale();
        tokio::pin!(wait, becomes_stale);
        loop {
            let has_become_current = !was_current && self.is_current();
            if has_become_current || self.has_updates_for(&request) {
                break;
            }
            tokio::select! {
                () = &mut wait => break,
                () = &mut becomes_stale => break,
                changed = changes.changed() => if changed.is_err() { break },
            }
            if request.member.replica.is_none() && self.has_updates_for(&request) {
                tokio::time::sleep(self.batch_delay()).await;
            }
        }
        let permit = if self.needs_full_state(&request) {
            let kilobytes = self.full_state_kb();
            // The semaphore is never closed.
            self.full_state_permits
                .clone()
                .acquire_many_owned(kilobytes)
                .await
                .ok()
        } else {
            None
        };
        // Read before the state that it confirms.
        let confirmed_as_of = self.confirmed_as_of();
        let directory = lock(&self.directory);
        let records = directory.records_since(&request.vector);
        let vector = directory.vector().clone();
        let state = lock(&self.published).update_for(request.position, request.base);
        drop(directory);
        // The requester adds the delay and subtracts the age, so both end at the same time.
        let ends_at = clock::now();
        let pulled = Pulled {
            records,
            vector,
            state,
            leader: self.leader(),
            age_ms: confirmed_as_of.map(|as_of| ends_at.saturating_sub(as_of)),
            announced_weights: lock(&self.version_floors).announced(ends_at),
            delay_ms: ends_at - started_at,
        };
        Reply {
            response: Response::Pulled(Box::new(pulled)),
            permit,
        }
    }

    /// How long updates for routers without replicas are batched.
    pub fn batch_delay(&self) -> Duration {
        let members = u32::try_from(self.members_up()).unwrap_or(u32::MAX);
        BATCH_DELAY_PER_MEMBER
            .saturating_mul(members)
            .min(MAX_BATCH_DELAY)
    }

    /// Returns whether the response to a pull holds the full directory or a full configuration.
    fn needs_full_state(&self, request: &PullRequest) -> bool {
        let knows_some = !request.vector.is_empty();
        let lacks_configuration =
            request.base.is_none() && lock(&self.published).version().is_some();
        lacks_configuration || !knows_some
    }

    /// Estimated size of a full-state response in kilobytes.
    fn full_state_kb(&self) -> u32 {
        let records = lock(&self.directory).len() * RECORD_BYTES;
        let bytes = records + lock(&self.published).text_bytes();
        u32::try_from(1 + bytes / 1024)
            .unwrap_or(u32::MAX)
            .min(FULL_STATE_BUDGET_KB)
    }

    fn has_updates_for(&self, request: &PullRequest) -> bool {
        lock(&self.directory).has_records_since(&request.vector)
            || lock(&self.published).position().index > request.position.index
            || self
                .leader()
                .is_some_and(|(epoch, _)| epoch > request.epoch)
    }
}
