//! What this node has on its disk of the directory: saves are requested as soon as a withdrawal of a
//! backend is only in memory, and completed ones are counted by those that wait for them.

use super::Fleet;
use super::peers::Peer;
use crate::clock;
use crate::disk::PersistedFleet;
use crate::sync::lock;
use control::directory::{Directory, SavePoint};
use std::time::Duration;

/// The content of a save, and the point that it covers.
#[derive(Debug)]
pub struct FleetSave {
    /// What is written.
    pub content: PersistedFleet,
    /// What the save covers, for [`Fleet::record_saved`].
    pub point: SavePoint,
}

impl Fleet {
    /// Changes the directory. All changes are made here, so that none leaves a withdrawal of a
    /// backend in memory without a request to save it.
    pub(crate) fn update_directory<R>(&self, update: impl FnOnce(&mut Directory) -> R) -> R {
        let mut directory = lock(&self.directory);
        let result = update(&mut directory);
        if directory.has_unsaved_withdrawals() {
            self.save_requests.notify_one();
        }
        result
    }

    /// Completes when a withdrawal of a backend has to be saved. Only one task may wait.
    pub async fn save_requested(&self) {
        self.save_requests.notified().await;
    }

    /// Whether some withdrawals of backends are only in memory.
    pub fn has_unsaved_withdrawals(&self) -> bool {
        lock(&self.directory).has_unsaved_withdrawals()
    }

    /// What a save writes now.
    pub fn save(&self) -> FleetSave {
        let announced_weights = self.announced_weights();
        let directory = lock(&self.directory);
        FleetSave {
            content: PersistedFleet {
                records: directory.persistent_records(),
                announced_weights,
            },
            point: directory.save_point(),
        }
    }

    /// Records that a save is on disk: from now on this node counts as one that has the withdrawals
    /// in it.
    pub fn record_saved(&self, point: SavePoint) {
        let (vector, saved) = {
            let mut directory = lock(&self.directory);
            directory.record_saved(point);
            let vector = directory.durable_vector().clone();
            (vector, directory.withdrawals_saved())
        };
        let own = Peer {
            vector,
            pulled_at: clock::now(),
        };
        self.record_peer(self.settings.node_name.clone(), own);
        self.saved_withdrawals.send_replace(saved);
    }

    /// Waits until the withdrawals that this node has in memory are on its disk, but no longer than
    /// the time limit. A node without a replica has no disk, and does not wait.
    pub async fn wait_for_save(&self, time_limit: Duration) {
        if self.replica.is_none() {
            return;
        }
        let received = lock(&self.directory).withdrawals_received();
        let mut saved = self.saved_withdrawals.subscribe();
        let is_saved = saved.wait_for(|saved| *saved >= received);
        // After a timeout the caller goes on without the unsaved withdrawals.
        let _ = tokio::time::timeout(time_limit, is_saved).await;
    }
}
