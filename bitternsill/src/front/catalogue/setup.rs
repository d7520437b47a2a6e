//! Reads the operator's configuration file for the catalogue, and its counterpart for the platform.

use super::Classes;
use crate::core::settings::{self, Deployment};
use crate::front::platform::discovery::{Names, read_list};
use crate::learned::LearningSetup;
use crate::limits::MS;
use crate::recovery::RecoverySetup;
use crate::versions::VersionsSetup;
use catalogue::session::{Access, Reader};
use dispatch::interface::{Settings, Time};
use serde::Deserialize;
use serde::de::{self, Deserializer};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An error in the file.
#[derive(Debug)]
pub enum SetupError {
    /// The file cannot be read.
    File(std::io::Error),
    /// The file is not JSON.
    Json(serde_json::Error),
    /// A value is missing or not allowed.
    Value {
        /// The path of the value, with dots between the keys.
        path: String,
        /// The value found, as JSON; empty if there is none.
        found: String,
        /// The problem, with the values allowed.
        problem: String,
    },
}

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SetupError::File(problem) => write!(f, "cannot be read: {problem}"),
            SetupError::Json(problem) => write!(f, "is not JSON: {problem}"),
            SetupError::Value {
                path,
                found,
                problem,
            } if found.is_empty() => {
                write!(f, "`{path}`: {problem}")
            }
            SetupError::Value {
                path,
                found,
                problem,
            } => write!(f, "`{path}`: {found}: {problem}"),
        }
    }
}

impl std::error::Error for SetupError {}

/// The protocol of the index hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostProtocolName {
    /// SRU.
    Sru,
    /// Z39.50.
    Z3950,
}

/// An integer within inclusive bounds, which the error message names.
#[derive(Debug, Clone, Copy)]
struct IntegerInRange<const MIN: u64, const MAX: u64>(u64);

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for IntegerInRange<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let allowed = format!("a whole number from {MIN} to {MAX} is allowed");
        match Json::deserialize(from)?.as_u64() {
            Some(n) if (MIN..=MAX).contains(&n) => Ok(IntegerInRange(n)),
            _ => Err(de::Error::custom(allowed)),
        }
    }
}

/// An address and port.
#[derive(Debug, Clone, Copy)]
struct Address(SocketAddr);

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let parsed = Json::deserialize(from)?
            .as_str()
            .and_then(|text| text.parse().ok());
        let allowed = "an IP address and a port are allowed, as in \"127.0.0.1:7090\"";
        parsed
            .map(Address)
            .ok_or_else(|| de::Error::custom(allowed))
    }
}

/// A non-empty string.
#[derive(Debug, Clone)]
struct NonEmptyText(String);

impl<'de> Deserialize<'de> for NonEmptyText {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        match Json::deserialize(from)? {
            Json::String(text) if !text.is_empty() => Ok(NonEmptyText(text)),
            _ => Err(de::Error::custom("a text that is not empty is allowed")),
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    name: String,
    seed: Option<u64>,
    sockets: Option<IntegerInRange<64, 1_048_576>>,
    listen: Listen,
    database: NonEmptyText,
    title: Option<NonEmptyText>,
    class: NonEmptyText,
    page_class: Option<NonEmptyText>,
    scan_class: Option<NonEmptyText>,
    budget_ms: IntegerInRange<1, 3_600_000>,
    readers: Option<Readers>,
    #[serde(default)]
    result_sets: ResultSets,
    index_hosts: IndexHosts,
    settings: Json,
    store: Option<Store>,
    learning: Option<LearningSetup>,
    recovery: Option<RecoverySetup>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Listen {
    sru: Option<Address>,
    z3950: Option<Address>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum PasswordTime {
    Init,
    Challenge,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Readers {
    ask: PasswordTime,
    passwords: BTreeMap<String, NonEmptyText>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ResultSets {
    idle_s: Option<IntegerInRange<1, 86_400>>,
    count: Option<IntegerInRange<1, 1_000_000>>,
    memory_mb: Option<IntegerInRange<1, 65_536>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct IndexHosts {
    speak: HostProtocolName,
    database: Option<NonEmptyText>,
    discovery: Option<Address>,
    #[serde(default)]
    members: Json,
    sessions: Option<IntegerInRange<1, 256>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Store {
    member: u64,
    #[serde(default)]
    begins: bool,
    file: PathBuf,
    members: BTreeMap<u64, Address>,
    #[serde(default)]
    test_sync_ms: u64,
    #[serde(default)]
    test_full_while: Option<PathBuf>,
}

/// The setup of a store with several members.
#[derive(Debug, Clone)]
pub struct StoreSetup {
    /// The id of this member.
    pub member: u64,
    /// The addresses of all members.
    pub members: BTreeMap<u64, SocketAddr>,
    /// Whether this member creates the store if there is none yet.
    pub begins: bool,
    /// The file of this member.
    pub file: PathBuf,
    /// For tests: an additional delay of each sync, before which data is not in the file.
    pub test_sync: Duration,
    /// For tests: the disk counts as full while this file exists.
    pub test_full_while: Option<PathBuf>,
}

/// Limits of the result sets that the file overrides.
#[derive(Debug, Clone, Copy, Default)]
pub struct SetSizes {
    /// How long an unused set is kept.
    pub idle: Option<Time>,
    /// The number of sets of all clients.
    pub count: Option<usize>,
    /// The total bytes of the sets.
    pub bytes: Option<usize>,
}

/// The configuration of the catalogue.
#[derive(Debug)]
pub struct Setup {
    /// The path of the file; empty if it was not read from one.
    pub path: PathBuf,
    /// The gatherer's name.
    pub name: String,
    /// The random seed, for reproducible runs.
    pub seed: Option<u64>,
    /// The maximum number of file descriptors.
    pub sockets: usize,
    /// The address for SRU clients.
    pub sru: Option<SocketAddr>,
    /// The address for Z39.50 clients.
    pub z3950: Option<SocketAddr>,
    /// The address of discovery, if there is one.
    pub discovery: Option<SocketAddr>,
    /// The list of index hosts, in the format of discovery.
    pub members: Json,
    /// The protocol of the index hosts.
    pub host_protocol: HostProtocolName,
    /// The number of sessions per index host, if the file sets it.
    pub host_sessions: Option<usize>,
    /// The name of the database for clients.
    pub database: String,
    /// The human-readable title of the database.
    pub title: String,
    /// The name of the database at index hosts, with `{slice}` for the number of the slice.
    pub slice_database: String,
    /// The classes of the rounds, by their index in the settings.
    pub classes: Classes,
    /// How long a client is assumed to wait.
    pub budget: Time,
    /// Who may search.
    pub access: Access,
    /// Limits of the result sets.
    pub sets: SetSizes,
    /// The store, if it has several members.
    pub store: Option<StoreSetup>,
    /// The persistence of learned state, if configured.
    pub learning: Option<LearningSetup>,
    /// The recovery after a start, if configured.
    pub recovery: Option<RecoverySetup>,
    /// The settings of the dispatcher and of the program.
    pub settings: (Settings, Deployment),
}

/// Reads the configuration of the catalogue from a file.
pub fn load(path: &Path) -> Result<Setup, SetupError> {
    Ok(Setup {
        path: path.to_owned(),
        ..read(&load_json(path)?)?
    })
}

/// Reads a JSON file.
pub fn load_json(path: &Path) -> Result<Json, SetupError> {
    let text = std::fs::read(path).map_err(SetupError::File)?;
    serde_json::from_slice(&text).map_err(SetupError::Json)
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Operator {
    learning: Option<LearningSetup>,
    store: Option<Store>,
    recovery: Option<RecoverySetup>,
    versions: Option<VersionsSetup>,
}

/// The operator's settings in addition to the platform's configuration.
#[derive(Debug, Default)]
pub struct OperatorSetup {
    /// The persistence of learned state, if configured.
    pub learning: Option<LearningSetup>,
    /// The store, if it has several members.
    pub store: Option<StoreSetup>,
    /// The recovery after a start, if configured.
    pub recovery: Option<RecoverySetup>,
    /// The configuration versions in the store, if configured.
    pub versions: Option<VersionsSetup>,
}

/// Reads an operator's file for the platform.
pub fn read_operator(json: &Json) -> Result<OperatorSetup, SetupError> {
    let file: Operator = serde_path_to_error::deserialize(json).map_err(|problem| {
        let path = problem.path().to_string();
        invalid(
            json,
            if path == "." { "file" } else { &path },
            problem.inner().to_string(),
        )
    })?;
    let store = file
        .store
        .map(|store| read_store(json, store))
        .transpose()?;
    let recovery = read_recovery(json, file.recovery, store.as_ref())?;
    let versions = read_versions(json, file.versions, store.as_ref())?;
    Ok(OperatorSetup {
        learning: file.learning,
        store,
        recovery,
        versions,
    })
}

fn read_versions(
    json: &Json,
    versions: Option<VersionsSetup>,
    store: Option<&StoreSetup>,
) -> Result<Option<VersionsSetup>, SetupError> {
    match &versions {
        Some(_) if store.is_none() => Err(invalid(
            json,
            "versions",
            "a `store` is wanted beside it: it has them",
        )),
        Some(setup) if !(1_000..=3_600_000).contains(&setup.validity_ms) => Err(invalid(
            json,
            "versions.validity_ms",
            "allowed is 1000 to 3600000",
        )),
        Some(setup) if !(100..=600_000).contains(&setup.note_ms) => Err(invalid(
            json,
            "versions.note_ms",
            "allowed is 100 to 600000",
        )),
        _ => Ok(versions),
    }
}

fn read_recovery(
    json: &Json,
    recovery: Option<RecoverySetup>,
    store: Option<&StoreSetup>,
) -> Result<Option<RecoverySetup>, SetupError> {
    match recovery {
        Some(_) if store.is_none() => Err(invalid(
            json,
            "recovery",
            "a `store` is wanted beside it: its other members are asked",
        )),
        recovery => Ok(recovery),
    }
}

fn read_store(json: &Json, store: Store) -> Result<StoreSetup, SetupError> {
    if !store.members.contains_key(&store.member) {
        return Err(invalid(
            json,
            "store.members",
            format!("member {} itself is wanted among them", store.member),
        ));
    }
    Ok(StoreSetup {
        member: store.member,
        members: store
            .members
            .into_iter()
            .map(|(id, address)| (id, address.0))
            .collect(),
        begins: store.begins,
        file: store.file,
        test_sync: Duration::from_millis(store.test_sync_ms),
        test_full_while: store.test_full_while,
    })
}

/// The value at a path, truncated for an error message.
fn value_at(json: &Json, path: &str) -> String {
    // Error messages must not contain passwords.
    if path.starts_with("readers.passwords") {
        return String::new();
    }
    let found = path.split('.').try_fold(json, |json, key| match json {
        Json::Array(items) => items.get(key.trim_matches(['[', ']']).parse::<usize>().ok()?),
        json => json.get(key),
    });
    let Some(found) = found.filter(|f| !f.is_object()) else {
        return String::new();
    };
    let text = found.to_string();
    match text.char_indices().nth(60) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}

fn invalid(json: &Json, path: &str, problem: impl Into<String>) -> SetupError {
    SetupError::Value {
        path: path.to_owned(),
        found: value_at(json, path),
        problem: problem.into(),
    }
}

/// Reads the configuration of the catalogue.
pub fn read(json: &Json) -> Result<Setup, SetupError> {
    let file: File = serde_path_to_error::deserialize(json).map_err(|problem| {
        let path = match problem.path().to_string() {
            top if top == "." => "file".to_owned(),
            path => path,
        };
        let problem = problem.into_inner().to_string();
        invalid(json, &path, problem)
    })?;
    let (sru, z3950) = (file.listen.sru.map(|a| a.0), file.listen.z3950.map(|a| a.0));
    if sru.is_none() && z3950.is_none() {
        return Err(invalid(json, "listen", "`sru`, `z3950` or both are wanted"));
    }
    let hosts = file.index_hosts;
    let discovery = hosts.discovery.map(|a| a.0);
    if !hosts.members.is_null() {
        read_list(&hosts.members, &mut Names::default())
            .map_err(|problem| invalid(json, "index_hosts.members", problem.to_string()))?;
    } else if discovery.is_none() {
        return Err(invalid(
            json,
            "index_hosts",
            "`members`, `discovery` or both are wanted",
        ));
    }
    let slice_database = hosts.database.map_or("{slice}".to_owned(), |d| d.0);
    if !slice_database.contains("{slice}") {
        return Err(invalid(
            json,
            "index_hosts.database",
            "a text with `{slice}` in it is allowed",
        ));
    }
    let mut settings = settings::read(&file.settings)
        .map_err(|problem| invalid(json, "settings", problem.to_string()))?;
    // Neither protocol can send several parts in one message, so each part is a call of its own.
    settings.0.call_parts = 1;
    let class = |name: &str, key: &str| {
        let index = settings.1.classes.iter().position(|c| *c == name);
        let names = settings.1.classes.join(", ");
        let index = index.ok_or_else(|| {
            invalid(
                json,
                key,
                format!("a class of the settings is allowed: {names}"),
            )
        })?;
        if settings.0.classes[index].second_step > 0 {
            return Err(invalid(
                json,
                key,
                "a class without a second step is allowed (`extra.class_fetch` of 0)",
            ));
        }
        if settings.1.keyed[index] {
            return Err(invalid(
                json,
                key,
                "a class that is safe to repeat is allowed (`effect` read_like)",
            ));
        }
        Ok(index)
    };
    let search = class(&file.class.0, "class")?;
    let other = |name: &Option<NonEmptyText>, key: &str| {
        name.as_ref().map_or(Ok(search), |n| class(&n.0, key))
    };
    let classes = Classes {
        search,
        page: other(&file.page_class, "page_class")?,
        scan: other(&file.scan_class, "scan_class")?,
    };
    let access = match file.readers {
        None => Access::Open,
        Some(readers) => {
            if z3950.is_none() {
                return Err(invalid(
                    json,
                    "readers",
                    "they are asked by Z39.50 alone, and `listen.z3950` is not there",
                ));
            }
            let list = readers
                .passwords
                .into_iter()
                .map(|(name, password)| Reader {
                    name,
                    password: password.0,
                });
            match readers.ask {
                PasswordTime::Init => Access::AtInit(list.collect()),
                PasswordTime::Challenge => Access::Challenge(list.collect()),
            }
        }
    };
    let store = file
        .store
        .map(|store| read_store(json, store))
        .transpose()?;
    let recovery = read_recovery(json, file.recovery, store.as_ref())?;
    Ok(Setup {
        path: PathBuf::new(),
        name: file.name,
        seed: file.seed,
        sockets: file.sockets.map_or(1024, |n| n.0 as usize),
        sru,
        z3950,
        discovery,
        members: hosts.members,
        host_protocol: hosts.speak,
        host_sessions: hosts.sessions.map(|n| n.0 as usize),
        title: file.title.map_or_else(|| file.database.0.clone(), |t| t.0),
        database: file.database.0,
        slice_database,
        classes,
        budget: file.budget_ms.0 * MS,
        access,
        sets: SetSizes {
            idle: file.result_sets.idle_s.map(|s| s.0 * 1_000 * MS),
            count: file.result_sets.count.map(|n| n.0 as usize),
            bytes: file.result_sets.memory_mb.map(|mb| (mb.0 as usize) << 20),
        },
        store,
        learning: file.learning,
        recovery,
        settings,
    })
}

#[cfg(test)]
mod tests;
