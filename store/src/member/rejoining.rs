//! Bootstrap of the store, and admission of members that have just started: applies the rule of
//! [`crate::rejoin`] to the log, the file and the messages.

use super::{CatchUpBar, Store};
use crate::Time;
use crate::log::{Position, Snapshot, empty_log};
use crate::message::Message;
use crate::record::Record;
use crate::rejoin::{History, Status, StatusRequest, Verdict};
use raftbare::{Log, Node, NodeId, Role};

impl Store {
    /// Sends what this member has to tell the others before it is active, and schedules the next
    /// time.
    pub(super) fn send_status(&mut self, now: Time) {
        let messages = self.status_messages();
        let others: Vec<u64> = self
            .members
            .iter()
            .copied()
            .filter(|to| *to != self.id() && !self.accepted.contains(to))
            .collect();
        for message in &messages {
            for to in &others {
                self.send(*to, message.clone());
            }
        }
        // With jitter, so that members that restart together do not keep asking together.
        let half = self.timing.election / 2;
        let wait = half + self.rng.u64(0..=half);
        self.status_request_at = (!messages.is_empty()).then_some(now + wait);
    }

    fn status_messages(&self) -> Vec<Message> {
        let incarnation = self.rejoin.incarnation();
        let mut messages = Vec::new();
        if let Some(request) = self.rejoin.status_request(self.start, self.last()) {
            messages.push(Message::StatusRequest(request));
        }
        if let (Status::Lost, Some(bar)) = (self.rejoin.status(), self.catch_up_bar) {
            messages.push(Message::SnapshotRequest {
                incarnation,
                term: bar.term,
                last: bar.last,
            });
        }
        if self.rejoin.status() == Status::Bootstrapping
            && let Some(snapshot) = self.snapshot()
        {
            messages.push(Message::Bootstrap {
                incarnation,
                snapshot,
            });
        }
        messages
    }

    /// Answers a member that has just started.
    pub(super) fn answer_status_request(&mut self, from: u64, request: &StatusRequest, term: u64) {
        let known = self
            .rejoin
            .peers()
            .get(&from)
            .map_or(0, |peer| peer.generation);
        let last = self.last();
        let (response, must_persist) =
            self.rejoin
                .respond(from, request, term, !self.never_voted, last);
        if must_persist {
            self.persist(Record::Peer(from, self.rejoin.peers()[&from]));
        }
        if request.past == History::Claimed && response.generation > known {
            self.step_down();
        }
        self.send(from, Message::StatusResponse(response));
    }

    /// Acts on what has come of the responses to this member's status request.
    pub(super) fn apply_verdict(&mut self, verdict: Verdict, now: Time) {
        match verdict {
            Verdict::Pending => return,
            Verdict::Active => self.status_request_at = None,
            Verdict::Bootstrap => self.bootstrap(),
            Verdict::Lost => self.mark_lost(),
            Verdict::ClaimGeneration(generation) => {
                self.cluster = self.rejoin.majority_store();
                self.catch_up_bar = None;
                self.persist(Record::Cluster(self.cluster));
                self.persist(Record::Lost);
                self.persist(Record::Generation(generation));
            }
            Verdict::CatchUp { term, last } => {
                let bar = CatchUpBar { term, last };
                if self.catch_up_bar.replace(bar) == Some(bar) {
                    return;
                }
            }
        }
        self.send_status(now);
    }

    /// Learns how often a member has lost its file. Votes and acknowledgements of its earlier
    /// generations no longer count, so a leader or candidate, which may owe its position to them,
    /// steps down.
    pub(super) fn observe_generation(&mut self, member: u64, generation: u64) {
        if member == self.id() {
            if generation > self.rejoin.generation() && self.rejoin.on_replaced() {
                self.mark_lost();
            }
        } else if generation > 0 && self.rejoin.observe_generation(member, generation) {
            self.persist(Record::Peer(member, self.rejoin.peers()[&member]));
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

    /// Marks this member's file as not the newest that it had.
    pub(super) fn mark_lost(&mut self) {
        self.step_down();
        if std::mem::take(&mut self.never_voted) {
            // The store that this member took itself to be of has never come to be.
            self.cluster = 0;
            self.persist(Record::Cluster(0));
        }
        self.catch_up_bar = None;
        self.persist(Record::Lost);
    }

    /// Bootstraps the store. Nobody votes before every member has accepted it.
    pub(super) fn bootstrap(&mut self) {
        self.cluster = self.rng.u64(1..);
        let members = self.members.clone();
        let mut snapshot = Snapshot {
            members,
            ..Snapshot::default()
        };
        if self.era > 0 {
            snapshot.state.begin_era(self.era);
        }
        self.start_log(&snapshot);
        if self.members.len() == 1 {
            self.finish_bootstrap();
        }
    }

    /// Starts a new log from a snapshot.
    fn start_log(&mut self, snapshot: &Snapshot) {
        let log = Log::new(snapshot.config(), empty_log(snapshot.position));
        self.node = Node::restart(self.node.id(), snapshot.position.term.into(), None, log);
        (self.applied, self.state) = (snapshot.position.index, snapshot.state.clone());
        self.commands.clear();
        self.never_voted = true;
        self.rejoin.clear_peers();
        self.replace_file(snapshot.clone());
    }

    /// Another member bootstraps the store, with this one in it.
    pub(super) fn on_bootstrap(
        &mut self,
        from: u64,
        cluster: u64,
        incarnation: u64,
        snapshot: Snapshot,
    ) {
        // Of two members that bootstrap one store, as may happen when an operator recovers it from
        // a file, the one with the more recent state goes on.
        let bootstraps = self.rejoin.status() == Status::Bootstrapping;
        let (own, other) = (self.last().recency(), snapshot.position.recency());
        let gives_way = self.never_voted
            && if bootstraps {
                other > own
            } else {
                other >= own
            };
        let message = if self.never_voted && self.cluster == cluster {
            Message::BootstrapAccepted
        } else if (gives_way || self.rejoin.status() == Status::Empty)
            && snapshot.members == self.members
        {
            self.cluster = cluster;
            self.rejoin.mark_active();
            self.start_log(&snapshot);
            Message::BootstrapAccepted
        } else if !self.is_active() {
            // It may have voted in a store that it does not remember, or that no longer exists.
            return;
        } else {
            Message::AlreadyBootstrapped { incarnation }
        };
        if message == Message::BootstrapAccepted {
            self.rejoin.mark_active();
            self.status_request_at = None;
        }
        self.send(from, message);
    }

    /// A member has accepted the store that this one bootstraps.
    pub(super) fn on_bootstrap_accepted(&mut self, from: u64) {
        if self.rejoin.status() == Status::Bootstrapping && self.accepted.insert(from) {
            let all = self.accepted.len() + 1 >= self.members.len();
            if all {
                self.finish_bootstrap();
            }
        }
    }

    /// A store exists already, so this member does not go on with its bootstrap.
    pub(super) fn on_already_bootstrapped(&mut self, incarnation: u64, now: Time) {
        if self.rejoin.on_already_bootstrapped(incarnation) {
            self.mark_lost();
            self.send_status(now);
        }
    }

    /// The store exists: this member starts an election, and never bootstraps it again.
    fn finish_bootstrap(&mut self) {
        self.persist(Record::Bootstrapping(false));
        self.rejoin.mark_active();
        (self.never_voted, self.status_request_at) = (false, None);
        self.accepted.clear();
        self.node.handle_election_timeout();
    }

    /// Sends the committed state to a member that has lost its file, if it reaches far enough.
    pub(super) fn send_restore_snapshot(
        &mut self,
        to: u64,
        incarnation: u64,
        term: u64,
        last: Position,
    ) {
        let may_answer =
            self.is_active() && self.is_leader() && self.node.current_term().get() >= term;
        let snapshot = self
            .snapshot()
            .filter(|snapshot| may_answer && snapshot.position.recency() >= last.recency());
        if let Some(snapshot) = snapshot {
            let message = Message::InstallSnapshot {
                snapshot,
                restores: incarnation,
            };
            self.send(to, message);
        }
    }

    /// Installs a leader's committed state in place of what this member has lost, and makes the
    /// member active again.
    ///
    /// Invariant: only a snapshot at or beyond the catch-up bar is installed. Below it, this member
    /// could vote for a candidate that lacks an entry which an earlier generation of this member
    /// had acknowledged and which was committed by that.
    pub(super) fn install_restore_snapshot(
        &mut self,
        from: u64,
        term: u64,
        incarnation: u64,
        snapshot: Snapshot,
    ) {
        let lost = self.rejoin.status() == Status::Lost && incarnation == self.rejoin.incarnation();
        let reaches_bar = self.catch_up_bar.is_some_and(|bar| {
            term >= bar.term && snapshot.position.recency() >= bar.last.recency()
        });
        if !lost || !reaches_bar {
            return;
        }
        let log = Log::new(snapshot.config(), empty_log(snapshot.position));
        // The vote goes to the leader of this term: a vote of an earlier generation for another
        // candidate can have had no effect, as that candidate does not lead.
        self.node = Node::restart(self.node.id(), term.into(), Some(NodeId::new(from)), log);
        (self.catch_up_bar, self.status_request_at) = (None, None);
        self.never_voted = false;
        self.rejoin.mark_active();
        self.adopt_snapshot(snapshot);
    }
}
