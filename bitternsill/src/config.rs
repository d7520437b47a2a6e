//! The platform's configuration of a gatherer: a file, and environment variables for values that
//! the file lacks.

mod shape;

pub use shape::{Shape, ShapeError};

use crate::core::settings::SettingsError;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The form of an address.
const ADDRESS_FORM: &str = "IP:PORT";
/// The form of a seed.
const SEED_FORM: &str = "hex digits";

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No file was named.
    #[error("no configuration: set ROUTER_CONFIG or use --config")]
    NoFile,
    /// The file cannot be read.
    #[error("{path}: {source}", path = .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("configuration: {0}")]
    Json(serde_json::Error),
    /// A value is missing or malformed.
    #[error("configuration: `{key}` is missing or malformed; allowed is {allowed}")]
    Value {
        /// The key.
        key: &'static str,
        /// The form that its value may have.
        allowed: &'static str,
    },
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file that is read again lacks keys that it had before.
    #[error("configuration: {0}")]
    Shape(#[from] ShapeError),
}

/// A gatherer's configuration.
#[derive(Debug)]
pub struct Config {
    /// The file that it was read from.
    pub path: PathBuf,
    /// The gatherer's name.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the operators' API; most platforms have none.
    pub admin: Option<SocketAddr>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The maximum number of file descriptors.
    pub sockets: usize,
    /// The memory limit, in MB.
    pub memory_mb: usize,
    /// The last known endpoint list, in the form in which discovery sends it; null if there is
    /// none.
    pub known: Json,
    /// The settings.
    pub settings: Json,
    /// The keys of the file.
    pub shape: Shape,
}

/// Reads the file given on the command line or in the environment. Environment variables supply
/// values that it lacks.
pub fn load(path: Option<PathBuf>) -> Result<Config, ConfigError> {
    let path = path.or_else(|| std::env::var_os("ROUTER_CONFIG").map(PathBuf::from));
    let path = path.ok_or(ConfigError::NoFile)?;
    let text = std::fs::read(&path).map_err(|source| ConfigError::File {
        path: path.clone(),
        source,
    })?;
    let json: Json = serde_json::from_slice(&text).map_err(ConfigError::Json)?;
    let text_of = |key: &str, variable: &str| {
        json[key]
            .as_str()
            .map(str::to_owned)
            .or_else(|| std::env::var(variable).ok())
    };
    let address = |key: &'static str, variable: &str| {
        text_of(key, variable)
            .and_then(|a| a.parse().ok())
            .ok_or(malformed(key, ADDRESS_FORM))
    };
    let admin = match text_of("admin", "ROUTER_ADMIN") {
        None if json["admin"].is_null() => None,
        text => Some(
            text.and_then(|a| a.parse().ok())
                .ok_or(malformed("admin", ADDRESS_FORM))?,
        ),
    };
    let seed = match &json["seed"] {
        Json::String(hex) => u64::from_str_radix(hex, 16).ok(),
        other => other.as_u64(),
    };
    Ok(Config {
        path,
        name: text_of("name", "ROUTER_NAME").unwrap_or_default(),
        listen: address("listen", "ROUTER_LISTEN")?,
        admin,
        discovery: address("discovery", "ROUTER_DISCOVERY")?,
        seed: seed.ok_or(malformed("seed", SEED_FORM))?,
        sockets: json["limits"]["sockets"].as_u64().unwrap_or(1024) as usize,
        memory_mb: json["limits"]["memory_mb"].as_u64().unwrap_or(192) as usize,
        known: json["known"].clone(),
        settings: json["settings"].clone(),
        shape: Shape::new(json),
    })
}

fn malformed(key: &'static str, allowed: &'static str) -> ConfigError {
    ConfigError::Value { key, allowed }
}
