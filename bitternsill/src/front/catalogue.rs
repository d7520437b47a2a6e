//! The catalogue front: SRU and Z39.50, with readers' clients and with index hosts.
//!
//! Off on the platform; an operator's file sets it up. What is decided is decided in the package
//! `catalogue`; here are the sockets, the timers and the way to the core. Each round of an
//! operation is a query of the core's: one part for each slice that it asks, one final answer, and
//! what is partial says so.

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

/// The classes of the rounds, by place in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Classes {
    /// A search.
    pub search: usize,
    /// Further records of a result set.
    pub page: usize,
    /// A scan.
    pub scan: usize,
}

/// What the catalogue's connections share.
#[derive(Debug)]
pub struct Catalogue {
    /// The database's name as clients see it.
    pub database: String,
    /// Its title for people.
    pub title: String,
    /// The classes of the rounds.
    pub classes: Classes,
    /// How long a client is taken to wait.
    pub budget: Time,
    /// Where SRU clients connect, for the explain record.
    pub sru: Option<SocketAddr>,
    /// What Z39.50 sessions are set up with.
    pub session: Rc<Config>,
    sets: RefCell<SetTable>,
}

/// The catalogue as its connections share it.
pub type Shared = Rc<Catalogue>;

impl Catalogue {
    /// A catalogue without result sets.
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

    /// Every result set. Taken for one step of one operation and given back before the next.
    pub fn sets(&self) -> RefMut<'_, SetTable> {
        self.sets.borrow_mut()
    }

    /// Hands a round to the core: one part for each of its slices, all of the same weight. The
    /// client's time runs on from when its request came, whichever round this is.
    pub fn ask(
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
        // What is under way goes on; what begins has its turn while the gatherer returns.
        let begins = !matches!(&plan.work, Work::Page(page) if !page.fresh);
        if let Some(returning) = world.returning.as_mut().filter(|_| begins)
            && let Admission::RetryAfter(wait) = returning.admit(class, arrived)
        {
            return Err(Rejection::TableFull {
                retry_after: wait.min(world.core.max_retry_after()),
            });
        }
        let weight = 1.0 / plan.slices.len().max(1) as f64;
        let ask = QueryRequest {
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
        world.core.submit(ask, now)
    }
}

/// A round that the core did not take.
pub fn not_taken(refusal: Rejection) -> Round {
    match refusal {
        Rejection::TableFull {
            retry_after: hold_off,
        } => Round::Refused { hold_off },
        Rejection::Busy | Rejection::NameTaken => Round::Refused { hold_off: 0 },
    }
}

/// How a round ended, from the core's answer.
pub fn ended(answer: &Answer) -> Round {
    match answer {
        Answer::Served { values, .. } => {
            let given = values
                .iter()
                .filter_map(|(slice, value)| Some((*slice, WorkResult::decode(&value.body)?)));
            Round::Served(given.collect())
        }
        Answer::Rejected {
            retry_after: hold_off,
        } => Round::Refused {
            hold_off: *hold_off,
        },
        Answer::Failed(FailureReason::TimeUp) => Round::Failed(operation::FailureReason::TimeUp),
        Answer::Failed(FailureReason::GivenUp | FailureReason::Ending) => {
            Round::Failed(operation::FailureReason::GivenUp)
        }
    }
}

/// What bounds an operation, with the least share of slices that the class allows.
pub fn operation_bounds(limits: &Limits, floor: f64) -> Bounds {
    Bounds {
        floor,
        per_part: limits.part_records,
        page: limits.records as u64,
        reach: limits.sorted_reach,
        rounds: limits.rounds,
    }
}

/// What bounds an SRU request.
pub fn request_bounds(limits: &Limits) -> RequestBounds {
    RequestBounds {
        depth: limits.depth,
        page: limits.records as u64,
        terms: limits.terms,
        sort_keys: limits.sort_keys,
        facet_values: limits.facets.1,
        facets: limits.facets.0,
    }
}

/// A time in whole seconds, rounded up.
pub fn seconds(time: Time) -> u64 {
    time.div_ceil(1_000 * MS)
}
