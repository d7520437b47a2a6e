//! The store member on the event loop: sends its output to the file, the other members, the
//! watchers and the requesters.

use super::disk::Disk;
use super::file_writer::FileWriter;
use super::peer::Peer;
use super::requests::{self, Requester};
use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Net, Ready, Token};
use dispatch::interface::Time;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use store::member::{Call, CallId, Reply, Store, TooManyCalls};
use store::rejoin::Status;

/// An object that is notified of changes of keys with one of these prefixes.
struct Subscription {
    token: Token,
    prefixes: Vec<String>,
}

/// The store member of a gatherer with its connections.
pub struct StoreService {
    store: Store,
    name: String,
    timer: Option<Token>,
    peers: BTreeMap<u64, Token>,
    /// Connections that watch from the present state on.
    pub(super) watchers: Vec<Token>,
    /// Connections that watch from a revision on, and get the revision of each change.
    pub(super) revision_watchers: Vec<Token>,
    /// Requesters of the calls in flight.
    waiting: BTreeMap<CallId, Requester>,
    last_call: CallId,
    subscription: Option<Subscription>,
    /// The connection object of the member's file, if it keeps one.
    file_writer: Option<Token>,
    /// The status that was last logged.
    logged_status: Option<Status>,
    /// When the status of a member that is still waiting is logged again, and the interval between
    /// such log lines.
    log_status_at: Time,
    status_log_interval: Time,
}

impl StoreService {
    /// Registers a store with the event loop. A lone member needs neither a timer nor sockets, and
    /// one in memory no file. `status_log_interval` is in nanoseconds.
    pub fn new(
        store: Store,
        name: String,
        peers: &BTreeMap<u64, SocketAddr>,
        disk: Option<Disk>,
        status_log_interval: Time,
        net: &mut Net<Gatherer>,
    ) -> StoreService {
        let timer = (!peers.is_empty() || disk.is_some()).then(|| net.open(Box::new(Timer)));
        let open =
            |(id, address): (&u64, &SocketAddr)| (*id, net.open(Box::new(Peer::new(*address))));
        let peers = peers.iter().map(open).collect();
        let file_writer = disk.map(|disk| net.open(Box::new(FileWriter::new(disk))));
        let mut service = StoreService {
            store,
            name,
            timer,
            peers,
            watchers: Vec::new(),
            revision_watchers: Vec::new(),
            waiting: BTreeMap::new(),
            last_call: 0,
            subscription: None,
            file_writer,
            logged_status: None,
            log_status_at: 0,
            status_log_interval,
        };
        service.dispatch(net);
        service
    }

    /// The member.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Sends [`Message::StoreChanged`] to an object whenever a key with one of these prefixes has
    /// changed.
    pub fn subscribe(&mut self, prefixes: Vec<String>, token: Token) {
        self.subscription = Some(Subscription { token, prefixes });
    }

    /// Proposes a value under this gatherer's name.
    pub fn record(&mut self, kind: &str, value: &str, net: &mut Net<Gatherer>) {
        let key = format!("{kind}/{}", self.name);
        if self.store.put(&key, value, net.now()).is_err() {
            tracing::warn!(
                key,
                "the key or the value is too large for the store, or the store has too many keys"
            );
        }
        self.dispatch(net);
    }

    /// Proposes a value of a key until it is set.
    pub fn propose(&mut self, key: &str, value: &str, net: &mut Net<Gatherer>) {
        if self.store.state().get(key) == Some(value) {
            return;
        }
        if self.store.put(key, value, net.now()).is_err() {
            tracing::warn!(
                key,
                "the key or the value is too large for the store, or the store has too many keys"
            );
        }
        self.dispatch(net);
    }

    /// The member's status, and what it waits for before it is active.
    pub fn status(&self) -> (Status, Option<String>) {
        (self.store.status(), self.store.waiting_for())
    }

    /// Id of the store; 0 while it is unknown.
    pub fn id(&self) -> u64 {
        self.store.cluster()
    }

    /// Logs a new status at once, and one that is still waiting at intervals. Field names and
    /// values are those of the operators' documentation.
    fn log_status(&mut self, now: Time) {
        let (status, waiting_for) = self.status();
        let changed = self.logged_status != Some(status);
        let repeated = waiting_for.is_some() && now >= self.log_status_at;
        if self.timer.is_none() || !(changed || repeated) {
            return;
        }
        let (store, generation) = (
            format!("{:016x}", self.store.cluster()),
            self.store.generation(),
        );
        match waiting_for {
            Some(waiting_for) if changed && status != Status::Lost => {
                tracing::info!(
                    standing = %status.log_label(),
                    store,
                    waits = waiting_for,
                    "the store member is not active yet"
                );
            }
            Some(waiting_for) => tracing::warn!(
                standing = %status.log_label(),
                store,
                waits = waiting_for,
                "the store member is not active yet"
            ),
            None => tracing::info!(
                standing = %status.log_label(),
                store,
                generation,
                "the store member is active"
            ),
        }
        self.logged_status = Some(status);
        self.log_status_at = now + self.status_log_interval;
    }

    /// Delivers the store's output: writes, messages, committed changes and replies.
    pub(super) fn dispatch(&mut self, net: &mut Net<Gatherer>) {
        self.log_status(net.now());
        for write in self.store.take_writes() {
            if let Some(token) = self.file_writer {
                net.post(token, Message::Write(write));
            }
        }
        for (to, envelope) in self.store.take_outbox() {
            if let Some(token) = self.peers.get(&to) {
                net.post(*token, Message::Line(envelope.write()));
            }
        }
        let mut changed = Vec::new();
        for (revision, change) in self.store.take_committed() {
            let line = requests::plain_watch_line(&change);
            for token in &self.watchers {
                net.post(*token, Message::Line(line.clone()));
            }
            for token in &self.revision_watchers {
                net.post(
                    *token,
                    Message::Line(requests::watch_line(revision, &change)),
                );
            }
            if self.is_subscribed(&change.key) {
                changed.push(change);
            }
        }
        if let Some(subscription) = self.subscription.as_ref().filter(|_| !changed.is_empty()) {
            net.post(subscription.token, Message::StoreChanged(changed));
        }
        for (id, reply) in self.store.take_replies() {
            if let Some(requester) = self.waiting.remove(&id) {
                self.reply(&requester, reply, net);
            }
        }
        if let (Some(token), Some(at)) = (self.timer, self.store.due()) {
            net.post(token, Message::WakeAt(at));
        }
    }

    fn is_subscribed(&self, key: &str) -> bool {
        let matches = |subscription: &Subscription| {
            let mut prefixes = subscription.prefixes.iter();
            prefixes.any(|prefix| key.starts_with(prefix))
        };
        self.subscription.as_ref().is_some_and(matches)
    }

    /// Whether a member of this id is known.
    pub(super) fn has_peer(&self, id: u64) -> bool {
        self.peers.contains_key(&id)
    }

    /// Submits a call; the requester gets its reply within `timeout` nanoseconds.
    pub fn submit(
        &mut self,
        call: Call,
        requester: Requester,
        timeout: Time,
        net: &mut Net<Gatherer>,
    ) {
        self.last_call += 1;
        let id = self.last_call;
        match self.store.call(id, call, timeout, net.now()) {
            Ok(()) => drop(self.waiting.insert(id, requester)),
            // With too many calls in flight this one was not started: its outcome is unknown too.
            Err(TooManyCalls) => self.reply(&requester, Reply::Unknown, net),
        }
        self.dispatch(net);
    }

    fn reply(&self, requester: &Requester, reply: Reply, net: &mut Net<Gatherer>) {
        match requester {
            Requester::Connection { token, id, prefix } => {
                let line = requests::response(&reply, id, prefix, self.store.state());
                net.post(*token, Message::Line(line));
            }
            Requester::Internal(token) => net.post(*token, Message::Replied(reply)),
        }
    }
}

/// Runs an action on the store and delivers its output.
pub(super) fn with_store<T>(
    cx: &mut Context<'_, Gatherer>,
    action: impl FnOnce(&mut Store, Time) -> T,
) -> Option<T> {
    let service = cx.world.store_service.as_mut()?;
    let result = action(&mut service.store, cx.now);
    service.dispatch(cx.net);
    Some(result)
}

/// The store's timer.
struct Timer;

type Cx<'a> = Context<'a, Gatherer>;

impl Connection<Gatherer> for Timer {
    fn opened(&mut self, _cx: &mut Cx<'_>) -> io::Result<()> {
        Ok(())
    }

    fn ready(&mut self, _cx: &mut Cx<'_>, _ready: Ready) {}

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        if let Message::WakeAt(at) = message {
            cx.set_timer(at);
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        with_store(cx, |store, now| store.timer(now));
    }
}
