//! Warnings about versions whose rollout is not complete by its deadline.

use crate::clock;
use crate::fleet::{Fleet, IncompleteRollout};
use compact_str::CompactString;
use control::Millis;
use routing::version_floor::AnnouncedVersion;
use std::collections::BTreeMap;

/// Interval between checks, in milliseconds.
const CHECK_INTERVAL: Millis = 1_000;

/// The newest overdue version of each model that a warning was logged for.
#[derive(Debug, Default)]
pub(super) struct OverdueAlerts {
    checked_at: Millis,
    alerted: BTreeMap<CompactString, u64>,
}

impl OverdueAlerts {
    /// Logs one warning for each overdue version.
    pub(super) fn check(&mut self, fleet: &Fleet) {
        let now = clock::now();
        if now < self.checked_at + CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        for IncompleteRollout {
            announced,
            outdated,
        } in fleet.incomplete_rollouts()
        {
            let AnnouncedVersion {
                model,
                version,
                age_ms,
            } = announced;
            let is_alerted = self
                .alerted
                .get(&model)
                .is_some_and(|alerted| *alerted >= version);
            if age_ms < fleet.settings.bounds.version_ms || is_alerted {
                continue;
            }
            log::warn!(
                "version {version} of the weights of {model} is not deployed everywhere after {age_ms} ms: {outdated} backends lack it; \
                 check the metrics backends_lacking_weights and orders_given_here for the cause"
            );
            self.alerted.insert(model, version);
        }
    }
}
