//! The operator's file that sets this front up.

use crate::core::settings::{self, Deployment};
use crate::front::platform::discovery::{Names, read_list};
use crate::limits::MS;
use bramblestair::interface::{Settings, Time};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Something in the file that cannot be used.
#[derive(Debug)]
pub enum SetupError {
    /// The file cannot be read.
    File(std::io::Error),
    /// It is not JSON.
    Json(serde_json::Error),
    /// A value is missing or malformed; the text says which and what is wanted.
    Value(String),
}

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SetupError::File(problem) => write!(f, "cannot be read: {problem}"),
            SetupError::Json(problem) => write!(f, "is not JSON: {problem}"),
            SetupError::Value(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for SetupError {}

/// What index hosts speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Speaks {
    /// SRU.
    Sru,
    /// Z39.50.
    Z3950,
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
}

fn read_store(json: &Json) -> Result<Option<StoreSetup>, SetupError> {
    if json.is_null() {
        return Ok(None);
    }
    let bad = |what: &str| SetupError::Value(format!("`store.{what}`"));
    let member = json["member"].as_u64().ok_or_else(|| bad("member`: no number"))?;
    let members = json["members"].as_object().ok_or_else(|| bad("members`: no object"))?;
    let entry = |(id, address): (&String, &Json)| Some((id.parse().ok()?, address.as_str()?.parse().ok()?));
    let members: Option<BTreeMap<u64, SocketAddr>> = members.iter().map(entry).collect();
    let members = members.ok_or_else(|| bad("members`: not numbers with addresses"))?;
    if !members.contains_key(&member) {
        return Err(bad("members`: without this member"));
    }
    let file = json["file"].as_str().ok_or_else(|| bad("file`: no path"))?.into();
    Ok(Some(StoreSetup { member, members, begins: json["begins"].as_bool().unwrap_or(false), file }))
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
    /// The database's name as clients see it.
    pub database: String,
    /// Its title for people.
    pub title: String,
    /// Its name at index hosts, with `{slice}` for the slice's number.
    pub slice_database: String,
    /// The class of a search, by place.
    pub class: usize,
    /// How long a client is taken to wait.
    pub budget: Time,
    /// This member of the store, and where all of them are.
    pub store: Option<StoreSetup>,
    /// The module's settings and the program's share of them.
    pub settings: (Settings, Deployment),
}

/// Reads the file at a path.
pub fn load(path: &Path) -> Result<Setup, SetupError> {
    Ok(Setup { path: path.to_owned(), ..read(&load_json(path)?)? })
}

/// Reads the JSON at a path.
pub fn load_json(path: &Path) -> Result<Json, SetupError> {
    let text = std::fs::read(path).map_err(SetupError::File)?;
    serde_json::from_slice(&text).map_err(SetupError::Json)
}

/// Reads the file's content.
pub fn read(json: &Json) -> Result<Setup, SetupError> {
    let bad = |what: String| SetupError::Value(what);
    let text = |key: &str| json[key].as_str().map(str::to_owned);
    let wanted =
        |key: &str| text(key).filter(|t| !t.is_empty()).ok_or_else(|| bad(format!("`{key}`: no text")));
    let address = |group: &str, key: &str| match &json[group][key] {
        Json::Null => Ok(None),
        Json::String(text) => {
            let parsed = text.parse().map_err(|_| bad(format!("`{group}.{key}`: no address and port")))?;
            Ok(Some(parsed))
        }
        _ => Err(bad(format!("`{group}.{key}`: no text"))),
    };
    let (sru, z3950) = (address("listen", "sru")?, address("listen", "z3950")?);
    if sru.is_none() && z3950.is_none() {
        return Err(bad("`listen`: neither `sru` nor `z3950`".to_owned()));
    }
    let speaks = match json["index_hosts"]["speak"].as_str() {
        Some("sru") => Speaks::Sru,
        Some("z3950") => Speaks::Z3950,
        _ => return Err(bad("`index_hosts.speak`: neither sru nor z3950".to_owned())),
    };
    let discovery = address("index_hosts", "discovery")?;
    let members = json["index_hosts"]["members"].clone();
    if !members.is_null() {
        read_list(&members, &mut Names::default())
            .map_err(|problem| bad(format!("`index_hosts.members`: {problem}")))?;
    } else if discovery.is_none() {
        return Err(bad("`index_hosts`: neither `members` nor `discovery`".to_owned()));
    }
    let slice_database = json["index_hosts"]["database"].as_str().unwrap_or("{slice}").to_owned();
    if !slice_database.contains("{slice}") {
        return Err(bad("`index_hosts.database`: without `{slice}`".to_owned()));
    }
    let settings = settings::read(&json["settings"]).map_err(|problem| bad(problem.to_string()))?;
    let class_name = wanted("class")?;
    let class = settings.1.classes.iter().position(|c| *c == class_name);
    let class = class.ok_or_else(|| bad(format!("`class`: the settings have no class {class_name}")))?;
    if settings.0.classes[class].second_step > 0 {
        return Err(bad(
            "`class`: a class with a second step cannot be searched by these protocols".to_owned()
        ));
    }
    if settings.1.keyed[class] {
        return Err(bad("`class`: a keyed class cannot be searched by these protocols".to_owned()));
    }
    let budget = json["budget_ms"].as_u64().filter(|ms| (1..=3_600_000).contains(ms));
    let database = wanted("database")?;
    Ok(Setup {
        path: PathBuf::new(),
        name: text("name").unwrap_or_default(),
        seed: json["seed"].as_u64(),
        sockets: json["sockets"].as_u64().unwrap_or(1024) as usize,
        sru,
        z3950,
        discovery,
        members,
        speaks,
        title: text("title").unwrap_or_else(|| database.clone()),
        database,
        slice_database,
        class,
        budget: budget.ok_or_else(|| bad("`budget_ms`: no number from 1 to 3600000".to_owned()))? * MS,
        store: read_store(&json["store"])?,
        settings,
    })
}
