//! The SRU client protocol for index hosts.

use super::link::{HostProtocol, ProtocolError};
use crate::front::http::{Head, Progress, Reader};
use crate::limits::Limits;
use catalogue::host::sru::{Job, check};
use catalogue::host::{HostBounds, HostEvent, Next};
use catalogue::pool::HostCapabilities;
use catalogue::sru::request::percent;
use catalogue::work::{Work, WorkResult};
use dispatch::interface::Time;
use std::net::SocketAddr;

/// The state of one SRU connection to an index host.
pub struct SruHost {
    to: SocketAddr,
    bounds: HostBounds,
    reader: Option<Reader>,
    job: Option<(Job, String)>,
    closing: bool,
}

impl SruHost {
    /// Creates the state for a connection to an address.
    pub fn create(to: SocketAddr, bounds: HostBounds) -> Box<dyn HostProtocol> {
        Box::new(SruHost {
            to,
            bounds,
            reader: None,
            job: None,
            closing: false,
        })
    }

    fn request(&self, capabilities: &HostCapabilities) -> Next<Vec<u8>> {
        let Some((job, database)) = &self.job else {
            return Next::Failed("no search in progress".to_owned());
        };
        Next::Send(
            format!(
                "GET /{}?{} HTTP/1.1\r\nHost: {}\r\nAccept: application/sru+xml, text/xml\r\n\r\n",
                percent(database),
                job.query_string(&self.bounds, capabilities),
                self.to
            )
            .into_bytes(),
        )
    }

    fn answered(
        &mut self,
        head: &Head,
        body: &[u8],
        capabilities: &mut HostCapabilities,
    ) -> HostEvent {
        let text = String::from_utf8_lossy(body);
        let status = head.start.1.parse().unwrap_or(0);
        let Some((job, _)) = &mut self.job else {
            return HostEvent::Next(Next::Failed("unexpected response".to_owned()));
        };
        HostEvent::Next(
            match job.answered(status, &text, &self.bounds, capabilities) {
                Next::Send(()) => self.request(capabilities),
                Next::Done(result) => Next::Done(result),
                Next::Rejected => Next::Rejected,
                Next::Failed(problem) => Next::Failed(problem),
            },
        )
    }
}

impl HostProtocol for SruHost {
    fn init_request(&mut self) -> Option<Vec<u8>> {
        None
    }

    fn begin(
        &mut self,
        work: &Work,
        slice: u32,
        database: &str,
        capabilities: &mut HostCapabilities,
        _now: Time,
    ) -> Next<Vec<u8>> {
        if let Err(fault) = check(work) {
            return Next::Done(WorkResult::Refused(fault));
        }
        self.reader = None;
        self.job = Some((
            Job::new(work.clone(), slice, capabilities),
            database.to_owned(),
        ));
        self.request(capabilities)
    }

    fn read(
        &mut self,
        input: &mut Vec<u8>,
        capabilities: &mut HostCapabilities,
        limits: &Limits,
        _now: Time,
    ) -> Result<Option<HostEvent>, ProtocolError> {
        if input.is_empty() {
            return Ok(None);
        }
        let reader = self
            .reader
            .get_or_insert_with(|| Reader::responses(limits.head_bytes, limits.host_message_bytes));
        match reader.read(input) {
            Ok(Progress::More) => Ok(None),
            Ok(Progress::Whole) => {
                let (head, body) = reader.take();
                self.closing |= !head.keeps_alive();
                self.reader = None;
                Ok(Some(self.answered(&head, &body, capabilities)))
            }
            Err(problem) => Err(ProtocolError(problem.to_string())),
        }
    }

    fn ended(&mut self, capabilities: &mut HostCapabilities, _now: Time) -> Option<HostEvent> {
        let mut reader = self.reader.take().filter(Reader::ends_with_connection)?;
        self.closing = true;
        let (head, body) = reader.take();
        Some(self.answered(&head, &body, capabilities))
    }

    fn is_closing(&self) -> bool {
        self.closing
    }
}
