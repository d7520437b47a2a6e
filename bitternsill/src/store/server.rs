//! Accepted connections: messages of other members, and requests of clients and watchers.

use super::requests::{self, Request, Requester};
use super::service::with_store;
use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Input, Ready, Stream};
use crate::recovery;
use serde_json::json;
use std::io;
use store::command::Change;
use store::member::{Compacted, Store};
use store::message::{Envelope, MalformedMessage};
use store::state::VersionedValue;

type Cx<'a> = Context<'a, Gatherer>;

/// The line that starts a watch.
pub const WATCH: &str = "watch";

/// An accepted connection: of another member, a watcher or a client.
pub struct Incoming {
    stream: Stream,
    input: Vec<u8>,
    watching: bool,
}

impl Incoming {
    /// The connection object of an accepted socket.
    pub fn accept(stream: Stream, _world: &Gatherer) -> Box<dyn Connection<Gatherer>> {
        Box::new(Incoming {
            stream,
            input: Vec::new(),
            watching: false,
        })
    }

    /// Handles a line.
    ///
    /// # Errors
    ///
    /// [`MalformedMessage`] if the line is malformed; the connection is then closed.
    fn handle_line(&mut self, cx: &mut Cx<'_>, line: &[u8]) -> Result<(), MalformedMessage> {
        let trimmed = line.trim_ascii();
        if trimmed == WATCH.as_bytes() {
            self.watch(cx);
            return Ok(());
        }
        if trimmed == recovery::PHASE_REQUEST.as_bytes() {
            self.stream.push(cx.world.phase_line(cx.now).as_bytes());
            return Ok(());
        }
        let json = serde_json::from_slice(line).ok();
        if let Some(request) = json.and_then(|json| requests::parse(&json, cx.token)) {
            return self.handle_request(cx, request?);
        }
        receive(cx, Envelope::read(line)?)
    }

    /// Starts a watch from the present state on.
    fn watch(&mut self, cx: &mut Cx<'_>) {
        let Some(service) = &mut cx.world.store_service else {
            return;
        };
        if std::mem::replace(&mut self.watching, true) {
            return;
        }
        service.watchers.push(cx.token);
        for (key, versioned) in service.store().state().keys() {
            let line = requests::plain_watch_line(&change(key, versioned));
            self.stream.push(line.as_bytes());
        }
    }

    fn handle_request(
        &mut self,
        cx: &mut Cx<'_>,
        request: Request,
    ) -> Result<(), MalformedMessage> {
        let timeout = cx.world.limits.store_request_timeout;
        if let Request::AuditLog {
            token,
            segment,
            from,
        } = request
        {
            let versions = cx.world.versions.as_ref();
            match versions.and_then(|versions| versions.audit_writer()) {
                Some(audit_writer) => cx.net.post(
                    audit_writer,
                    Message::AuditLogRequested(token, segment, from),
                ),
                None => self.stream.push(b"{\"trail\":null}\n"),
            }
            return Ok(());
        }
        let Some(service) = &mut cx.world.store_service else {
            return Err(MalformedMessage("this gatherer has no store"));
        };
        match request {
            Request::Call(call, requester) => service.submit(call, requester, timeout, cx.net),
            Request::StaleRead(Requester::Connection { id, prefix, .. }) => {
                let store = service.store();
                let response =
                    requests::stale_response(&id, &prefix, store.applied(), store.state());
                self.stream.push(response.as_bytes());
            }
            Request::Watch(revision) if !std::mem::replace(&mut self.watching, true) => {
                service.revision_watchers.push(cx.token);
                self.send_changes_since(service.store(), revision);
            }
            _ => {}
        }
        Ok(())
    }

    /// Sends the changes after a revision, or the present state if the history does not reach back
    /// that far.
    fn send_changes_since(&mut self, store: &Store, revision: u64) {
        match store.changes_since(revision) {
            Ok(changes) => {
                for (revision, change) in changes {
                    let line = requests::watch_line(*revision, change);
                    self.stream.push(line.as_bytes());
                }
            }
            Err(Compacted(compacted_to)) => {
                let line = json!({"compacted": compacted_to, "revision": store.applied()});
                self.stream.push(format!("{line}\n").as_bytes());
                for (key, versioned) in store.state().keys() {
                    let change = change(key, versioned);
                    let line = requests::watch_line(versioned.revision, &change);
                    self.stream.push(line.as_bytes());
                }
            }
        }
    }

    fn write(&mut self, cx: &mut Cx<'_>) {
        // A watcher that does not read must not exhaust the memory.
        let over = self.stream.unwritten() > cx.world.limits.frame_bytes * 4;
        if over
            || self
                .stream
                .flush_and_arm(cx.net, cx.token, Ready::READ)
                .is_err()
        {
            cx.close();
        }
    }
}

impl Connection<Gatherer> for Incoming {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        // Members and watchers are not closed in favour of new clients.
        cx.world.clients.set_busy(cx.token);
        self.stream.arm(cx.net, cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        if ready.readable {
            let end = self
                .stream
                .read(&mut self.input, cx.world.limits.read_burst);
            while let Some(newline) = self.input.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.input.drain(..=newline).collect();
                if let Err(error) = self.handle_line(cx, &line) {
                    tracing::debug!(%error, "closing a connection to the store");
                    return cx.close();
                }
            }
            if self.input.len() > cx.world.limits.frame_bytes * 2 || !matches!(end, Ok(Input::Open))
            {
                return cx.close();
            }
        }
        self.write(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        match message {
            Message::Line(line) => {
                self.stream.push(line.as_bytes());
                self.write(cx);
            }
            Message::Retire => cx.close(),
            _ => {}
        }
    }

    fn timer(&mut self, _cx: &mut Cx<'_>) {}

    fn closed(&mut self, cx: &mut Cx<'_>) {
        if let Some(service) = &mut cx.world.store_service {
            service.watchers.retain(|token| *token != cx.token);
            service.revision_watchers.retain(|token| *token != cx.token);
        }
        cx.world.clients.remove(cx.token);
    }
}

/// Delivers a message of another member to the store.
fn receive(cx: &mut Cx<'_>, envelope: Envelope) -> Result<(), MalformedMessage> {
    let service = cx.world.store_service.as_ref();
    if !service.is_some_and(|service| service.has_peer(envelope.from)) {
        return Err(MalformedMessage("the sender is not a member"));
    }
    if let Some(Err(other)) = with_store(cx, |store, now| store.receive(envelope, now)) {
        // The sender repeats its messages; closing the connection limits this to one log line per
        // connection.
        tracing::warn!(%other, "rejected a message of another store's member");
        return Err(MalformedMessage("the sender belongs to another store"));
    }
    Ok(())
}

fn change(key: &str, versioned: &VersionedValue) -> Change {
    Change {
        key: key.to_owned(),
        value: Some(versioned.value.clone()),
    }
}
