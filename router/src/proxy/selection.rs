//! Selects the backend for an attempt: the least-loaded backend, where the load includes the work
//! that the request would add.

use super::backend::{Backend, Eligibility};
use crate::rendezvous;
use compact_str::CompactString;
use routing::outlier_detection::is_within_ejection_limit;
use routing::prefix_index::PrefixLocation;
use routing::prompt::Prompt;
use routing::selection::{Candidate, least_loaded};
use std::sync::Arc;

/// Cost of a request in flight at a backend, in prompt tokens.
const IN_FLIGHT_TOKENS: f64 = 60.0;
/// Additional cost of a request that is queued at a backend, in prompt tokens.
const WAITING_TOKENS: f64 = 4_000.0;
/// Cost of a backend in another zone, in prompt tokens.
const CROSS_ZONE_TOKENS: f64 = 1_000.0;
/// Cost of a backend in another zone for requests without a prompt, as a share of its slots.
const CROSS_ZONE_LOAD: f64 = 0.25;
/// Ratio of the shared tokens that the affinity backend is assumed to cache if the prefix index did
/// not respond.
const AFFINITY_CACHED_RATIO: f64 = 0.7;

/// Inputs of a selection.
#[derive(Clone, Copy)]
pub struct SelectionCriteria<'a> {
    /// The prompt, if there is one.
    pub prompt: Option<&'a Prompt>,
    /// The tenant's cache namespace.
    pub cache_namespace: &'a str,
    /// Minimum version of the weights, if one is required.
    pub min_version: Option<u64>,
    /// Zone of this router.
    pub zone: &'a str,
    /// Where the prefix is cached, if its owner answered.
    pub location: Option<&'a PrefixLocation>,
}

/// Result of a selection.
pub struct SelectedBackend {
    /// The selected backend.
    pub backend: Arc<Backend>,
    /// Observed version of its weights, if known.
    pub version: Option<u64>,
    /// Prompt tokens that the backend has to prefill or fetch.
    pub prefill_tokens: u64,
}

/// Work of a request in addition to its prompt, in prompt tokens. Each request takes at least one
/// step of the inference engine.
const BASE_WORK_TOKENS: u64 = 300;

impl SelectedBackend {
    /// The work that the request adds at the backend, in prompt tokens.
    pub fn work(&self) -> u64 {
        BASE_WORK_TOKENS + self.prefill_tokens
    }
}

/// Selects the least-loaded eligible backend that is not in `attempted`; `None` if there is none.
pub fn select_backend(
    backends: &[Arc<Backend>],
    criteria: SelectionCriteria<'_>,
    attempted: &[CompactString],
) -> Option<SelectedBackend> {
    let model = criteria
        .prompt
        .map(|prompt| (prompt.model.as_str(), criteria.min_version));
    let affinity_backend = criteria
        .prompt
        .and_then(|prompt| affinity_backend(backends, criteria.cache_namespace, prompt));
    let suspected: Vec<bool> = backends
        .iter()
        .map(|backend| backend.is_suspected())
        .collect();
    let suspected_count = suspected
        .iter()
        .filter(|is_suspected| **is_suspected)
        .count();
    let suspicions_apply = is_within_ejection_limit(suspected_count, backends.len());
    let mut eligible = Vec::new();
    let mut candidates = Vec::new();
    for (backend, is_suspected) in backends.iter().zip(suspected) {
        if attempted.contains(&backend.id) {
            continue;
        }
        let eligibility = backend.eligibility(model);
        if eligibility == Eligibility::Ineligible {
            continue;
        }
        let has_affinity = affinity_backend.as_ref() == Some(&backend.id);
        let (load, selected) = evaluate(backend, criteria, has_affinity);
        let is_last_resort =
            suspicions_apply && is_suspected || eligibility == Eligibility::LastResort;
        candidates.push(Candidate {
            load,
            is_last_resort,
        });
        eligible.push(selected);
    }
    let index = least_loaded(&candidates, &mut fastrand::Rng::new())?;
    Some(eligible.swap_remove(index))
}

/// The load that a backend would have with the request.
fn evaluate(
    backend: &Arc<Backend>,
    criteria: SelectionCriteria<'_>,
    has_affinity: bool,
) -> (f64, SelectedBackend) {
    let load = backend.load();
    let reported = load
        .reported
        .map_or(0, |reported| reported.running + reported.waiting);
    let in_flight = f64::from(load.outstanding.max(reported));
    let is_cross_zone = backend.zone != criteria.zone;
    let Some(prompt) = criteria.prompt else {
        let slots = f64::from(backend.slots.max(1));
        let zone_cost = if is_cross_zone { CROSS_ZONE_LOAD } else { 0.0 };
        let selected = SelectedBackend {
            backend: backend.clone(),
            version: None,
            prefill_tokens: 0,
        };
        return (in_flight / slots + zone_cost, selected);
    };
    let version = backend.version(&prompt.model);
    let prefill_tokens = prefill_tokens(backend, criteria, version, prompt, has_affinity);
    let waiting = f64::from(load.reported.map_or(0, |reported| reported.waiting));
    let zone_cost = if is_cross_zone {
        CROSS_ZONE_TOKENS
    } else {
        0.0
    };
    let load_tokens = load.prefill_tokens as f64
        + prefill_tokens as f64
        + WAITING_TOKENS * waiting
        + IN_FLIGHT_TOKENS * in_flight
        + zone_cost;
    (
        load_tokens,
        SelectedBackend {
            backend: backend.clone(),
            version,
            prefill_tokens,
        },
    )
}

/// Prompt tokens that a backend has to prefill or fetch: all except the cached ones. Fetching takes
/// about as long as prefill. If the prefix index did not respond, the affinity backend is assumed
/// to cache part of the prefix.
fn prefill_tokens(
    backend: &Backend,
    criteria: SelectionCriteria<'_>,
    version: Option<u64>,
    prompt: &Prompt,
    has_affinity: bool,
) -> u64 {
    let shared: u64 = prompt.shared_tokens();
    let cached_ratio = match (criteria.location, version) {
        (Some(location), Some(version)) if location.is_cached_by(&backend.id, version) => 1.0,
        (None, _) if has_affinity => AFFINITY_CACHED_RATIO,
        _ => 0.0,
    };
    prompt
        .input_tokens
        .saturating_sub((shared as f64 * cached_ratio) as u64)
}

/// The backend that all routers agree on for prompts with the same prefix, by rendezvous hashing.
fn affinity_backend(
    backends: &[Arc<Backend>],
    cache_namespace: &str,
    prompt: &Prompt,
) -> Option<CompactString> {
    let segment = prompt.shared_segments().last()?;
    let score =
        |backend: &Arc<Backend>| rendezvous::score(&(cache_namespace, &segment.id, &backend.id));
    backends
        .iter()
        .max_by_key(|backend| score(backend))
        .map(|backend| backend.id.clone())
}
