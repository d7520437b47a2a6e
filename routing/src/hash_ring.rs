//! Consistent hashing (Karger et al., 1997) with virtual nodes: distributes keys evenly over
//! members, and moves few keys when the membership changes.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of virtual nodes per member.
const VIRTUAL_NODES: u64 = 16;

/// A hash ring. Routers that know the same members compute the same owner for each key.
#[derive(Debug, Clone)]
pub struct HashRing<T> {
    /// Hashes of the virtual nodes in ascending order, each with an index into `members`.
    virtual_nodes: Vec<(u64, usize)>,
    members: Vec<T>,
}

impl<T> Default for HashRing<T> {
    fn default() -> Self {
        HashRing {
            virtual_nodes: Vec::new(),
            members: Vec::new(),
        }
    }
}

impl<T> HashRing<T> {
    /// Builds the ring of the members, each given with its unique name.
    pub fn new<'a>(named_members: impl IntoIterator<Item = (&'a str, T)>) -> Self {
        let (mut virtual_nodes, mut members) = (Vec::new(), Vec::new());
        for (name, member) in named_members {
            virtual_nodes
                .extend((0..VIRTUAL_NODES).map(|number| (hash(&(name, number)), members.len())));
            members.push(member);
        }
        virtual_nodes.sort_unstable();
        HashRing {
            virtual_nodes,
            members,
        }
    }

    /// Returns the owner of a key; `None` if the ring has no members.
    pub fn owner(&self, key: u64) -> Option<&T> {
        let key_hash = hash(&key);
        let successor = self
            .virtual_nodes
            .partition_point(|(node_hash, _)| *node_hash < key_hash);
        let (_, member) = self
            .virtual_nodes
            .get(successor)
            .or(self.virtual_nodes.first())?;
        self.members.get(*member)
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
