//! Calls of operators: answered here or passed on to the primary.

use super::{FORWARD_PATIENCE, Fleet};
use crate::protocol::{Request, Response};
use crate::replica::handle::ReplicaHandle;
use crate::sync::lock;
use control::changes::{Change, Outcome};
use std::net::SocketAddrV4;
use std::time::Duration;

impl Fleet {
    /// Makes an operator's change, here or at the primary.
    pub async fn submit(&self, change: Change, hops: u8) -> Outcome {
        if let Some(replica) = self.own_primary() {
            return replica.submit(change).await;
        }
        if hops == 0 {
            return Outcome::Unknown;
        }
        let request = || Request::Submit {
            change: change.clone(),
            hops: hops - 1,
        };
        for address in self.way_to_the_primary() {
            let patience = Duration::from_millis(self.settings.bounds.ack_timeout_ms.min(3_000));
            match self.links.call(address, request(), patience).await {
                Some(Response::Outcome(Outcome::Unknown)) | None => {}
                Some(Response::Outcome(outcome)) => return outcome,
                Some(_) => {}
            }
        }
        Outcome::Unknown
    }

    /// The newest configuration. The outer value is none where nobody can tell at present.
    pub async fn read_configuration(&self, hops: u8) -> Option<Option<Vec<u8>>> {
        if let Some(replica) = self.own_primary() {
            let stored = replica.read().await?;
            return Some(stored.map(|stored| stored.body.to_vec()));
        }
        if hops == 0 {
            return None;
        }
        for address in self.way_to_the_primary() {
            let request = Request::ReadConfiguration { hops: hops - 1 };
            let asked = self.links.call(address, request, FORWARD_PATIENCE).await;
            if let Some(Response::Configuration(Some(body))) = asked {
                return Some(body);
            }
        }
        None
    }

    /// The replica here, if it is the primary.
    fn own_primary(&self) -> Option<&ReplicaHandle> {
        self.replica.as_ref().filter(|replica| replica.is_primary())
    }

    /// Addresses to pass a call on to: the primary, then another node that may know a newer one.
    fn way_to_the_primary(&self) -> Vec<SocketAddrV4> {
        let own = self.settings.internal_address();
        let leader = self.leader().map(|(_, replica)| replica.address);
        let others = self
            .nearest_replicas()
            .into_iter()
            .map(|(_, member)| member.internal);
        let mut way: Vec<SocketAddrV4> = Vec::new();
        for address in leader.into_iter().chain(others) {
            if address != own && !way.contains(&address) {
                way.push(address);
            }
        }
        way.truncate(2);
        way
    }

    /// Takes what this node's own replica has committed.
    pub fn publish_own(&self, state: &control::state::ControlState) {
        if lock(&self.published).take_own(state) {
            self.name_weights_now(&state.weights);
            self.announce();
        }
    }
}
