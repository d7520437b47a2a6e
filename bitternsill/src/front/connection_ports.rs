//! Implements the core's ports with the connections of the event loop.

use super::hosts::HostTable;
use super::{Gatherer, Message};
use crate::core::ports::{Answer, AttemptId, Caller, Clients, Directory, Hosts, Outgoing};
use crate::net::{Net, Token};
use dispatch::interface::{ServerId, Time};

/// Finds the connection for each action of the core and posts a message to it.
pub(super) struct ConnectionPorts<'a> {
    pub(super) hosts: &'a mut HostTable,
    pub(super) net: &'a mut Net<Gatherer>,
    pub(super) directory: Option<Token>,
    pub(super) now: Time,
    /// Attempts for which there was no connection.
    pub(super) unsent: Vec<AttemptId>,
    /// Hosts that could not be probed.
    pub(super) unprobed: Vec<ServerId>,
}

impl<'a> ConnectionPorts<'a> {
    pub(super) fn new(
        hosts: &'a mut HostTable,
        net: &'a mut Net<Gatherer>,
        directory: Option<Token>,
        now: Time,
    ) -> Self {
        ConnectionPorts {
            hosts,
            net,
            directory,
            now,
            unsent: Vec::new(),
            unprobed: Vec::new(),
        }
    }
}

impl Clients for ConnectionPorts<'_> {
    fn answer(&mut self, caller: Caller, answer: Answer) {
        self.net.post(
            Token::from_bits(caller.connection),
            Message::Answer(caller.operation, answer),
        );
    }
}

impl Hosts for ConnectionPorts<'_> {
    fn call(&mut self, host: ServerId, parts: Vec<Outgoing>) {
        if let Err(parts) = self.hosts.call(host, parts, self.net, self.now) {
            self.unsent.extend(parts.into_iter().map(|part| part.id));
        }
    }

    fn cancel(&mut self, host: ServerId, attempt: AttemptId) {
        self.hosts.cancel(host, attempt, self.net);
    }

    fn probe(&mut self, host: ServerId) {
        if !self.hosts.probe(host, self.net, self.now) {
            self.unprobed.push(host);
        }
    }

    fn close_idle(&mut self, host: ServerId) {
        self.hosts.close_idle(host, self.net);
    }
}

impl Directory for ConnectionPorts<'_> {
    fn watch(&mut self, on: bool) {
        if let Some(token) = self.directory {
            self.net.post(token, Message::Watch(on));
        }
    }

    fn fetch(&mut self) {
        if let Some(token) = self.directory {
            self.net.post(token, Message::Fetch);
        }
    }
}
