//! Decides when the known state of the fleet is saved: periodically if it has changed, and at once
//! for what must not be lost with the process. One save is in progress at a time.

use crate::disk::Disk;
use crate::fleet::{Fleet, FleetSave};
use compact_str::CompactString;
use control::Millis;
use control::directory::SavePoint;
use routing::version_floor::AnnouncedVersion;
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Interval between periodic saves, in milliseconds.
const SAVE_INTERVAL: Millis = 1_000;
/// Interval between a failed save and the next one, in milliseconds.
const RETRY_INTERVAL: Millis = 150;

/// A save that the disk has not completed yet.
struct PendingSave {
    point: SavePoint,
    written: oneshot::Receiver<()>,
}

/// Saves the known state of the fleet.
pub(super) struct FleetSaver {
    fleet: Arc<Fleet>,
    pending: Option<PendingSave>,
    /// Time of the next periodic save.
    next_save_at: Millis,
    /// No save starts before this time.
    retry_at: Millis,
    saved_change_count: u64,
    saved_versions: BTreeSet<(CompactString, u64)>,
    /// Whether the last save failed.
    is_failing: bool,
}

impl FleetSaver {
    /// A saver of the state that is on disk already.
    pub(super) fn new(fleet: Arc<Fleet>, now: Millis) -> Self {
        FleetSaver {
            fleet,
            pending: None,
            next_save_at: now + SAVE_INTERVAL,
            retry_at: 0,
            saved_change_count: 0,
            saved_versions: BTreeSet::new(),
            is_failing: false,
        }
    }

    /// Starts a save if one is due and none is in progress.
    ///
    /// Withdrawals of backends are saved at once, as their acknowledgement waits for it. So are new
    /// versions of weights, as their age is stored nowhere else.
    pub(super) fn save_if_due(&mut self, disk: &Disk, now: Millis) {
        if self.pending.is_some() || now < self.retry_at {
            return;
        }
        let versions = versions(&self.fleet.announced_weights());
        let is_urgent =
            self.fleet.has_unsaved_withdrawals() || !versions.is_subset(&self.saved_versions);
        if now < self.next_save_at && !is_urgent {
            return;
        }
        self.next_save_at = now + SAVE_INTERVAL;
        let change_count = self.fleet.change_count();
        let has_changed = change_count != self.saved_change_count;
        if has_changed || is_urgent || !self.fleet.all_weights_effective() {
            self.saved_change_count = change_count;
            self.saved_versions = versions;
            let FleetSave { content, point } = self.fleet.save();
            let written = disk.save_fleet(&content);
            self.pending = Some(PendingSave { point, written });
        }
    }

    /// Completes when the save in progress has ended; never if there is none.
    pub(super) async fn ended(&mut self) -> bool {
        match &mut self.pending {
            Some(pending) => (&mut pending.written).await.is_ok(),
            None => std::future::pending().await,
        }
    }

    /// Records the end of the save in progress. A failed one is repeated later.
    pub(super) fn record_end(&mut self, succeeded: bool, now: Millis) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let was_failing = std::mem::replace(&mut self.is_failing, !succeeded);
        if succeeded {
            if was_failing {
                log::info!("the state of the fleet was saved after retries");
            }
            self.fleet.record_saved(pending.point);
        } else {
            if !was_failing {
                log::warn!(
                    "the state of the fleet can't be saved: this node does not count for acknowledgements of backends that leave until a retry succeeds"
                );
            }
            self.retry_at = now + RETRY_INTERVAL;
            self.saved_change_count = 0;
            self.saved_versions.clear();
        }
    }
}

fn versions(announced: &[AnnouncedVersion]) -> BTreeSet<(CompactString, u64)> {
    let versions = announced
        .iter()
        .map(|announced| (announced.model.clone(), announced.version));
    versions.collect()
}
