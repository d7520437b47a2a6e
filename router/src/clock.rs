//! The monotonic clock of the process, in milliseconds.

use control::Millis;
use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the first call, plus an offset that allows times before the start to be
/// represented.
pub fn now() -> Millis {
    const OFFSET: Millis = 100_000;
    OFFSET + START.get_or_init(Instant::now).elapsed().as_millis() as Millis
}
