//! The catalogue front: SRU and Z39.50, both for clients and to index hosts.
//!
//! Not used on the platform; an operator's file configures it. The package `catalogue` makes the
//! decisions; this module has the sockets and timers and submits queries to the core. Each round of
//! an operation is one query with a part for each slice. It gets one final answer, and partial
//! results are marked as such.

pub mod link;
pub mod session;
pub mod setup;
pub mod sru;
pub mod sru_host;
pub mod z3950_host;

use crate::core::ports::{Answer, Caller, FailureReason, QueryRequest, Rejection};
use crate::front::Gatherer;
use crate::limits::{Limits, MS};
use ::recovery::slow_start::Admission;
use catalogue::operation::{self, Bounds, Plan, Round};
use catalogue::session::Config;
use catalogue::sets::{SetBounds, SetTable};
use catalogue::sru::request::RequestBounds;
use catalogue::work::{Work, WorkResult};
use dispatch::interface::Time;
use std::cell::{RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;

/// The classes of the rounds, by their index in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Classes {
    /// A search.
    pub search: usize,
    /// Further records of a result set.
    pub page: usize,
    /// A scan.
    pub scan: usize,
}

/// The state shared by the catalogue's connections.
#[derive(Debug)]
pub struct Catalogue {
    /// The name of the database for clients.
    pub database: String,
    /// The human-readable title of the database.
    pub title: String,
    /// The classes of the rounds.
    pub classes: Classes,
    /// How long a client is assumed to wait.
    pub budget: Time,
    /// The address for SRU clients, for the explain record.
    pub sru: Option<SocketAddr>,
    /// The configuration of Z39.50 sessions.
    pub session: Rc<Config>,
    sets: RefCell<SetTable>,
}

/// A shared reference to the catalogue.
pub type Shared = Rc<Catalogue>;

impl Catalogue {
    /// Creates a catalogue without result sets.
    pub fn new(
        (database, title): (String, String),
        classes: Classes,
        budget: Time,
        sru: Option<SocketAddr>,
        session: Config,
        limits: &Limits,
        seed: u64,
    ) -> Catalogue {
        let (sets, bytes) = limits.all_sets;
        let bounds = SetBounds {
            sets,
            bytes,
            ttl: session.ttl,
            deleted_tokens: limits.removed_sets,
        };
        Catalogue {
            database,
            title,
            classes,
            budget,
            sru,
            session: Rc::new(session),
            sets: RefCell::new(SetTable::new(bounds, seed)),
        }
    }

    /// Borrows the table of result sets, for one step of an operation at a time.
    pub fn sets(&self) -> RefMut<'_, SetTable> {
        self.sets.borrow_mut()
    }

    /// Submits a round to the core as a query with one part per slice, all of the same weight. In
    /// every round the client's time counts from the arrival of its request.
    pub fn submit_round(
        &self,
        world: &mut Gatherer,
        caller: Caller,
        plan: &Plan,
        arrived: Time,
        now: Time,
    ) -> Result<(), Rejection> {
        let class = match &plan.work {
            Work::Page(page) if page.fresh => self.classes.search,
            Work::Page(_) => self.classes.page,
            Work::Scan(_) => self.classes.scan,
        };
        // During the recovery after a start, only new operations need admission; further pages of a
        // result set do not.
        let is_new = !matches!(&plan.work, Work::Page(page) if !page.fresh);
        if let Some(returning) = world.returning.as_mut().filter(|_| is_new)
            && let Admission::RetryAfter(wait) = returning.admit(class, arrived)
        {
            return Err(Rejection::TableFull {
                retry_after: wait.min(world.core.max_retry_after()),
            });
        }
        let weight = 1.0 / plan.slices.len().max(1) as f64;
        let request = QueryRequest {
            caller,
            name: format!("{:016x}-{:x}", caller.connection, caller.operation).into(),
            class,
            key: None,
            is_retry: false,
            budget: self.budget,
            arrived,
            text: plan.work.encode().into(),
            parts: plan.slices.iter().map(|slice| (*slice, weight)).collect(),
        };
        world.core.submit(request, now)
    }
}

/// The result of a round that the core rejected.
pub fn rejected_round(rejection: Rejection) -> Round {
    match rejection {
        Rejection::TableFull { retry_after } => Round::Refused {
            hold_off: retry_after,
        },
        Rejection::Busy | Rejection::NameTaken => Round::Refused { hold_off: 0 },
    }
}

/// The result of a round that the core answered.
pub fn answered_round(answer: &Answer) -> Round {
    match answer {
        Answer::Served { values, .. } => {
            let results = values
                .iter()
                .filter_map(|(slice, value)| Some((*slice, WorkResult::decode(&value.body)?)));
            Round::Served(results.collect())
        }
        Answer::Rejected { retry_after } => Round::Refused {
            hold_off: *retry_after,
        },
        Answer::Failed(FailureReason::TimeUp) => Round::Failed(operation::FailureReason::TimeUp),
        Answer::Failed(FailureReason::GivenUp | FailureReason::Ending) => {
            Round::Failed(operation::FailureReason::GivenUp)
        }
    }
}

/// The limits of an operation. `floor` is the minimum share of slices in an answer of its class.
pub fn operation_bounds(limits: &Limits, floor: f64) -> Bounds {
    Bounds {
        floor,
        per_part: limits.part_records,
        page: limits.page_records as u64,
        reach: limits.sorted_reach,
        rounds: limits.operation_rounds,
    }
}

/// The limits of an SRU request.
pub fn request_bounds(limits: &Limits) -> RequestBounds {
    RequestBounds {
        depth: limits.query_depth,
        page: limits.page_records as u64,
        terms: limits.scan_terms,
        sort_keys: limits.sort_keys,
        facet_values: limits.facets.1,
        facets: limits.facets.0,
    }
}

/// Converts a time to seconds, rounded up.
pub fn seconds(time: Time) -> u64 {
    time.div_ceil(1_000 * MS)
}
