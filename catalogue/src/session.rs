//! A Z39.50 session with a client. Its inputs are data units and the results of rounds, its outputs
//! are data units and new rounds.

mod answers;
mod requests;

use crate::ber::Item;
use crate::fault::{Fault, Kind};
use crate::operation::{self, Operation, Outcome, Plan, Round, Step};
use crate::record::{Schema, Syntax};
use crate::sets::{SetId, SetTable, Time};
use crate::z3950::init::{self, Abilities, Ability, Identity, OFFERED};
use crate::z3950::records::SegmentLimits;
use crate::z3950::{self, CloseReason, Service, SetStatus, tag};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Failed challenges after which the session is closed.
const MAX_FAILED_CHALLENGES: u32 = 3;

/// Who may search.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Access {
    /// Anyone.
    #[default]
    Open,
    /// Clients that authenticate in the Init request.
    AtInit(Vec<Reader>),
    /// Clients that authenticate in the Init request or in reply to a challenge, which is sent with
    /// their first operation.
    Challenge(Vec<Reader>),
}

/// The credentials of a client that may search.
#[derive(Clone, PartialEq, Eq)]
pub struct Reader {
    /// The user name.
    pub name: String,
    /// The password.
    pub password: String,
}

impl std::fmt::Debug for Reader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Passwords must not reach the log through debug output.
        f.debug_struct("Reader")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Access {
    fn admits(&self, identity: &Identity) -> Result<(), Fault> {
        let (Access::AtInit(readers) | Access::Challenge(readers)) = self else {
            return Ok(());
        };
        let Identity::User { name, password } = identity else {
            return Err(Kind::AUTHENTICATION.of(""));
        };
        // Every entry is compared in full, so that timing reveals neither names nor passwords.
        let same = |a: &str, b: &str| {
            a.len() == b.len()
                && a.bytes()
                    .zip(b.bytes())
                    .fold(0, |all, (a, b)| all | (a ^ b))
                    == 0
        };
        let known = readers.iter().fold(false, |any, r| {
            any | (same(&r.name, name) & same(&r.password, password))
        });
        if known {
            Ok(())
        } else {
            Err(Kind::PASSWORD.of(""))
        }
    }
}

/// The configuration of a session.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name of the database.
    pub database: String,
    /// The slices to query.
    pub slices: Vec<u32>,
    /// Who may search.
    pub access: Access,
    /// Limits of an operation.
    pub bounds: operation::Bounds,
    /// Maximum clauses of a query.
    pub clauses: usize,
    /// Maximum named result sets of a session.
    pub sets: usize,
    /// Maximum concurrent operations.
    pub operations: usize,
    /// Maximum unwritten bytes for one client.
    pub output: usize,
    /// Maximum bytes of a result set's name or of a reference id.
    pub name_bytes: usize,
    /// Maximum bytes of a message.
    pub message: usize,
    /// Maximum terms of a scan.
    pub terms: u32,
    /// Maximum sort keys.
    pub sort_keys: usize,
    /// How long an unused result set is kept.
    pub ttl: Time,
}

/// An action for the caller to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Write these bytes to the client.
    Send(Vec<u8>),
    /// Hand a round to the dispatch core.
    Ask {
        /// The operation that needs the round.
        operation: u32,
        /// The round.
        plan: Plan,
    },
    /// Cancel the operation's round: its result is no longer needed.
    Withdraw {
        /// The operation.
        operation: u32,
    },
    /// Close the connection after all output has been written.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No Init request has arrived yet.
    AwaitingInit,
    Open,
    Closing,
}

/// The requested form of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Form {
    syntax: Syntax,
    schema: Schema,
    brief: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum Purpose {
    Search {
        set: String,
        form: Form,
        form_fault: Option<Fault>,
    },
    Present {
        form: Form,
        clipped: bool,
    },
    Scan,
    Sort {
        set: String,
    },
}

#[derive(Debug)]
struct Running {
    reference: Option<Vec<u8>>,
    purpose: Purpose,
    operation: Operation,
}

/// A Z39.50 session.
#[derive(Debug)]
pub struct Session {
    config: Rc<Config>,
    /// The owner of the session's result sets.
    owner: u64,
    state: State,
    abilities: Abilities,
    limits: SegmentLimits,
    admitted: bool,
    failed_challenges: u32,
    /// Requests that wait until the client has answered a challenge.
    unauthenticated: Vec<Item>,
    sets: BTreeMap<String, SetId>,
    running: BTreeMap<u32, Running>,
    last_operation: u32,
}

/// The state from outside the session that handling a request needs.
pub struct SessionContext<'a> {
    /// All result sets.
    pub sets: &'a mut SetTable,
    /// Bytes not yet written to the client.
    pub unwritten: usize,
    /// The current time.
    pub now: Time,
    /// Receives the resulting actions.
    pub actions: &'a mut Vec<Action>,
}

impl Session {
    /// Creates a session that awaits its Init request; `owner` owns its result sets.
    pub fn new(config: Rc<Config>, owner: u64) -> Session {
        Session {
            config,
            owner,
            state: State::AwaitingInit,
            abilities: Abilities::default(),
            limits: SegmentLimits {
                preferred: 1 << 10,
                exceptional: 1 << 10,
                segmentation: 0,
            },
            admitted: false,
            failed_challenges: 0,
            unauthenticated: Vec::new(),
            sets: BTreeMap::new(),
            running: BTreeMap::new(),
            last_operation: 0,
        }
    }

    /// Whether the next data unit may be read. Operations run concurrently only if that was
    /// negotiated, and a client that does not read its responses gets no further ones.
    pub fn may_read(&self, unwritten: usize) -> bool {
        let max_operations = if self.abilities.has(Ability::ConcurrentOperations) {
            self.config.operations
        } else {
            1
        };
        self.state != State::Closing
            && self.running.len() < max_operations
            && unwritten < self.config.output / 2
    }

    /// Whether operations are running.
    pub fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// Whether the session is closing.
    pub fn is_closing(&self) -> bool {
        self.state == State::Closing
    }

    /// The running operations.
    pub fn operations(&self) -> impl Iterator<Item = u32> {
        self.running.keys().copied()
    }

    /// Closes the session and cancels its running operations.
    pub fn close(&mut self, reason: CloseReason, message: &str, actions: &mut Vec<Action>) {
        if self.state == State::Closing {
            return;
        }
        for operation in std::mem::take(&mut self.running).into_keys() {
            actions.push(Action::Withdraw { operation });
        }
        self.state = State::Closing;
        self.unauthenticated.clear();
        actions.push(Action::Send(z3950::close(None, reason, message)));
        actions.push(Action::End);
    }

    /// Handles a complete data unit.
    pub fn receive(&mut self, unit: &Item, context: &mut SessionContext<'_>) {
        if self.state == State::Closing {
            return;
        }
        let reference = unit.get(tag::REFERENCE).map(Item::bytes);
        if reference
            .as_ref()
            .is_some_and(|r| r.len() > self.config.name_bytes)
        {
            return self.close(
                CloseReason::ProtocolError,
                "the reference id is too long",
                context.actions,
            );
        }
        let service = z3950::service(unit);
        match (service, self.state) {
            (Some(Service::Close), _) => {
                self.close(CloseReason::ResponseToPeer, "", context.actions)
            }
            (Some(Service::Init), State::AwaitingInit) => {
                self.init(unit, reference.as_deref(), context.actions)
            }
            (Some(Service::Init), _) | (None, _) | (_, State::AwaitingInit) => {
                self.close(
                    CloseReason::ProtocolError,
                    "unknown service, or request out of sequence",
                    context.actions,
                );
            }
            (Some(Service::TriggerResourceControl), _) => {
                self.resource_control(unit, reference.as_deref(), context)
            }
            (Some(Service::AccessControl), _) => self.challenge_answered(unit, context),
            (Some(service), _) => self.start_operation(service, unit, reference, context),
        }
    }

    fn init(&mut self, unit: &Item, reference: Option<&[u8]>, actions: &mut Vec<Action>) {
        let [_, two, three] = init::versions(unit);
        let requested = unit
            .get(tag::OPTIONS)
            .map_or_else(Abilities::default, Abilities::read);
        let mut abilities = requested.intersection(Abilities::of(OFFERED));
        let identity = init::read_identity(unit);
        let admitted = self.config.access.admits(&identity);
        let challenge = matches!(self.config.access, Access::Challenge(_));
        if !challenge {
            abilities = abilities.without(Ability::AccessControl);
        }
        // A client with a wrong password is refused at once; only anonymous clients are challenged.
        let challenge_later =
            challenge && abilities.has(Ability::AccessControl) && identity == Identity::Anonymous;
        let fault = admitted
            .as_ref()
            .err()
            .filter(|_| !challenge_later)
            .cloned();
        // Versions 2 and 3 are supported. A client that offers neither gets a refusal and is
        // closed.
        let supported = two || three;
        let size = |tag| {
            unit.get(tag)
                .and_then(Item::integer)
                .unwrap_or(64 << 10)
                .max(0) as usize
        };
        let preferred = size(tag::PREFERRED_SIZE).clamp(1 << 10, self.config.message);
        let exceptional = size(tag::EXCEPTIONAL_SIZE).clamp(preferred, self.config.message);
        let segmentation = match () {
            () if abilities.has(Ability::Level2Segmentation) => 2,
            () if abilities.has(Ability::Level1Segmentation) => 1,
            () => 0,
        };
        self.limits = SegmentLimits {
            preferred,
            exceptional,
            segmentation,
        };
        self.abilities = abilities;
        self.admitted = admitted.is_ok();
        let accepted = supported && fault.is_none();
        actions.push(Action::Send(z3950::unit(
            tag::INIT_RESPONSE,
            reference,
            |w| {
                init::write_negotiation(w, three, abilities, preferred, exceptional);
                w.boolean(tag::RESULT, accepted);
                init::write_implementation(w);
                if let Some(fault) = &fault {
                    init::write_refusal(w, fault);
                }
            },
        )));
        if accepted {
            self.state = State::Open;
        } else {
            self.state = State::Closing;
            actions.push(Action::End);
        }
    }

    /// Handles the request of an operation, which is answered at once or starts to run.
    fn start_operation(
        &mut self,
        service: Service,
        unit: &Item,
        reference: Option<Vec<u8>>,
        context: &mut SessionContext<'_>,
    ) {
        let same = |r: &Running| r.reference == reference;
        if self.running.values().any(same) {
            return self.close(
                CloseReason::ProtocolError,
                "the reference id is in use",
                context.actions,
            );
        }
        if !self.admitted
            && !matches!(
                service,
                Service::Delete | Service::ResourceReport | Service::Extended
            )
        {
            return self.challenge(unit, reference.as_deref(), context.actions);
        }
        let started = match service {
            Service::Search => self.search(unit, context),
            Service::Present => self.present(unit, context),
            Service::Scan => self.scan(unit),
            Service::Sort => self.sort(unit, context),
            Service::Delete => {
                let response = self.delete(unit, reference.as_deref(), context.sets);
                return context.actions.push(Action::Send(response));
            }
            Service::ResourceReport => {
                return context.actions.push(Action::Send(z3950::unit(
                    tag::RESOURCE_REPORT_RESPONSE,
                    reference.as_deref(),
                    // Status: failure, as no reports are kept.
                    |w| w.integer(50, 2),
                )));
            }
            _ => Err(Kind::EXTENDED_SERVICE.of("")),
        };
        match started {
            Ok((purpose, operation, step)) => {
                self.last_operation = self.last_operation.wrapping_add(1);
                let number = self.last_operation;
                self.running.insert(
                    number,
                    Running {
                        reference,
                        purpose,
                        operation,
                    },
                );
                self.apply_step(number, step, context);
            }
            Err(fault) => {
                let response = answers::failure(service, reference.as_deref(), &fault);
                context.actions.push(Action::Send(response));
            }
        }
    }

    /// Handles the result of an operation's round.
    pub fn answered(&mut self, operation: u32, round: Round, context: &mut SessionContext<'_>) {
        let Some(running) = self.running.get_mut(&operation) else {
            return;
        };
        let step = running.operation.answered(round, context.sets, context.now);
        self.apply_step(operation, step, context);
    }

    fn apply_step(&mut self, number: u32, step: Step, context: &mut SessionContext<'_>) {
        match step {
            Step::Query(plan) => context.actions.push(Action::Ask {
                operation: number,
                plan,
            }),
            Step::Done(outcome) => {
                if let Some(running) = self.running.remove(&number) {
                    self.finish(running, outcome, context);
                }
            }
        }
    }

    fn finish(&mut self, running: Running, outcome: Outcome, context: &mut SessionContext<'_>) {
        if let Outcome::Page(page) = &outcome
            && let Purpose::Search { set, .. } | Purpose::Sort { set } = &running.purpose
            && let Some(old) = self.sets.insert(set.clone(), page.set)
        {
            context.sets.remove(old);
        }
        let output_left = self.config.output.saturating_sub(context.unwritten);
        for response in answers::answer(
            &running,
            outcome,
            &self.config.database,
            self.limits,
            output_left,
        ) {
            context.actions.push(Action::Send(response));
        }
    }

    /// Handles TriggerResourceControl (section 3.2.6.4). Only the cancel action is supported.
    fn resource_control(
        &mut self,
        unit: &Item,
        reference: Option<&[u8]>,
        context: &mut SessionContext<'_>,
    ) {
        const CANCEL: i64 = 3;
        if unit.get(tag::REQUESTED_ACTION).and_then(Item::integer) != Some(CANCEL) {
            return;
        }
        let found = self
            .running
            .iter()
            .find(|(_, r)| r.reference.as_deref() == reference);
        let Some(number) = found.map(|(number, _)| *number) else {
            return;
        };
        if let Some(running) = self.running.remove(&number) {
            context.actions.push(Action::Withdraw { operation: number });
            context
                .actions
                .push(Action::Send(answers::cancelled(&running)));
        }
    }

    /// Challenges the client before its operation is accepted (section 3.2.5.1).
    fn challenge(&mut self, unit: &Item, reference: Option<&[u8]>, actions: &mut Vec<Action>) {
        if self.unauthenticated.len() >= self.config.operations {
            return self.close(
                CloseReason::Security,
                "too many operations before the challenge was answered",
                actions,
            );
        }
        self.unauthenticated.push(unit.clone());
        if self.unauthenticated.len() == 1 {
            actions.push(Action::Send(z3950::unit(
                tag::ACCESS_REQUEST,
                reference,
                |w| {
                    w.bytes(tag::SIMPLE_CHALLENGE, b"user/password");
                },
            )));
        }
    }

    fn challenge_answered(&mut self, unit: &Item, context: &mut SessionContext<'_>) {
        if self.admitted || self.unauthenticated.is_empty() {
            return self.close(
                CloseReason::ProtocolError,
                "no challenge is pending",
                context.actions,
            );
        }
        let credentials = unit
            .get(tag::SIMPLE_RESPONSE)
            .and_then(Item::text)
            .unwrap_or_default();
        let result = self.config.access.admits(&init::read_open(&credentials));
        self.admitted = result.is_ok();
        for request in std::mem::take(&mut self.unauthenticated) {
            let reference = request.get(tag::REFERENCE).map(Item::bytes);
            let Some(service) = z3950::service(&request) else {
                continue;
            };
            match &result {
                Ok(()) => self.start_operation(service, &request, reference, context),
                Err(fault) => context.actions.push(Action::Send(answers::failure(
                    service,
                    reference.as_deref(),
                    fault,
                ))),
            }
        }
        if result.is_err() {
            self.failed_challenges += 1;
            if self.failed_challenges >= MAX_FAILED_CHALLENGES {
                self.close(CloseReason::Security, "", context.actions);
            }
        }
    }

    /// Deletes result sets (section 3.2.4).
    fn delete(&mut self, unit: &Item, reference: Option<&[u8]>, table: &mut SetTable) -> Vec<u8> {
        const ALL: i64 = 1;
        const SUCCESS: i64 = 0;
        const UNKNOWN: i64 = 1;
        const NOT_ALL: i64 = 9;
        let all = unit.get(32).and_then(Item::integer) == Some(ALL);
        let list = unit
            .items()
            .iter()
            .find(|i| i.class == crate::ber::Class::Universal)
            .map(Item::items);
        let names: Vec<String> = list
            .unwrap_or_default()
            .iter()
            .filter_map(Item::text)
            .collect();
        let mut statuses: Vec<(String, i64)> = Vec::new();
        if all {
            for id in std::mem::take(&mut self.sets).into_values() {
                table.remove(id);
            }
        }
        for name in names.into_iter().filter(|_| !all) {
            let status = match self.sets.remove(&name) {
                Some(id) => {
                    table.remove(id);
                    SUCCESS
                }
                None => UNKNOWN,
            };
            statuses.push((name, status));
        }
        let failed = statuses
            .iter()
            .filter(|(_, status)| *status != SUCCESS)
            .count();
        let complete = match (failed, statuses.len()) {
            (0, _) => SUCCESS,
            (1, 1) => UNKNOWN,
            _ => NOT_ALL,
        };
        z3950::unit(tag::DELETE_RESPONSE, reference, |w| {
            w.integer(0, complete);
            if !statuses.is_empty() {
                w.inside(1, |list| {
                    for (name, status) in &statuses {
                        list.inside_universal(crate::ber::universal::SEQUENCE, |one| {
                            one.bytes(tag::SET_ID, name.as_bytes());
                            one.integer(33, *status);
                        });
                    }
                });
            }
            if failed > 0 {
                w.integer(34, failed as i64);
            }
        })
    }

    /// The result set status of a complete or partial set.
    fn set_status(complete: bool) -> Option<SetStatus> {
        (!complete).then_some(SetStatus::Subset)
    }
}
