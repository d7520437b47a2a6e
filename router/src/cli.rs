//! What the command line calls.

use crate::serve::{self, ServeError};
use crate::settings::{PATH_VARIABLE, Settings, SettingsError};
use logforth::append;
use logforth::record::{Level, LevelFilter};
use std::path::PathBuf;

/// The settings file: the one that was named, or the environment's.
fn settings_path(named: Option<PathBuf>) -> Result<PathBuf, SettingsError> {
    named.or_else(|| std::env::var_os(PATH_VARIABLE).map(PathBuf::from)).ok_or(SettingsError::NoPath)
}

/// Runs a router until it is told to end.
pub fn run(settings: Option<PathBuf>) -> Result<(), ServeError> {
    let level = match std::env::var("BITTERNSILL_LOG").as_deref() {
        Ok("debug") => Level::Debug,
        Ok("warn") => Level::Warn,
        Ok("error") => Level::Error,
        _ => Level::Info,
    };
    let filter = LevelFilter::MoreSevereEqual(level);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append::Stderr::default()))
        .apply();
    serve::run(&settings_path(settings)?)
}

/// Checks a settings file.
pub fn check(settings: Option<PathBuf>) -> Result<String, SettingsError> {
    let path = settings_path(settings)?;
    let settings = Settings::read(&path)?;
    Ok(format!("{} is sound: node {} in zone {}", path.display(), settings.node_name, settings.zone))
}
