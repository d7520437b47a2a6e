//! The Init service (section 3.2.1): versions, options and authentication.

use super::tag;
use crate::ber::{Item, Writer, universal};
use crate::fault::Fault;

/// A negotiable option, by its bit (section 3.2.1.1.4).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum Ability {
    Search = 0,
    Present = 1,
    DeleteSet = 2,
    ResourceReport = 3,
    TriggerResourceControl = 4,
    AccessControl = 6,
    Scan = 7,
    Sort = 8,
    ExtendedServices = 10,
    Level1Segmentation = 11,
    Level2Segmentation = 12,
    ConcurrentOperations = 13,
    NamedResultSets = 14,
}

/// Options offered to clients.
pub const OFFERED: &[Ability] = &[
    Ability::Search,
    Ability::Present,
    Ability::DeleteSet,
    Ability::TriggerResourceControl,
    Ability::AccessControl,
    Ability::Scan,
    Ability::Sort,
    Ability::Level1Segmentation,
    Ability::Level2Segmentation,
    Ability::ConcurrentOperations,
    Ability::NamedResultSets,
];

/// Options requested from index hosts.
pub const WANTED: &[Ability] = &[
    Ability::Search,
    Ability::Present,
    Ability::Scan,
    Ability::Sort,
    Ability::NamedResultSets,
];

/// A set of options.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Abilities(u32);

impl Abilities {
    /// A set of these options.
    pub fn of(all: &[Ability]) -> Self {
        Abilities(all.iter().fold(0, |bits, a| bits | 1 << *a as u32))
    }

    /// Reads an options field.
    pub fn read(options: &Item) -> Self {
        Abilities(
            (0..32)
                .filter(|bit| options.bit(*bit))
                .fold(0, |bits, bit| bits | 1 << bit),
        )
    }

    /// Whether the set contains an option.
    pub fn has(self, ability: Ability) -> bool {
        self.0 >> ability as u32 & 1 == 1
    }

    /// The options in both sets.
    pub fn intersection(self, other: Abilities) -> Self {
        Abilities(self.0 & other.0)
    }

    /// The set without one option.
    pub fn without(self, ability: Ability) -> Self {
        Abilities(self.0 & !(1 << ability as u32))
    }

    fn bits(self) -> impl Iterator<Item = usize> {
        (0..32).filter(move |bit| self.0 >> bit & 1 == 1)
    }
}

/// The identity that a client claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// No identity given.
    Anonymous,
    /// A user name and password.
    User {
        /// The user name.
        name: String,
        /// The password.
        password: String,
    },
}

/// Reads idAuthentication: `open` (`user/password` or `group/user/password`), `idPass` or
/// `anonymous`.
pub fn read_identity(request: &Item) -> Identity {
    let Some(choice) = request
        .get(tag::AUTHENTICATION)
        .and_then(|a| a.items().first())
    else {
        return Identity::Anonymous;
    };
    let text = |tag| choice.get(tag).and_then(Item::text);
    match choice.tag {
        universal::SEQUENCE => match (text(1), text(2)) {
            (Some(name), password) => Identity::User {
                name,
                password: password.unwrap_or_default(),
            },
            _ => Identity::Anonymous,
        },
        universal::VISIBLE => read_open(&choice.text().unwrap_or_default()),
        _ => Identity::Anonymous,
    }
}

/// Reads `user/password`, the form used by `open` and by replies to simple challenges.
pub fn read_open(text: &str) -> Identity {
    let words: Vec<&str> = text.split('/').collect();
    match words.as_slice() {
        [name, password] | [_, name, password] => Identity::User {
            name: (*name).to_owned(),
            password: (*password).to_owned(),
        },
        [name] if !name.is_empty() => Identity::User {
            name: (*name).to_owned(),
            password: String::new(),
        },
        _ => Identity::Anonymous,
    }
}

/// Writes idAuthentication with a user name and password.
pub fn write_identity(w: &mut Writer, name: &str, password: &str) {
    w.inside(tag::AUTHENTICATION, |choice| {
        choice.inside_universal(universal::SEQUENCE, |id| {
            id.bytes(1, name.as_bytes());
            id.bytes(2, password.as_bytes());
        });
    });
}

/// The protocol versions in a request or response, by bit: 0 for version 1, 1 for 2, 2 for 3.
pub fn versions(unit: &Item) -> [bool; 3] {
    let field = unit.get(tag::VERSION);
    [0, 1, 2].map(|bit| field.is_some_and(|v| v.bit(bit)))
}

/// Writes the versions, options and message sizes of an Init request or response.
pub fn write_negotiation(
    w: &mut Writer,
    version3: bool,
    abilities: Abilities,
    preferred: usize,
    exceptional: usize,
) {
    w.bits(tag::VERSION, if version3 { 0..3 } else { 0..2 });
    w.bits(tag::OPTIONS, abilities.bits());
    w.integer(tag::PREFERRED_SIZE, preferred as i64);
    w.integer(tag::EXCEPTIONAL_SIZE, exceptional as i64);
}

/// Writes the name and version of this implementation.
pub fn write_implementation(w: &mut Writer) {
    w.bytes(tag::IMPLEMENTATION_ID, b"bitternsill");
    w.bytes(tag::IMPLEMENTATION_NAME, b"bitternsill");
    w.bytes(
        tag::IMPLEMENTATION_VERSION,
        env!("CARGO_PKG_VERSION").as_bytes(),
    );
}

/// Writes the reason for a refused session into the user information. The init diagnostic format
/// (1.2.840.10003.10.1000.1) is a private form; clients print the default diagnostic under
/// userInformationField.
pub fn write_refusal(w: &mut Writer, fault: &Fault) {
    w.inside(tag::USER_INFORMATION, |external| {
        external.inside_universal(universal::EXTERNAL, |e| {
            e.oid(super::DIAGNOSTICS);
            e.inside(0, |any| {
                any.inside_universal(universal::SEQUENCE, |d| super::write_fault(d, fault))
            });
        });
    });
}
