//! Operators' calls: handled by the local replica if it is the primary, else forwarded.

use super::{FORWARD_TIMEOUT, Fleet};
use crate::protocol::{Request, Response};
use crate::replica::handle::ReplicaHandle;
use crate::sync::lock;
use control::changes::{Change, Outcome};
use std::net::SocketAddrV4;
use std::time::Duration;

impl Fleet {
    /// Submits an operator's change to the primary. `hops` limits how often it may be forwarded.
    pub async fn submit(&self, change: Change, hops: u8) -> Outcome {
        if let Some(replica) = self.local_primary() {
            return replica.submit(change).await;
        }
        if hops == 0 {
            return Outcome::Unknown;
        }
        let request = || Request::Submit {
            change: change.clone(),
            hops: hops - 1,
        };
        for address in self.primary_candidates() {
            let timeout = Duration::from_millis(self.settings.bounds.ack_timeout_ms.min(3_000));
            match self.links.call(address, request(), timeout).await {
                Some(Response::Outcome(Outcome::Unknown)) | None => {}
                Some(Response::Outcome(outcome)) => return outcome,
                Some(_) => {}
            }
        }
        Outcome::Unknown
    }

    /// Reads the latest configuration from the primary. The outer `None` means that it can't be
    /// determined now, the inner one that there is no configuration yet.
    pub async fn read_configuration(&self, hops: u8) -> Option<Option<Vec<u8>>> {
        if let Some(replica) = self.local_primary() {
            let stored = replica.read().await?;
            return Some(stored.map(|stored| stored.body.to_vec()));
        }
        if hops == 0 {
            return None;
        }
        for address in self.primary_candidates() {
            let request = Request::ReadConfiguration { hops: hops - 1 };
            let response = self.links.call(address, request, FORWARD_TIMEOUT).await;
            if let Some(Response::Configuration(Some(body))) = response {
                return Some(body);
            }
        }
        None
    }

    /// The local replica, if it is the primary.
    fn local_primary(&self) -> Option<&ReplicaHandle> {
        self.replica.as_ref().filter(|replica| replica.is_primary())
    }

    /// Addresses to forward a call to: the latest primary that this node knows, then a replica node
    /// that may know a newer one.
    fn primary_candidates(&self) -> Vec<SocketAddrV4> {
        let own = self.settings.internal_address();
        let leader = self.leader().map(|(_, replica)| replica.address);
        let others = self
            .nearest_replicas()
            .into_iter()
            .map(|(_, member)| member.internal);
        let mut candidates: Vec<SocketAddrV4> = Vec::new();
        for address in leader.into_iter().chain(others) {
            if address != own && !candidates.contains(&address) {
                candidates.push(address);
            }
        }
        candidates.truncate(2);
        candidates
    }

    /// Publishes the state that this node's own replica has committed.
    pub fn publish_committed(&self, state: &control::state::ControlState) {
        if lock(&self.published).apply_committed(state) {
            self.announce_weights(&state.weights);
            self.notify_change();
        }
    }
}
