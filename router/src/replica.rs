//! This node's replica of the control state: its handle, and the task that runs it.

pub mod handle;
pub mod task;
