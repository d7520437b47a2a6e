//! The rule by which a member without its past counts again, model-checked: every order in which
//! messages may come, be lost, late or doubled, every election, and every moment at which a file
//! may be lost, within bounds on terms, entries and losses. The rule is abstracted from
//! `store/src/rejoin.rs`; that the code keeps to it is the simulation's part.
//!
//! `REJOIN_MODEL=full cargo test --release -p bitternsill-store --test rejoin_model -- --nocapture`
//! checks the larger bounds.

use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// Which part of the rule is left out, to see that the check finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Rule {
    Whole,
    /// A member without its past votes at once.
    VotesAtOnce,
    /// It counts again with whatever some leader has committed.
    NoBar,
    /// What its earlier lives sent is counted on.
    LivesForgotten,
}

type Log = Vec<u8>;
type Rank = (u8, u8);

fn rank(log: &Log) -> Rank {
    (log.last().copied().unwrap_or(0), log.len() as u8)
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Role {
    Follower,
    Candidate(BTreeSet<u8>),
    Leader(BTreeMap<u8, u8>),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Standing {
    Sound,
    Lost,
    /// It has taken its generation, and this is what others answered: their terms and the ends of
    /// their logs.
    Claimed(BTreeMap<u8, (u8, Rank)>),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Member {
    term: u8,
    vote: Option<u8>,
    log: Log,
    role: Role,
    standing: Standing,
    generation: u8,
    known: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask {
        from: u8,
        term: u8,
        last: Rank,
    },
    Vote {
        from: u8,
        to: u8,
        term: u8,
        generation: u8,
        known: Vec<u8>,
    },
    Append {
        from: u8,
        term: u8,
        log: Log,
    },
    Ack {
        from: u8,
        to: u8,
        term: u8,
        length: u8,
        generation: u8,
        known: Vec<u8>,
    },
    Claim {
        from: u8,
        generation: u8,
    },
    Told {
        from: u8,
        to: u8,
        generation: u8,
        term: u8,
        last: Rank,
    },
    Committed {
        from: u8,
        term: u8,
        log: Log,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    members: Vec<Member>,
    /// Whatever was ever sent: it may come at any time, any number of times, or never.
    sent: BTreeSet<Message>,
    losses: u8,
    /// What was ever committed, and who led in each term; a second history of either is the
    /// violation.
    committed: Log,
    leaders: BTreeMap<u8, u8>,
    broken: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    Stand(u8),
    Propose(u8),
    Lose(u8),
    Claim(u8, BTreeSet<u8>),
    Take(u8, Message),
}

#[derive(Debug, Clone)]
struct Bounds {
    rule: Rule,
    start: State,
    terms: u8,
    entries: usize,
    losses: u8,
    /// So many of the members, from the first on, may lose their files.
    losers: u8,
}

impl Bounds {
    fn more_than_half(&self) -> usize {
        self.start.members.len() / 2 + 1
    }

    fn has_past(standing: &Standing) -> bool {
        *standing == Standing::Sound
    }
}

impl Member {
    fn fresh(members: usize) -> Member {
        Member {
            term: 0,
            vote: None,
            log: Vec::new(),
            role: Role::Follower,
            standing: Standing::Sound,
            generation: 0,
            known: vec![0; members],
        }
    }

    fn rise(&mut self, term: u8) {
        if term > self.term {
            (self.term, self.vote, self.role) = (term, None, Role::Follower);
        }
    }

    /// Whether a message of this generation of another counts; takes what comes with it.
    fn hears(&mut self, rule: Rule, from: u8, generation: u8, known: &[u8]) -> bool {
        if rule == Rule::LivesForgotten {
            return true;
        }
        if generation < self.known[from as usize] {
            return false;
        }
        let mut news = generation > self.known[from as usize];
        self.known[from as usize] = generation;
        for (own, told) in self.known.iter_mut().zip(known) {
            news |= *told > *own;
            *own = (*own).max(*told);
        }
        if news {
            self.role = Role::Follower;
        }
        true
    }
}

impl State {
    fn begin(members: usize) -> State {
        State {
            members: vec![Member::fresh(members); members],
            sent: BTreeSet::new(),
            losses: 0,
            committed: Vec::new(),
            leaders: BTreeMap::new(),
            broken: false,
        }
    }

    fn commit(&mut self, log: &[u8]) {
        let (short, long) = if log.len() < self.committed.len() {
            (log, &self.committed[..])
        } else {
            (&self.committed[..], log)
        };
        self.broken |= !long.starts_with(short);
        if log.len() > self.committed.len() {
            self.committed = log.to_vec();
        }
    }

    fn take(&mut self, bounds: &Bounds, to: u8, message: &Message) {
        let mut me = self.members[to as usize].clone();
        let sound = Bounds::has_past(&me.standing);
        match message {
            Message::Ask { from, term, last } if sound => {
                me.rise(*term);
                let free = me.vote.is_none_or(|vote| vote == *from);
                if *term == me.term && free && *last >= rank(&me.log) && me.role == Role::Follower {
                    me.vote = Some(*from);
                    let (generation, known) = (me.generation, me.known.clone());
                    self.sent.insert(Message::Vote {
                        from: to,
                        to: *from,
                        term: me.term,
                        generation,
                        known,
                    });
                }
            }
            Message::Vote {
                from,
                to: _,
                term,
                generation,
                known,
            } if sound => {
                if me.hears(bounds.rule, *from, *generation, known)
                    && *term == me.term
                    && let Role::Candidate(votes) = &mut me.role
                {
                    votes.insert(*from);
                    if votes.len() >= bounds.more_than_half() {
                        self.broken |= self
                            .leaders
                            .insert(me.term, to)
                            .is_some_and(|other| other != to);
                        me.role = Role::Leader(BTreeMap::new());
                        me.log.push(me.term);
                        self.sent.insert(Message::Append {
                            from: to,
                            term: me.term,
                            log: me.log.clone(),
                        });
                    }
                }
            }
            Message::Append { from, term, log } if sound && *term >= me.term => {
                me.rise(*term);
                me.role = Role::Follower;
                if !me.log.starts_with(log) {
                    me.log = log.clone();
                }
                let (length, generation, known) =
                    (log.len() as u8, me.generation, me.known.clone());
                self.sent.insert(Message::Ack {
                    from: to,
                    to: *from,
                    term: *term,
                    length,
                    generation,
                    known,
                });
            }
            Message::Ack {
                from,
                to: _,
                term,
                length,
                generation,
                known,
            } if sound => {
                if me.hears(bounds.rule, *from, *generation, known)
                    && *term == me.term
                    && let Role::Leader(acks) = &mut me.role
                {
                    let ack = acks.entry(*from).or_insert(0);
                    *ack = (*ack).max(*length);
                    let acked =
                        |n: usize| acks.values().filter(|ack| **ack as usize >= n).count() + 1;
                    let most = (1..=me.log.len())
                        .rev()
                        .find(|n| acked(*n) >= bounds.more_than_half());
                    if let Some(most) = most.filter(|n| me.log[n - 1] == me.term) {
                        let log = me.log[..most].to_vec();
                        self.commit(&log);
                        self.sent.insert(Message::Committed {
                            from: to,
                            term: me.term,
                            log,
                        });
                    }
                }
            }
            Message::Claim { from, generation }
                if sound && *generation >= me.known[*from as usize] =>
            {
                if *generation > me.known[*from as usize] {
                    me.known[*from as usize] = *generation;
                    if bounds.rule != Rule::LivesForgotten {
                        me.role = Role::Follower;
                    }
                }
                let (generation, term, last) = (*generation, me.term, rank(&me.log));
                self.sent.insert(Message::Told {
                    from: to,
                    to: *from,
                    generation,
                    term,
                    last,
                });
            }
            Message::Told {
                from,
                to: _,
                generation,
                term,
                last,
            } if *generation == me.generation => {
                if let Standing::Claimed(told) = &mut me.standing {
                    told.entry(*from).or_insert((*term, *last));
                }
            }
            Message::Committed { from, term, log } => {
                let bar = match &me.standing {
                    Standing::Claimed(told) if told.len() >= bounds.more_than_half() => {
                        let terms = told.values().map(|told| told.0).max();
                        terms.zip(told.values().map(|told| told.1).max())
                    }
                    _ => None,
                };
                let enough = |(least, last): (u8, Rank)| *term >= least && rank(log) >= last;
                if bar.is_some_and(|bar| enough(bar) || bounds.rule == Rule::NoBar) {
                    (me.term, me.vote, me.log) = (*term, Some(*from), log.clone());
                    me.standing = Standing::Sound;
                }
            }
            _ => {}
        }
        self.members[to as usize] = me;
    }
}

impl Model for Bounds {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        vec![self.start.clone()]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Act>) {
        let count = state.members.len();
        let impaired = state
            .members
            .iter()
            .filter(|m| !Self::has_past(&m.standing))
            .count();
        for (at, member) in (0..).zip(&state.members) {
            match &member.standing {
                Standing::Sound => {
                    if member.term < self.terms && !matches!(member.role, Role::Leader(_)) {
                        acts.push(Act::Stand(at));
                    }
                    if matches!(member.role, Role::Leader(_)) && member.log.len() < self.entries {
                        acts.push(Act::Propose(at));
                    }
                    if at < self.losers
                        && state.losses < self.losses
                        && impaired < count - self.more_than_half()
                    {
                        acts.push(Act::Lose(at));
                    }
                }
                Standing::Lost => {
                    // Any m sound others may be those that were asked.
                    let others: Vec<u8> = (0..count as u8)
                        .filter(|other| Self::has_past(&state.members[*other as usize].standing))
                        .collect();
                    for chosen in 0u32..1 << others.len() {
                        if chosen.count_ones() as usize == self.more_than_half() {
                            let is_in = |n: &usize| chosen >> n & 1 == 1;
                            let set = (0..others.len()).filter(is_in).map(|n| others[n]).collect();
                            acts.push(Act::Claim(at, set));
                        }
                    }
                }
                Standing::Claimed(_) => {}
            }
        }
        for message in &state.sent {
            let all = |from: &u8| (0..count as u8).filter(|to| to != from).collect::<Vec<_>>();
            let to = match message {
                Message::Ask { from, .. }
                | Message::Append { from, .. }
                | Message::Claim { from, .. }
                | Message::Committed { from, .. } => all(from),
                Message::Vote { to, .. } | Message::Ack { to, .. } | Message::Told { to, .. } => {
                    vec![*to]
                }
            };
            acts.extend(to.into_iter().map(|to| Act::Take(to, message.clone())));
        }
    }

    fn next_state(&self, state: &State, act: Act) -> Option<State> {
        let mut next = state.clone();
        match act {
            Act::Stand(at) => {
                let me = &mut next.members[at as usize];
                (me.term, me.vote) = (me.term + 1, Some(at));
                me.role = Role::Candidate(BTreeSet::from([at]));
                let (term, last) = (me.term, rank(&me.log));
                next.sent.insert(Message::Ask {
                    from: at,
                    term,
                    last,
                });
            }
            Act::Propose(at) => {
                let me = &mut next.members[at as usize];
                me.log.push(me.term);
                let (term, log) = (me.term, me.log.clone());
                next.sent.insert(Message::Append {
                    from: at,
                    term,
                    log,
                });
            }
            Act::Lose(at) => {
                next.losses += 1;
                let standing = if self.rule == Rule::VotesAtOnce {
                    Standing::Sound
                } else {
                    Standing::Lost
                };
                next.members[at as usize] = Member {
                    standing,
                    ..Member::fresh(state.members.len())
                };
            }
            Act::Claim(at, asked) => {
                let known = asked
                    .iter()
                    .map(|other| state.members[*other as usize].known[at as usize])
                    .max();
                let me = &mut next.members[at as usize];
                me.generation = known.unwrap_or(0) + 1;
                me.standing = Standing::Claimed(BTreeMap::new());
                let generation = me.generation;
                next.sent.insert(Message::Claim {
                    from: at,
                    generation,
                });
            }
            Act::Take(to, message) => next.take(self, to, &message),
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "one leader a term, and nothing committed is lost",
                |_, state: &State| !state.broken,
            ),
            Property::sometimes(
                "a member that had lost its past counts again",
                |_, state: &State| {
                    let again = |m: &Member| m.generation > 0 && m.standing == Standing::Sound;
                    state.members.iter().any(again) && !state.committed.is_empty()
                },
            ),
        ]
    }
}

/// Three members from the begin; any of them may lose its file.
fn three(rule: Rule, terms: u8, entries: usize, losses: u8) -> Bounds {
    Bounds {
        rule,
        start: State::begin(3),
        terms,
        entries,
        losses,
        losers: 3,
    }
}

/// Three members, the second of which leads in the first term with the vote of the first; the third
/// has heard of nothing. The first may lose its file.
fn led(rule: Rule) -> Bounds {
    let mut start = State::begin(3);
    for at in [0, 1] {
        let me = &mut start.members[at];
        (me.term, me.vote, me.log) = (1, Some(1), vec![1]);
    }
    start.members[1].role = Role::Leader(BTreeMap::new());
    start.leaders = BTreeMap::from([(1, 1)]);
    start.sent.insert(Message::Append {
        from: 1,
        term: 1,
        log: vec![1],
    });
    let (generation, known) = (0, vec![0; 3]);
    start.sent.insert(Message::Ack {
        from: 0,
        to: 1,
        term: 1,
        length: 1,
        generation,
        known,
    });
    Bounds {
        rule,
        start,
        terms: 2,
        entries: 1,
        losses: 1,
        losers: 1,
    }
}

/// Five members, the third of which leads in the first term and has committed an entry with the
/// fourth and fifth; the first has given the second its vote for the second term, which is on its
/// way.
fn five(rule: Rule) -> Bounds {
    let mut start = State::begin(5);
    for at in [2, 3, 4] {
        let me = &mut start.members[at];
        (me.term, me.vote, me.log) = (1, Some(2), vec![1]);
    }
    start.members[2].role = Role::Leader(BTreeMap::from([(3, 1), (4, 1)]));
    (start.committed, start.leaders) = (vec![1], BTreeMap::from([(1, 2)]));
    start.sent.insert(Message::Committed {
        from: 2,
        term: 1,
        log: vec![1],
    });
    for at in [0, 1] {
        let me = &mut start.members[at];
        (me.term, me.vote, me.log) = (2, Some(1), vec![1]);
    }
    start.members[1].role = Role::Candidate(BTreeSet::from([1]));
    start.sent.insert(Message::Ask {
        from: 1,
        term: 2,
        last: (1, 1),
    });
    let (generation, known) = (0, vec![0; 5]);
    start.sent.insert(Message::Vote {
        from: 0,
        to: 1,
        term: 2,
        generation,
        known,
    });
    // Only the first may lose its file; the bound on losses sees to that with the standing below.
    start.members[0] = Member {
        standing: Standing::Lost,
        ..Member::fresh(5)
    };
    Bounds {
        rule,
        start,
        terms: 2,
        entries: 1,
        losses: 0,
        losers: 0,
    }
}

fn check(name: &str, bounds: Bounds) -> bool {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let rule = bounds.rule;
    let checker = bounds.checker().threads(threads).spawn_bfs().join();
    let broken = checker
        .discovery("one leader a term, and nothing committed is lost")
        .is_some();
    let (unique, depth) = (checker.unique_state_count(), checker.max_depth());
    println!(
        "{name}, {rule:?}: {unique} states, depth {depth}, {}",
        if broken { "broken" } else { "kept" }
    );
    if rule == Rule::Whole {
        assert!(
            checker
                .discovery("a member that had lost its past counts again")
                .is_some(),
            "{name}: nothing was checked"
        );
    }
    !broken
}

#[test]
fn a_member_without_its_past_breaks_nothing_and_without_a_part_of_the_rule_it_does() {
    assert!(check("three members, led", led(Rule::Whole)));
    assert!(!check("three members, led", led(Rule::VotesAtOnce)));
    assert!(!check("three members, led", led(Rule::NoBar)));
    if std::env::var("REJOIN_MODEL").is_ok_and(|which| which == "full") {
        // With three members whoever stands for election is among those that answered; with five it
        // need not be.
        assert!(!check("five members", five(Rule::LivesForgotten)));
        assert!(check(
            "three members from the begin",
            three(Rule::Whole, 2, 1, 1)
        ));
    }
}
