//! The catalogue front: SRU and Z39.50, with readers' clients and with index hosts.
//!
//! Off on the platform; an operator's file sets it up. Searches go through the same core as the platform's
//! queries: one part per slice, one final answer, and what is partial says so.

pub mod found;
pub mod link;
pub mod session;
pub mod setup;
pub mod sru;
pub mod sru_host;
pub mod z3950_host;

use crate::core::ports::{Ask, Caller, Refusal};
use crate::front::Gatherer;
use bramblestair::interface::Time;
use std::rc::Rc;

/// What the catalogue's listeners need to know.
#[derive(Debug)]
pub struct Catalogue {
    /// The database's name as clients see it.
    pub database: String,
    /// Its title for people.
    pub title: String,
    /// The class of a search, by place in the settings.
    pub class: usize,
    /// How long a client is taken to wait.
    pub budget: Time,
    /// Where SRU clients connect, for the explain record.
    pub sru: Option<std::net::SocketAddr>,
}

impl Catalogue {
    /// Hands a search to the core: one part for each slice, all of the same weight.
    pub fn search(
        &self,
        world: &mut Gatherer,
        caller: Caller,
        wanted: usize,
        cql: &str,
        arrived: Time,
        now: Time,
    ) -> Result<(), Refusal> {
        let shards = world.core.deployment().shards;
        let ask = Ask {
            caller,
            name: format!("{:016x}", caller.0).into(),
            class: self.class,
            key: None,
            repeat: false,
            budget: self.budget,
            arrived,
            text: found::text(wanted, cql).into(),
            parts: (0..shards).map(|shard| (shard, 1.0 / f64::from(shards))).collect(),
        };
        world.core.take(ask, now)
    }
}

/// The catalogue as its connections share it.
pub type Shared = Rc<Catalogue>;
