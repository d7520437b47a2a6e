//! What the platform tells a gatherer: its configuration file, and the variables beside it.

use serde_json::Value as Json;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A configuration that cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    /// No file was named.
    NoFile,
    /// The file cannot be read.
    File(PathBuf, std::io::Error),
    /// The file is not JSON.
    Json(serde_json::Error),
    /// A value is missing or malformed.
    Value(&'static str),
    /// The settings cannot be used.
    Settings(crate::core::settings::SettingsError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::NoFile => f.write_str("no configuration: set ROUTER_CONFIG or use --config"),
            ConfigError::File(path, problem) => write!(f, "{}: {problem}", path.display()),
            ConfigError::Json(problem) => write!(f, "configuration: {problem}"),
            ConfigError::Value(name) => write!(f, "configuration: `{name}` is missing or malformed"),
            ConfigError::Settings(problem) => problem.fmt(f),
        }
    }
}

impl std::error::Error for ConfigError {}

/// A gatherer's configuration.
#[derive(Debug)]
pub struct Config {
    /// The file that it was read from.
    pub path: PathBuf,
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call; nowhere on most platforms.
    pub admin: Option<SocketAddr>,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that it may hold.
    pub sockets: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: usize,
    /// The list it last had, in discovery's form; null where there is none.
    pub known: Json,
    /// The settings.
    pub settings: Json,
}

/// Reads the file named on the command line or in the environment; variables stand in for what it lacks.
pub fn load(path: Option<PathBuf>) -> Result<Config, ConfigError> {
    let path = path.or_else(|| std::env::var_os("ROUTER_CONFIG").map(PathBuf::from));
    let path = path.ok_or(ConfigError::NoFile)?;
    let text = std::fs::read(&path).map_err(|problem| ConfigError::File(path.clone(), problem))?;
    let json: Json = serde_json::from_slice(&text).map_err(ConfigError::Json)?;
    let word = |key: &str, variable: &str| {
        json[key].as_str().map(str::to_owned).or_else(|| std::env::var(variable).ok())
    };
    let address = |key: &'static str, variable: &str| {
        word(key, variable).and_then(|a| a.parse().ok()).ok_or(ConfigError::Value(key))
    };
    let admin = match word("admin", "ROUTER_ADMIN") {
        None if json["admin"].is_null() => None,
        word => Some(word.and_then(|a| a.parse().ok()).ok_or(ConfigError::Value("admin"))?),
    };
    let seed = match &json["seed"] {
        Json::String(hex) => u64::from_str_radix(hex, 16).ok(),
        other => other.as_u64(),
    };
    Ok(Config {
        path,
        name: word("name", "ROUTER_NAME").unwrap_or_default(),
        listen: address("listen", "ROUTER_LISTEN")?,
        admin,
        discovery: address("discovery", "ROUTER_DISCOVERY")?,
        seed: seed.ok_or(ConfigError::Value("seed"))?,
        sockets: json["limits"]["sockets"].as_u64().unwrap_or(1024) as usize,
        memory_mb: json["limits"]["memory_mb"].as_u64().unwrap_or(192) as usize,
        known: json["known"].clone(),
        settings: json["settings"].clone(),
    })
}
