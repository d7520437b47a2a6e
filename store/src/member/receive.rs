//! Messages from other members: validation of the sender, and dispatch by message kind.

use super::{OtherStore, Store};
use crate::Time;
use crate::message::{Envelope, Message};
use crate::record::Record;
use crate::rejoin::Status;
use std::collections::BTreeMap;

/// The fields of an [`Envelope`] that describe its sender.
struct Sender {
    id: u64,
    cluster: u64,
    term: u64,
    sequence: u64,
    starts: u64,
}

impl Store {
    /// Handles a message from another member.
    ///
    /// # Errors
    ///
    /// [`OtherStore`] if the sender is a member of another store.
    pub fn receive(&mut self, envelope: Envelope, now: Time) -> Result<(), OtherStore> {
        let Envelope {
            from,
            cluster,
            term,
            sequence,
            starts,
            generation,
            generations,
            message,
        } = envelope;
        let foreign = cluster != 0 && self.cluster != 0 && cluster != self.cluster;
        if foreign && !self.accepts_from_other_store(&message) {
            return Err(OtherStore {
                from,
                theirs: cluster,
                own: self.cluster,
            });
        }
        if !foreign && self.cluster != 0 && cluster != 0 {
            self.observe_generation(from, generation);
            for (member, generation) in generations {
                self.observe_generation(member, generation);
            }
        }
        // Messages of earlier generations are ignored, as entries that those acknowledged may be
        // lost with the file. Messages that introduce a member are accepted from any generation.
        let introduces = matches!(
            message,
            Message::StatusRequest(_) | Message::Bootstrap { .. }
        );
        if introduces || !self.rejoin.is_stale(from, generation) {
            let sender = Sender {
                id: from,
                cluster,
                term,
                sequence,
                starts,
            };
            self.handle(&sender, message, now);
            self.process_actions(now);
        }
        Ok(())
    }

    /// Whether a message is accepted from a member of another store. A member that has never voted
    /// may accept the bootstrap of another store, and the bootstrapping member has to learn of a
    /// store that already exists.
    fn accepts_from_other_store(&self, message: &Message) -> bool {
        match message {
            Message::Bootstrap { .. } => self.never_voted || self.is_active(),
            Message::AlreadyBootstrapped { .. } => self.rejoin.status() == Status::Bootstrapping,
            _ => false,
        }
    }

    /// Handles messages that members accept in any status; all others are left to active members.
    fn handle(&mut self, sender: &Sender, message: Message, now: Time) {
        let from = sender.id;
        match message {
            Message::StatusRequest(request) => {
                self.answer_status_request(from, &request, sender.term);
            }
            Message::StatusResponse(response) => {
                let verdict = self
                    .rejoin
                    .on_response(from, sender.cluster, sender.term, response);
                self.apply_verdict(verdict, now);
            }
            Message::Bootstrap {
                incarnation,
                snapshot,
            } => self.on_bootstrap(from, sender.cluster, incarnation, snapshot),
            Message::BootstrapAccepted => self.on_bootstrap_accepted(from),
            Message::AlreadyBootstrapped { incarnation } => {
                self.on_already_bootstrapped(incarnation, now);
            }
            Message::SnapshotRequest {
                incarnation,
                term,
                last,
            } => self.send_restore_snapshot(from, incarnation, term, last),
            Message::InstallSnapshot {
                snapshot,
                requested_by,
            } if requested_by != 0 => {
                self.install_restore_snapshot(from, sender.term, requested_by, snapshot);
            }
            message if self.is_active() => self.handle_as_active(sender, message, now),
            _ => {}
        }
    }

    /// Handles messages that only active members accept.
    fn handle_as_active(&mut self, sender: &Sender, message: Message, now: Time) {
        let from = sender.id;
        match message {
            Message::Propose(command) => {
                if self.is_leader() && self.fits(&command) {
                    self.submit(command);
                }
            }
            Message::ReadIndex {
                number,
                incarnation,
            } => self.begin_read(from, (number, incarnation), now),
            Message::ReadIndexResponse {
                number,
                incarnation,
                index,
            } => {
                // The number may have been reused since an earlier incarnation.
                if incarnation == self.rejoin.incarnation() {
                    self.on_read_index(number, index);
                }
            }
            Message::InstallSnapshot { snapshot, .. } => self.install(snapshot),
            message => self.handle_raft(sender, message),
        }
    }

    /// Passes a message on to the Raft library.
    fn handle_raft(&mut self, sender: &Sender, mut message: Message) {
        let (from, term) = (sender.id, sender.term);
        if self.cluster == 0 && sender.cluster != 0 {
            // Files of the first format do not hold the id of the store.
            self.cluster = sender.cluster;
            self.persist(Record::Cluster(sender.cluster));
        }
        let mut last = None;
        match &mut message {
            Message::RequestVote { last } => *last = self.vote_position(*last),
            Message::AppendEntriesResponse { last: end } => last = Some(*end),
            _ => {}
        }
        self.rejoin
            .observe_progress(from, sender.starts, term, last);
        match &message {
            Message::AppendEntries { entries, .. } => {
                self.adopt_leader(from, term);
                for (position, command) in entries.commands() {
                    self.commands.insert(position, command.clone());
                }
            }
            Message::AppendEntriesResponse { .. } => {
                self.on_append_response(from, term, sender.sequence);
            }
            _ => {}
        }
        if let Some(message) = message.into_raft(from, term, sender.sequence) {
            self.node.handle_message(message);
        }
        self.propose_pending_puts();
    }

    /// Wraps a message of the current term for sending.
    pub(super) fn envelope(&self, message: Message) -> Envelope {
        let term = self.node.current_term().get();
        self.with_sender(Envelope {
            term,
            message,
            ..Envelope::default()
        })
    }

    /// Fills in this member as the sender, and the generations of others that it knows of.
    pub(super) fn with_sender(&self, envelope: Envelope) -> Envelope {
        let (from, cluster, generation) = (self.id(), self.cluster, self.rejoin.generation());
        let (starts, generations) = (self.start, self.generations());
        Envelope {
            from,
            cluster,
            starts,
            generation,
            generations,
            ..envelope
        }
    }

    /// Known generations of other members, without members that have never lost their file.
    pub fn generations(&self) -> BTreeMap<u64, u64> {
        let peers = self
            .rejoin
            .peers()
            .iter()
            .filter(|(_, peer)| peer.generation > 0);
        peers.map(|(id, peer)| (*id, peer.generation)).collect()
    }
}
