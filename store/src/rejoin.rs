//! The rule by which a member may vote again after a restart, with or without its file.
//!
//! Raft assumes that a member never loses its term, vote and log. A member that did must not vote:
//! it could vote twice in one term, or for a candidate that lacks an entry which it had
//! acknowledged. The rule (in the spirit of the recovery of Viewstamped Replication Revisited,
//! Liskov and Cowling, 2012, section 4.3), with `m` for a majority of all members:
//!
//! - A member with an intact file asks the others. One that knows of a newer file of that member
//!   says so. With `m - 1` responses of members that have a file too, and none of a newer one, it
//!   is active: fewer members could not have committed anything together with a newer file.
//! - A member that has lost its file claims a new *generation*, above any that `m` active members
//!   know, and has `m` active members record it. From then on they ignore messages of its earlier
//!   generations, as does everyone who hears from them.
//! - With their responses these members send their term and the end of their log. Whatever the
//!   earlier generations helped to elect or to commit, one of these members helped too. Either it
//!   did so before its response, which then covers it; or after it, and then its vote or
//!   acknowledgement carries the new generation, beside which the earlier one's does not count.
//! - So the member is active again once it has installed what a leader of at least the highest of
//!   these terms has committed, up to at least the furthest of these ends: the catch-up bar.
//! - A store is bootstrapped only when every member is there and has never belonged to a store.
//!
//! No wait can be circular: status requests are answered in any status. The rule is model-checked
//! in `tests/rejoin_model.rs`, and the code runs in the simulations beside that.

use crate::log::Position;
use std::collections::BTreeMap;
use std::fmt;

/// Status of a member. Only an active one votes and counts towards a majority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Its file has never belonged to a store.
    Empty,
    /// It bootstraps the store, and waits until every other member has accepted it.
    Bootstrapping,
    /// Its file is intact; it waits for others to confirm that they know of no newer one.
    Unverified,
    /// It has lost its file, or has an old one, and has to catch up first.
    Lost,
    /// It votes and counts.
    Active,
}

impl Status {
    /// The word that stands for it in the answers to operators and in their commands' output.
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Empty => "empty",
            Status::Bootstrapping => "founding",
            Status::Unverified => "unjudged",
            Status::Lost => "lost",
            Status::Active => "sound",
        }
    }

    /// The word that stands for it in log lines, which operators' pages quote.
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

/// What a member states of itself when it asks the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusRequest {
    /// Random id of this incarnation of the member: responses to an earlier one do not count.
    pub incarnation: u64,
    /// What it has of its file.
    pub past: History,
    /// Its generation: how often it has lost its file.
    pub generation: u64,
    /// How often it has started.
    pub starts: u64,
    /// Position of its last entry.
    pub last: Position,
}

/// What a member that asks has of its file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum History {
    /// Nothing; it has not claimed a generation yet.
    None,
    /// Nothing; it claims the generation in its request.
    Claimed,
    /// All of it, as far as it knows.
    Intact,
}

/// The response to a [`StatusRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusResponse {
    /// The incarnation that asked.
    pub incarnation: u64,
    /// Status of the responder.
    pub status: PeerStatus,
    /// Generation of the asker, as the responder knows it.
    pub generation: u64,
    /// Whether the responder knows of a newer file of the asker, or of another incarnation with the
    /// claimed generation.
    pub superseded: bool,
    /// Position of the responder's last entry.
    pub last: Position,
}

/// Status of a responder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// Its file has never belonged to a store.
    Empty,
    /// It belongs to a store in which, as far as it knows, nobody has voted yet.
    Joined,
    /// It has a file, and may yet learn that there was a newer one.
    Unverified,
    /// It has lost its file.
    Lost,
    /// It votes and counts.
    Active,
}

/// What this member knows of another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Peer {
    /// Its highest known generation.
    pub generation: u64,
    /// Its highest known start in that generation.
    pub starts: u64,
    /// The incarnation that stated these; 0 if they come from a third member.
    pub incarnation: u64,
    /// Its highest known term, and the most up-to-date end of its log, in that generation. Not
    /// persisted.
    reached: (u64, Position),
    /// Its latest start in which it sent them.
    progress_start: u64,
}

impl Peer {
    /// What is persisted of another member.
    pub fn known(generation: u64, starts: u64, incarnation: u64) -> Peer {
        Peer {
            generation,
            starts,
            incarnation,
            ..Peer::default()
        }
    }

    /// Whether this knowledge shows that the asker's file is not its newest, or that another
    /// incarnation has claimed its generation.
    fn supersedes(&self, request: &StatusRequest, term: u64) -> bool {
        // A generation that a third member has reported has no incarnation yet.
        let other_incarnation = ![0, request.incarnation].contains(&self.incarnation);
        match request.past {
            History::None => false,
            History::Claimed => {
                let claimed = request.generation == self.generation && other_incarnation;
                request.generation < self.generation || claimed
            }
            History::Intact => {
                // A request may arrive after messages that the same start sent as an active member.
                let earlier_start = self.progress_start < request.starts;
                let (reached_term, reached_last) = self.reached;
                let behind = earlier_start
                    && (term < reached_term || request.last.recency() < reached_last.recency());
                let (known, stated) = (
                    (self.generation, self.starts),
                    (request.generation, request.starts),
                );
                stated < known || stated == known && other_incarnation || behind
            }
        }
    }

    /// Records what a member states of itself; true if that is new.
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

/// What a response leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing yet: more responses are needed.
    Pending,
    /// The member is active.
    Active,
    /// No member belongs to a store: this one bootstraps it.
    Bootstrap,
    /// The member's file is not the newest that it had.
    Lost,
    /// The member claims this generation.
    ClaimGeneration(u64),
    /// The member may become active from the committed state of a leader.
    CatchUp {
        /// Least term of that leader.
        term: u64,
        /// Position up to which the state has to reach.
        last: Position,
    },
}

/// A response with what its envelope states of the sender.
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
    claimed: bool,
    /// The last response of each member.
    responses: BTreeMap<u64, Received>,
    peers: BTreeMap<u64, Peer>,
}

impl Rejoin {
    /// A member that has just started, in a store of this many members.
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

    /// How often this member has lost its file.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Random id of this incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// What is known of the other members.
    pub fn peers(&self) -> &BTreeMap<u64, Peer> {
        &self.peers
    }

    fn majority(&self) -> usize {
        self.members / 2 + 1
    }

    /// The request that this member has to send now, if any.
    pub fn status_request(&self, starts: u64, last: Position) -> Option<StatusRequest> {
        let past = match self.status {
            Status::Active | Status::Bootstrapping => return None,
            Status::Empty => History::None,
            Status::Lost if !self.claimed => History::None,
            Status::Lost => History::Claimed,
            Status::Unverified => History::Intact,
        };
        Some(StatusRequest {
            incarnation: self.incarnation,
            past,
            generation: self.generation,
            starts,
            last,
        })
    }

    /// Responds to a member that asks; `voted` is whether anyone can have voted in this member's
    /// store. Returns the response, and whether [`Rejoin::peers`] of the asker has to be persisted
    /// before the response is sent: the asker counts on this member to remember it.
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
        // Only a member that will remember the asker may record it. Before anyone has voted there
        // is nothing to lose.
        let remembers = voted
            && matches!(status, PeerStatus::Unverified | PeerStatus::Active)
            && request.past != History::None
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
            // Nobody may bootstrap another store beside this one.
            Status::Bootstrapping => PeerStatus::Unverified,
            _ if !voted => PeerStatus::Joined,
            Status::Unverified => PeerStatus::Unverified,
            Status::Active => PeerStatus::Active,
        }
    }

    /// Notes the term and log end that a member has sent in one of its starts. Any newer file of
    /// that member reaches at least as far.
    pub fn observe_progress(&mut self, from: u64, starts: u64, term: u64, last: Option<Position>) {
        let peer = self.peers.entry(from).or_default();
        peer.progress_start = peer.progress_start.max(starts);
        let reached = &mut peer.reached;
        reached.0 = reached.0.max(term);
        if let Some(last) = last.filter(|last| last.recency() > reached.1.recency()) {
            reached.1 = last;
        }
    }

    /// Whether a message is of an earlier generation of its sender.
    pub fn is_stale(&self, from: u64, generation: u64) -> bool {
        self.peers
            .get(&from)
            .is_some_and(|peer| generation < peer.generation)
    }

    /// Notes a member's generation; true if it is a new one, which has to be persisted.
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

    /// Handles a response from a member of a store (0 if it has none) in a term.
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
            // Another incarnation has claimed this generation: a higher one is needed.
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

    /// Whether every other member has responded, and none belongs to a store that has voted.
    fn no_store_exists(&self) -> bool {
        let without = self.count(|status| matches!(status, PeerStatus::Empty | PeerStatus::Joined));
        without + 1 == self.members
    }

    /// Number of responders with such a status.
    fn count(&self, filter: impl Fn(PeerStatus) -> bool) -> usize {
        self.responses
            .values()
            .filter(|received| filter(received.response.status))
            .count()
    }

    /// Progress of a member without a file by the responses of active members of one store: the
    /// claim of a generation first, then the catch-up bar.
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

    /// Id of the store of most active responders; 0 if there is none.
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

    /// Others know of a later generation of this member. True if this incarnation was, or could
    /// have become, active, which it no longer may.
    pub fn on_replaced(&mut self) -> bool {
        let thought = matches!(
            self.status,
            Status::Unverified | Status::Active | Status::Bootstrapping
        );
        if thought {
            self.mark_lost();
        }
        thought
    }

    /// The store that this incarnation was bootstrapping exists already. True if it still was.
    pub fn on_already_bootstrapped(&mut self, incarnation: u64) -> bool {
        let wanted = self.status == Status::Bootstrapping && incarnation == self.incarnation;
        if wanted {
            self.mark_lost();
        }
        wanted
    }

    /// This member's file is not the newest that it had.
    fn mark_lost(&mut self) {
        self.status = Status::Lost;
        self.claimed = false;
        self.responses.clear();
    }

    /// Forgets the peers: this member starts in a new store.
    pub fn clear_peers(&mut self) {
        self.peers.clear();
    }

    /// Makes the member active: it has accepted a store that starts, or has caught up.
    pub fn mark_active(&mut self) {
        self.status = Status::Active;
        self.responses.clear();
    }

    /// What the member waits for, as a sentence for operators; `None` if it is active.
    pub fn waiting_for(&self) -> Option<String> {
        let (members, half) = (self.members, self.majority());
        let of = |status: PeerStatus| self.count(|other| other == status);
        let (active, unverified, lost) = (
            of(PeerStatus::Active),
            of(PeerStatus::Unverified),
            of(PeerStatus::Lost),
        );
        match self.status {
            Status::Active => None,
            Status::Bootstrapping => Some(format!(
                "the store begins once all {members} members are part of it"
            )),
            Status::Unverified => Some(format!(
                "{} of {} other members with a file have answered; {lost} have lost theirs",
                active + unverified,
                half - 1
            )),
            Status::Empty => Some(format!(
                "this file has never held a store; of {} others {} say the same, {} are of a store",
                members - 1,
                of(PeerStatus::Empty),
                active + unverified + lost
            )),
            Status::Lost => Some(format!(
                "what this member had promised is lost; {active} of the {half} sound members that it needs have answered"
            )),
        }
    }
}

#[cfg(test)]
mod tests;
