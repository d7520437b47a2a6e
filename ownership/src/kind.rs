//! The kinds of work, where the effects of each land, and what guards them there.

use crate::Token;
use std::fmt;

/// A kind of work that has one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Watches discovery and publishes its list.
    Hosts,
    /// Probes index hosts that somebody suspects.
    Probes,
    /// Takes jobs through their steps.
    Rollout,
    /// Removes what is left of those who are gone.
    Keeping,
}

/// Where an effect lands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// A change in the store.
    Store,
    /// A call at discovery.
    Discovery,
    /// A probe at an index host.
    IndexHosts,
}

/// What keeps an owner of before from doing harm there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// It is refused where it lands, however late it comes.
    Fenced,
    /// It is not refused, and harmless when it is made twice.
    Harmless,
    /// It is not refused; at most so many can come after a lease's end, as leave is asked right
    /// before each.
    Bounded(u32),
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 4] = [Kind::Hosts, Kind::Probes, Kind::Rollout, Kind::Keeping];

    /// Where its effects may land: a kind cannot be added without saying so.
    pub const fn lands(self) -> &'static [Place] {
        match self {
            Kind::Hosts => &[Place::Store, Place::Discovery],
            Kind::Probes => &[Place::Store, Place::IndexHosts],
            Kind::Rollout | Kind::Keeping => &[Place::Store],
        }
    }

    /// Its name.
    pub const fn name(self) -> &'static str {
        match self {
            Kind::Hosts => "hosts",
            Kind::Probes => "probes",
            Kind::Rollout => "rollout",
            Kind::Keeping => "keeping",
        }
    }

    /// The kind of a name.
    pub fn named(name: &str) -> Option<Kind> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Place {
    /// What guards effects there.
    pub const fn guard(self) -> Guard {
        match self {
            Place::Store => Guard::Fenced,
            Place::Discovery => Guard::Harmless,
            Place::IndexHosts => Guard::Bounded(1),
        }
    }
}

/// Leave to make one effect: asked for right before it, and used up by it.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an effect is made with it"]
pub struct Permit {
    kind: Kind,
    place: Place,
    token: Token,
}

impl Permit {
    /// Only a lease gives leave, and only for places that its kind names.
    pub(crate) fn new(kind: Kind, place: Place, token: Token) -> Option<Permit> {
        kind.lands()
            .contains(&place)
            .then_some(Permit { kind, place, token })
    }

    /// What kind of work it is of.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Where the effect lands.
    pub fn place(&self) -> Place {
        self.place
    }

    /// Under which token.
    pub fn token(&self) -> Token {
        self.token
    }
}

#[cfg(test)]
mod tests;
