//! The store on the loop: its timer, its lines to and from other members, and those who watch it.

use super::asks::{self, Asker, Line};
use super::disk::Disk;
use crate::front::{Gatherer, Message};
use crate::net::{self, Attempt, Connection, Context, Input, Net, Ready, Stream, Token};
use crate::recovery;
use dispatch::interface::Time;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use store::member::{CallId, Compacted, Store, Write};
use store::packet::{self, Change, Packet};
use store::rejoin::Standing;

type Cx<'a> = Context<'a, Gatherer>;

/// The store of a gatherer and the connections that belong to it.
pub struct Shelf {
    store: Store,
    name: String,
    clock: Option<Token>,
    peers: BTreeMap<u64, Token>,
    watchers: Vec<Token>,
    /// Those who watch from a revision on, and are told each change with its own.
    followers: Vec<Token>,
    /// Who waits for what was asked, by its number, and the last number given.
    pub(super) waiting: BTreeMap<CallId, Asker>,
    calls: CallId,
    /// Who is told of each change of a key that begins so.
    told_of: Option<(Token, Vec<String>)>,
    /// Who writes the member's file, where it has one.
    pages: Option<Token>,
    /// What was last told of the member's standing, and when it is told again that it waits.
    told: (Option<Standing>, Time),
    /// Between two such lines.
    told_again: Time,
}

impl Shelf {
    /// Puts a store on the loop; a lone member needs neither a timer nor sockets, and one in memory
    /// no file.
    pub fn new(
        store: Store,
        name: String,
        peers: &BTreeMap<u64, SocketAddr>,
        disk: Option<Disk>,
        told_again: Time,
        net: &mut Net<Gatherer>,
    ) -> Shelf {
        let clock = (!peers.is_empty() || disk.is_some()).then(|| net.open(Box::new(Clock)));
        let open =
            |(id, address): (&u64, &SocketAddr)| (*id, net.open(Box::new(Peer::new(*address))));
        let peers = peers.iter().map(open).collect();
        let pages = disk.map(|disk| {
            net.open(Box::new(Pages {
                disk,
                waiting: VecDeque::new(),
            }))
        });
        let mut shelf = Shelf {
            store,
            name,
            clock,
            peers,
            watchers: Vec::new(),
            followers: Vec::new(),
            waiting: BTreeMap::new(),
            calls: 0,
            told_of: None,
            pages,
            told: (None, 0),
            told_again,
        };
        shelf.pump(net);
        shelf
    }

    /// The member.
    pub fn store(&self) -> &Store {
        &self.store
    }

    pub(super) fn store_mut(&mut self) -> &mut Store {
        &mut self.store
    }

    pub(super) fn next_call(&mut self) -> CallId {
        self.calls += 1;
        self.calls
    }

    /// Has an object told, by a message, whenever a key that begins with one of these has changed.
    pub fn tell_of(&mut self, prefixes: Vec<String>, token: Token) {
        self.told_of = Some((token, prefixes));
    }

    /// Records something of this gatherer under its name.
    pub fn record(&mut self, what: &str, value: &str, net: &mut Net<Gatherer>) {
        let key = format!("{what}/{}", self.name);
        if self.store.put(&key, value, net.now()).is_err() {
            tracing::warn!(key, "the store does not take this much");
        }
        self.pump(net);
    }

    /// Wants a key to have a value; it is proposed until it does.
    pub fn want(&mut self, key: &str, value: &str, net: &mut Net<Gatherer>) {
        if self.store.state().get(key) == Some(value) {
            return;
        }
        if self.store.put(key, value, net.now()).is_err() {
            tracing::warn!(key, "the store does not take this much");
        }
        self.pump(net);
    }

    /// What the member may do, and what it waits for before it votes and counts.
    pub fn standing(&self) -> (Standing, Option<String>) {
        (self.store.standing(), self.store.waits_for())
    }

    /// Which store the member is of; 0 where it does not know.
    pub fn id(&self) -> u64 {
        self.store.cluster()
    }

    /// Tells the log of a new standing at once, and of one that waits when it has waited for long.
    fn tell_standing(&mut self, now: Time) {
        let (standing, waits) = self.standing();
        let news = self.told.0 != Some(standing);
        if self.clock.is_none() || !(news || waits.is_some() && now >= self.told.1) {
            return;
        }
        let (store, generation) = (
            format!("{:016x}", self.store.cluster()),
            self.store.generation(),
        );
        match waits {
            Some(waits) if news && standing != Standing::Lost => {
                tracing::info!(
                    ?standing,
                    store,
                    waits,
                    "the store's member takes no part yet"
                );
            }
            Some(waits) => tracing::warn!(
                ?standing,
                store,
                waits,
                "the store's member takes no part yet"
            ),
            None => tracing::info!(
                ?standing,
                store,
                generation,
                "the store's member takes part"
            ),
        }
        self.told = (Some(standing), now + self.told_again);
    }

    /// Passes on what the store has for others.
    pub(super) fn pump(&mut self, net: &mut Net<Gatherer>) {
        self.tell_standing(net.now());
        for write in self.store.take_writes() {
            if let Some(token) = self.pages {
                net.post(token, Message::Write(write));
            }
        }
        for (to, packet) in self.store.take_outbox() {
            if let Some(token) = self.peers.get(&to) {
                net.post(*token, Message::Line(packet.write()));
            }
        }
        let mut changed = Vec::new();
        for (revision, change) in self.store.take_committed() {
            let line = watch_line(&change);
            for token in &self.watchers {
                net.post(*token, Message::Line(line.clone()));
            }
            for token in &self.followers {
                net.post(*token, Message::Line(asks::watch_line(revision, &change)));
            }
            let told = self
                .told_of
                .as_ref()
                .map_or(&[][..], |(_, prefixes)| prefixes);
            if told.iter().any(|prefix| change.key.starts_with(prefix)) {
                changed.push(change);
            }
        }
        if let Some((token, _)) = self.told_of.as_ref().filter(|_| !changed.is_empty()) {
            net.post(*token, Message::StoreChanged(changed));
        }
        for (id, reply) in self.store.take_replies() {
            if let Some(asker) = self.waiting.remove(&id) {
                self.tell(&asker, reply, net);
            }
        }
        if let (Some(token), Some(at)) = (self.clock, self.store.due()) {
            net.post(token, Message::WakeAt(at));
        }
    }
}

/// What a watch is asked for with.
pub const WATCH: &str = "watch";

/// One line of a watch.
fn watch_line(change: &Change) -> String {
    json!({"key": change.key, "value": change.value}).to_string() + "\n"
}

/// Does something with the store, and passes on what comes of it.
fn with_store<T>(cx: &mut Cx<'_>, act: impl FnOnce(&mut Store, Time) -> T) -> Option<T> {
    let shelf = cx.world.shelf.as_mut()?;
    let result = act(&mut shelf.store, cx.now);
    shelf.pump(cx.net);
    Some(result)
}

/// The member's file: writes go to its thread in order, and the store hears of each that is done.
struct Pages {
    disk: Disk,
    /// Writes for which the thread has no room yet.
    waiting: VecDeque<Write>,
}

impl Pages {
    /// Hands over what the thread has room for. A member whose disk does not keep up with so much
    /// ends: it could not promise anything in time.
    fn hand(&mut self, cx: &mut Cx<'_>) {
        while let Some(write) = self.waiting.pop_front() {
            if let Err(write) = self.disk.hand(write) {
                self.waiting.push_front(write);
                break;
            }
        }
        if self.waiting.len() > cx.world.limits.store_log {
            self.end(cx, &"the disk does not keep up");
        }
    }

    fn end(&mut self, cx: &mut Cx<'_>, problem: &dyn std::fmt::Display) {
        tracing::error!(%problem, "the store's file cannot be written; this member stops");
        cx.world.shelf = None;
        cx.close();
    }
}

impl Connection<Gatherer> for Pages {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.net.register(self.disk.woken(), cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, _ready: Ready) {
        match self.disk.done() {
            Ok(Some(number)) => {
                with_store(cx, |store, _| store.written(number));
                self.hand(cx);
            }
            Ok(None) => {}
            Err(problem) => self.end(cx, &problem),
        }
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        if let Message::Write(write) = message {
            self.waiting.push_back(write);
            self.hand(cx);
        }
    }

    fn timer(&mut self, _cx: &mut Cx<'_>) {}
}

struct Clock;

impl Connection<Gatherer> for Clock {
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

/// The lines to another member; what cannot be sent now is dropped, as the protocol allows.
struct Peer {
    to: SocketAddr,
    stream: Option<Stream>,
    up: bool,
    retry_at: Time,
}

impl Peer {
    fn new(to: SocketAddr) -> Peer {
        Peer {
            to,
            stream: None,
            up: false,
            retry_at: 0,
        }
    }

    fn drop_stream(&mut self, cx: &mut Cx<'_>) {
        self.stream = None;
        self.up = false;
        self.retry_at = cx.now + cx.world.limits.store_retry;
        cx.clear_timer();
    }

    fn write(&mut self, cx: &mut Cx<'_>) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        let flushed = if self.up { stream.flush() } else { Ok(()) };
        let ready = if self.up {
            Ready::READ.and_writable(stream.unwritten() > 0)
        } else {
            Ready::WRITE
        };
        if flushed
            .and_then(|()| stream.arm(cx.net, cx.token, ready))
            .is_err()
        {
            self.drop_stream(cx);
        }
    }
}

impl Connection<Gatherer> for Peer {
    fn opened(&mut self, _cx: &mut Cx<'_>) -> io::Result<()> {
        Ok(())
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        if !self.up {
            match stream.attempt() {
                Attempt::Pending => return,
                Attempt::Up => self.up = true,
                Attempt::Failed(_) => return self.drop_stream(cx),
            }
            cx.clear_timer();
        } else if ready.readable {
            // Members answer on connections of their own; here only the end can come.
            let mut nothing = Vec::new();
            if !matches!(
                stream.read(&mut nothing, cx.world.limits.read_burst),
                Ok(Input::Open)
            ) {
                return self.drop_stream(cx);
            }
        }
        self.write(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        let Message::Line(line) = message else { return };
        if self.stream.is_none() && cx.now >= self.retry_at {
            self.stream = net::connect(self.to).ok();
            self.retry_at = cx.now + cx.world.limits.store_retry;
            cx.set_timer(cx.now + cx.world.limits.connect);
        }
        let limit = cx.world.limits.frame_bytes * 2;
        if let Some(stream) = self
            .stream
            .as_mut()
            .filter(|s| s.unwritten() + line.len() <= limit)
        {
            stream.push(line.as_bytes());
        }
        self.write(cx);
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.drop_stream(cx);
    }
}

/// A connection that was accepted: another member's lines, or somebody who watches.
pub struct Incoming {
    stream: Stream,
    input: Vec<u8>,
    watches: bool,
}

impl Incoming {
    /// The connection object of an accepted socket.
    pub fn accept(stream: Stream, _world: &Gatherer) -> Box<dyn Connection<Gatherer>> {
        Box::new(Incoming {
            stream,
            input: Vec::new(),
            watches: false,
        })
    }

    fn line(&mut self, cx: &mut Cx<'_>, line: &[u8]) -> Result<(), packet::NoPacket> {
        if line.trim_ascii() == WATCH.as_bytes() {
            if let Some(shelf) = &mut cx.world.shelf
                && !std::mem::replace(&mut self.watches, true)
            {
                shelf.watchers.push(cx.token);
                for (key, held) in shelf.store.state().keys() {
                    let change = Change {
                        key: key.to_owned(),
                        value: Some(held.value.clone()),
                    };
                    self.stream.push(watch_line(&change).as_bytes());
                }
            }
            return Ok(());
        }
        if line.trim_ascii() == recovery::ASK.as_bytes() {
            self.stream.push(cx.world.phase_line(cx.now).as_bytes());
            return Ok(());
        }
        if let Some(asked) = serde_json::from_slice(line)
            .ok()
            .and_then(|json| asks::read(&json, cx.token))
        {
            return self.asked(cx, asked.map_err(packet::NoPacket)?);
        }
        let packet = Packet::read(line)?;
        let known = cx
            .world
            .shelf
            .as_ref()
            .is_some_and(|shelf| shelf.peers.contains_key(&packet.from));
        if !known {
            return Err(packet::NoPacket("from no member"));
        }
        if let Some(Err(other)) = with_store(cx, |store, now| store.receive(packet, now)) {
            // It will say so again with every packet: once for a connection is enough.
            tracing::warn!(%other, "a member of another store is refused");
            return Err(packet::NoPacket("of another store"));
        }
        Ok(())
    }

    /// Answers what a line asks, or has it answered.
    fn asked(&mut self, cx: &mut Cx<'_>, line: Line) -> Result<(), packet::NoPacket> {
        let patience = cx.world.limits.store_request_timeout;
        if let Line::Trail {
            token,
            segment,
            from,
        } = line
        {
            match cx
                .world
                .versions
                .as_ref()
                .and_then(|versions| versions.trail())
            {
                Some(trail) => cx
                    .net
                    .post(trail, Message::TrailWanted(token, segment, from)),
                None => self.stream.push(b"{\"trail\":null}\n"),
            }
            return Ok(());
        }
        let Some(shelf) = &mut cx.world.shelf else {
            return Err(packet::NoPacket("no store"));
        };
        match line {
            Line::Call(call, asker) => shelf.ask(call, asker, patience, cx.net),
            Line::Stale(Asker::Line { id, prefix, .. }) => {
                let answer = asks::stale(&id, &prefix, shelf.store.applied(), shelf.store.state());
                self.stream.push(answer.as_bytes());
            }
            Line::Watch(from) if !std::mem::replace(&mut self.watches, true) => {
                shelf.followers.push(cx.token);
                match shelf.store.since(from) {
                    Ok(changes) => {
                        let lines =
                            changes.map(|(revision, change)| asks::watch_line(*revision, change));
                        lines.for_each(|line| self.stream.push(line.as_bytes()));
                    }
                    // What is missing cannot be told: everything is, as it is now.
                    Err(Compacted(floor)) => {
                        let line = json!({"compacted": floor, "revision": shelf.store.applied()});
                        self.stream.push(format!("{line}\n").as_bytes());
                        for (key, held) in shelf.store.state().keys() {
                            let value = Some(held.value.clone());
                            let change = Change {
                                key: key.to_owned(),
                                value,
                            };
                            self.stream
                                .push(asks::watch_line(held.revision, &change).as_bytes());
                        }
                    }
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn write(&mut self, cx: &mut Cx<'_>) {
        // A watcher that does not read must not fill the memory.
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
        // Members and watchers are not closed to make room for readers.
        cx.world.clients.set_busy(cx.token);
        self.stream.arm(cx.net, cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        if ready.readable {
            let end = self
                .stream
                .read(&mut self.input, cx.world.limits.read_burst);
            while let Some(end) = self.input.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.input.drain(..=end).collect();
                if let Err(problem) = self.line(cx, &line) {
                    tracing::debug!(%problem, "store");
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
        if let Some(shelf) = &mut cx.world.shelf {
            shelf.watchers.retain(|token| *token != cx.token);
            shelf.followers.retain(|token| *token != cx.token);
        }
        cx.world.clients.remove(cx.token);
    }
}
