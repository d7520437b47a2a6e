//! The table of index hosts, with their addresses, their status in discovery and the connections to
//! them.

use super::{Gatherer, Message};
use crate::core::ports::{AttemptId, Outgoing};
use crate::limits::Limits;
use crate::net::{Connection, Net, Token};
use dispatch::interface::{Endpoint, ListKind, ServerId, ServerStatus, Time};
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Opens connections in the protocol of the index hosts.
pub trait Connector {
    /// Starts to connect. The connection reports the result to the table and the core.
    fn connect(
        &self,
        host: ServerId,
        to: SocketAddr,
        now: Time,
    ) -> io::Result<Box<dyn Connection<Gatherer>>>;

    /// The capacity of one connection, in units of [`Connector::call_cost`].
    fn connection_capacity(&self) -> usize;

    /// The capacity that a call with this number of parts uses.
    fn call_cost(&self, _parts: usize) -> usize {
        1
    }

    /// Selects the connection for a call by its cost and by the used capacity of each connection:
    /// the least used one if it has capacity left or there are `max_links` already, else a new one.
    fn choose_link(
        &self,
        _host: ServerId,
        cost: usize,
        used: &[usize],
        max_links: usize,
        _now: Time,
    ) -> Choice {
        match used
            .iter()
            .enumerate()
            .min_by_key(|(_, used_capacity)| **used_capacity)
        {
            Some((index, used_capacity))
                if *used_capacity == 0
                    || *used_capacity + cost <= self.connection_capacity()
                    || used.len() >= max_links =>
            {
                Choice::Use(index)
            }
            _ => Choice::Open,
        }
    }
}

/// The connection selected for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The connection with this index.
    Use(usize),
    /// A new connection.
    Open,
    /// No connection, as the host must not be called now.
    Unavailable,
}

/// A host in an endpoint list from discovery.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The host's name, which is the same at every gatherer.
    pub uid: String,
    /// The host's address; may be absent in a change that removes the host.
    pub endpoint: Option<SocketAddr>,
    /// The entry for the dispatcher; the table fills in `server`.
    pub entry: Endpoint,
}

struct Link {
    token: Token,
    /// The used capacity.
    used: usize,
}

struct Host {
    uid: Arc<str>,
    /// The entry for the dispatcher, with the host's status and whether operators excluded it.
    entry: Endpoint,
    endpoint: Option<SocketAddr>,
    draining_since: Option<Time>,
    links: Vec<Link>,
    /// The attempts in flight, each with its connection.
    attempts: BTreeMap<AttemptId, Token>,
    /// The number of connections that became unresponsive since the host last sent anything.
    unresponsive: u32,
}

/// All index hosts that are in the endpoint list or still have connections or attempts.
pub struct HostTable {
    connector: Box<dyn Connector>,
    limits: Rc<Limits>,
    ids: BTreeMap<String, ServerId>,
    hosts: BTreeMap<ServerId, Host>,
    /// The names of excluded hosts. They stay excluded whatever endpoint lists say, and need not be
    /// in the table.
    excluded: BTreeSet<String>,
    next_id: u32,
}

impl HostTable {
    /// Creates a table without hosts.
    pub fn new(connector: Box<dyn Connector>, limits: Rc<Limits>) -> Self {
        HostTable {
            connector,
            limits,
            ids: BTreeMap::new(),
            hosts: BTreeMap::new(),
            excluded: BTreeSet::new(),
            next_id: 1,
        }
    }

    /// Replaces the limits and the connector.
    pub fn reconfigure(&mut self, connector: Box<dyn Connector>, limits: Rc<Limits>) {
        (self.connector, self.limits) = (connector, limits);
    }

    /// The complete endpoint list for the dispatcher.
    pub fn entries(&self) -> Vec<Endpoint> {
        let present = self
            .hosts
            .values()
            .filter(|h| h.entry.status != ServerStatus::Removed);
        present.map(|h| h.entry.clone()).collect()
    }

    /// Whether any host is active.
    pub fn any_active(&self) -> bool {
        self.active() > 0
    }

    /// The number of active hosts.
    pub fn active(&self) -> usize {
        self.hosts
            .values()
            .filter(|h| h.entry.status == ServerStatus::Ready)
            .count()
    }

    /// The hosts that were not removed, in the format of the store.
    pub fn to_json(&self) -> Json {
        let host = |(uid, id): (&String, &ServerId)| {
            let host = self
                .hosts
                .get(id)
                .filter(|h| h.entry.status != ServerStatus::Removed)?;
            let state = if host.entry.status == ServerStatus::Ready {
                "active"
            } else {
                "leaving"
            };
            let endpoint = host.endpoint.map(|e| e.to_string());
            Some(json!({"uid": uid, "endpoint": endpoint, "state": state}))
        };
        Json::Array(self.ids.iter().filter_map(host).collect())
    }

    /// The hosts that were not removed: their names, ids and start times.
    pub fn listed(&self) -> impl Iterator<Item = (&str, ServerId, Time)> {
        let present = self
            .hosts
            .iter()
            .filter(|(_, h)| h.entry.status != ServerStatus::Removed);
        present.map(|(id, host)| (&*host.uid, *id, host.entry.started_at))
    }

    /// The id of a host, if it is in the table.
    pub fn id_of(&self, uid: &str) -> Option<ServerId> {
        self.ids.get(uid).copied()
    }

    /// The name and the start time of a host.
    pub fn name_of(&self, id: ServerId) -> Option<(&Arc<str>, Time)> {
        self.hosts
            .get(&id)
            .map(|host| (&host.uid, host.entry.started_at))
    }

    /// Applies an endpoint list and returns the entries for the dispatcher.
    pub fn update(
        &mut self,
        kind: ListKind,
        members: Vec<Member>,
        net: &mut Net<Gatherer>,
        now: Time,
    ) -> Vec<Endpoint> {
        let mut entries = Vec::with_capacity(members.len());
        let mut listed = Vec::new();
        for mut member in members {
            let Some(id) = self.find_or_assign_id(&member.uid) else {
                tracing::warn!(
                    uid = member.uid,
                    "index host ignored: the table is full or the name is too long"
                );
                continue;
            };
            listed.push(id);
            member.entry.server = id;
            member.entry.excluded = self.excluded.contains(&member.uid);
            let new_host = Host {
                uid: Arc::from(member.uid.as_str()),
                entry: Endpoint {
                    status: ServerStatus::Removed,
                    ..Endpoint::default()
                },
                endpoint: None,
                draining_since: None,
                links: Vec::new(),
                attempts: BTreeMap::new(),
                unresponsive: 0,
            };
            let host = self.hosts.entry(id).or_insert(new_host);
            if member.endpoint.is_some() && host.endpoint != member.endpoint {
                host.endpoint = member.endpoint;
                // Connections to the former address finish their calls; new calls must not use
                // them.
                for link in host.links.drain(..) {
                    net.post(link.token, Message::HostDraining);
                }
            }
            host.entry = member.entry.clone();
            host.apply_status(net, now);
            entries.push(member.entry);
        }
        if kind != ListKind::Partial {
            for (id, host) in &mut self.hosts {
                if !listed.contains(id) {
                    host.entry.status = ServerStatus::Removed;
                    host.apply_status(net, now);
                }
            }
        }
        self.remove_unused();
        entries
    }

    /// Replaces the set of excluded hosts, and returns the dispatcher's entries of hosts that
    /// changed.
    pub fn set_excluded(
        &mut self,
        excluded: BTreeSet<String>,
        net: &mut Net<Gatherer>,
        now: Time,
    ) -> Vec<Endpoint> {
        self.excluded = excluded;
        let mut entries = Vec::new();
        for host in self.hosts.values_mut() {
            let is_excluded = self.excluded.contains(&*host.uid);
            if std::mem::replace(&mut host.entry.excluded, is_excluded) != is_excluded {
                host.apply_status(net, now);
                entries.push(host.entry.clone());
            }
        }
        entries
    }

    /// The id of a host, which is assigned if the host is new. `None` if the table is full or the
    /// name is too long.
    fn find_or_assign_id(&mut self, uid: &str) -> Option<ServerId> {
        if let Some(id) = self.ids.get(uid) {
            return Some(*id);
        }
        if self.ids.len() >= self.limits.hosts || uid.len() > self.limits.name_bytes {
            return None;
        }
        let id = ServerId(self.next_id);
        self.next_id += 1;
        self.ids.insert(uid.to_owned(), id);
        Some(id)
    }

    /// Drops removed hosts without connections or attempts. Otherwise the table would fill up, as a
    /// host that replaces another one has a new name.
    fn remove_unused(&mut self) {
        let is_used = |h: &Host| {
            h.entry.status != ServerStatus::Removed || !h.links.is_empty() || !h.attempts.is_empty()
        };
        self.hosts.retain(|_, host| is_used(host));
        self.ids.retain(|_, id| self.hosts.contains_key(id));
    }

    /// Sends parts to a host in one call.
    ///
    /// # Errors
    ///
    /// Returns the parts if the host must not be called or there is no connection.
    pub fn call(
        &mut self,
        id: ServerId,
        parts: Vec<Outgoing>,
        net: &mut Net<Gatherer>,
        now: Time,
    ) -> Result<(), Vec<Outgoing>> {
        let grace = self.limits.drain_grace / 2;
        let may_call = |h: &Host| {
            !h.entry.excluded && h.draining_since.is_none_or(|since| now < since + grace)
        };
        if self.hosts.get(&id).is_none_or(|host| !may_call(host)) {
            return Err(parts);
        }
        let cost = self.connector.call_cost(parts.len());
        let max_links = self.max_links(id, net);
        let Some(host) = self.hosts.get_mut(&id) else {
            return Err(parts);
        };
        let Some(token) = host.link(id, cost, self.connector.as_ref(), max_links, net, now) else {
            return Err(parts);
        };
        for part in &parts {
            host.attempts.insert(part.id, token);
        }
        if let Some(link) = host.links.iter_mut().find(|l| l.token == token) {
            link.used += cost;
        }
        net.post(token, Message::Call(parts));
        Ok(())
    }

    /// Cancels an attempt on the connection that carries it.
    pub fn cancel(&mut self, id: ServerId, attempt: AttemptId, net: &mut Net<Gatherer>) {
        if let Some(token) = self
            .hosts
            .get_mut(&id)
            .and_then(|h| h.attempts.remove(&attempt))
        {
            net.post(token, Message::CancelAttempt(attempt));
        }
    }

    /// Sends a probe. Returns false if the host is draining or there is no connection.
    pub fn probe(&mut self, id: ServerId, net: &mut Net<Gatherer>, now: Time) -> bool {
        if self
            .hosts
            .get(&id)
            .is_none_or(|host| host.draining_since.is_some())
        {
            return false;
        }
        let max_links = self.max_links(id, net);
        let Some(host) = self.hosts.get_mut(&id) else {
            return false;
        };
        let token = host.link(id, 1, self.connector.as_ref(), max_links, net, now);
        token.map(|token| net.post(token, Message::Probe)).is_some()
    }

    /// The number of connections that a host may have now. Once the limit for all hosts is reached
    /// a host gets no further ones, except that a host without any may open one; an idle connection
    /// to another host is closed for it.
    fn max_links(&mut self, id: ServerId, net: &mut Net<Gatherer>) -> usize {
        let open: usize = self.hosts.values().map(|host| host.links.len()).sum();
        if open < self.limits.host_links {
            return self.limits.connections_per_host;
        }
        let own_links = self.hosts.get(&id).map_or(0, |host| host.links.len());
        let idle_link = |host: &Host| host.links.iter().position(|link| link.used == 0);
        if own_links == 0
            && let Some((index, host)) = self
                .hosts
                .values_mut()
                .find_map(|host| Some((idle_link(host)?, host)))
        {
            net.post(host.links.remove(index).token, Message::CloseIdle);
        }
        own_links.max(1)
    }

    /// Closes the idle connections to a host.
    pub fn close_idle(&mut self, id: ServerId, net: &mut Net<Gatherer>) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        // Remove them from the table at once, so that the next call opens a new connection.
        host.links.retain(|link| {
            let is_idle = link.used == 0;
            if is_idle {
                net.post(link.token, Message::CloseIdle);
            }
            !is_idle
        });
    }

    /// Removes an attempt that ended on its connection.
    pub fn attempt_ended(&mut self, id: ServerId, attempt: AttemptId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.attempts.remove(&attempt);
        }
    }

    /// Removes an attempt whose connection, and therefore host, is no longer known.
    pub fn forget_attempt(&mut self, attempt: AttemptId) {
        for host in self.hosts.values_mut() {
            host.attempts.remove(&attempt);
        }
    }

    /// Releases the capacity of an ended call.
    pub fn release_capacity(&mut self, id: ServerId, token: Token, cost: usize) {
        let links = self.hosts.get_mut(&id).map(|h| &mut h.links);
        if let Some(link) = links.and_then(|links| links.iter_mut().find(|l| l.token == token)) {
            link.used = link.used.saturating_sub(cost);
        }
    }

    /// The time without input after which a connection to a host counts as unresponsive. If one
    /// connection after the other becomes unresponsive, the host itself is slow, so the time
    /// doubles with each, up to 16 times.
    pub fn unresponsive_after(&self, id: ServerId) -> Time {
        self.limits.link_unresponsive << self.hosts.get(&id).map_or(0, |h| h.unresponsive.min(4))
    }

    /// Counts a connection that became unresponsive, or with `false` resets the count because the
    /// host has sent something.
    pub fn set_unresponsive(&mut self, id: ServerId, unresponsive: bool) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.unresponsive = if unresponsive {
                host.unresponsive + 1
            } else {
                0
            };
        }
    }

    /// Removes a connection that has ended or accepts no more calls.
    pub fn link_ended(&mut self, id: ServerId, token: Token) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.links.retain(|l| l.token != token);
        }
    }
}

impl Host {
    /// Applies the stricter of the status from discovery and the exclusion by operators.
    fn apply_status(&mut self, net: &mut Net<Gatherer>, now: Time) {
        if self.entry.status == ServerStatus::Ready && !self.entry.excluded {
            self.draining_since = None;
        } else if self.draining_since.is_none() {
            self.draining_since = Some(now);
            for link in &self.links {
                net.post(link.token, Message::HostDraining);
            }
        }
    }

    /// Returns the connection that the connector selects for a call, opening it if necessary. If
    /// that fails, returns the least used connection.
    fn link(
        &mut self,
        id: ServerId,
        cost: usize,
        connector: &dyn Connector,
        max_links: usize,
        net: &mut Net<Gatherer>,
        now: Time,
    ) -> Option<Token> {
        let used: Vec<usize> = self.links.iter().map(|l| l.used).collect();
        match connector.choose_link(id, cost, &used, max_links, now) {
            Choice::Use(index) => return self.links.get(index).map(|l| l.token),
            Choice::Open => {}
            Choice::Unavailable => return None,
        }
        match connector.connect(id, self.endpoint?, now) {
            Ok(connection) => {
                let token = net.open(connection);
                self.links.push(Link { token, used: 0 });
                Some(token)
            }
            Err(problem) => {
                tracing::warn!(host = id.0, %problem, "cannot open a connection to index host");
                self.links.iter().min_by_key(|l| l.used).map(|l| l.token)
            }
        }
    }
}
