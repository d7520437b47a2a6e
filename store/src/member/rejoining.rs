//! Bootstrap of the store, and admission of newly started members: applies the rule of
//! [`crate::rejoin`] to the log, the file and the messages.

use super::{CatchUpTarget, Store};
use crate::Time;
use crate::log::{Position, Snapshot, empty_log};
use crate::message::Message;
use crate::record::Record;
use crate::rejoin::{FileState, Status, StatusRequest, Verdict};
use raftbare::{Log, Node, NodeId, Role};

impl Store {
    /// Sends the messages that this member needs answered before it is active, and schedules their
    /// retransmission.
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
        // Jitter keeps members that restart together from sending their requests together.
        let half = self.timing.election / 2;
        let wait = half + self.rng.u64(0..=half);
        self.status_request_at = (!messages.is_empty()).then_some(now + wait);
    }

    fn status_messages(&self) -> Vec<Message> {
        let incarnation = self.rejoin.incarnation();
        let mut messages = Vec::new();
        if let Some(request) = self.rejoin.status_request(self.start, self.last_position()) {
            messages.push(Message::StatusRequest(request));
        }
        if let (Status::Lost, Some(target)) = (self.rejoin.status(), self.catch_up_target) {
            messages.push(Message::SnapshotRequest {
                incarnation,
                term: target.term,
                last: target.last,
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

    /// Answers the status request of a newly started member.
    pub(super) fn answer_status_request(&mut self, from: u64, request: &StatusRequest, term: u64) {
        let known = self
            .rejoin
            .peers()
            .get(&from)
            .map_or(0, |peer| peer.generation);
        let last = self.last_position();
        let (response, must_persist) =
            self.rejoin
                .respond(from, request, term, !self.never_voted, last);
        if must_persist {
            self.persist(Record::Peer(from, self.rejoin.peers()[&from]));
        }
        if request.file_state == FileState::Claimed && response.generation > known {
            self.step_down();
        }
        self.send(from, Message::StatusResponse(response));
    }

    /// Acts on the result of a status response.
    pub(super) fn apply_verdict(&mut self, verdict: Verdict, now: Time) {
        match verdict {
            Verdict::Pending => return,
            Verdict::Active => self.status_request_at = None,
            Verdict::Bootstrap => self.bootstrap(),
            Verdict::Lost => self.mark_lost(),
            Verdict::ClaimGeneration(generation) => {
                self.cluster = self.rejoin.majority_store();
                self.catch_up_target = None;
                self.persist(Record::Cluster(self.cluster));
                self.persist(Record::Lost);
                self.persist(Record::Generation(generation));
            }
            Verdict::CatchUp { term, last } => {
                let target = CatchUpTarget { term, last };
                if self.catch_up_target.replace(target) == Some(target) {
                    return;
                }
            }
        }
        self.send_status(now);
    }

    /// Handles a generation reported for a member. Votes and acknowledgements of the member's
    /// earlier generations no longer count, so a leader or candidate, which may depend on them,
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

    /// Marks this member's file as lost or outdated.
    pub(super) fn mark_lost(&mut self) {
        self.step_down();
        if std::mem::take(&mut self.never_voted) {
            // The bootstrap of the store to which this member seemed to belong has failed.
            self.cluster = 0;
            self.persist(Record::Cluster(0));
        }
        self.catch_up_target = None;
        self.persist(Record::Lost);
    }

    /// Bootstraps the store. No member votes before all members have accepted it.
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

    /// Handles the bootstrap of a store by another member.
    pub(super) fn on_bootstrap(
        &mut self,
        from: u64,
        cluster: u64,
        incarnation: u64,
        snapshot: Snapshot,
    ) {
        // Two members may bootstrap the store at once, for example when an operator recovers it
        // from a file. The bootstrap with the more recent state prevails.
        let is_bootstrapping = self.rejoin.status() == Status::Bootstrapping;
        let (own, other) = (self.last_position().recency(), snapshot.position.recency());
        let other_prevails = self.never_voted
            && if is_bootstrapping {
                other > own
            } else {
                other >= own
            };
        let message = if self.never_voted && self.cluster == cluster {
            Message::BootstrapAccepted
        } else if (other_prevails || self.rejoin.status() == Status::Empty)
            && snapshot.members == self.members
        {
            self.cluster = cluster;
            self.rejoin.mark_active();
            self.start_log(&snapshot);
            Message::BootstrapAccepted
        } else if !self.is_active() {
            // This member may have voted in a store whose record it has lost, or that no longer
            // exists.
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

    /// Handles the acceptance of a bootstrap by a member.
    pub(super) fn on_bootstrap_accepted(&mut self, from: u64) {
        if self.rejoin.status() == Status::Bootstrapping && self.accepted.insert(from) {
            let all_accepted = self.accepted.len() + 1 >= self.members.len();
            if all_accepted {
                self.finish_bootstrap();
            }
        }
    }

    /// Abandons the bootstrap of a store, because one already exists.
    pub(super) fn on_already_bootstrapped(&mut self, incarnation: u64, now: Time) {
        if self.rejoin.on_already_bootstrapped(incarnation) {
            self.mark_lost();
            self.send_status(now);
        }
    }

    /// Completes the bootstrap: this member starts an election, and never bootstraps the store
    /// again.
    fn finish_bootstrap(&mut self) {
        self.persist(Record::Bootstrapping(false));
        self.rejoin.mark_active();
        (self.never_voted, self.status_request_at) = (false, None);
        self.accepted.clear();
        self.node.handle_election_timeout();
    }

    /// Sends the committed state to a member that has lost its file, if the state reaches `last`.
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
                requested_by: incarnation,
            };
            self.send(to, message);
        }
    }

    /// Replaces this member's lost state by a leader's committed state, and makes the member
    /// active.
    ///
    /// Invariant: only a snapshot at or beyond the catch-up target is installed. With an earlier
    /// one, this member could vote for a candidate that lacks a committed entry whose commit
    /// depended on the acknowledgement of an earlier generation of this member.
    pub(super) fn install_restore_snapshot(
        &mut self,
        from: u64,
        term: u64,
        incarnation: u64,
        snapshot: Snapshot,
    ) {
        let is_lost =
            self.rejoin.status() == Status::Lost && incarnation == self.rejoin.incarnation();
        let reaches_target = self.catch_up_target.is_some_and(|target| {
            term >= target.term && snapshot.position.recency() >= target.last.recency()
        });
        if !is_lost || !reaches_target {
            return;
        }
        let log = Log::new(snapshot.config(), empty_log(snapshot.position));
        // The vote goes to the leader of this term. An earlier generation may have voted for
        // another candidate, but without effect, as that candidate does not lead.
        self.node = Node::restart(self.node.id(), term.into(), Some(NodeId::new(from)), log);
        (self.catch_up_target, self.status_request_at) = (None, None);
        self.never_voted = false;
        self.rejoin.mark_active();
        self.adopt_snapshot(snapshot);
    }
}
