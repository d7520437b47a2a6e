//! The Z39.50 client protocol for index hosts.

use super::link::{HostProtocol, ProtocolError};
use crate::limits::Limits;
use catalogue::ber;
use catalogue::host::z3950::{Session, init_request};
use catalogue::host::{HostBounds, HostEvent, Next};
use catalogue::pool::HostCapabilities;
use catalogue::work::Work;
use dispatch::interface::Time;
use std::net::SocketAddr;

/// The state of one Z39.50 session with an index host.
pub struct Z3950Host {
    session: Session,
    bounds: HostBounds,
}

impl Z3950Host {
    /// Creates the state for a connection.
    pub fn create(_to: SocketAddr, bounds: HostBounds) -> Box<dyn HostProtocol> {
        Box::new(Z3950Host {
            session: Session::default(),
            bounds,
        })
    }
}

impl HostProtocol for Z3950Host {
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
    ) -> Result<Option<HostEvent>, ProtocolError> {
        match ber::read(input, limits.host_message_bytes, limits.ber_depth) {
            Ok(Some(unit)) => self
                .session
                .receive(&unit, &self.bounds, capabilities, now)
                .map(Some)
                .map_err(|problem| ProtocolError(problem.to_string())),
            Ok(None) => Ok(None),
            Err(problem) => Err(ProtocolError(problem.to_string())),
        }
    }
}
