//! A member's way into the store: what it says and answers before it takes part, and what it does
//! with what it is told. The rule stands in [`crate::rejoin`]; here it meets the log, the file and
//! the packets.

use super::{Store, after};
use crate::Time;
use crate::packet::{Body, Position, Snapshot};
use crate::record::Record;
use crate::rejoin::{Ask, Past, Standing, Verdict, rank};
use raftbare::{Log, Node, NodeId, Role};

impl Store {
    /// Says what this member has to say before it takes part, and when to say it again.
    pub(super) fn speak(&mut self, now: Time) {
        let last = self.last();
        let mut bodies = Vec::new();
        if let Some(ask) = self.rejoin.ask(self.start, last) {
            bodies.push(Body::Ask(ask));
        }
        if let (Standing::Lost, Some((term, last))) = (self.rejoin.standing(), self.bar) {
            bodies.push(Body::Fetch {
                life: self.rejoin.life(),
                term,
                last,
            });
        }
        if self.rejoin.standing() == Standing::Founding
            && let Some(snapshot) = self.snapshot()
        {
            bodies.push(Body::Found {
                life: self.rejoin.life(),
                snapshot,
            });
        }
        let others = self
            .members
            .iter()
            .filter(|to| **to != self.id() && !self.joined.contains(to));
        let others: Vec<u64> = others.copied().collect();
        for body in &bodies {
            let packet = self.packet(body.clone());
            self.outbox
                .extend(others.iter().map(|to| (self.made, *to, packet.clone())));
        }
        // Members that come back at one moment do not go on asking at one moment.
        let wait = self.pace.election / 2 + self.rng.u64(0..=self.pace.election / 2);
        self.ask_at = (!bodies.is_empty()).then_some(now + wait);
    }

    pub(super) fn answer(&mut self, from: u64, ask: &Ask, term: u64) {
        let known = self
            .rejoin
            .peers()
            .get(&from)
            .map_or(0, |peer| peer.generation);
        let (told, noted) = self
            .rejoin
            .answer(from, ask, term, !self.unvoted, self.last());
        if noted {
            self.keep(Record::Peer(from, self.rejoin.peers()[&from]));
        }
        if ask.past == Past::Claimed && told.generation > known {
            self.step_down();
        }
        let packet = self.packet(Body::Told(told));
        self.outbox.push_back((self.made, from, packet));
    }

    pub(super) fn judge(&mut self, verdict: Verdict, now: Time) {
        match verdict {
            Verdict::Waits => return,
            Verdict::Sound => self.ask_at = None,
            Verdict::Founds => self.found(),
            Verdict::Lost => self.lose(),
            Verdict::Claims(generation) => {
                self.cluster = self.rejoin.store();
                self.bar = None;
                for record in [
                    Record::Cluster(self.cluster),
                    Record::Lost,
                    Record::Generation(generation),
                ] {
                    self.keep(record);
                }
            }
            Verdict::CatchesUp(term, last) => {
                if self.bar.replace((term, last)) == Some((term, last)) {
                    return;
                }
            }
        }
        self.speak(now);
    }

    /// Takes what another knows of how often a member has lost its file. What its earlier lives had
    /// a part in is not counted any more: whoever leads or stands for election may owe that to
    /// them.
    pub(super) fn learn(&mut self, member: u64, generation: u64) {
        if member == self.id() {
            if generation > self.rejoin.generation() && self.rejoin.is_replaced() {
                self.lose();
            }
        } else if generation > 0 && self.rejoin.learn(member, generation) {
            self.keep(Record::Peer(member, self.rejoin.peers()[&member]));
            self.step_down();
        }
    }

    fn step_down(&mut self) {
        if self.node.role() != Role::Follower {
            let (id, term, vote) = (
                self.node.id(),
                self.node.current_term(),
                self.node.voted_for(),
            );
            self.node = Node::restart(id, term, vote, self.node.log().clone());
        }
    }

    /// This member's file is not the newest that it had.
    pub(super) fn lose(&mut self) {
        self.step_down();
        if std::mem::take(&mut self.unvoted) {
            // Nothing ever came of the store that this member took itself to be of.
            self.cluster = 0;
            self.keep(Record::Cluster(0));
        }
        self.bar = None;
        self.keep(Record::Lost);
    }

    /// Begins the store: once every member is part of it somebody may vote.
    pub(super) fn found(&mut self) {
        self.cluster = self.rng.u64(1..);
        let members = self.members.clone();
        let mut snapshot = Snapshot {
            members,
            ..Snapshot::default()
        };
        if self.era > 0 {
            snapshot.state.begin_era(self.era);
        }
        self.begin(&snapshot);
        if self.members.len() == 1 {
            self.founded();
        }
    }

    /// Takes a snapshot for the begin of the log.
    fn begin(&mut self, snapshot: &Snapshot) {
        let log = Log::new(snapshot.config(), after(snapshot.position));
        self.node = Node::restart(self.node.id(), snapshot.position.term.into(), None, log);
        (self.applied, self.state) = (snapshot.position.index, snapshot.state.clone());
        self.commands.clear();
        self.unvoted = true;
        self.rejoin.begins();
        self.rewrite(snapshot.clone());
    }

    /// Another member begins the store, with this one in it.
    pub(super) fn join(&mut self, from: u64, cluster: u64, life: u64, snapshot: Snapshot) {
        // Of two that begin one store, as an operator may have it who begins it anew from a file,
        // the one that has more goes on.
        let founding = self.rejoin.standing() == Standing::Founding;
        let (own, other) = (rank(self.last()), rank(snapshot.position));
        let gives_way = self.unvoted && if founding { other > own } else { other >= own };
        let body = if self.unvoted && self.cluster == cluster {
            Body::Joined
        } else if (gives_way || self.rejoin.standing() == Standing::Empty)
            && snapshot.members == self.members
        {
            self.cluster = cluster;
            self.rejoin.restored();
            self.begin(&snapshot);
            Body::Joined
        } else if !self.takes_part() {
            // It may have voted in what it does not remember, or in a store that is not there any
            // more.
            return;
        } else {
            Body::Begun { life }
        };
        if body == Body::Joined {
            self.rejoin.restored();
            self.ask_at = None;
        }
        let packet = self.packet(body);
        self.outbox.push_back((self.made, from, packet));
    }

    pub(super) fn joined(&mut self, from: u64) {
        if self.rejoin.standing() == Standing::Founding && self.joined.insert(from) {
            let all = self.joined.len() + 1 >= self.members.len();
            if all {
                self.founded();
            }
        }
    }

    /// The store has begun: this member stands for election, and never begins it again.
    fn founded(&mut self) {
        self.keep(Record::Founding(false));
        self.rejoin.restored();
        (self.unvoted, self.ask_at) = (false, None);
        self.joined.clear();
        self.node.handle_election_timeout();
    }

    /// Gives a member that has lost its file what is committed, where that is enough.
    pub(super) fn restore(&mut self, to: u64, life: u64, term: u64, last: Position) {
        let enough = self.takes_part() && self.leads() && self.node.current_term().get() >= term;
        let snapshot = self
            .snapshot()
            .filter(|snapshot| enough && rank(snapshot.position) >= rank(last));
        let packet = snapshot.map(|snapshot| {
            self.packet(Body::Snapshot {
                snapshot,
                restores: life,
            })
        });
        self.outbox
            .extend(packet.map(|packet| (self.made, to, packet)));
    }

    /// Takes what a leader has committed in place of what this member has lost, and counts again.
    pub(super) fn catch_up(&mut self, from: u64, term: u64, life: u64, snapshot: Snapshot) {
        let enough =
            |(least, last): (u64, Position)| term >= least && rank(snapshot.position) >= rank(last);
        let lost = self.rejoin.standing() == Standing::Lost && life == self.rejoin.life();
        if !lost || !self.bar.is_some_and(enough) {
            return;
        }
        let log = Log::new(snapshot.config(), after(snapshot.position));
        // In this term it can have voted for nobody else with any effect: that one leads.
        self.node = Node::restart(self.node.id(), term.into(), Some(NodeId::new(from)), log);
        (self.bar, self.ask_at, self.unvoted) = (None, None, false);
        self.rejoin.restored();
        self.take_state(snapshot);
    }
}
