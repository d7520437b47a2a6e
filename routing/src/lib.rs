//! Routing decisions without I/O or clocks: load balancing, hedging, retry budgets, admission
//! control, outlier detection, and the index of prefix caches.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod hash_ring;
pub mod hedging;
pub mod idle_limit;
pub mod outlier_detection;
pub mod prefix_index;
pub mod prompt;
pub mod retry_budget;
pub mod selection;
pub mod traffic_split;
pub mod version_floor;

/// A point in time or a duration on a monotonic clock, in milliseconds.
pub type Millis = u64;
