//! The simulator's line protocol: a codec, and a host for many aggregators. All decisions are made
//! in [`crate::dispatcher`].

mod actions;
mod error;
mod host;
mod line;
mod settings;

pub use error::{FieldProblem, ProtocolError, SettingsError, WireError};
pub use host::Host;
pub use settings::read_settings;
