//! Telling operators of versions that should be everywhere and are not.

use crate::clock;
use crate::fleet::{Fleet, UnfinishedVersion};
use compact_str::CompactString;
use control::Millis;
use routing::version_floor::AnnouncedVersion;
use std::collections::BTreeMap;

/// Time between two looks.
const LOOK: Millis = 1_000;

/// The newest overdue version of each model that operators were told of.
#[derive(Debug, Default)]
pub(super) struct OverdueVersions {
    looked_at: Millis,
    told: BTreeMap<CompactString, u64>,
}

impl OverdueVersions {
    /// Tells of each version once, when its time is over.
    pub(super) fn look(&mut self, fleet: &Fleet) {
        let now = clock::now();
        if now < self.looked_at + LOOK {
            return;
        }
        self.looked_at = now;
        for UnfinishedVersion { named, lacking } in fleet.unfinished_versions() {
            let AnnouncedVersion {
                model,
                version,
                age_ms,
            } = named;
            let is_told = self.told.get(&model).is_some_and(|told| *told >= version);
            if age_ms < fleet.settings.bounds.version_ms || is_told {
                continue;
            }
            log::warn!(
                "version {version} of the weights of {model} is not everywhere after {age_ms} ms: {lacking} backends lack it; \
                 the figures backends_lacking_weights and orders_given_here tell why"
            );
            self.told.insert(model, version);
        }
    }
}
