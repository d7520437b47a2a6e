//! The table of index hosts: their addresses, their status by discovery, and the connections to
//! each.

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

/// Opens connections in the protocol that an index host speaks.
pub trait Connector {
    /// Begins to connect. The connection reports to the table and the core how that ends.
    fn connect(
        &self,
        host: ServerId,
        to: SocketAddr,
        now: Time,
    ) -> io::Result<Box<dyn Connection<Gatherer>>>;

    /// The capacity of one connection, in units of [`Connector::call_cost`].
    fn connection_capacity(&self) -> usize;

    /// How much of that a call of so many parts uses.
    fn call_cost(&self, _parts: usize) -> usize {
        1
    }

    /// Which connection carries the next call, by its cost and how much of each connection is used:
    /// one with capacity, else a new one, else the least busy.
    fn choose(
        &self,
        _host: ServerId,
        call: usize,
        taken: &[usize],
        most: usize,
        _now: Time,
    ) -> Choice {
        match taken.iter().enumerate().min_by_key(|(_, n)| **n) {
            Some((at, n))
                if *n == 0 || *n + call <= self.connection_capacity() || taken.len() >= most =>
            {
                Choice::Use(at)
            }
            _ => Choice::Open,
        }
    }
}

/// Which connection carries the next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// This one.
    Use(usize),
    /// A new one.
    Open,
    /// None: the host is not to be called now.
    None,
}

/// One host of the endpoint list, as discovery has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The host's name; the same at every gatherer.
    pub uid: String,
    /// Where it listens; absent where a change only says that it was removed.
    pub endpoint: Option<SocketAddr>,
    /// The dispatcher's endpoint; its `server` is filled in by the table.
    pub entry: Endpoint,
}

struct Link {
    token: Token,
    /// How much of its capacity is used.
    used: usize,
}

struct Host {
    uid: Arc<str>,
    /// Its status by discovery, and whether operators have excluded it.
    entry: Endpoint,
    endpoint: Option<SocketAddr>,
    draining_since: Option<Time>,
    links: Vec<Link>,
    attempts: BTreeMap<AttemptId, Token>,
    /// Connections that became unresponsive since the host last sent anything.
    unresponsive: u32,
}

/// Every index host that any list has named.
pub struct HostTable {
    connector: Box<dyn Connector>,
    limits: Rc<Limits>,
    ids: BTreeMap<String, ServerId>,
    hosts: BTreeMap<ServerId, Host>,
    /// The excluded hosts, known or not: no endpoint list includes them again.
    excluded: BTreeSet<String>,
    next: u32,
}

impl HostTable {
    /// A table without hosts.
    pub fn new(connector: Box<dyn Connector>, limits: Rc<Limits>) -> Self {
        HostTable {
            connector,
            limits,
            ids: BTreeMap::new(),
            hosts: BTreeMap::new(),
            excluded: BTreeSet::new(),
            next: 1,
        }
    }

    /// Takes over new limits and a new connector.
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

    /// Whether any host takes work.
    pub fn any_active(&self) -> bool {
        self.active() > 0
    }

    /// How many take work.
    pub fn active(&self) -> usize {
        self.hosts
            .values()
            .filter(|h| h.entry.status == ServerStatus::Ready)
            .count()
    }

    /// The hosts that were not removed, in the form that the store keeps.
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

    /// The number of a host that is known.
    pub fn id_of(&self, uid: &str) -> Option<ServerId> {
        self.ids.get(uid).copied()
    }

    /// The name and the start of a host.
    pub fn name_of(&self, id: ServerId) -> Option<(&Arc<str>, Time)> {
        self.hosts
            .get(&id)
            .map(|host| (&host.uid, host.entry.started_at))
    }

    /// Applies an endpoint list and returns the dispatcher's entries.
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
            let Some(id) = self.id(&member.uid) else {
                tracing::warn!(uid = member.uid, "more index hosts than the table holds");
                continue;
            };
            listed.push(id);
            member.entry.server = id;
            member.entry.excluded = self.excluded.contains(&member.uid);
            let new = Host {
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
            let host = self.hosts.entry(id).or_insert(new);
            if member.endpoint.is_some() && host.endpoint != member.endpoint {
                host.endpoint = member.endpoint;
                // Connections to a former address end by themselves; new calls must not use them.
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
        self.remove_gone();
        entries
    }

    /// Excludes exactly these hosts, and returns the dispatcher's entries of those that changed.
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

    fn id(&mut self, uid: &str) -> Option<ServerId> {
        if let Some(id) = self.ids.get(uid) {
            return Some(*id);
        }
        if self.ids.len() >= self.limits.hosts || uid.len() > self.limits.name_bytes {
            return None;
        }
        let id = ServerId(self.next);
        self.next += 1;
        self.ids.insert(uid.to_owned(), id);
        Some(id)
    }

    /// Drops removed hosts without connections or attempts: hosts are replaced under new ids for as
    /// long as this runs.
    fn remove_gone(&mut self) {
        let is_used = |h: &Host| {
            h.entry.status != ServerStatus::Removed || !h.links.is_empty() || !h.attempts.is_empty()
        };
        self.hosts.retain(|_, host| is_used(host));
        self.ids.retain(|_, id| self.hosts.contains_key(id));
    }

    /// Sends the parts of one call.
    ///
    /// # Errors
    ///
    /// Returns the parts where no connection can be had.
    pub fn call(
        &mut self,
        id: ServerId,
        parts: Vec<Outgoing>,
        net: &mut Net<Gatherer>,
        now: Time,
    ) -> Result<(), Vec<Outgoing>> {
        let grace = self.limits.drain_grace / 2;
        let allowed =
            |h: &Host| !h.entry.excluded && h.draining_since.is_none_or(|at| now < at + grace);
        if self.hosts.get(&id).is_none_or(|host| !allowed(host)) {
            return Err(parts);
        }
        let cost = self.connector.call_cost(parts.len());
        let most = self.max_links(id, net);
        let Some(host) = self.hosts.get_mut(&id) else {
            return Err(parts);
        };
        let Some(token) = host.link(id, cost, self.connector.as_ref(), most, net, now) else {
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

    /// Has the connection that carries an attempt cancel it.
    pub fn cancel(&mut self, id: ServerId, attempt: AttemptId, net: &mut Net<Gatherer>) {
        if let Some(token) = self
            .hosts
            .get_mut(&id)
            .and_then(|h| h.attempts.remove(&attempt))
        {
            net.post(token, Message::CancelAttempt(attempt));
        }
    }

    /// Sends a probe; false where no connection can be had.
    pub fn probe(&mut self, id: ServerId, net: &mut Net<Gatherer>, now: Time) -> bool {
        if self
            .hosts
            .get(&id)
            .is_none_or(|host| host.draining_since.is_some())
        {
            return false;
        }
        let most = self.max_links(id, net);
        let Some(host) = self.hosts.get_mut(&id) else {
            return false;
        };
        let token = host.link(id, 1, self.connector.as_ref(), most, net, now);
        token.map(|token| net.post(token, Message::Probe)).is_some()
    }

    /// How many connections a host may have now. Where the limit for all hosts is reached, no more
    /// than it has; for a host without any an unused connection to another host is closed.
    fn max_links(&mut self, id: ServerId, net: &mut Net<Gatherer>) -> usize {
        let open: usize = self.hosts.values().map(|host| host.links.len()).sum();
        if open < self.limits.host_links {
            return self.limits.connections_per_host;
        }
        let own = self.hosts.get(&id).map_or(0, |host| host.links.len());
        let idle = |host: &Host| host.links.iter().position(|link| link.used == 0);
        if own == 0
            && let Some((at, host)) = self
                .hosts
                .values_mut()
                .find_map(|host| Some((idle(host)?, host)))
        {
            net.post(host.links.remove(at).token, Message::CloseIdle);
        }
        own.max(1)
    }

    /// Closes the connections to a host that carry nothing.
    pub fn close_idle(&mut self, id: ServerId, net: &mut Net<Gatherer>) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        // They are out of the table at once, so that the call that follows opens a new one.
        host.links.retain(|link| {
            let idle = link.used == 0;
            if idle {
                net.post(link.token, Message::CloseIdle);
            }
            !idle
        });
    }

    /// An attempt has ended on its connection.
    pub fn attempt_ended(&mut self, id: ServerId, attempt: AttemptId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.attempts.remove(&attempt);
        }
    }

    /// An attempt has ended on a connection that is gone, at whichever host.
    pub fn forget_attempt(&mut self, attempt: AttemptId) {
        for host in self.hosts.values_mut() {
            host.attempts.remove(&attempt);
        }
    }

    /// A call of this cost has ended on a connection.
    pub fn release_capacity(&mut self, id: ServerId, token: Token, cost: usize) {
        let links = self.hosts.get_mut(&id).map(|h| &mut h.links);
        if let Some(link) = links.and_then(|links| links.iter_mut().find(|l| l.token == token)) {
            link.used = link.used.saturating_sub(cost);
        }
    }

    /// After which time a connection to a host counts as unresponsive. Where its connections become
    /// unresponsive one after the other it is the host that is slow, so the time doubles with each.
    pub fn unresponsive_after(&self, id: ServerId) -> Time {
        self.limits.link_unresponsive << self.hosts.get(&id).map_or(0, |h| h.unresponsive.min(4))
    }

    /// A connection has become unresponsive, or (`false`) something was received on it.
    pub fn set_unresponsive(&mut self, id: ServerId, unresponsive: bool) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.unresponsive = if unresponsive {
                host.unresponsive + 1
            } else {
                0
            };
        }
    }

    /// A connection is to take no more calls, or has ended.
    pub fn link_ended(&mut self, id: ServerId, token: Token) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.links.retain(|l| l.token != token);
        }
    }
}

impl Host {
    /// Applies the status by discovery and the operators' exclusion, the stricter of the two.
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

    /// The connection for the next call: one with room, else a new one, else the least busy.
    fn link(
        &mut self,
        id: ServerId,
        cost: usize,
        connector: &dyn Connector,
        most: usize,
        net: &mut Net<Gatherer>,
        now: Time,
    ) -> Option<Token> {
        let taken: Vec<usize> = self.links.iter().map(|l| l.used).collect();
        match connector.choose(id, cost, &taken, most, now) {
            Choice::Use(at) => return self.links.get(at).map(|l| l.token),
            Choice::Open => {}
            Choice::None => return None,
        }
        match connector.connect(id, self.endpoint?, now) {
            Ok(connection) => {
                let token = net.open(connection);
                self.links.push(Link { token, used: 0 });
                Some(token)
            }
            Err(problem) => {
                tracing::warn!(host = id.0, %problem, "no connection can be opened");
                self.links.iter().min_by_key(|l| l.used).map(|l| l.token)
            }
        }
    }
}
