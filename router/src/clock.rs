//! The monotonic clock, in milliseconds since the process started.

use control::Millis;
use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the first call, plus an offset, so that times before the start can be
/// represented.
pub fn now() -> Millis {
    const OFFSET: Millis = 100_000;
    OFFSET + START.get_or_init(Instant::now).elapsed().as_millis() as Millis
}
