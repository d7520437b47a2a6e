//! Reads the settings: the dispatcher's through [`dispatch::wire`], the program's own ones here.

use super::bounds;
use crate::limits::MS;
use dispatch::interface::{Effect, Settings, Time};
use dispatch::wire::read_settings;
use serde_json::Value;
use std::fmt;

/// The settings that the program itself uses.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// The names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Which classes require an idempotency key.
    pub keyed: Vec<bool>,
    /// Whether `tick` is absent, so that the time between turns depends on the load.
    pub open_tick: bool,
    /// The number of shards.
    pub shards: u32,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the machine kinds.
    pub kinds: Vec<String>,
    /// The number of parts that one connection carries at once.
    pub parts_per_connection: usize,
    /// How long an index host keeps an idle connection open.
    pub host_idle: Option<Time>,
    /// How long a connection attempt may take.
    pub connect: Option<Time>,
    /// How long attempts may still be sent to a draining host.
    pub drain_grace: Option<Time>,
}

/// Settings that are missing or not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Checks and reads the settings of the dispatcher and of the program.
///
/// # Errors
///
/// If a setting is missing or not allowed.
pub fn read(value: &Value) -> Result<(Settings, Deployment), SettingsError> {
    bounds::check(value)?;
    let mut settings = read_settings(&value.to_string())
        // Strip the path prefix of the simulator's protocol, which operators never see.
        .map_err(|problem| {
            SettingsError(
                problem
                    .to_string()
                    .replace("INIT: setting `boot_info.", "`"),
            )
        })?;
    let open_tick = value["tick"].is_null();
    if open_tick {
        // The dispatcher counts some waits in ticks, so it needs a value all the same.
        settings.tick = MS;
    }
    let texts = |list: &Value| -> Vec<String> {
        let items = list.as_array().map(Vec::as_slice).unwrap_or_default();
        items
            .iter()
            .map(|item| item.as_str().unwrap_or_default().to_owned())
            .collect()
    };
    let number = |group: &str, key: &str| value[group][key].as_f64().filter(|n| *n >= 0.0);
    let names: Vec<String> = value["request_classes"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default()
        .iter()
        .map(|class| class["name"].as_str().unwrap_or_default().to_owned())
        .collect();
    if let Some(duplicate) = names
        .iter()
        .enumerate()
        .find(|(at, name)| names[..*at].contains(name))
    {
        return Err(SettingsError(format!(
            "the class `{}` stands twice in `request_classes`",
            duplicate.1
        )));
    }
    let deployment = Deployment {
        classes: names,
        keyed: settings
            .classes
            .iter()
            .map(|c| c.effect == Effect::Keyed)
            .collect(),
        open_tick,
        shards: number("extra", "ranges").map_or(settings.cells, |n| n as u32),
        zones: texts(&value["zones"]),
        kinds: texts(&value["kinds"]),
        parts_per_connection: number("limits", "streams_per_conn")
            .map_or(1, |n| n.max(1.0) as usize),
        host_idle: number("limits", "conn_idle").map(|n| n as Time),
        connect: number("limits", "connect_timeout").map(|n| n as Time),
        drain_grace: number("guarantees", "drain_grace").map(|n| n as Time),
    };
    Ok((settings, deployment))
}
