//! The core with ports that record its actions in order.

use bitternsill::core::Core;
use bitternsill::core::ports::{
    Answer, AttemptId, Caller, Clients, Directory, Hosts, Outgoing, QueryRequest, Score, Value,
};
use bitternsill::core::settings::Deployment;
use bitternsill::limits::{Limits, MS};
use dispatch::interface::*;
use std::rc::Rc;

/// A call of the core on one of its ports.
#[derive(Debug, Clone, PartialEq)]
enum PortCall {
    Answered(u64, Answer),
    Called(ServerId, Vec<(String, AttemptId)>),
    Cancelled(AttemptId),
}

#[derive(Default)]
struct Ports(Vec<PortCall>);

impl Clients for Ports {
    fn answer(&mut self, caller: Caller, answer: Answer) {
        self.0.push(PortCall::Answered(caller.connection, answer));
    }
}

impl Hosts for Ports {
    fn call(&mut self, host: ServerId, parts: Vec<Outgoing>) {
        self.0.push(PortCall::Called(
            host,
            parts.into_iter().map(|part| (part.name, part.id)).collect(),
        ));
    }
    fn cancel(&mut self, _host: ServerId, attempt: AttemptId) {
        self.0.push(PortCall::Cancelled(attempt));
    }
    fn probe(&mut self, _host: ServerId) {}
    fn close_idle(&mut self, _host: ServerId) {}
}

impl Directory for Ports {
    fn watch(&mut self, _on: bool) {}
    fn fetch(&mut self) {}
}

/// One set of six hosts with three shards; one class that needs every part, with two attempts each.
fn core() -> Core {
    let class = Class {
        latency_target: 1_000 * MS,
        deadline: 2_000 * MS,
        max_attempts: 2,
        ..Class::default()
    };
    let settings = Settings {
        aggregators: 1,
        tick: 5 * MS,
        classes: vec![class],
        cells: 1,
        replication_factor: 1,
        call_parts: 1,
        max_open: 100,
        can_cancel: true,
        can_hedge: true,
        ..Settings::default()
    };
    let deployment = Deployment {
        classes: vec!["page".to_owned()],
        shards: 3,
        ..Deployment::default()
    };
    let mut core = Core::new(settings, deployment, Rc::new(Limits::default()), 7);
    let entry = |server| Endpoint {
        server: ServerId(server),
        zone: 0,
        kind: 0,
        cell: 0,
        status: ServerStatus::Ready,
        size: 1.0,
        started_at: 0,
        excluded: false,
    };
    core.update_endpoints(ListKind::Complete, (1..=6).map(entry).collect());
    core
}

fn submit_query(core: &mut Core, now: Time, shards: &[u32]) {
    let request = QueryRequest {
        caller: Caller::only(1),
        name: "q".into(),
        class: 0,
        key: None,
        is_retry: false,
        budget: 1_000 * MS,
        arrived: now,
        text: "t".into(),
        parts: shards
            .iter()
            .map(|shard| (*shard, 1.0 / shards.len() as f64))
            .collect(),
    };
    core.submit(request, now).unwrap();
}

fn turn(core: &mut Core, now: Time) -> Vec<PortCall> {
    let mut ports = Ports::default();
    core.turn(now, &mut ports);
    ports.0
}

/// All attempts in the calls.
fn sent(calls: &[PortCall]) -> Vec<AttemptId> {
    let parts = calls.iter().filter_map(|call| {
        if let PortCall::Called(_, parts) = call {
            Some(parts)
        } else {
            None
        }
    });
    parts.flatten().map(|(_, id)| *id).collect()
}

/// Guards against a part that is written after its query was rejected. This happened when one part
/// was retried in the same turn in which another part, out of attempts, ended the query.
#[test]
fn attempt_cancelled_in_its_turn_is_not_sent() {
    let (mut core, mut now) = (core(), 10_000 * MS);
    submit_query(&mut core, now, &[0, 1, 2]);
    // For a query of this many parts, one is sent ahead; the others follow once it is served.
    let ahead = sent(&turn(&mut core, now));
    assert_eq!(ahead.len(), 1);
    now += 6 * MS;
    core.attempt_served(
        ahead[0],
        Value {
            score: Score::Integer(1),
            body: "v".into(),
        },
        now,
    );
    let both = sent(&turn(&mut core, now));
    assert_eq!(both.len(), 2);
    // One part is turned away and retried for the last time; then both are turned away in one turn.
    now += 6 * MS;
    core.attempt_ended(both[0], Outcome::ConnectFailed, now);
    let again = sent(&turn(&mut core, now));
    assert_eq!(
        again,
        [AttemptId {
            number: 1,
            ..both[0]
        }]
    );
    now += 6 * MS;
    core.attempt_ended(again[0], Outcome::ConnectFailed, now);
    core.attempt_ended(both[1], Outcome::ConnectFailed, now);
    let calls = turn(&mut core, now);
    // A link writes its queue at the next action, so it must be given the cancellation first.
    let cancelled = PortCall::Cancelled(AttemptId {
        number: 1,
        ..both[1]
    });
    assert_eq!(
        calls,
        [
            cancelled,
            PortCall::Answered(1, Answer::Rejected { retry_after: 0 })
        ],
        "attempt sent after its cancellation"
    );
}

/// Guards against parts that were queued for a host at shutdown and written after the final answer.
#[test]
fn shutdown_cancels_attempts_before_answering() {
    let (mut core, now) = (core(), 10_000 * MS);
    submit_query(&mut core, now, &[0]);
    let out = sent(&turn(&mut core, now));
    assert_eq!(out.len(), 1);
    let mut ports = Ports::default();
    core.fail_all(&mut ports);
    assert_eq!(ports.0[0], PortCall::Cancelled(out[0]));
    assert!(
        matches!(ports.0[1], PortCall::Answered(1, Answer::Failed(_))),
        "{:?}",
        ports.0
    );
    assert_eq!(turn(&mut core, now + 2_000 * MS), []);
}
