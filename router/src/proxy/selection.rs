//! Choosing the backend of a send: the least-loaded one, counting the work that the request would
//! bring there.

use super::backend::{Backend, Eligibility};
use compact_str::CompactString;
use routing::outlier_detection::is_within_ejection_limit;
use routing::prefix_index::PrefixLocation;
use routing::prompt::Prompt;
use routing::selection::{Candidate, least_loaded};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Prompt tokens that a request running at a backend counts for.
const RUNNING_TOKENS: f64 = 60.0;
/// Prompt tokens that a request waiting at a backend counts for, beside this router's own.
const WAITING_TOKENS: f64 = 4_000.0;
/// Prompt tokens that the way to another zone counts for.
const ZONE_TOKENS: f64 = 1_000.0;
/// Share of a slot that the way to another zone counts for at services without prompts.
const ZONE_LOAD: f64 = 0.25;
/// How much of a shared part its home is expected to keep where nothing is known.
const HOME_CACHED_RATIO: f64 = 0.7;

/// What a choice is made for.
#[derive(Clone, Copy)]
pub struct SelectionCriteria<'a> {
    /// The prompt, where there is one.
    pub prompt: Option<&'a Prompt>,
    /// The text under which parts are kept, without the version.
    pub cache_namespace: &'a str,
    /// The least version of weights.
    pub min_version: Option<u64>,
    /// The zone of this router.
    pub zone: &'a str,
    /// Where the shared start of the prompt is kept, where its owner has told.
    pub location: Option<&'a PrefixLocation>,
}

/// A chosen backend.
pub struct SelectedBackend {
    /// The backend.
    pub backend: Arc<Backend>,
    /// The version of weights that it has.
    pub version: Option<u64>,
    /// Tokens that it has to read.
    pub prefill_tokens: u64,
}

/// The least-loaded backend that is none of `attempted`; none where no other may be used.
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
    let at = least_loaded(&candidates, &mut fastrand::Rng::new())?;
    Some(eligible.swap_remove(at))
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
    let elsewhere = backend.zone != criteria.zone;
    let Some(prompt) = criteria.prompt else {
        let slots = f64::from(backend.slots.max(1));
        let zone = if elsewhere { ZONE_LOAD } else { 0.0 };
        let selected = SelectedBackend {
            backend: backend.clone(),
            version: None,
            prefill_tokens: 0,
        };
        return (in_flight / slots + zone, selected);
    };
    let version = backend.version(&prompt.model);
    let prefill_tokens = prefill_tokens(backend, criteria, version, prompt, has_affinity);
    let waiting = f64::from(load.reported.map_or(0, |reported| reported.waiting));
    let zone = if elsewhere { ZONE_TOKENS } else { 0.0 };
    let weight = load.prefill_tokens as f64
        + prefill_tokens as f64
        + WAITING_TOKENS * waiting
        + RUNNING_TOKENS * in_flight
        + zone;
    (
        weight,
        SelectedBackend {
            backend: backend.clone(),
            version,
            prefill_tokens,
        },
    )
}

/// Tokens of a prompt that a backend has to read or to have moved to it: all but those that it
/// keeps. A move takes about as long as reading. Where nobody has told who keeps them, a home is
/// expected to.
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
        (None, _) if has_affinity => HOME_CACHED_RATIO,
        _ => 0.0,
    };
    prompt
        .input_tokens
        .saturating_sub((shared as f64 * cached_ratio) as u64)
}

/// The backend that all routers agree on for prompts which share their parts with this one:
/// rendezvous hashing.
fn affinity_backend(
    backends: &[Arc<Backend>],
    cache_namespace: &str,
    prompt: &Prompt,
) -> Option<CompactString> {
    let part = prompt.shared_segments().last()?;
    let score = |backend: &Arc<Backend>| {
        let mut hasher = DefaultHasher::new();
        (cache_namespace, &part.id, &backend.id).hash(&mut hasher);
        hasher.finish()
    };
    backends
        .iter()
        .max_by_key(|backend| score(backend))
        .map(|backend| backend.id.clone())
}
