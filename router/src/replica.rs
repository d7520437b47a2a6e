//! This node's replica of the control state: its handle, and the task that runs it.

mod fleet_saver;
pub mod handle;
pub mod startup;
pub mod task;
