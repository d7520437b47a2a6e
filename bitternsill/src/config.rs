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
    /// A file that is to take the place of another lacks what that has.
    Lacks(String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::NoFile => {
                f.write_str("no configuration: set ROUTER_CONFIG or use --config")
            }
            ConfigError::File(path, problem) => write!(f, "{}: {problem}", path.display()),
            ConfigError::Json(problem) => write!(f, "configuration: {problem}"),
            ConfigError::Value(name) => {
                let form = if *name == "seed" {
                    "hex digits"
                } else {
                    "IP:PORT"
                };
                write!(
                    f,
                    "configuration: `{name}` is missing or malformed; allowed is {form}"
                )
            }
            ConfigError::Settings(problem) => problem.fmt(f),
            ConfigError::Lacks(what) => write!(f, "configuration: {what}"),
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
    /// Which keys the file has.
    pub shape: Shape,
}

/// Reads the file named on the command line or in the environment; variables stand in for what it
/// lacks.
pub fn load(path: Option<PathBuf>) -> Result<Config, ConfigError> {
    let path = path.or_else(|| std::env::var_os("ROUTER_CONFIG").map(PathBuf::from));
    let path = path.ok_or(ConfigError::NoFile)?;
    let text = std::fs::read(&path).map_err(|problem| ConfigError::File(path.clone(), problem))?;
    let json: Json = serde_json::from_slice(&text).map_err(ConfigError::Json)?;
    let word = |key: &str, variable: &str| {
        json[key]
            .as_str()
            .map(str::to_owned)
            .or_else(|| std::env::var(variable).ok())
    };
    let address = |key: &'static str, variable: &str| {
        word(key, variable)
            .and_then(|a| a.parse().ok())
            .ok_or(ConfigError::Value(key))
    };
    let admin = match word("admin", "ROUTER_ADMIN") {
        None if json["admin"].is_null() => None,
        word => Some(
            word.and_then(|a| a.parse().ok())
                .ok_or(ConfigError::Value("admin"))?,
        ),
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
        shape: Shape(json),
    })
}

/// Keys that a file may leave out though the one before had them: hints for a start, and what the
/// platform's pages call absent at times.
const OPTIONAL: &[&str] = &[
    "known",
    "seed",
    "aim_stretch",
    "warm_keys",
    "budget_free",
    "repeat_ratio",
    "counted_over",
    "fleet",
];

/// A file as far as its keys and their kinds go.
#[derive(Debug, Clone)]
pub struct Shape(Json);

impl Shape {
    /// Whether this file has all that `other` has; what it lacks otherwise. A file that is being
    /// written, or was cut in its making, may well be sound JSON and still leave out a limit or a
    /// class's price.
    pub fn fits(&self, other: &Shape) -> Result<(), String> {
        fits(&self.0, &other.0, "")?;
        let classes = |json: &Json| {
            json["settings"]["request_classes"]
                .as_array()
                .map_or(0, Vec::len)
        };
        let lists = other.0["settings"]["extra"]
            .as_object()
            .into_iter()
            .flatten();
        for (key, value) in lists {
            let told = |json: &Json| json.as_array().map(Vec::len);
            let here = &self.0["settings"]["extra"][key];
            if told(value) == Some(classes(&other.0)) && told(here) != Some(classes(&self.0)) {
                return Err(format!(
                    "`settings.extra.{key}` does not tell one value for each class"
                ));
            }
        }
        Ok(())
    }
}

fn fits(here: &Json, other: &Json, path: &str) -> Result<(), String> {
    match (here, other) {
        (Json::Object(here), Json::Object(other)) => {
            for (key, value) in other
                .iter()
                .filter(|(key, _)| !OPTIONAL.contains(&key.as_str()))
            {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                let there = here
                    .get(key)
                    .ok_or_else(|| format!("`{path}` is missing"))?;
                fits(there, value, &path)?;
            }
            Ok(())
        }
        // Each entry must have what all entries had.
        (Json::Array(here), Json::Array(other))
            if other.iter().all(Json::is_object) && !other.is_empty() =>
        {
            let mut common = other[0].clone();
            if let Json::Object(common) = &mut common {
                common.retain(|key, _| other.iter().all(|entry| entry.get(key).is_some()));
            }
            here.iter()
                .enumerate()
                .try_for_each(|(at, entry)| fits(entry, &common, &format!("{path}[{at}]")))
        }
        _ if std::mem::discriminant(here) == std::mem::discriminant(other) || other.is_null() => {
            Ok(())
        }
        _ => Err(format!("`{path}` is {here}, where {} stood", kind(other))),
    }
}

fn kind(json: &Json) -> &'static str {
    match json {
        Json::Null => "nothing",
        Json::Bool(_) => "true or false",
        Json::Number(_) => "a number",
        Json::String(_) => "text",
        Json::Array(_) => "a list",
        Json::Object(_) => "an object",
    }
}
