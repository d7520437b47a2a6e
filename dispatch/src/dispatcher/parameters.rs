//! The tuning parameters of the dispatch decisions.
//!
//! Most are ratios of a class's latency target, of its recent percentiles or of the fleet's size,
//! so that one set of values fits deployments of any speed. [`Time`] values are nanoseconds.

use crate::interface::Time;

// Latency estimates and hedging.

/// Answers in the window that a class's percentiles are computed over.
pub(super) const LATENCY_WINDOW: usize = 96;
/// 95th percentile that is assumed before any answer, as a ratio of the latency target. The median
/// is assumed to be a third of it.
pub(super) const INITIAL_P95_RATIO: f64 = 0.3;
/// Hedge tokens earned by the first attempt of each part.
pub(super) const HEDGES_PER_PART: f64 = 0.1;
/// The most hedge tokens that may be saved up.
pub(super) const MAX_SAVED_HEDGES: f64 = 4.0;
/// Ratio of a stated retry budget that hedges leave to retries after failures.
pub(super) const BUDGET_RESERVED_FOR_RETRIES: f64 = 0.4;

// Concurrency limit of each server (additive increase, multiplicative decrease).

/// Concurrent calls to a server at the start.
pub(super) const INITIAL_CONCURRENCY: f64 = 3.0;
/// The lowest concurrency limit.
pub(super) const MIN_CONCURRENCY: f64 = 1.0;
/// A server whose smoothed delay exceeds this ratio of the latency target has its limit lowered.
pub(super) const SLOW_DELAY_RATIO: f64 = 0.2;
/// Factor by which the limit of a slow server is lowered.
pub(super) const CONCURRENCY_DECREASE: f64 = 0.75;

// Admission and load shedding.

/// While evidence is thin a query is rejected if a shard may take this ratio of its time left.
pub(super) const HOT_SHARD_RATIO: f64 = 0.5;
/// Nanoseconds by which an observed delay decays in each nanosecond that passes.
pub(super) const DELAY_DECAY: f64 = 0.25;
/// Pending parts may take this ratio of the least latency target, at the rate at which answers
/// arrive; queries beyond that are rejected.
pub(super) const MAX_BACKLOG_RATIO: f64 = 0.25;
/// A query is not started with less time left than its class's 95th percentile, or than this ratio
/// of its time budget if that is less.
pub(super) const MAX_START_RATIO: f64 = 0.4;

// Load probes and choice of replica.

/// How long a probe's answer is used, as a ratio of the least latency target.
pub(super) const PROBE_VALIDITY_RATIO: f64 = 0.125;
/// How many ticks a query waits for the answers to its probes.
pub(super) const PROBE_TIMEOUT_TICKS: Time = 4;
/// A part is moved to another replica that is expected to be so many times as fast; less is a tie.
pub(super) const CLEARLY_FASTER_RATIO: f64 = 1.25;

// Outlier detection.

/// The number of outcomes up to which they are counted, as what is learned of a server rests on no
/// older ones.
pub(super) const MAX_OUTCOME_COUNT: f64 = 16.0;
/// Weight of one sample in a server's exponentially weighted moving averages.
pub(super) const EWMA_WEIGHT: f64 = 0.25;
/// Slowness (1 is like the median peer) that a failure counts as; also the highest sample.
pub(super) const FAILURE_SLOWNESS: f64 = 8.0;
/// A server with a higher smoothed error rate is failing.
pub(super) const FAILING_ERROR_RATE: f64 = 0.5;
/// As a failing server answers at once it always looks idle. It is sent one part in each latency
/// target, or one in this ratio of it where a shard has no other replica.
pub(super) const SOLE_REPLICA_RETRY_RATIO: f64 = 0.25;
/// A server this much slower than usual, and twice as slow as its median peer, is an outlier.
pub(super) const OUTLIER_SLOWNESS: f64 = 3.0;
/// Latency targets over which slowness decays to 1 without new samples.
pub(super) const SLOWNESS_DECAY_TARGETS: f64 = 12.0;
/// A server that has not answered since its oldest attempt started, this many 95th percentiles
/// ago, is unresponsive.
pub(super) const UNRESPONSIVE_P95S: f64 = 2.0;
/// When more than this ratio of the servers look unresponsive the fault is common to them, and none
/// is judged by it.
pub(super) const COMMON_FAULT_RATIO: f64 = 0.4;

// Crashing queries (a query whose parts kill the servers that run them).

/// A query whose parts reach more than this ratio of the servers sends one part ahead as a scout.
pub(super) const WIDE_QUERY_RATIO: f64 = 0.125;
/// Medians after which a scout is trusted while no crash has been seen, times the ratio of servers
/// that the query reaches.
pub(super) const SCOUT_TRUST_MEDIANS: f64 = 1.4;
/// Least latency targets for which queries send a scout after a server's crash.
pub(super) const CRASH_SUSPICION_TARGETS: Time = 8;

// Idle connections that middleboxes have dropped.

/// An attempt that ends before this ratio of the median cannot have run.
pub(super) const MIN_RUN_RATIO: f64 = 0.125;
/// A connection idle for this ratio of the shortest idle time that broke one is closed before use.
pub(super) const IDLE_CLOSE_RATIO: f64 = 0.75;

// Slow start.

/// Ratio of what was counted over a window of attempts that is no chance, over many servers too:
/// two standard deviations less.
pub(super) const CONFIDENT_RATIO: f64 = 0.8;
/// Ratio of a warming server's stated capacity that is used.
pub(super) const SLOW_START_UTILIZATION: f64 = 0.7;
/// Attempts whose times are remembered of each server.
pub(super) const SENDS_REMEMBERED: usize = 4 * LATENCY_WINDOW;
/// Bursts that must not overload a warming server, as a multiple of the mean answer rate.
pub(super) const SLOW_START_BURST: f64 = 1.5;

// Discovery.

/// Backoff before a known endpoint list is requested again: the first delay, which is longer in
/// large fleets, and the longest. With a timed-out call between them they stay below 6 s.
pub(super) const DISCOVERY_BACKOFF_MIN: Time = 200_000_000;
/// The longest backoff; see [`DISCOVERY_BACKOFF_MIN`].
pub(super) const DISCOVERY_BACKOFF_MAX: Time = 1_300_000_000;
