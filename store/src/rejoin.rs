//! What a member's promises are worth after a start, told by what others know of it.
//!
//! A member that has lost what it promised must not vote: it could vote twice in one term, or for a
//! candidate that lacks what this member had acknowledged. The rule, with `m` for more than half of
//! all members:
//!
//! - A member with a whole file asks the others. One that knows of a newer file of its says so;
//!   with `m - 1` answers from members that have a file too, and none of those, it is sound. Fewer
//!   could not commit anything together with it.
//! - A member that has lost its file takes a new *generation*, higher than any that `m` sound
//!   members know, and has `m` sound members note it. From then on they take nothing from its
//!   earlier lives, nor does anyone who hears from them.
//! - Each of them tells its term and the end of its log with that. Whatever the earlier lives
//!   helped to elect or to commit, one of these members helped too: either before it answered, and
//!   then its answer covers it, or afterwards, and then the vote or acknowledgement carries the
//!   generation, and the earlier life's is not counted beside it.
//! - So the member counts again once it has installed what a leader of no lower a term has
//!   committed, up to no less than the furthest of these ends.
//! - A store begins only when every member is there and says that its file has never held one.
//!
//! Nothing here waits on a member that may wait on this one: answers are given in any standing.

use crate::packet::Position;
use std::collections::BTreeMap;

/// What a member may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Its file has never held a store.
    Empty,
    /// It begins the store, and waits until every other member is part of that.
    Founding,
    /// Its file is whole; it waits for others to say that they know of no newer one.
    Unjudged,
    /// It has lost what it promised, and neither votes nor counts until it has caught up.
    Lost,
    /// It votes and counts.
    Sound,
}

/// What a member says of itself when it asks the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// A random number that this life of the member has, by which answers are told from those to an
    /// earlier one.
    pub life: u64,
    /// How much of its past it has.
    pub past: Past,
    /// How often it has lost its file.
    pub generation: u64,
    /// How often it has started.
    pub starts: u64,
    /// The end of its log.
    pub last: Position,
}

/// How much of its past a member that asks has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Past {
    /// None, and it knows nothing yet.
    None,
    /// None; it takes this generation.
    Claimed,
    /// All of it, as far as it knows.
    Whole,
}

/// What a member answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// The life that asked.
    pub life: u64,
    /// What the one that answers is.
    pub what: What,
    /// The asker's generation as it is known here.
    pub generation: u64,
    /// Whether a newer file, or another life of this generation, of the asker is known.
    pub newer: bool,
    /// The end of the log of the one that answers.
    pub last: Position,
}

/// What a member that answers is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    /// Its file has never held a store.
    Empty,
    /// It is part of a store in which, as far as it knows, nobody has voted yet.
    Joined,
    /// It has a file, and may yet be told that it is an old one.
    Whole,
    /// It has lost its file.
    Lost,
    /// It votes and counts.
    Sound,
}

/// What others have said of themselves, as far as this member has heard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Peer {
    /// The highest generation it is known to have taken.
    pub generation: u64,
    /// In that, the most starts.
    pub starts: u64,
    /// The life that said so.
    pub life: u64,
    /// The highest term and the furthest end of its log that it has told in that; known to this
    /// life of this member alone.
    reached: (u64, Position),
    /// The start in which it last told of those.
    told_in: u64,
}

impl Peer {
    /// What a file keeps of another member.
    pub fn known(generation: u64, starts: u64, life: u64) -> Peer {
        Peer {
            generation,
            starts,
            life,
            ..Peer::default()
        }
    }
}

/// What has come of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing yet.
    Waits,
    /// The member votes and counts.
    Sound,
    /// Every member has said that there is no store yet: this one begins it.
    Founds,
    /// The member's file is not what it last promised by.
    Lost,
    /// It takes this generation.
    Claims(u64),
    /// It may count again from the state that a leader of this term or a later one commits up to
    /// this place or a later one.
    CatchesUp(u64, Position),
}

/// Positions as they are compared between logs: by term, then by length.
pub fn rank(position: Position) -> (u64, u64) {
    (position.term, position.index)
}

/// What one member knows of its own standing and of others' lives.
#[derive(Debug, Clone)]
pub struct Rejoin {
    standing: Standing,
    members: usize,
    begins: bool,
    life: u64,
    generation: u64,
    claimed: bool,
    /// The store of which each answer was, and the term.
    answers: BTreeMap<u64, (u64, u64, Told)>,
    peers: BTreeMap<u64, Peer>,
}

impl Rejoin {
    /// A member that has just started, of so many, with what its file keeps of others.
    pub fn new(
        standing: Standing,
        members: usize,
        begins: bool,
        life: u64,
        generation: u64,
        peers: BTreeMap<u64, Peer>,
    ) -> Rejoin {
        let answers = BTreeMap::new();
        let mut rejoin = Rejoin {
            standing,
            members,
            begins,
            life,
            generation,
            claimed: false,
            answers,
            peers,
        };
        if members == 1 && standing == Standing::Unjudged {
            rejoin.standing = Standing::Sound;
        }
        rejoin
    }

    /// What this member may do.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// How often it has lost its file.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The random number of this life.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// What is known of others.
    pub fn peers(&self) -> &BTreeMap<u64, Peer> {
        &self.peers
    }

    fn more_than_half(&self) -> usize {
        self.members / 2 + 1
    }

    /// What this member asks, if it asks anything.
    pub fn ask(&self, starts: u64, last: Position) -> Option<Ask> {
        let past = match self.standing {
            Standing::Sound | Standing::Founding => return None,
            Standing::Empty => Past::None,
            Standing::Lost if !self.claimed => Past::None,
            Standing::Lost => Past::Claimed,
            Standing::Unjudged => Past::Whole,
        };
        Some(Ask {
            life: self.life,
            past,
            generation: self.generation,
            starts,
            last,
        })
    }

    /// Answers one that asks; `voted` says whether anyone can have voted in this member's store.
    /// Gives the answer, and whether what it noted of the asker has to be kept before the answer
    /// goes out.
    pub fn answer(
        &mut self,
        from: u64,
        ask: &Ask,
        term: u64,
        voted: bool,
        last: Position,
    ) -> (Told, bool) {
        let what = match self.standing {
            Standing::Lost => What::Lost,
            Standing::Empty => What::Empty,
            // Whoever would begin a store hears of one that another begins.
            Standing::Founding => What::Whole,
            _ if !voted => What::Joined,
            Standing::Unjudged => What::Whole,
            Standing::Sound => What::Sound,
        };
        let peer = self.peers.entry(from).or_default();
        let (known, told) = ((peer.generation, peer.starts), (ask.generation, ask.starts));
        let newer = match ask.past {
            Past::None => false,
            // A generation known by hearsay has no life yet.
            Past::Claimed => {
                let taken =
                    ask.generation == peer.generation && ![0, ask.life].contains(&peer.life);
                ask.generation < peer.generation || taken
            }
            Past::Whole => {
                // What a life says before it takes part may arrive after what it says then.
                let before = peer.told_in < ask.starts;
                let behind =
                    before && (term < peer.reached.0 || rank(ask.last) < rank(peer.reached.1));
                told < known || told == known && ![0, ask.life].contains(&peer.life) || behind
            }
        };
        // Only who will remember it may say that it has noted it. Before anyone has voted there is
        // nothing to lose.
        let keeps =
            voted && matches!(what, What::Whole | What::Sound) && ask.past != Past::None && !newer;
        let noted = keeps && (told, ask.life) != (known, peer.life);
        if noted {
            let past = if ask.generation > peer.generation {
                Peer::default()
            } else {
                *peer
            };
            *peer = Peer {
                generation: ask.generation,
                starts: ask.starts,
                life: ask.life,
                ..past
            };
        }
        let generation = self.peers[&from].generation;
        (
            Told {
                life: ask.life,
                what,
                generation,
                newer,
                last,
            },
            noted,
        )
    }

    /// What a member has told of its term and log in one of its starts; a later file of its says no
    /// less.
    pub fn heard(&mut self, from: u64, starts: u64, term: u64, last: Option<Position>) {
        let peer = self.peers.entry(from).or_default();
        peer.told_in = peer.told_in.max(starts);
        let reached = &mut peer.reached;
        reached.0 = reached.0.max(term);
        if let Some(last) = last.filter(|last| rank(*last) > rank(reached.1)) {
            reached.1 = last;
        }
    }

    /// Whether a packet from a member is of an earlier life, which is over.
    pub fn is_over(&self, from: u64, generation: u64) -> bool {
        self.peers
            .get(&from)
            .is_some_and(|peer| generation < peer.generation)
    }

    /// Takes what another knows of a member's generation; true where that is news, and has to be
    /// kept.
    pub fn learn(&mut self, member: u64, generation: u64) -> bool {
        let peer = self.peers.entry(member).or_default();
        let news = generation > peer.generation;
        if news {
            *peer = Peer {
                generation,
                ..Peer::default()
            };
        }
        news
    }

    /// Takes an answer, from a member of a store (0 where it knows none) in a term.
    pub fn told(&mut self, from: u64, store: u64, term: u64, told: Told) -> Verdict {
        if told.life != self.life {
            return Verdict::Waits;
        }
        if told.newer && self.claimed && self.standing == Standing::Lost {
            // Another has this generation: a higher one is looked for.
            self.claimed = false;
            self.answers.clear();
            return Verdict::Waits;
        }
        if told.newer && matches!(self.standing, Standing::Unjudged | Standing::Sound) {
            self.lose();
            return Verdict::Lost;
        }
        self.answers.insert(from, (store, term, told));
        let count = |what: &dyn Fn(&Told) -> bool| {
            self.answers
                .values()
                .filter(|answer| what(&answer.2))
                .count()
        };
        match self.standing {
            Standing::Sound | Standing::Founding => Verdict::Waits,
            Standing::Unjudged => {
                let fine =
                    count(&|told| matches!(told.what, What::Joined | What::Whole | What::Sound));
                if fine + 1 < self.more_than_half() {
                    return Verdict::Waits;
                }
                self.standing = Standing::Sound;
                Verdict::Sound
            }
            Standing::Empty
                if count(&|told| matches!(told.what, What::Empty | What::Joined)) + 1
                    == self.members =>
            {
                if !self.begins {
                    return Verdict::Waits;
                }
                self.standing = Standing::Founding;
                Verdict::Founds
            }
            Standing::Empty | Standing::Lost => self.catch_up(),
        }
    }

    /// What a member without a past does with the answers of sound ones of one store.
    fn catch_up(&mut self) -> Verdict {
        let stores = self
            .answers
            .values()
            .map(|answer| answer.0)
            .filter(|store| *store != 0);
        let Some(store) = stores.max_by_key(|store| self.sound(*store).count()) else {
            return Verdict::Waits;
        };
        let claimed = self.claimed.then_some(self.generation);
        let covers = |answer: &&(u64, u64, Told)| {
            claimed.is_none_or(|claimed| answer.2.generation == claimed)
        };
        let sound: Vec<_> = self.sound(store).filter(covers).collect();
        if sound.len() < self.more_than_half() {
            return Verdict::Waits;
        }
        if claimed.is_some() {
            let term = sound.iter().map(|answer| answer.1).max().unwrap_or(0);
            let last = sound
                .iter()
                .map(|answer| answer.2.last)
                .max_by_key(|last| rank(*last));
            return Verdict::CatchesUp(term, last.unwrap_or_default());
        }
        let known = sound
            .iter()
            .map(|answer| answer.2.generation)
            .max()
            .unwrap_or(0);
        self.generation = self.generation.max(known) + 1;
        self.standing = Standing::Lost;
        self.claimed = true;
        self.answers.clear();
        Verdict::Claims(self.generation)
    }

    fn sound(&self, store: u64) -> impl Iterator<Item = &(u64, u64, Told)> {
        self.answers
            .values()
            .filter(move |answer| answer.0 == store && answer.2.what == What::Sound)
    }

    /// The store that most answers are of.
    pub fn store(&self) -> u64 {
        let stores = self
            .answers
            .values()
            .map(|answer| answer.0)
            .filter(|store| *store != 0);
        stores
            .max_by_key(|store| self.sound(*store).count())
            .unwrap_or(0)
    }

    /// A later life of this member is known to others. True where this one had thought better of
    /// itself.
    pub fn is_replaced(&mut self) -> bool {
        let thought = matches!(
            self.standing,
            Standing::Unjudged | Standing::Sound | Standing::Founding
        );
        if thought {
            self.lose();
        }
        thought
    }

    /// The store that this life wanted to begin is there already; true where it still wanted that.
    pub fn begun(&mut self, life: u64) -> bool {
        let wanted = self.standing == Standing::Founding && life == self.life;
        if wanted {
            self.lose();
        }
        wanted
    }

    /// The member's file turned out not to be the newest.
    fn lose(&mut self) {
        self.standing = Standing::Lost;
        self.claimed = false;
        self.answers.clear();
    }

    /// The member is part of a store that begins: whatever was known of others was of none.
    pub fn begins(&mut self) {
        self.peers.clear();
    }

    /// The member is part of the store: it has been told so as it began, or has caught up.
    pub fn restored(&mut self) {
        self.standing = Standing::Sound;
        self.answers.clear();
    }

    /// What the member waits for, in words; none where it waits for nothing.
    pub fn waits_for(&self) -> Option<String> {
        let (members, half) = (self.members, self.more_than_half());
        let of = |what: What| {
            self.answers
                .values()
                .filter(|answer| answer.2.what == what)
                .count()
        };
        let (sound, whole, lost) = (of(What::Sound), of(What::Whole), of(What::Lost));
        match self.standing {
            Standing::Sound => None,
            Standing::Founding => Some(format!(
                "the store begins once all {members} members are part of it"
            )),
            Standing::Unjudged => Some(format!(
                "{} of {} other members with a file have answered; {lost} have lost theirs",
                sound + whole,
                half - 1
            )),
            Standing::Empty => Some(format!(
                "this file has never held a store; of {} others {} say the same, {} are of a store",
                members - 1,
                of(What::Empty),
                sound + whole + lost
            )),
            Standing::Lost => Some(format!(
                "what this member had promised is lost; {sound} of the {half} sound members that it needs have answered"
            )),
        }
    }
}

#[cfg(test)]
mod tests;
