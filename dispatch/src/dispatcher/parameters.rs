//! The tuning parameters of the dispatch decisions.
//!
//! Most are ratios of a class's latency target, of its recent percentiles or of the fleet's size,
//! so that the same values suit fast and slow deployments. [`Time`] values are in nanoseconds.

use crate::interface::Time;

// Latency estimates and hedging.

/// Number of answers over which a class's percentiles are computed.
pub(super) const LATENCY_WINDOW: usize = 96;
/// The 95th percentile assumed before any answer, as a ratio of the latency target. The median is
/// assumed to be a third of it.
pub(super) const INITIAL_P95_RATIO: f64 = 0.3;
/// Hedge tokens earned by the first attempt of each part.
pub(super) const HEDGES_PER_PART: f64 = 0.1;
/// Maximum number of saved hedge tokens.
pub(super) const MAX_SAVED_HEDGES: f64 = 4.0;
/// Ratio of the retry budget that is reserved for retries after failures and not used by hedges.
pub(super) const BUDGET_RESERVED_FOR_RETRIES: f64 = 0.4;

// Concurrency limit per server (additive increase, multiplicative decrease).

/// Initial concurrency limit of a server, in calls.
pub(super) const INITIAL_CONCURRENCY: f64 = 3.0;
/// Lower bound of the concurrency limit.
pub(super) const MIN_CONCURRENCY: f64 = 1.0;
/// The limit of a server is decreased if its smoothed delay exceeds this ratio of the latency
/// target.
pub(super) const SLOW_DELAY_RATIO: f64 = 0.2;
/// Factor by which the limit of a slow server is multiplied.
pub(super) const CONCURRENCY_DECREASE: f64 = 0.75;

// Admission and load shedding.

/// While recent answers are few, a query is rejected if one of its shards is expected to take more
/// than this ratio of the remaining time.
pub(super) const HOT_SHARD_RATIO: f64 = 0.5;
/// Nanoseconds by which an observed delay decays per elapsed nanosecond.
pub(super) const DELAY_DECAY: f64 = 0.25;
/// Queries are rejected while the blocked parts would take longer than this ratio of the lowest
/// latency target at the recent rate of answers.
pub(super) const MAX_BACKLOG_RATIO: f64 = 0.25;
/// A query is not started if less time is left than its class's 95th percentile, or than this
/// ratio of its time budget, whichever is lower.
pub(super) const MAX_START_RATIO: f64 = 0.4;

// Load probes and replica selection.

/// Time after which a server may be probed again, as a ratio of the lowest latency target.
pub(super) const PROBE_VALIDITY_RATIO: f64 = 0.125;
/// Number of ticks that a query waits for the answers to its probes.
pub(super) const PROBE_TIMEOUT_TICKS: Time = 4;
/// A replica is clearly faster if it is expected to be faster by more than this factor; smaller
/// differences count as ties.
pub(super) const CLEARLY_FASTER_RATIO: f64 = 1.25;

// Outlier detection.

/// Maximum outcome count of a server. Older outcomes hardly affect its moving averages.
pub(super) const MAX_OUTCOME_COUNT: f64 = 16.0;
/// Weight of one sample in a server's exponentially weighted moving averages.
pub(super) const EWMA_WEIGHT: f64 = 0.25;
/// Slowness that a failure counts as, where 1 is the class's median latency. Also the maximum of
/// any sample.
pub(super) const FAILURE_SLOWNESS: f64 = 8.0;
/// A server whose smoothed error rate exceeds this is failing.
pub(super) const FAILING_ERROR_RATE: f64 = 0.5;
/// A failing server that answers immediately always looks idle. It is therefore sent at most one
/// part per latency target, or one per this ratio of it if no replica of the shard has capacity.
pub(super) const LAST_RESORT_RETRY_RATIO: f64 = 0.25;
/// A server is an outlier if its slowness exceeds both this and twice the median of its peers.
pub(super) const OUTLIER_SLOWNESS: f64 = 3.0;
/// Time over which slowness decays to 1 without new samples, in latency targets.
pub(super) const SLOWNESS_DECAY_TARGETS: f64 = 12.0;
/// A server is unresponsive if it has not answered since an attempt was sent to it this many 95th
/// percentiles ago.
pub(super) const UNRESPONSIVE_P95S: f64 = 2.0;
/// If more than this ratio of the servers is unresponsive, the cause is assumed to be common to all
/// of them, and their parts are not rescued by hedges.
pub(super) const COMMON_FAULT_RATIO: f64 = 0.4;

// Canary requests, which limit the damage of queries that crash servers.

/// A query that reaches more than this ratio of the servers sends one part first, as a canary.
pub(super) const WIDE_QUERY_RATIO: f64 = 0.125;
/// Time after which a canary that is still in flight is trusted if no server has crashed recently,
/// in median latencies, multiplied by the ratio of servers that the query reaches.
pub(super) const CANARY_TRUST_MEDIANS: f64 = 1.4;
/// Time for which queries send a canary first after servers crashed, in lowest latency targets.
pub(super) const CRASH_SUSPICION_TARGETS: Time = 8;

// Idle connections that middleboxes have silently dropped.

/// An attempt that ends within this ratio of the median latency cannot have run.
pub(super) const MIN_RUN_RATIO: f64 = 0.125;
/// A connection is closed before use if it was idle for more than this ratio of the shortest idle
/// time after which one was reset.
pub(super) const IDLE_CLOSE_RATIO: f64 = 0.75;

// Slow start.

/// Lower confidence bound of a rate counted over [`LATENCY_WINDOW`] attempts, as a ratio of it: two
/// standard deviations less, so that it also holds for the maximum over many servers.
pub(super) const CONFIDENT_RATIO: f64 = 0.8;
/// Ratio of the quota of a warming server that is used.
pub(super) const SLOW_START_UTILIZATION: f64 = 0.7;
/// Number of attempts per server whose send times are kept.
pub(super) const SENDS_REMEMBERED: usize = 4 * LATENCY_WINDOW;
/// Burst size that must not overload a warming server, as a multiple of the mean answer rate.
pub(super) const SLOW_START_BURST: f64 = 1.5;

// Discovery.

/// Initial backoff before the endpoint list is requested again while servers are known; longer in
/// large fleets. This delay, a call that times out and [`DISCOVERY_BACKOFF_MAX`] stay below 6 s.
pub(super) const DISCOVERY_BACKOFF_MIN: Time = 200_000_000;
/// Upper bound of that backoff, without jitter.
pub(super) const DISCOVERY_BACKOFF_MAX: Time = 1_300_000_000;
