//! The rule by which a member may vote again after a restart, with or without its file.
//!
//! Raft assumes that a member never loses its term, vote and log. A member that has lost them must
//! not vote: it could vote twice in one term, or for a candidate that lacks an entry which it had
//! acknowledged. The rule follows the recovery protocol of Viewstamped Replication Revisited
//! (Liskov and Cowling, 2012, section 4.3). With `m` for a majority of all members:
//!
//! - A member with an intact file asks the others whether they know of a newer one, as the file may
//!   be an older copy. The member becomes active after `m - 1` responses from members that have a
//!   file too, none of which knows of a newer one. With an even number of members, `m - 2` others
//!   remain, too few to have committed anything together with a newer file. With an odd number,
//!   `m - 1` others remain, which would have been enough: a newer file that only they know of goes
//!   undetected.
//! - A member that has lost its file claims a new *generation*, above any that `m` active members
//!   know, and `m` active members record it. From then on they ignore messages of its earlier
//!   generations, as does every member that hears from them.
//! - The responses of these members carry their term and the end of their log. Each election or
//!   commit in which an earlier generation took part also involved one of these members. If that
//!   member took part before its response, the response covers the election or commit. If it took
//!   part afterwards, its vote or acknowledgement carries the new generation, which invalidates the
//!   vote or acknowledgement of the earlier generation.
//! - The member therefore becomes active once it has installed the committed state of a leader of
//!   at least the highest of these terms, up to at least the most recent of these log ends: the
//!   catch-up target.
//! - A store is bootstrapped only when every member is up and has never belonged to a store.
//!
//! Waits cannot be circular, as members answer status requests in any status. The rule is
//! model-checked in `tests/rejoin_model.rs`; the simulations test the code.

use crate::log::Position;
use std::collections::BTreeMap;
use std::fmt;

/// Status of a member. Only active members vote and count towards a majority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The member's file has never belonged to a store.
    Empty,
    /// The member bootstraps the store, and waits until every other member has accepted.
    Bootstrapping,
    /// The file is intact, but others have not yet confirmed that they know of no newer one.
    Unverified,
    /// The file is lost or outdated, and the member has to catch up first.
    Lost,
    /// The member votes and counts towards a majority.
    Active,
}

impl Status {
    /// The status in answers to operators and in the output of their commands.
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Empty => "empty",
            Status::Bootstrapping => "founding",
            Status::Unverified => "unjudged",
            Status::Lost => "lost",
            Status::Active => "sound",
        }
    }

    /// The status in log lines, which operator documentation quotes.
    pub fn log_label(self) -> &'static str {
        match self {
            Status::Empty => "Empty",
            Status::Bootstrapping => "Founding",
            Status::Unverified => "Unjudged",
            Status::Lost => "Lost",
            Status::Active => "Sound",
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The state that a newly started member reports when it queries the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusRequest {
    /// Random id of this incarnation of the member: responses to an earlier one are ignored.
    pub incarnation: u64,
    /// State of the member's file.
    pub file_state: FileState,
    /// The member's generation: the number of times that its file was lost.
    pub generation: u64,
    /// Number of starts of the member.
    pub starts: u64,
    /// Position of the member's last entry.
    pub last: Position,
}

/// State of the file of a member that sends a status request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileState {
    /// No usable file, and no generation claimed yet.
    Missing,
    /// No usable file; the request claims its generation.
    Claimed,
    /// Complete, as far as the member knows.
    Intact,
}

/// The response to a [`StatusRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusResponse {
    /// The incarnation that sent the request.
    pub incarnation: u64,
    /// Status of the responder.
    pub status: PeerStatus,
    /// Generation of the requester, as the responder knows it.
    pub generation: u64,
    /// Whether the responder knows of a newer file of the requester, or of another incarnation that
    /// has claimed the generation.
    pub superseded: bool,
    /// Position of the responder's last entry.
    pub last: Position,
}

/// Status of a responder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// The responder's file has never belonged to a store.
    Empty,
    /// The responder belongs to a store in which, as far as it knows, nobody has voted yet.
    Joined,
    /// The responder has a file, but has not verified that no newer one existed.
    Unverified,
    /// The responder has lost its file.
    Lost,
    /// The responder votes and counts towards a majority.
    Active,
}

/// This member's knowledge of another one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Peer {
    /// Highest known generation.
    pub generation: u64,
    /// Highest known start in that generation.
    pub starts: u64,
    /// The incarnation that reported these; 0 if a third member did.
    pub incarnation: u64,
    /// Highest known term and most up-to-date log end in that generation. Not persisted.
    progress: (u64, Position),
    /// Latest start in which the member reported its progress.
    progress_start: u64,
}

impl Peer {
    /// The persisted part of the knowledge of another member.
    pub fn known(generation: u64, starts: u64, incarnation: u64) -> Peer {
        Peer {
            generation,
            starts,
            incarnation,
            ..Peer::default()
        }
    }

    /// Whether the requester's file is known to be outdated, or its generation to be claimed by
    /// another incarnation.
    fn supersedes(&self, request: &StatusRequest, term: u64) -> bool {
        // The incarnation is unknown if a third member has reported the generation.
        let other_incarnation = ![0, request.incarnation].contains(&self.incarnation);
        match request.file_state {
            FileState::Missing => false,
            FileState::Claimed => {
                let claimed = request.generation == self.generation && other_incarnation;
                request.generation < self.generation || claimed
            }
            FileState::Intact => {
                // Messages that this start sent as an active member may overtake its request.
                let earlier_start = self.progress_start < request.starts;
                let (known_term, known_last) = self.progress;
                let behind = earlier_start
                    && (term < known_term || request.last.recency() < known_last.recency());
                let (known, stated) = (
                    (self.generation, self.starts),
                    (request.generation, request.starts),
                );
                stated < known || stated == known && other_incarnation || behind
            }
        }
    }

    /// Records the state that a member reports of itself; true if it is new.
    fn record(&mut self, request: &StatusRequest) -> bool {
        let known = (self.generation, self.starts, self.incarnation);
        let stated = (request.generation, request.starts, request.incarnation);
        if stated == known {
            return false;
        }
        if request.generation > self.generation {
            *self = Peer::default();
        }
        (self.generation, self.starts, self.incarnation) = stated;
        true
    }
}

/// Result of handling a status response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing yet: more responses are needed.
    Pending,
    /// The member is active.
    Active,
    /// No member belongs to a store: this one bootstraps it.
    Bootstrap,
    /// The member's file is outdated.
    Lost,
    /// The member claims this generation.
    ClaimGeneration(u64),
    /// The member may become active from the committed state of a leader.
    CatchUp {
        /// Lowest term of that leader.
        term: u64,
        /// Position that the state has to reach.
        last: Position,
    },
}

/// A response with the store and term of its sender.
#[derive(Debug, Clone, Copy)]
struct Received {
    /// Id of the sender's store; 0 if it has none.
    store: u64,
    term: u64,
    response: StatusResponse,
}

/// A member's knowledge of its own status and of the other members.
#[derive(Debug, Clone)]
pub struct Rejoin {
    status: Status,
    members: usize,
    bootstraps: bool,
    incarnation: u64,
    generation: u64,
    /// Whether this incarnation has claimed the generation, after the loss of its file.
    claimed: bool,
    /// The latest response of each member.
    responses: BTreeMap<u64, Received>,
    peers: BTreeMap<u64, Peer>,
}

impl Rejoin {
    /// A newly started member in a store of this many members.
    pub fn new(
        status: Status,
        members: usize,
        bootstraps: bool,
        incarnation: u64,
        generation: u64,
        peers: BTreeMap<u64, Peer>,
    ) -> Rejoin {
        let mut rejoin = Rejoin {
            status,
            members,
            bootstraps,
            incarnation,
            generation,
            claimed: false,
            responses: BTreeMap::new(),
            peers,
        };
        if members == 1 && status == Status::Unverified {
            rejoin.status = Status::Active;
        }
        rejoin
    }

    /// This member's status.
    pub fn status(&self) -> Status {
        self.status
    }

    /// This member's generation: the number of times that its file was lost.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Random id of this incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Knowledge of the other members.
    pub fn peers(&self) -> &BTreeMap<u64, Peer> {
        &self.peers
    }

    fn majority(&self) -> usize {
        self.members / 2 + 1
    }

    /// The status request to send; `None` if the status needs no confirmation by others.
    pub fn status_request(&self, starts: u64, last: Position) -> Option<StatusRequest> {
        let file_state = match self.status {
            Status::Active | Status::Bootstrapping => return None,
            Status::Empty => FileState::Missing,
            Status::Lost if !self.claimed => FileState::Missing,
            Status::Lost => FileState::Claimed,
            Status::Unverified => FileState::Intact,
        };
        Some(StatusRequest {
            incarnation: self.incarnation,
            file_state,
            generation: self.generation,
            starts,
            last,
        })
    }

    /// Responds to a status request; `voted` is whether anyone may have voted in this member's
    /// store. Returns the response, and whether the requester's entry in [`Rejoin::peers`] has to
    /// be persisted before the response is sent: the requester relies on this member to remember
    /// it.
    pub fn respond(
        &mut self,
        from: u64,
        request: &StatusRequest,
        term: u64,
        voted: bool,
        last: Position,
    ) -> (StatusResponse, bool) {
        let status = self.own_peer_status(voted);
        let peer = self.peers.entry(from).or_default();
        let superseded = peer.supersedes(request, term);
        // Only a member with a file can remember the requester. Before anyone has voted there is no
        // vote or acknowledgement to lose.
        let remembers = voted
            && matches!(status, PeerStatus::Unverified | PeerStatus::Active)
            && request.file_state != FileState::Missing
            && !superseded;
        let must_persist = remembers && peer.record(request);
        let response = StatusResponse {
            incarnation: request.incarnation,
            status,
            generation: peer.generation,
            superseded,
            last,
        };
        (response, must_persist)
    }

    fn own_peer_status(&self, voted: bool) -> PeerStatus {
        match self.status {
            Status::Lost => PeerStatus::Lost,
            Status::Empty => PeerStatus::Empty,
            // Keeps other members from bootstrapping a second store.
            Status::Bootstrapping => PeerStatus::Unverified,
            _ if !voted => PeerStatus::Joined,
            Status::Unverified => PeerStatus::Unverified,
            Status::Active => PeerStatus::Active,
        }
    }

    /// Records the term and log end that a member has sent in one of its starts. Any newer file of
    /// that member reaches at least as far.
    pub fn observe_progress(&mut self, from: u64, starts: u64, term: u64, last: Option<Position>) {
        let peer = self.peers.entry(from).or_default();
        peer.progress_start = peer.progress_start.max(starts);
        let (known_term, known_last) = &mut peer.progress;
        *known_term = (*known_term).max(term);
        if let Some(last) = last.filter(|last| last.recency() > known_last.recency()) {
            *known_last = last;
        }
    }

    /// Whether a message is of an earlier generation of its sender.
    pub fn is_stale(&self, from: u64, generation: u64) -> bool {
        self.peers
            .get(&from)
            .is_some_and(|peer| generation < peer.generation)
    }

    /// Records a member's generation; true if it is new and has to be persisted.
    pub fn observe_generation(&mut self, member: u64, generation: u64) -> bool {
        let peer = self.peers.entry(member).or_default();
        let newer = generation > peer.generation;
        if newer {
            *peer = Peer {
                generation,
                ..Peer::default()
            };
        }
        newer
    }

    /// Handles a response; `store` is the id of the sender's store, 0 if it has none.
    pub fn on_response(
        &mut self,
        from: u64,
        store: u64,
        term: u64,
        response: StatusResponse,
    ) -> Verdict {
        if response.incarnation != self.incarnation {
            return Verdict::Pending;
        }
        if response.superseded && self.claimed && self.status == Status::Lost {
            // Another incarnation has claimed this generation, so a higher one is needed.
            self.claimed = false;
            self.responses.clear();
            return Verdict::Pending;
        }
        if response.superseded && matches!(self.status, Status::Unverified | Status::Active) {
            self.mark_lost();
            return Verdict::Lost;
        }
        self.responses.insert(
            from,
            Received {
                store,
                term,
                response,
            },
        );
        match self.status {
            Status::Active | Status::Bootstrapping => Verdict::Pending,
            Status::Unverified => {
                let with_file = self.count(|status| {
                    matches!(
                        status,
                        PeerStatus::Joined | PeerStatus::Unverified | PeerStatus::Active
                    )
                });
                if with_file + 1 < self.majority() {
                    return Verdict::Pending;
                }
                self.status = Status::Active;
                Verdict::Active
            }
            Status::Empty if self.no_store_exists() => {
                if !self.bootstraps {
                    return Verdict::Pending;
                }
                self.status = Status::Bootstrapping;
                Verdict::Bootstrap
            }
            Status::Empty | Status::Lost => self.catch_up(),
        }
    }

    /// Whether every other member has responded, and none belongs to a store whose members have
    /// voted.
    fn no_store_exists(&self) -> bool {
        let unvoted = self.count(|status| matches!(status, PeerStatus::Empty | PeerStatus::Joined));
        unvoted + 1 == self.members
    }

    /// Number of responders whose status passes the filter.
    fn count(&self, filter: impl Fn(PeerStatus) -> bool) -> usize {
        self.responses
            .values()
            .filter(|received| filter(received.response.status))
            .count()
    }

    /// Next step of a member without a file, given the responses of active members of one store:
    /// first the claim of a generation, then the catch-up target.
    fn catch_up(&mut self) -> Verdict {
        let store = self.majority_store();
        if store == 0 {
            return Verdict::Pending;
        }
        let claimed = self.claimed.then_some(self.generation);
        let covers = |received: &&Received| {
            claimed.is_none_or(|claimed| received.response.generation == claimed)
        };
        let active: Vec<_> = self.active(store).filter(covers).collect();
        if active.len() < self.majority() {
            return Verdict::Pending;
        }
        if claimed.is_some() {
            let term = active
                .iter()
                .map(|received| received.term)
                .max()
                .unwrap_or(0);
            let last = active
                .iter()
                .map(|received| received.response.last)
                .max_by_key(|last| last.recency());
            return Verdict::CatchUp {
                term,
                last: last.unwrap_or_default(),
            };
        }
        let known = active
            .iter()
            .map(|received| received.response.generation)
            .max()
            .unwrap_or(0);
        self.generation = self.generation.max(known) + 1;
        self.status = Status::Lost;
        self.claimed = true;
        self.responses.clear();
        Verdict::ClaimGeneration(self.generation)
    }

    /// Responses of active members of a store.
    fn active(&self, store: u64) -> impl Iterator<Item = &Received> {
        self.responses.values().filter(move |received| {
            received.store == store && received.response.status == PeerStatus::Active
        })
    }

    /// Id of the store to which most active responders belong; 0 if there is none.
    pub fn majority_store(&self) -> u64 {
        let stores = self
            .responses
            .values()
            .map(|received| received.store)
            .filter(|store| *store != 0);
        stores
            .max_by_key(|store| self.active(*store).count())
            .unwrap_or(0)
    }

    /// Handles the news that others know of a later generation of this member. True if this
    /// incarnation was active or could have become so, and is now marked as lost.
    pub fn on_replaced(&mut self) -> bool {
        let was_valid = matches!(
            self.status,
            Status::Unverified | Status::Active | Status::Bootstrapping
        );
        if was_valid {
            self.mark_lost();
        }
        was_valid
    }

    /// Handles the rejection of a bootstrap, as the store already exists. True if this incarnation
    /// was still bootstrapping.
    pub fn on_already_bootstrapped(&mut self, incarnation: u64) -> bool {
        let was_bootstrapping =
            self.status == Status::Bootstrapping && incarnation == self.incarnation;
        if was_bootstrapping {
            self.mark_lost();
        }
        was_bootstrapping
    }

    /// Marks this member's file as outdated.
    fn mark_lost(&mut self) {
        self.status = Status::Lost;
        self.claimed = false;
        self.responses.clear();
    }

    /// Discards the knowledge of peers, as this member starts in a new store.
    pub fn clear_peers(&mut self) {
        self.peers.clear();
    }

    /// Makes the member active, after it has accepted a new store or has caught up.
    pub fn mark_active(&mut self) {
        self.status = Status::Active;
        self.responses.clear();
    }

    /// The responses that the member waits for, as a sentence for operators; `None` if it is
    /// active.
    pub fn waiting_for(&self) -> Option<String> {
        let (members, majority) = (self.members, self.majority());
        let count = |status: PeerStatus| self.count(|other| other == status);
        let (active, unverified, lost) = (
            count(PeerStatus::Active),
            count(PeerStatus::Unverified),
            count(PeerStatus::Lost),
        );
        match self.status {
            Status::Active => None,
            Status::Bootstrapping => Some(format!(
                "the store starts once all {members} members have accepted it"
            )),
            Status::Unverified => Some(format!(
                "{} of {} required responses from members with a file; {lost} have lost their files",
                active + unverified,
                majority - 1
            )),
            Status::Empty => Some(format!(
                "this file has never belonged to a store; of {} other members, {} report the same and {} belong to a store",
                members - 1,
                count(PeerStatus::Empty),
                active + unverified + lost
            )),
            Status::Lost => Some(format!(
                "this member has lost its file; {active} of {majority} required responses from sound members"
            )),
        }
    }
}

#[cfg(test)]
mod tests;
