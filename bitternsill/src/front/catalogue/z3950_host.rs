//! Z39.50 as spoken to an index host, on a link's bytes.

use super::link::{Dialect, Nonsense};
use crate::limits::Limits;
use catalogue::ber;
use catalogue::host::z3950::{Session, init_request};
use catalogue::host::{HostBounds, HostEvent, Next};
use catalogue::pool::HostCapabilities;
use catalogue::work::Work;
use dispatch::interface::Time;
use std::net::SocketAddr;

/// One session's state; all of it is with the link.
pub struct Z3950Host {
    session: Session,
    bounds: HostBounds,
}

impl Z3950Host {
    /// A session with this address.
    pub fn dialect(_to: SocketAddr, bounds: HostBounds) -> Box<dyn Dialect> {
        Box::new(Z3950Host {
            session: Session::default(),
            bounds,
        })
    }
}

impl Dialect for Z3950Host {
    fn init_request(&mut self) -> Option<Vec<u8>> {
        Some(init_request(&self.bounds))
    }

    fn begin(
        &mut self,
        work: &Work,
        slice: u32,
        database: &str,
        capabilities: &mut HostCapabilities,
        now: Time,
    ) -> Next<Vec<u8>> {
        self.session
            .begin(work, slice, database, &self.bounds, capabilities, now)
    }

    fn read(
        &mut self,
        input: &mut Vec<u8>,
        capabilities: &mut HostCapabilities,
        limits: &Limits,
        now: Time,
    ) -> Result<Option<HostEvent>, Nonsense> {
        match ber::read(input, limits.host_message, limits.ber_depth) {
            Ok(Some(unit)) => self
                .session
                .receive(&unit, &self.bounds, capabilities, now)
                .map(Some)
                .map_err(|problem| Nonsense(problem.to_string())),
            Ok(None) => Ok(None),
            Err(problem) => Err(Nonsense(problem.to_string())),
        }
    }
}
