//! This node's replica of the control state: the handle that others use, and the task that runs it.

pub mod handle;
pub mod task;
