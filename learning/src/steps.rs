//! The steps of writing a picture, in their order. The writer carries them out one by one; the
//! tests that kill it and the model checker walk the same list.

/// Generations that are kept.
pub const KEPT: usize = 3;

/// One step.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    /// Create the file beside, empty, or empty one that a former crash left.
    Create,
    /// Write all of it.
    Write,
    /// Have the system put the file on the disk.
    SyncFile,
    /// Give it its generation's name.
    Rename,
    /// Have the system put the folder on the disk.
    SyncFolder,
    /// Remove a generation that is no longer kept.
    Remove(u64),
}

impl Step {
    /// Its name, for fault points and the log.
    pub fn name(&self) -> &'static str {
        match self {
            Step::Create => "create",
            Step::Write => "write",
            Step::SyncFile => "sync-file",
            Step::Rename => "rename",
            Step::SyncFolder => "sync-folder",
            Step::Remove(_) => "remove",
        }
    }
}

/// The name of the file beside.
pub const BESIDE: &str = "learned.tmp";
/// The name of the lock.
pub const LOCK: &str = "learned.lock";

/// The name of a generation.
pub fn name(generation: u64) -> String {
    format!("learned.{generation:016}")
}

/// The generation of a name.
pub fn generation(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("learned.")?;
    (digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_digit()))
        .then(|| digits.parse().ok())?
}

/// How the next generation is written, with these in the folder: its number and the steps.
pub fn plan(present: &[u64]) -> (u64, Vec<Step>) {
    let mut present = present.to_vec();
    present.sort_unstable();
    let next = present.last().map_or(1, |last| last.saturating_add(1));
    let mut steps = vec![
        Step::Create,
        Step::Write,
        Step::SyncFile,
        Step::Rename,
        Step::SyncFolder,
    ];
    // Only behind the new one's sync: until then the old ones are all there is.
    let spare = (present.len() + 1).saturating_sub(KEPT);
    steps.extend(present.iter().take(spare).map(|old| Step::Remove(*old)));
    (next, steps)
}

/// The order in which generations are tried: the newest first.
pub fn tried(present: &[u64]) -> Vec<u64> {
    let mut present = present.to_vec();
    present.sort_unstable_by(|a, b| b.cmp(a));
    present
}
