//! Versions of the configuration in a gatherer's event loop. The decisions are in the package
//! `versions`; this module connects it to the store, the dispatcher and the audit log. Off unless
//! the operator's file has a section `versions`.

pub mod activation;
mod agent;
pub mod audit;
pub mod audit_writer;
pub mod cli;
pub mod collect;
pub mod keys;
mod setup;

pub use agent::connect;
pub use setup::VersionsSetup;

use crate::config::ConfigError;
use crate::front::signals::NewSettings;
use crate::front::{Gatherer, Message, ReconfigureError};
use crate::net::{Net, Token};
use ::recovery::capacity::QueryResult;
use ::recovery::phase::Phase;
use audit_writer::{AuditWriter, FinalEntries};
use dispatch::interface::Time;
use serde_json::{Value as Json, json};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use versions::Version;
use versions::audit_log::{Entry, Record, ServedCounter};
use versions::lease::{Config, VersionLease};
use versions::registration::Registration;
use versions::status::Status;

/// Nanoseconds in a millisecond.
const NANOS_PER_MS: Time = 1_000_000;

/// The newest document format that this program reads. Format 1 has `settings`, as in a
/// configuration, and `least`, the fraction of gatherers that keep serving without a store.
pub const FORMAT: u64 = 1;

/// Why a document can't be used by this gatherer.
#[derive(Debug, Error)]
enum UnusableDocument {
    /// It is of a newer format.
    #[error("it is of format {0}, and this program reads up to {FORMAT}")]
    Format(u64),
    /// Its settings can't be used.
    #[error(transparent)]
    Settings(#[from] ConfigError),
    /// The gatherer can't take the settings at present.
    #[error(transparent)]
    Reconfigure(#[from] ReconfigureError),
}

/// Prepares settings for use by this program, or says why they cannot be used.
pub type Prepare = Box<dyn Fn(&Json) -> Result<NewSettings, ConfigError>>;

/// The version that this gatherer runs, and whether it may serve under it.
pub struct Versions {
    lease: VersionLease,
    name: String,
    incarnation: u64,
    setup: VersionsSetup,
    prepare: Prepare,
    agent: Option<Token>,
    audit_log: Option<(Token, FinalEntries)>,
    served: ServedCounter,
    /// When the served queries are recorded next.
    flush_at: Time,
    /// The last proposal that this gatherer has voted on.
    voted_on: u64,
    /// The last version that it has attempted to switch to.
    attempted: Version,
    /// Whether this process still has its gatherer's name.
    registration: Registration,
}

impl Versions {
    /// Opens the audit log and starts the agent, which immediately queries the active version.
    pub fn start(
        setup: VersionsSetup,
        name: String,
        incarnation: u64,
        prepare: Prepare,
        net: &mut Net<Gatherer>,
    ) -> Versions {
        let ms = |count: u64| count.saturating_mul(NANOS_PER_MS);
        let config = Config {
            validity: ms(setup.validity_ms),
            recovery: ms(setup.steady_ms),
        };
        let now = net.now();
        let audit_log = open_audit_log(&setup, &name, net);
        let agent = Some(net.open(Box::new(agent::Agent)));
        let versions = Versions {
            lease: VersionLease::new(config, 0, false, now),
            name,
            incarnation,
            flush_at: now + ms(setup.note_ms),
            setup,
            prepare,
            agent,
            audit_log,
            served: ServedCounter::default(),
            voted_on: 0,
            attempted: 0,
            registration: Registration::new(incarnation),
        };
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let record = Record::Started {
            name: versions.name.clone(),
            incarnation,
            wall_ms: wall.map_or(0, |since| since.as_millis() as u64),
            validity: config.validity,
        };
        versions.record(vec![(now, record)], net);
        versions
    }

    /// Whether a client's query may be accepted now.
    pub fn may_accept(&self, now: Time) -> bool {
        self.lease.may_accept(now)
    }

    /// The status of this gatherer with regard to the active version.
    pub fn status(&self) -> Status {
        self.lease.status()
    }

    /// The version that this gatherer runs.
    pub fn running(&self) -> Version {
        self.lease.running()
    }

    /// The connection that writes the audit log.
    pub fn audit_writer(&self) -> Option<Token> {
        self.audit_log.as_ref().map(|(token, _)| *token)
    }

    /// When the served queries are recorded next.
    pub fn due(&self) -> Option<Time> {
        self.audit_log.as_ref().map(|_| self.flush_at)
    }

    /// The `version` section of a status response.
    pub fn to_json(&self, now: Time) -> Json {
        let valid_until = self.lease.valid_until();
        let valid_ms = valid_until.map(|until| until.saturating_sub(now) / NANOS_PER_MS);
        json!({
            "runs": self.running(),
            "standing": self.status().to_string(),
            "held": self.lease.is_on_hold(),
            "valid_ms": valid_ms,
            "displaced": self.registration.is_displaced(),
        })
    }

    /// Records an operator's command.
    pub fn record_call(&self, call: &str, now: Time, net: &mut Net<Gatherer>) {
        let record = Record::OperatorCall {
            version: self.running(),
            call: call.to_owned(),
        };
        self.record(vec![(now, record)], net);
    }

    /// Records the queries served until now, and that this incarnation stopped gracefully. Waits
    /// for the disk for at most `timeout`.
    pub fn finish(mut self, now: Time, timeout: Duration) {
        let records = self.drain_served(now);
        if let Some((_, final_entries)) = &self.audit_log {
            let records = records.into_iter().chain([(now, Record::Stopped)]);
            final_entries.write(records.map(entry).collect(), timeout);
        }
    }

    fn record(&self, records: Vec<(Time, Record)>, net: &mut Net<Gatherer>) {
        if let Some(writer) = self.audit_writer().filter(|_| !records.is_empty()) {
            let entries = records.into_iter().map(entry).collect();
            net.post(writer, Message::AuditEntries(entries));
        }
    }

    /// The records of served queries, preceded by the confirmation that allowed them: the audit
    /// checks records in the order of the log.
    fn drain_served(&mut self, now: Time) -> Vec<(Time, Record)> {
        let confirmation = self.lease.last_response().map(|response| {
            let record = Record::Confirmed {
                queried_at: response.queried_at,
                version: response.active,
            };
            (now, record)
        });
        let served = self.served.drain(now).into_iter();
        let served = served.map(|entry| (entry.at, entry.record));
        confirmation.into_iter().chain(served).collect()
    }

    /// Records the queries served since the last flush.
    fn flush(&mut self, now: Time, net: &mut Net<Gatherer>) {
        self.flush_at = now + self.setup.note_ms.saturating_mul(NANOS_PER_MS);
        let records = self.drain_served(now);
        self.record(records, net);
    }

    /// Prepares a document for use, or says why this program cannot use it.
    fn prepare(&self, document: &Json) -> Result<NewSettings, UnusableDocument> {
        match document["format"].as_u64().unwrap_or(1) {
            format if format > FORMAT => Err(UnusableDocument::Format(format)),
            _ => Ok((self.prepare)(&document["settings"])?),
        }
    }

    /// Logs and records each change of status.
    fn report_status_changes(&mut self, net: &mut Net<Gatherer>) {
        for change in self.lease.take_changes() {
            let (from, to, version) = (change.from, change.to, self.running());
            tracing::info!(%from, %to, version, "version status changed");
            self.record(vec![(change.at, Record::StatusChanged { status: to })], net);
        }
    }
}

/// Opens the audit log, if one is configured. If it cannot be opened, the gatherer serves without
/// it.
fn open_audit_log(
    setup: &VersionsSetup,
    name: &str,
    net: &mut Net<Gatherer>,
) -> Option<(Token, FinalEntries)> {
    let folder = setup.trail.as_ref()?;
    match AuditWriter::open(folder, name, setup.test_full_while.clone()) {
        Ok((writer, final_entries)) => Some((net.open(Box::new(writer)), final_entries)),
        Err(problem) => {
            tracing::error!(
                folder = %folder.display(),
                %problem,
                "cannot use the audit log's folder; serving without an audit log"
            );
            None
        }
    }
}

fn entry((at, record): (Time, Record)) -> Entry {
    Entry { at, record }
}

impl Gatherer {
    /// Passes the outcomes of finished queries to the recovery and the audit log.
    pub fn record_finished_queries(&mut self, net: &mut Net<Self>, now: Time) {
        let returning = self
            .returning
            .as_mut()
            .map(|returning| returning.recovery_mut());
        let mut returning = returning.filter(|recovery| recovery.phase() == Phase::SlowStart);
        let ends = self
            .core
            .take_finished(returning.is_some() || self.versions.is_some());
        for end in ends {
            if let Some(recovery) = &mut returning {
                recovery.on_query_completed(
                    end.arrived,
                    QueryResult::new(end.spent, end.complete),
                    now,
                );
            }
            if let Some(versions) = &mut self.versions {
                let class = self.core.class_name(end.class);
                versions
                    .served
                    .record(end.version, class, end.outcome, end.arrived);
            }
        }
        if let Some(versions) = self
            .versions
            .as_mut()
            .filter(|versions| now >= versions.flush_at)
        {
            versions.flush(now, net);
        }
    }
}
