//! Who owns a key: a ring of hashes on which every member stands at several places, so that each
//! owns about as much as the others, and a member that comes or goes changes the owners of few
//! keys.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Places of a member on the ring.
const PLACES: u64 = 16;

/// Owners of keys; every router that knows the same members finds the same owner.
#[derive(Debug, Clone)]
pub struct Owners<T> {
    ring: Vec<(u64, usize)>,
    members: Vec<T>,
}

impl<T> Default for Owners<T> {
    fn default() -> Self {
        Owners {
            ring: Vec::new(),
            members: Vec::new(),
        }
    }
}

impl<T> Owners<T> {
    /// The ring of these members, each with its name.
    pub fn new<'a>(named: impl IntoIterator<Item = (&'a str, T)>) -> Self {
        let (mut ring, mut members) = (Vec::new(), Vec::new());
        for (name, member) in named {
            ring.extend((0..PLACES).map(|place| (hash(&(name, place)), members.len())));
            members.push(member);
        }
        ring.sort_unstable();
        Owners { ring, members }
    }

    /// The owner of a key; none where there are no members.
    pub fn of(&self, key: u64) -> Option<&T> {
        let place = hash(&key);
        let at = self.ring.partition_point(|(other, _)| *other < place);
        let (_, member) = self.ring.get(at).or(self.ring.first())?;
        self.members.get(*member)
    }
}

fn hash(thing: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    thing.hash(&mut hasher);
    hasher.finish()
}
