//! Invariants of the simulated group, checked after each event: no replica regresses, two replicas
//! never commit different states, and no state that counts as the newest lacks an acknowledged
//! change.

use super::World;
use control::changes::{Change, Outcome, ReadOutcome};
use control::configuration::Configuration;
use control::node::ControlNode;
use std::hash::{DefaultHasher, Hash, Hasher};

impl World {
    pub(super) fn acknowledge(&mut self, ticket: u64) {
        let change = self.submitted[&ticket].clone();
        if let Change::Configuration { body, .. } = &change {
            let version = Configuration::parse(body)
                .expect("an accepted configuration")
                .version;
            self.newest_version = self.newest_version.max(version);
        }
        self.acknowledged.push(change);
    }

    /// A read never returns an older version than one that was acknowledged before it.
    pub(super) fn check_reading(&self, ticket: u64, reading: &ReadOutcome) {
        if let ReadOutcome::Latest(configuration) = reading {
            let read = configuration.as_ref().map_or(0, |stored| stored.version);
            let newest = self.version_at_read[&ticket];
            assert!(
                read >= newest,
                "{read} was read after {newest} had been acknowledged"
            );
        }
    }

    /// The committed state of a replica never regresses and contains every change that was
    /// acknowledged by the time as of which the replica counts it as the newest. No two replicas
    /// commit different states at one index, decide different views for one epoch, or hold the
    /// lease of one epoch.
    pub(super) fn check(&mut self, name: &str) {
        let now = self.now;
        let machine = self.machines.get_mut(name).expect("a machine");
        let Some(node) = &machine.node else { return };
        let index = node.state().position.index;
        assert!(
            index >= machine.last_committed,
            "{name} regressed from {} to {index}",
            machine.last_committed
        );
        if index != machine.last_committed {
            let mut digest = DefaultHasher::new();
            node.state().hash(&mut digest);
            let digest = digest.finish();
            let first = *self.committed.entry(index).or_insert(digest);
            assert_eq!(
                first, digest,
                "{name} committed a different state at {index}"
            );
        }
        machine.last_committed = index;
        if let Some(as_of) = node.current_at(now) {
            let acknowledged = self.acknowledged_at.range(..=as_of).next_back();
            let newest = acknowledged.map_or(0, |(_, index)| *index);
            assert!(
                index >= newest,
                "{name}: change {index} is no longer the newest at {as_of} ms, but {newest}"
            );
        }
        if let Some(view) = node.view() {
            let first = self.views.entry(view.epoch).or_insert_with(|| view.clone());
            assert_eq!(
                first, view,
                "two views were decided for epoch {}",
                view.epoch
            );
        }
        if let Some(epoch) = node.leading_epoch(now) {
            let id = node.id().clone();
            let holder = self.holders.entry(epoch).or_insert_with(|| id.clone());
            assert_eq!(*holder, id, "two holders in epoch {epoch}");
        }
    }

    /// The number of replicas that hold the lease now.
    pub fn leader_count(&self) -> usize {
        let leads = |node: &ControlNode| node.leading_epoch(self.now).is_some();
        self.machines
            .values()
            .filter_map(|machine| machine.node.as_ref())
            .filter(|node| leads(node))
            .count()
    }

    /// Asserts that the primary's state contains every acknowledged change.
    pub fn assert_nothing_lost(&self) {
        let name = self.primary().expect("a primary");
        let state = self.machines[&name].node.as_ref().expect("up").state();
        for change in &self.acknowledged {
            assert!(
                state
                    .evaluate(change)
                    .is_some_and(|outcome| outcome == Outcome::Committed),
                "lost: {change:?}"
            );
        }
    }
}
