//! Atomic replacement of a snapshot, as steps: the next generation is written to a temporary file,
//! synced, and renamed; older generations are removed last.
//!
//! The writer, the tests that kill it at each step, and the model checker execute the same list of
//! steps.

/// Number of generations that are retained.
pub const RETAINED_GENERATIONS: usize = 3;

/// One step of a write.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    /// Create the temporary file, or truncate one that a crash left.
    Create,
    /// Write the whole file.
    Write,
    /// Sync the file.
    SyncFile,
    /// Rename the file to the name of its generation.
    Rename,
    /// Sync the folder, which makes the rename durable.
    SyncFolder,
    /// Remove a generation that is no longer retained.
    Remove(u64),
}

impl Step {
    /// The name, for fault points and logs.
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

/// Name of the temporary file.
pub const TEMPORARY: &str = "learned.tmp";
/// Name of the lock file.
pub const LOCK: &str = "learned.lock";

/// File name of a generation.
pub fn file_name(generation: u64) -> String {
    format!("learned.{generation:016}")
}

/// The generation of a file name; `None` if the file is not a generation.
pub fn parse_generation(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("learned.")?;
    (digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_digit()))
        .then(|| digits.parse().ok())?
}

/// Plans the write of the next generation; returns its number and the steps. `present` has the
/// generations in the folder.
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
    // Old generations are removed only after the rename of the new one is synced: before that, a
    // crash could leave no valid generation at all.
    let excess = (present.len() + 1).saturating_sub(RETAINED_GENERATIONS);
    steps.extend(present.iter().take(excess).map(|old| Step::Remove(*old)));
    (next, steps)
}

/// The order in which generations are loaded: the newest first.
pub fn load_order(present: &[u64]) -> Vec<u64> {
    let mut present = present.to_vec();
    present.sort_unstable_by(|a, b| b.cmp(a));
    present
}
