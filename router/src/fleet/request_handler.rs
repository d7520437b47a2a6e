//! Handles the requests of other nodes.

use super::{Fleet, PrefixLookup};
use crate::clock;
use crate::links::{Answer, Service};
use crate::protocol::{MAX_HOPS, Request, Response};
use crate::sync::lock;
use control::digest::Digests;
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

impl Service for Fleet {
    fn answer(
        self: Arc<Self>,
        request: Request,
    ) -> Pin<Box<dyn Future<Output = Option<Answer>> + Send>> {
        Box::pin(async move {
            let response = match request {
                Request::Replica(envelope) => {
                    if let Some(replica) = &self.replica {
                        replica.receive(envelope);
                    }
                    None
                }
                Request::Pull(request) => return Some(self.answer_pull(request).await),
                Request::Submit { change, hops } => Some(Response::Outcome(
                    self.submit(change, hops.min(MAX_HOPS)).await,
                )),
                Request::ReadConfiguration { hops } => Some(Response::Configuration(
                    self.read_configuration(hops.min(MAX_HOPS)).await,
                )),
                Request::Register { id, backend } => {
                    let taken = if self.replica.is_none() || self.is_shutting_down() {
                        None
                    } else {
                        self.accept_backend(id, backend).await
                    };
                    Some(taken.map_or(Response::NotRegistered, Response::Registered))
                }
                Request::Compare { range } => {
                    let digests = Digests::new(lock(&self.directory).hashes());
                    Some(Response::Summary(digests.summary(range)))
                }
                Request::StoreStatus { store } => {
                    Some(Response::StoreStatus(self.stores.status(store)))
                }
                Request::Locate {
                    key,
                    planned,
                    should_save,
                } => Some(Response::Located(self.look_up_prefix(&PrefixLookup {
                    key,
                    planned,
                    should_save,
                }))),
                Request::Placed { key, placement } => {
                    lock(&self.locations).record_placement(key, &placement, clock::now());
                    None
                }
                Request::Evicted { backend, prefixes } => {
                    self.record_evictions(&backend, &prefixes);
                    None
                }
                Request::EvictedFromStore { prefixes } => {
                    self.record_store_evictions(&prefixes);
                    None
                }
                Request::Faults { reporter, faults } => {
                    self.record_failures(&reporter, &faults);
                    None
                }
                Request::Fetch { keys } => {
                    let keys: BTreeSet<u64> = keys.into_iter().collect();
                    Some(Response::Records(lock(&self.directory).by_hash(&keys)))
                }
            };
            response.map(Answer::from)
        })
    }
}
