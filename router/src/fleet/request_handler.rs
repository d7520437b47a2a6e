//! Handles requests from other nodes.

use super::{Fleet, PrefixLookup};
use crate::clock;
use crate::links::{Reply, Service};
use crate::protocol::{MAX_HOPS, Request, Response};
use crate::sync::lock;
use control::digest::Digests;
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

impl Service for Fleet {
    fn handle(
        self: Arc<Self>,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Option<Reply>> + Send>> {
        Box::pin(async move {
            match request {
                Request::Pull(request) => Some(self.answer_pull(request).await),
                request => self.respond(request).await.map(Reply::from),
            }
        })
    }
}

impl Fleet {
    /// Handles the requests that may need a call to another node, and passes on all others.
    async fn respond(&self, request: Request) -> Option<Response> {
        match request {
            Request::Submit { change, hops } => {
                let outcome = self.submit(change, hops.min(MAX_HOPS)).await;
                Some(Response::Outcome(outcome))
            }
            Request::ReadConfiguration { hops } => {
                let configuration = self.read_configuration(hops.min(MAX_HOPS)).await;
                Some(Response::Configuration(configuration))
            }
            Request::Register { id, backend } => {
                let accepted = if self.replica.is_none() || self.is_shutting_down() {
                    None
                } else {
                    self.accept_backend(id, backend).await
                };
                Some(accepted.map_or(Response::NotRegistered, Response::Registered))
            }
            request => self.respond_locally(request),
        }
    }

    /// Handles the requests that need only this node's state, and one-way requests.
    fn respond_locally(&self, request: Request) -> Option<Response> {
        match request {
            Request::Compare { range } => {
                let digests = Digests::new(lock(&self.directory).hashes());
                Some(Response::Summary(digests.summary(range)))
            }
            Request::Fetch { keys } => {
                let keys: BTreeSet<u64> = keys.into_iter().collect();
                Some(Response::Records(lock(&self.directory).by_hash(&keys)))
            }
            Request::StoreStatus { store } => {
                Some(Response::StoreStatus(self.stores.status(store)))
            }
            Request::Locate {
                key,
                planned,
                should_save,
            } => {
                let lookup = PrefixLookup {
                    key,
                    fallback: planned,
                    should_save,
                };
                Some(Response::Located(self.look_up_prefix(&lookup)))
            }
            one_way => {
                self.handle_one_way(one_way);
                None
            }
        }
    }

    /// Handles one-way requests.
    fn handle_one_way(&self, request: Request) {
        match request {
            Request::Replica(envelope) => {
                if let Some(replica) = &self.replica {
                    replica.receive(envelope);
                }
            }
            Request::Placed { key, placement } => {
                lock(&self.prefix_index).record_placement(key, &placement, clock::now());
            }
            Request::Evicted { backend, prefixes } => self.record_evictions(&backend, &prefixes),
            Request::EvictedFromStore { prefixes } => self.record_store_evictions(&prefixes),
            Request::Failures { reporter, failures } => self.record_failures(&reporter, &failures),
            Request::Pull(_)
            | Request::Submit { .. }
            | Request::ReadConfiguration { .. }
            | Request::Register { .. }
            | Request::Compare { .. }
            | Request::Fetch { .. }
            | Request::StoreStatus { .. }
            | Request::Locate { .. } => {}
        }
    }
}
