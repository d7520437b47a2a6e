//! Choosing the backend of a send: the least-loaded one, counting the work that the request would
//! bring there.

use super::backend::{Backend, Fitness};
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
const HOME_SHARE: f64 = 0.7;

/// What a choice is made for.
#[derive(Clone, Copy)]
pub struct Need<'a> {
    /// The prompt, where there is one.
    pub prompt: Option<&'a Prompt>,
    /// The text under which parts are kept, without the version.
    pub wall: &'a str,
    /// The least version of weights.
    pub least_version: Option<u64>,
    /// The zone of this router.
    pub zone: &'a str,
    /// Where the shared start of the prompt is kept, where its owner has told.
    pub located: Option<&'a PrefixLocation>,
}

/// A chosen backend.
pub struct Choice {
    /// The backend.
    pub backend: Arc<Backend>,
    /// The version of weights that it has.
    pub version: Option<u64>,
    /// Tokens that it has to read.
    pub unread: u64,
}

/// The least-loaded backend that is none of `tried`; none where no other may be used.
pub fn pick(backends: &[Arc<Backend>], need: Need<'_>, tried: &[CompactString]) -> Option<Choice> {
    let model = need
        .prompt
        .map(|prompt| (prompt.model.as_str(), need.least_version));
    let home = need
        .prompt
        .and_then(|prompt| home(backends, need.wall, prompt));
    let suspected: Vec<bool> = backends
        .iter()
        .map(|backend| backend.is_suspected())
        .collect();
    let suspected_count = suspected
        .iter()
        .filter(|is_suspected| **is_suspected)
        .count();
    let heeds_suspicions = is_within_ejection_limit(suspected_count, backends.len());
    let mut eligible = Vec::new();
    let mut candidates = Vec::new();
    for (backend, is_suspected) in backends.iter().zip(suspected) {
        if tried.contains(&backend.id) {
            continue;
        }
        let fitness = backend.fitness(model);
        if fitness == Fitness::Unfit {
            continue;
        }
        let is_home = home.as_ref() == Some(&backend.id);
        let (load, choice) = weigh(backend, need, is_home);
        let is_last_resort = heeds_suspicions && is_suspected || fitness == Fitness::Doubtful;
        candidates.push(Candidate {
            load,
            is_last_resort,
        });
        eligible.push(choice);
    }
    let at = least_loaded(&candidates, &mut fastrand::Rng::new())?;
    Some(eligible.swap_remove(at))
}

/// The load that a backend would have with the request.
fn weigh(backend: &Arc<Backend>, need: Need<'_>, is_home: bool) -> (f64, Choice) {
    let load = backend.load();
    let told = load.told.map_or(0, |told| told.running + told.waiting);
    let held = f64::from(load.outstanding.max(told));
    let elsewhere = backend.zone != need.zone;
    let Some(prompt) = need.prompt else {
        let slots = f64::from(backend.slots.max(1));
        let zone = if elsewhere { ZONE_LOAD } else { 0.0 };
        let choice = Choice {
            backend: backend.clone(),
            version: None,
            unread: 0,
        };
        return (held / slots + zone, choice);
    };
    let version = backend.version(&prompt.model);
    let unread = unread_tokens(backend, need, version, prompt, is_home);
    let waiting = f64::from(load.told.map_or(0, |told| told.waiting));
    let zone = if elsewhere { ZONE_TOKENS } else { 0.0 };
    let weight = load.unread_tokens as f64
        + unread as f64
        + WAITING_TOKENS * waiting
        + RUNNING_TOKENS * held
        + zone;
    (
        weight,
        Choice {
            backend: backend.clone(),
            version,
            unread,
        },
    )
}

/// Tokens of a prompt that a backend has to read or to have moved to it: all but those that it
/// keeps. A move takes about as long as reading. Where nobody has told who keeps them, a home is
/// expected to.
fn unread_tokens(
    backend: &Backend,
    need: Need<'_>,
    version: Option<u64>,
    prompt: &Prompt,
    is_home: bool,
) -> u64 {
    let shared: u64 = prompt.shared_tokens();
    let saved_share = match (need.located, version) {
        (Some(located), Some(version)) if located.is_cached_by(&backend.id, version) => 1.0,
        (None, _) if is_home => HOME_SHARE,
        _ => 0.0,
    };
    prompt
        .input_tokens
        .saturating_sub((shared as f64 * saved_share) as u64)
}

/// The backend that all routers agree on for prompts which share their parts with this one:
/// rendezvous hashing.
fn home(backends: &[Arc<Backend>], wall: &str, prompt: &Prompt) -> Option<CompactString> {
    let part = prompt.shared_segments().last()?;
    let score = |backend: &Arc<Backend>| {
        let mut hasher = DefaultHasher::new();
        (wall, &part.id, &backend.id).hash(&mut hasher);
        hasher.finish()
    };
    backends
        .iter()
        .max_by_key(|backend| score(backend))
        .map(|backend| backend.id.clone())
}
