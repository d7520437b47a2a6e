//! One gatherer's account of the lease on one kind of work: whether it holds it, when it may take
//! it, what it asks of the store.
//!
//! The owner counts from when it *sent* what was answered; others count from when they *saw* the
//! last change, and longer by what two clocks can run apart. Whoever takes over does so by a change
//! that holds only if nothing came since. So an owner has stopped, by its own clock, before the
//! next can begin.

use crate::keys;
use crate::kind::{Kind, Permit, Place};
use crate::{Time, Token};
use serde_json::{Value as Json, json};
use std::fmt;
use store::command::{Change, Check, Expects};

use store::state::State;

/// Renewals before an owner counts as one that took the work without harm.
const STEADY: u64 = 3;
/// Owners that died one after the other before they were steady: the work is parked.
const DEATHS: u64 = 3;
/// Leases for which one that others can do better than stays out.
const STAYS_OUT: u64 = 8;

/// Times that a deployment states; the same at every gatherer.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// How long a grant or renewal holds, on its owner's clock.
    pub lease: Time,
    /// How much any clock may run fast or slow, in parts of a thousand; under 1000.
    pub drift: u64,
    /// How much sooner than its end an owner stops: a permit is used that soon.
    pub margin: Time,
    /// Between two gatherers that would take over one after the other.
    pub step: Time,
}

impl Terms {
    /// How long anybody else waits after the last sign of an owner: the owner's clock may be slow,
    /// and this one fast.
    pub fn patience(&self) -> Time {
        let drift = self.drift.min(900);
        self.lease
            .saturating_mul(1000 + drift)
            .div_ceil(1000 - drift)
    }
}

/// What the store says of a kind's owner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Grant {
    /// Whose it is; nobody's where it was given up.
    pub owner: Option<String>,
    /// In which life; none where it was offered and not taken yet.
    pub life: Option<u64>,
    /// How many owners in a row died before they were steady.
    pub deaths: u64,
    /// Why nobody takes it.
    pub parked: Option<String>,
    /// How it came to be.
    pub why: String,
    /// Whose it was before.
    pub from: Option<String>,
}

impl Grant {
    /// The grant as JSON.
    pub fn json(&self) -> Json {
        json!({"owner": self.owner, "life": self.life, "deaths": self.deaths, "parked": self.parked, "why": self.why,
               "from": self.from})
    }

    /// A grant from its text. One that cannot be read is nobody's, and parked: somebody may be
    /// acting on it.
    pub fn read(text: &str) -> Grant {
        let read = |text: &str| -> Option<Grant> {
            let json: Json = serde_json::from_str(text).ok()?;
            let word = |key: &str| json[key].as_str().map(str::to_owned);
            Some(Grant {
                owner: word("owner"),
                life: json["life"].as_u64(),
                deaths: json["deaths"].as_u64()?,
                parked: word("parked"),
                why: word("why").unwrap_or_default(),
                from: word("from"),
            })
        };
        let spoilt = || Grant {
            parked: Some("its entry cannot be read".to_owned()),
            ..Grant::default()
        };
        read(text).unwrap_or_else(spoilt)
    }
}

/// An owner's sign of life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Alive {
    /// Under which grant.
    pub token: Token,
    /// How often it was renewed.
    pub count: u64,
    /// How often the work was found in order.
    pub good: u64,
}

impl Alive {
    fn json(self) -> Json {
        json!({"token": self.token.json(), "count": self.count, "good": self.good})
    }

    fn read(text: &str) -> Option<Alive> {
        let json: Json = serde_json::from_str(text).ok()?;
        let (count, good) = (json["count"].as_u64()?, json["good"].as_u64()?);
        Some(Alive {
            token: Token::read(&json["token"])?,
            count,
            good,
        })
    }
}

/// All that the store says of a kind, as one gatherer sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The store's era.
    pub era: u64,
    /// The grant, and the revision at which it was made.
    pub grant: Option<(u64, Grant)>,
    /// The owner's last sign of life, and its revision.
    pub alive: Option<(u64, Alive)>,
    /// Whether this gatherer may not own it.
    pub forbidden: bool,
    /// To whom an operator wants it to go, and the revision of that.
    pub wish: Option<(u64, String)>,
    /// How many others have shown that they can do what the present owner cannot.
    pub doubts: usize,
}

impl View {
    /// What a gatherer of this name sees.
    pub fn of(state: &State, kind: Kind, name: &str) -> View {
        let held = |key: &str| {
            state
                .versioned(key)
                .map(|held| (held.revision, held.value.as_str()))
        };
        let era = state.era();
        let grant = held(&keys::owner(kind)).map(|(revision, text)| (revision, Grant::read(text)));
        let token = grant.as_ref().map(|(revision, _)| Token {
            era,
            revision: *revision,
        });
        let doubts = keys::doubt(kind, "");
        let doubts = state.with_prefix(&doubts).filter(|(_, held)| {
            let of = serde_json::from_str(&held.value)
                .ok()
                .and_then(|json| Token::read(&json));
            of.is_some() && of == token
        });
        View {
            era,
            alive: held(&keys::alive(kind)).and_then(|(at, text)| Some((at, Alive::read(text)?))),
            forbidden: state.get(&keys::forbid(kind, name)).is_some(),
            wish: held(&keys::wish(kind)).map(|(at, to)| (at, to.to_owned())),
            doubts: doubts.count(),
            grant,
        }
    }

    /// The token of the grant.
    pub fn token(&self) -> Option<Token> {
        self.grant.as_ref().map(|(revision, _)| Token {
            era: self.era,
            revision: *revision,
        })
    }

    /// The owner's sign of life, where it is of the present grant.
    pub fn sign(&self) -> Option<Alive> {
        let (_, alive) = self.alive.as_ref()?;
        (Some(alive.token) == self.token()).then_some(*alive)
    }
}

/// Why an owner stops.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stop {
    /// It takes no work any more, as it drains or does not stand well enough.
    Unfit,
    /// An operator has forbidden it.
    Forbidden,
    /// An operator wants this one to have it.
    Wished(String),
    /// Others can do what it cannot.
    Doubted,
}

impl fmt::Display for Stop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Stop::Unfit => f.write_str("given up: it drains, or does not stand well"),
            Stop::Forbidden => f.write_str("given up: an operator has forbidden it"),
            Stop::Wished(_) => f.write_str("offered: an operator wants it so"),
            Stop::Doubted => f.write_str("given up: others can do what it cannot"),
        }
    }
}

/// What is asked of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Intent {
    Take,
    Park,
    Renew(Token, u64),
    End(Stop),
}

/// A change to be put to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// What has to be so.
    pub checks: Vec<Check>,
    /// What it changes.
    pub sets: Vec<Change>,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It was made, at this revision.
    Applied(u64),
    /// It was not.
    Refused,
    /// That is not known.
    Unknown,
}

/// Something for the log and the trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The work is this gatherer's, and how that came.
    Owns(Token, String),
    /// A renewal was answered that had been asked for then.
    Renewed(Token, Time),
    /// Its lease ran out before a renewal was answered.
    Lapsed(Token),
    /// It renewed in time again, and nobody had taken over.
    Resumed(Token),
    /// Another has it.
    Lost(Token),
    /// It has given it up.
    Ended(Token, Stop),
    /// Nobody takes it any more.
    Parked(String),
}

struct Held {
    token: Token,
    until: Time,
    count: u64,
    lapsed: bool,
}

/// The account of one kind at one gatherer.
pub struct Lease {
    kind: Kind,
    terms: Terms,
    name: String,
    life: u64,
    view: View,
    /// When the grant or the owner's sign of life was last seen to change, and whether that was in
    /// this life.
    seen_at: Time,
    witnessed: bool,
    looked: bool,
    held: Option<Held>,
    stopping: Option<Stop>,
    /// Whether the work has come to rest.
    quiet: bool,
    pending: Option<(Intent, Time)>,
    next_at: Time,
    /// This gatherer's place in the order in which it is tried; none where it takes nothing.
    place: Option<usize>,
    out_until: Time,
    good: u64,
    /// Words of others that are enough.
    enough: usize,
    events: Vec<Event>,
}

impl Lease {
    /// One that has just started, and holds nothing.
    pub fn new(kind: Kind, terms: Terms, name: &str, life: u64, now: Time) -> Lease {
        Lease {
            kind,
            terms,
            name: name.to_owned(),
            life,
            view: View::default(),
            seen_at: now,
            witnessed: false,
            looked: false,
            held: None,
            stopping: None,
            quiet: true,
            pending: None,
            next_at: now,
            place: None,
            out_until: now,
            good: 0,
            enough: usize::MAX,
            events: Vec::new(),
        }
    }

    /// What the store says now.
    pub fn sees(&mut self, view: View, now: Time) {
        let signs = |view: &View| {
            (
                view.grant.as_ref().map(|(at, _)| *at),
                view.alive.as_ref().map(|(at, _)| *at),
            )
        };
        if !self.looked {
            (self.looked, self.seen_at) = (true, now);
        } else if signs(&view) != signs(&self.view) {
            (self.witnessed, self.seen_at) = (true, now);
        }
        self.view = view;
        let revision = self.revision();
        if let Some(held) = self
            .held
            .take_if(|held| revision != Some(held.token.revision))
        {
            self.stopping = None;
            self.events.push(Event::Lost(held.token));
        }
        let stop = match &self.view {
            view if view.forbidden => Some(Stop::Forbidden),
            view if view.doubts >= self.enough => Some(Stop::Doubted),
            View {
                wish: Some((_, to)),
                ..
            } if *to != self.name => Some(Stop::Wished(to.clone())),
            _ => None,
        };
        self.stop(stop, now);
        self.settle(now);
    }

    /// This gatherer's place in the order, none where it is to own nothing; and how many there are.
    pub fn stands(&mut self, place: Option<usize>, of: usize, now: Time) {
        self.place = place;
        // One other's word is enough only where there is no second other.
        self.enough = of.saturating_sub(1).clamp(1, 2);
        self.stop(place.is_none().then_some(Stop::Unfit), now);
        self.settle(now);
    }

    /// The work is to be given up, where it is this gatherer's and not being given up already.
    fn stop(&mut self, stop: Option<Stop>, now: Time) {
        if self.held.is_some() && self.stopping.is_none() && stop.is_some() {
            (self.stopping, self.next_at) = (stop, now);
        }
    }

    /// The work was found in order once more.
    pub fn went_well(&mut self) {
        self.good += 1;
    }

    /// Whether the work has come to rest: nothing of it is under way. A lease that is to end waits
    /// for that.
    pub fn rests(&mut self, quiet: bool) {
        self.quiet = quiet;
    }

    /// Leave to make one effect, asked for with a clock read right before.
    pub fn permit(&self, place: Place, now: Time) -> Option<Permit> {
        Permit::new(self.kind, place, self.holds(now)?)
    }

    /// The token, while the work is this gatherer's.
    pub fn holds(&self, now: Time) -> Option<Token> {
        let held = self
            .held
            .as_ref()
            .filter(|held| self.stopping.is_none() && now < held.until);
        held.map(|held| held.token)
    }

    /// What has to be so for a change that is made on behalf of the work.
    pub fn fence(&self, permit: &Permit) -> Check {
        Check {
            key: keys::owner(self.kind),
            expects: Expects::At(permit.token().revision),
        }
    }

    /// What the store says, as last seen.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Events since this was last asked.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// When it wants to be asked for what is [`Lease::next`].
    pub fn due(&self) -> Option<Time> {
        let lapses = self
            .held
            .as_ref()
            .filter(|held| !held.lapsed)
            .map(|held| held.until);
        let wants = || {
            if self.pending.is_some() {
                return None;
            }
            let acts = self.ends().is_some() || self.is_own() && self.stopping.is_none();
            let at = if acts {
                Some(self.next_at)
            } else {
                self.take_at()
            };
            Some(at?.max(self.next_at))
        };
        [lapses, wants()].into_iter().flatten().min()
    }

    /// What is to be put to the store now, if anything; its answer is waited for before the next.
    pub fn next(&mut self, now: Time) -> Option<Ask> {
        self.settle(now);
        if self.pending.is_some() || now < self.next_at || !self.looked {
            return None;
        }
        let (intent, ask) = if let Some((revision, stop)) = self.ends() {
            self.end(revision, stop)
        } else if self.is_own() && self.stopping.is_none() {
            self.renew()
        } else if self.take_at().is_some_and(|at| at <= now) {
            self.take()
        } else {
            return None;
        };
        self.pending = Some((intent, now));
        Some(ask)
    }

    /// The answer to what was asked last. What the store says now has to have been seen before.
    pub fn answered(&mut self, answer: Answer, now: Time) {
        let Some((intent, asked)) = self.pending.take() else {
            return;
        };
        let until = asked.saturating_add(self.terms.lease.saturating_sub(self.terms.margin));
        self.next_at = now + self.terms.lease / 16;
        match (intent, answer) {
            (Intent::Take, Answer::Applied(revision)) if self.revision() == Some(revision) => {
                let token = Token {
                    era: self.view.era,
                    revision,
                };
                self.held = Some(Held {
                    token,
                    until,
                    count: 0,
                    lapsed: false,
                });
                self.next_at = asked.saturating_add(self.terms.lease / 4).max(now);
                let why = self.why();
                self.events.push(Event::Owns(token, why));
            }
            (Intent::Renew(token, count), Answer::Applied(_))
                if self.view.token() == Some(token) =>
            {
                let new = self.held.is_none();
                let held = self.held.get_or_insert(Held {
                    token,
                    until,
                    count,
                    lapsed: false,
                });
                (held.until, held.count) = (until, count);
                let resumed = std::mem::take(&mut held.lapsed);
                if new {
                    let why = "taken, as was found out later".to_owned();
                    self.events.push(Event::Owns(token, why));
                }
                self.events.push(Event::Renewed(token, asked));
                if resumed {
                    self.events.push(Event::Resumed(token));
                }
                self.next_at = asked.saturating_add(self.terms.lease / 4).max(now);
            }
            (Intent::Park, Answer::Applied(_)) => {
                self.events.push(Event::Parked(
                    "its owners died one after the other".to_owned(),
                ));
            }
            (Intent::End(stop), Answer::Applied(_)) => {
                let out = match stop {
                    Stop::Doubted => STAYS_OUT * self.terms.lease,
                    Stop::Wished(_) => 2 * self.terms.patience(),
                    Stop::Unfit | Stop::Forbidden => self.terms.lease,
                };
                self.out_until = now.saturating_add(out);
                if let Some(held) = self.held.take() {
                    self.events.push(Event::Ended(held.token, stop));
                }
                self.stopping = None;
            }
            // Something it rested on has changed: it is looked at anew.
            (Intent::End(_), Answer::Refused) => self.stopping = None,
            // What was lost is seen in the store; what is not known counts for nothing, and is
            // asked again.
            _ => {}
        }
        self.settle(now);
    }

    fn settle(&mut self, now: Time) {
        if let Some(held) = self
            .held
            .as_mut()
            .filter(|held| !held.lapsed && now >= held.until)
        {
            held.lapsed = true;
            self.events.push(Event::Lapsed(held.token));
        }
    }

    fn revision(&self) -> Option<u64> {
        self.view.grant.as_ref().map(|(at, _)| *at)
    }

    /// Whether the store says that the work is this life's.
    fn is_own(&self) -> bool {
        let own = |grant: &Grant| {
            grant.owner.as_ref() == Some(&self.name) && grant.life == Some(self.life)
        };
        self.view
            .grant
            .as_ref()
            .is_some_and(|(_, grant)| own(grant))
    }

    /// The grant that is to end now, and why.
    fn ends(&self) -> Option<(u64, Stop)> {
        let stop = self
            .stopping
            .clone()
            .filter(|_| self.quiet && self.is_own())?;
        Some((self.view.grant.as_ref()?.0, stop))
    }

    /// From when on this gatherer may take the work.
    fn take_at(&self) -> Option<Time> {
        let wished = self
            .view
            .wish
            .as_ref()
            .is_some_and(|(_, to)| *to == self.name);
        let place = if wished { 0 } else { self.place? };
        if self.view.forbidden || !self.looked || self.is_own() || self.place.is_none() {
            return None;
        }
        let turn = (place as Time).saturating_mul(self.terms.step);
        let wait = match &self.view.grant {
            None => turn,
            Some((_, grant)) if grant.parked.is_some() => return None,
            Some((_, grant)) => match (&grant.owner, grant.life) {
                (None, _) => turn,
                (Some(owner), None) if *owner == self.name => 0,
                _ => self.terms.patience().saturating_add(turn),
            },
        };
        Some(self.seen_at.saturating_add(wait).max(self.out_until))
    }

    /// What must not have changed since it was seen.
    fn unchanged(key: String, revision: Option<u64>) -> Check {
        Check {
            key,
            expects: revision.map_or(Expects::Absent, Expects::At),
        }
    }

    fn set(key: String, value: &Json) -> Change {
        Change {
            key,
            value: Some(value.to_string()),
        }
    }

    fn why(&self) -> String {
        match self.view.grant.as_ref().map(|(_, grant)| grant) {
            None => "taken: nobody ever had it".to_owned(),
            Some(Grant { owner: None, .. }) => "taken: it was given up".to_owned(),
            Some(Grant {
                owner: Some(owner),
                life: None,
                ..
            }) if *owner == self.name => "taken: it was offered".to_owned(),
            Some(_) => "taken: the one before was heard of no more".to_owned(),
        }
    }

    fn take(&self) -> (Intent, Ask) {
        let grant = self.view.grant.as_ref();
        let checks = vec![
            Self::unchanged(keys::owner(self.kind), grant.map(|(at, _)| *at)),
            Self::unchanged(
                keys::alive(self.kind),
                self.view.alive.as_ref().map(|(at, _)| *at),
            ),
            Self::unchanged(keys::forbid(self.kind, &self.name), None),
        ];
        let former = grant.map(|(_, grant)| grant);
        let from = former.and_then(|grant| grant.owner.clone().or_else(|| grant.from.clone()));
        // Whoever has just started cannot tell a deadly job from a power loss that took all.
        let died = former.is_some_and(|grant| grant.owner.is_some() && grant.life.is_some())
            && self.witnessed;
        let steady = self.view.sign().is_some_and(|alive| alive.count >= STEADY);
        let before = former.map_or(0, |grant| grant.deaths);
        let deaths = match (died, steady) {
            (true, false) => before + 1,
            (false, false) => before,
            (_, true) => 0,
        };
        let (own, own_life) = (Some(self.name.clone()), Some(self.life));
        let (intent, grant) = if deaths >= DEATHS {
            let parked = Some(format!(
                "{deaths} owners in a row died soon after they took it"
            ));
            (
                Intent::Park,
                Grant {
                    parked,
                    why: "parked".to_owned(),
                    from,
                    deaths,
                    ..Grant::default()
                },
            )
        } else {
            let why = self.why();
            (
                Intent::Take,
                Grant {
                    owner: own,
                    life: own_life,
                    deaths,
                    parked: None,
                    why,
                    from,
                },
            )
        };
        let sets = vec![Self::set(keys::owner(self.kind), &grant.json())];
        (
            intent,
            self.with_wish(self.name.clone(), Ask { checks, sets }),
        )
    }

    /// Where an operator wanted this one to have it, that has come about.
    fn with_wish(&self, to: String, mut ask: Ask) -> Ask {
        if let Some((at, _)) = self.view.wish.as_ref().filter(|(_, wished)| *wished == to) {
            ask.checks
                .push(Self::unchanged(keys::wish(self.kind), Some(*at)));
            ask.sets.push(Change {
                key: keys::wish(self.kind),
                value: None,
            });
        }
        ask
    }

    fn renew(&self) -> (Intent, Ask) {
        let token = self.view.token().unwrap_or_default();
        let count = self.held.as_ref().map_or(0, |held| held.count) + 1;
        let alive = Alive {
            token,
            count,
            good: self.good,
        };
        let sets = vec![Self::set(keys::alive(self.kind), &alive.json())];
        let checks = vec![Self::unchanged(
            keys::owner(self.kind),
            Some(token.revision),
        )];
        (
            Intent::Renew(token, count),
            self.with_wish(self.name.clone(), Ask { checks, sets }),
        )
    }

    fn end(&self, revision: u64, stop: Stop) -> (Intent, Ask) {
        let to = if let Stop::Wished(to) = &stop {
            Some(to.clone())
        } else {
            None
        };
        let from = Some(self.name.clone());
        let grant = Grant {
            owner: to.clone(),
            why: stop.to_string(),
            from,
            ..Grant::default()
        };
        let checks = vec![Self::unchanged(keys::owner(self.kind), Some(revision))];
        let sets = vec![Self::set(keys::owner(self.kind), &grant.json())];
        let ask = Ask { checks, sets };
        (
            Intent::End(stop),
            if let Some(to) = to {
                self.with_wish(to, ask)
            } else {
                ask
            },
        )
    }
}

#[cfg(test)]
mod tests;
