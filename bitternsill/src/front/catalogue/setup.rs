//! The operator's file that sets this front up.

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

/// Something in the file that cannot be used.
#[derive(Debug)]
pub enum SetupError {
    /// The file cannot be read.
    File(std::io::Error),
    /// It is not JSON.
    Json(serde_json::Error),
    /// A value is missing or malformed: where, what stands there, and what is allowed.
    Value {
        /// Its place, by keys and dots.
        path: String,
        /// What stands there, in JSON; empty where nothing does.
        found: String,
        /// What is wrong and what is allowed.
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

/// What index hosts speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Speaks {
    /// SRU.
    Sru,
    /// Z39.50.
    Z3950,
}

/// A whole number within bounds that the error tells.
#[derive(Debug, Clone, Copy)]
struct Within<const LEAST: u64, const MOST: u64>(u64);

impl<'de, const LEAST: u64, const MOST: u64> Deserialize<'de> for Within<LEAST, MOST> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let allowed = format!("a whole number from {LEAST} to {MOST} is allowed");
        match Json::deserialize(from)?.as_u64() {
            Some(n) if (LEAST..=MOST).contains(&n) => Ok(Within(n)),
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

/// A text that is not empty.
#[derive(Debug, Clone)]
struct Word(String);

impl<'de> Deserialize<'de> for Word {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        match Json::deserialize(from)? {
            Json::String(text) if !text.is_empty() => Ok(Word(text)),
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
    sockets: Option<Within<64, 1_048_576>>,
    listen: Listen,
    database: Word,
    title: Option<Word>,
    class: Word,
    page_class: Option<Word>,
    scan_class: Option<Word>,
    budget_ms: Within<1, 3_600_000>,
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
enum When {
    Init,
    Challenge,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Readers {
    ask: When,
    passwords: BTreeMap<String, Word>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ResultSets {
    idle_s: Option<Within<1, 86_400>>,
    count: Option<Within<1, 1_000_000>>,
    memory_mb: Option<Within<1, 65_536>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct IndexHosts {
    speak: Speaks,
    database: Option<Word>,
    discovery: Option<Address>,
    #[serde(default)]
    members: Json,
    sessions: Option<Within<1, 256>>,
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

/// A store with several members.
#[derive(Debug, Clone)]
pub struct StoreSetup {
    /// This member.
    pub member: u64,
    /// Every member and its address.
    pub members: BTreeMap<u64, SocketAddr>,
    /// Whether this member begins the store, where there is none yet.
    pub begins: bool,
    /// What this member keeps across its restarts.
    pub file: PathBuf,
    /// For tests alone: so much longer each sync takes, and what is not synced is not in the file.
    pub test_sync: Duration,
    /// The disk is taken to be full while this is there; for tests.
    pub test_full_while: Option<PathBuf>,
}

/// What bounds the result sets, where the file says so.
#[derive(Debug, Clone, Copy, Default)]
pub struct SetSizes {
    /// How long a set is kept unused.
    pub idle: Option<Time>,
    /// Sets of all clients.
    pub count: Option<usize>,
    /// Their bytes.
    pub bytes: Option<usize>,
}

/// The file's content.
#[derive(Debug)]
pub struct Setup {
    /// The file that it was read from; empty where it was none.
    pub path: PathBuf,
    /// The gatherer's name.
    pub name: String,
    /// For random numbers; told by the file where runs are to be alike.
    pub seed: Option<u64>,
    /// File descriptors that it may hold.
    pub sockets: usize,
    /// Where SRU clients connect.
    pub sru: Option<SocketAddr>,
    /// Where Z39.50 clients connect.
    pub z3950: Option<SocketAddr>,
    /// Where discovery listens, where there is one.
    pub discovery: Option<SocketAddr>,
    /// The list of index hosts, in discovery's form.
    pub members: Json,
    /// What they speak.
    pub speaks: Speaks,
    /// Sessions to one index host, where the file says so.
    pub host_sessions: Option<usize>,
    /// The database's name as clients see it.
    pub database: String,
    /// Its title for people.
    pub title: String,
    /// Its name at index hosts, with `{slice}` for the slice's number.
    pub slice_database: String,
    /// The classes of the rounds, by place.
    pub classes: Classes,
    /// How long a client is taken to wait.
    pub budget: Time,
    /// Who may search.
    pub access: Access,
    /// What bounds the result sets.
    pub sets: SetSizes,
    /// This member of the store, and where all of them are.
    pub store: Option<StoreSetup>,
    /// Where what is learned is kept.
    pub learning: Option<LearningSetup>,
    /// How the gatherer returns after a start, where it does by rule.
    pub recovery: Option<RecoverySetup>,
    /// The module's settings and the program's share of them.
    pub settings: (Settings, Deployment),
}

/// Reads the file at a path.
pub fn load(path: &Path) -> Result<Setup, SetupError> {
    Ok(Setup {
        path: path.to_owned(),
        ..read(&load_json(path)?)?
    })
}

/// Reads the JSON at a path.
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

/// What an installation has beside the platform's configuration.
#[derive(Debug, Default)]
pub struct OperatorSetup {
    /// Where what is learned is kept.
    pub learning: Option<LearningSetup>,
    /// This member of the store, and where all of them are.
    pub store: Option<StoreSetup>,
    /// How the gatherer returns after a start, where it does by rule.
    pub recovery: Option<RecoverySetup>,
    /// Which version of the configuration it acts on, where the store has these.
    pub versions: Option<VersionsSetup>,
}

/// Reads an operator's file for the platform's front.
pub fn read_operator(json: &Json) -> Result<OperatorSetup, SetupError> {
    let file: Operator = serde_path_to_error::deserialize(json).map_err(|problem| {
        let path = problem.path().to_string();
        bad(
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
        Some(_) if store.is_none() => Err(bad(
            json,
            "versions",
            "a `store` is wanted beside it: it has them",
        )),
        Some(setup) if !(1_000..=3_600_000).contains(&setup.validity_ms) => Err(bad(
            json,
            "versions.validity_ms",
            "allowed is 1000 to 3600000",
        )),
        Some(setup) if !(100..=600_000).contains(&setup.note_ms) => {
            Err(bad(json, "versions.note_ms", "allowed is 100 to 600000"))
        }
        _ => Ok(versions),
    }
}

fn read_recovery(
    json: &Json,
    recovery: Option<RecoverySetup>,
    store: Option<&StoreSetup>,
) -> Result<Option<RecoverySetup>, SetupError> {
    match recovery {
        Some(_) if store.is_none() => Err(bad(
            json,
            "recovery",
            "a `store` is wanted beside it: its other members are asked",
        )),
        recovery => Ok(recovery),
    }
}

fn read_store(json: &Json, store: Store) -> Result<StoreSetup, SetupError> {
    if !store.members.contains_key(&store.member) {
        return Err(bad(
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

/// What stands at a path, shortened.
fn at(json: &Json, path: &str) -> String {
    // What is wrong with a password is told without it.
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

fn bad(json: &Json, path: &str, problem: impl Into<String>) -> SetupError {
    SetupError::Value {
        path: path.to_owned(),
        found: at(json, path),
        problem: problem.into(),
    }
}

/// Reads the file's content.
pub fn read(json: &Json) -> Result<Setup, SetupError> {
    let file: File = serde_path_to_error::deserialize(json).map_err(|problem| {
        let path = match problem.path().to_string() {
            top if top == "." => "file".to_owned(),
            path => path,
        };
        let words = problem.into_inner().to_string();
        bad(json, &path, words)
    })?;
    let (sru, z3950) = (file.listen.sru.map(|a| a.0), file.listen.z3950.map(|a| a.0));
    if sru.is_none() && z3950.is_none() {
        return Err(bad(json, "listen", "`sru`, `z3950` or both are wanted"));
    }
    let hosts = file.index_hosts;
    let discovery = hosts.discovery.map(|a| a.0);
    if !hosts.members.is_null() {
        read_list(&hosts.members, &mut Names::default())
            .map_err(|problem| bad(json, "index_hosts.members", problem.to_string()))?;
    } else if discovery.is_none() {
        return Err(bad(
            json,
            "index_hosts",
            "`members`, `discovery` or both are wanted",
        ));
    }
    let slice_database = hosts.database.map_or("{slice}".to_owned(), |d| d.0);
    if !slice_database.contains("{slice}") {
        return Err(bad(
            json,
            "index_hosts.database",
            "a text with `{slice}` in it is allowed",
        ));
    }
    let mut settings = settings::read(&file.settings)
        .map_err(|problem| bad(json, "settings", problem.to_string()))?;
    // Neither protocol carries several parts in one message: each is a call of its own.
    settings.0.call_parts = 1;
    let class = |name: &str, key: &str| {
        let place = settings.1.classes.iter().position(|c| *c == name);
        let names = settings.1.classes.join(", ");
        let place = place.ok_or_else(|| {
            bad(
                json,
                key,
                format!("a class of the settings is allowed: {names}"),
            )
        })?;
        if settings.0.classes[place].second_step > 0 {
            return Err(bad(
                json,
                key,
                "a class without a second step is allowed (`extra.class_fetch` of 0)",
            ));
        }
        if settings.1.keyed[place] {
            return Err(bad(
                json,
                key,
                "a class that is safe to repeat is allowed (`effect` read_like)",
            ));
        }
        Ok(place)
    };
    let search = class(&file.class.0, "class")?;
    let other =
        |name: &Option<Word>, key: &str| name.as_ref().map_or(Ok(search), |n| class(&n.0, key));
    let classes = Classes {
        search,
        page: other(&file.page_class, "page_class")?,
        scan: other(&file.scan_class, "scan_class")?,
    };
    let access = match file.readers {
        None => Access::Open,
        Some(readers) => {
            if z3950.is_none() {
                return Err(bad(
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
                When::Init => Access::AtInit(list.collect()),
                When::Challenge => Access::Challenge(list.collect()),
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
        speaks: hosts.speak,
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
