//! Until when the control state of this node is known to be the latest.
//!
//! A node is *confirmed as of* a time if its state contains every change that was acknowledged by
//! then. Replicas learn this from the primary's heartbeats, other routers from pulls. After a start,
//! during a partition and after a suspension the state may lack changes that were acknowledged
//! since, and nothing in the state itself shows this.

use super::Fleet;
use crate::clock;
use crate::replica::handle::ReplicaHandle;
use crate::sync::lock;
use control::Millis;
use control::configuration::Configuration;
use std::sync::Arc;
use std::time::Duration;

/// A node is stale if its control state has not been confirmed as the latest for this long, in
/// milliseconds. The primary sends a heartbeat every 0.2 s.
pub(super) const MAX_STALENESS: Millis = 1_000;

/// Requests wait for the first confirmation until this time after the router first had a
/// configuration, in milliseconds. After a start of many routers it comes that soon, and requests
/// without it compute prompt segments again that are cached.
const FIRST_CONFIRMATION_WAIT: Millis = 300;
/// How often a waiting request checks for the confirmation.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The configuration by which this router handles a request.
#[derive(Debug, Clone)]
pub struct ConfigurationInUse {
    /// The configuration that was in force when the request was received.
    pub configuration: Arc<Configuration>,
    /// When the request was received.
    pub received_at: Millis,
    /// Whether the configuration may be used for this request without reservation, see
    /// [`Fleet::configuration_for`].
    pub is_confirmed: bool,
}

impl Fleet {
    /// Records the age of the control state in another node's response. `sent_at` is the earliest
    /// time at which the response can have been sent, so that the state never counts as newer than
    /// it is, however long the response was in transit.
    pub(super) fn record_age(&self, sent_at: Millis, age_ms: Option<u64>) {
        if let Some(age) = age_ms {
            self.record_confirmation(sent_at.saturating_sub(age));
        }
    }

    /// Records that the state here contains every change that was acknowledged by this time.
    pub fn record_confirmation(&self, as_of: Millis) {
        let mut known = lock(&self.current_as_of);
        *known = (*known).max(Some(as_of));
    }

    /// The latest time as of which the state here is confirmed; `None` if it has never been since
    /// the start of the process, or if a newer configuration could not be applied.
    pub(super) fn confirmed_as_of(&self) -> Option<Millis> {
        if lock(&self.published).is_outdated() {
            return None;
        }
        let own = self.replica.as_ref().and_then(ReplicaHandle::current_at);
        own.max(*lock(&self.current_as_of))
    }

    /// Time since this node's control state was last confirmed as the latest, in milliseconds;
    /// `None` if it never was.
    pub fn staleness(&self) -> Option<Millis> {
        let at = self.confirmed_as_of()?;
        Some(clock::now().saturating_sub(at))
    }

    /// Whether the state here was confirmed as the latest less than [`MAX_STALENESS`] ago.
    pub(crate) fn is_current(&self) -> bool {
        self.staleness().is_some_and(|age| age < MAX_STALENESS)
    }

    /// Completes when this node becomes stale; never if it was stale from the start.
    pub(super) async fn becomes_stale(&self) {
        if !self.is_current() {
            return std::future::pending().await;
        }
        while let Some(age) = self.staleness().filter(|age| *age < MAX_STALENESS) {
            tokio::time::sleep(Duration::from_millis(MAX_STALENESS - age)).await;
        }
    }

    /// Waits until the state is confirmed for the first time since the start of the process, within
    /// [`FIRST_CONFIRMATION_WAIT`].
    pub async fn wait_for_first_confirmation(&self) {
        while self.confirmed_as_of().is_none() {
            let configured_at = lock(&self.published).configured_at();
            let is_over = |at: Millis| clock::now() >= at + FIRST_CONFIRMATION_WAIT;
            if configured_at.is_none_or(is_over) {
                return;
            }
            tokio::time::sleep(CONFIRMATION_CHECK_INTERVAL).await;
        }
    }

    /// The configuration for a request that was received at this time; `None` if this router has
    /// none.
    ///
    /// The configuration is confirmed for the request if a newer one, if there is any, was
    /// acknowledged too late to bind it. Otherwise the request may be forwarded by what is known
    /// here, but must be treated so that no newer configuration can forbid it: it runs at most once,
    /// and shares no cached prompt segments with other tenants.
    pub fn configuration_for(&self, received_at: Millis) -> Option<ConfigurationInUse> {
        // Read before the configuration: a confirmation covers the state that precedes it.
        let is_confirmed = self.is_confirmed_for(received_at);
        let configuration = lock(&self.published).configuration()?.clone();
        Some(ConfigurationInUse {
            configuration,
            received_at,
            is_confirmed,
        })
    }

    /// Whether the configuration of a request is confirmed for it: when the request was received,
    /// or since, with the same configuration still in force.
    pub fn is_confirmed(&self, in_use: &ConfigurationInUse) -> bool {
        // Read in this order, as in `configuration_for`.
        in_use.is_confirmed
            || self.is_confirmed_for(in_use.received_at)
                && lock(&self.published).version() == Some(in_use.configuration.version)
    }

    /// Whether the state counts as the latest now, by the bound for configurations.
    pub fn is_state_confirmed(&self) -> bool {
        self.is_confirmed_for(clock::now())
    }

    /// A configuration that was acknowledged less than `configApplyMs` before a request does not bind
    /// the request, so the state may be as much older. Requests are received after they are sent.
    fn is_confirmed_for(&self, received_at: Millis) -> bool {
        let config_apply_ms = self.settings.bounds.config_apply_ms;
        self.confirmed_as_of()
            .is_some_and(|as_of| as_of + config_apply_ms >= received_at)
    }
}
