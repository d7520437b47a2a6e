//! The picture: what is learned of each host and of each class.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Milliseconds since 1970 by the machine's clock.
pub type Wall = u64;

/// What is learned of a class, in nanoseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassMemory {
    /// Its name.
    pub name: String,
    /// The median time of a part.
    pub median: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The least median that was seen.
    pub least: f64,
    /// The same two of answered attempts alone.
    pub tries: (f64, f64),
    /// How many answers it rests on, at most a window's.
    pub weight: f64,
}

/// What is learned of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostMemory {
    /// When it last started, by the list; 0 for long ago.
    pub born: Wall,
    /// How slow it is for each class; 1 is like its peers.
    pub slowness: Vec<f32>,
    /// Its smoothed delay, as a share of the aim.
    pub delay: f32,
    /// How many calls it may have.
    pub limit: f32,
    /// Its smoothed share of errors.
    pub errors: f32,
    /// How many answers that rests on; recent ones count in full.
    pub weight: f32,
    /// When it was last judged.
    pub judged: Wall,
}

/// The deployment that a picture is of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The classes' names, in order.
    pub classes: Vec<String>,
    /// How many cells there are.
    pub cells: u32,
    /// On how many in a row a shard is held.
    pub reach: u32,
}

/// All that is learned. A clone shares the hosts: handing it over copies nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct Picture {
    /// The deployment.
    pub fleet: Fleet,
    /// When it was taken.
    pub taken: Wall,
    /// The classes, in the fleet's order.
    pub classes: Vec<ClassMemory>,
    /// The hosts by their names in the list.
    pub hosts: OrdMap<Arc<str>, HostMemory>,
}

impl Picture {
    /// A picture of nothing yet.
    pub fn new(fleet: Fleet) -> Picture {
        Picture {
            fleet,
            taken: 0,
            classes: Vec::new(),
            hosts: OrdMap::new(),
        }
    }
}
