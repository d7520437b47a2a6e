//! The keys of the store that versions of the configuration use. Their texts are shared by all
//! versions of the program and must not change.

/// The proposal: its revision is the proposal's number.
pub const PROPOSAL: &str = "config/next";
/// The active document: its revision is the version.
pub const ACTIVE: &str = "config/active";
/// Prefix: documents that were active recently, by their proposal.
pub const HISTORY: &str = "config/past/";
/// Prefix: proposals that were ever active; the revision of the key is the version.
pub const EVER_ACTIVE: &str = "config/was/";
/// Prefix: each gatherer's vote on the proposal.
pub const VOTE: &str = "config/word/";
/// Prefix: gatherers that are excluded from activations.
pub const EXCLUDED: &str = "config/out/";
/// Prefix: gatherers that an operator has put on hold.
pub const ON_HOLD: &str = "config/held/";
/// Prefix: each gatherer's registration, with what it runs.
pub const GATHERERS: &str = "gatherers/";
/// Prefix: the digests of each gatherer's audit logs.
pub const AUDIT_LOGS: &str = "trail/";
