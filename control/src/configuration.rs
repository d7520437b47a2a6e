//! The operators' configuration: reading, checking, and looking up routes and keys.

use compact_str::CompactString;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use thiserror::Error;

/// Why a configuration can't be taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// Not JSON, or not all of it.
    #[error("the body is not whole JSON: {0}; send it again, complete")]
    InvalidJson(String),
    /// A field is missing or of another type.
    #[error("{path} is missing or not {wanted}: give it such a value")]
    Field {
        /// Where.
        path: String,
        /// What is allowed.
        wanted: &'static str,
    },
    /// A route names a service that there is not.
    #[error(
        "routes[{route}] names the service {service}, which is not under services: add it or name another"
    )]
    UnknownService {
        /// The route's name.
        route: CompactString,
        /// The service.
        service: CompactString,
    },
    /// Two routes have one place.
    #[error("routes {first} and {second} have the same host and pathPrefix: change one of them")]
    DuplicateRoute {
        /// One route's name.
        first: CompactString,
        /// The other's.
        second: CompactString,
    },
    /// A route can't be sent anywhere.
    #[error(
        "the weights of routes[{route}].trafficSplit add up to 0: give at least one of them weight"
    )]
    ZeroWeight {
        /// The route's name.
        route: CompactString,
    },
    /// A route gives no time.
    #[error("routes[{route}].timeoutMs is 0: allowed is 1 and more")]
    ZeroTimeout {
        /// The route's name.
        route: CompactString,
    },
    /// The version does not rise.
    #[error("version {found} is not above the current {current}: send a higher one")]
    StaleVersion {
        /// The version found.
        found: u64,
        /// The version in force.
        current: u64,
    },
    /// Two tenants have one key.
    #[error("tenants {first} and {second} share a key: give one of them another")]
    SharedKey {
        /// One tenant's name.
        first: CompactString,
        /// The other's.
        second: CompactString,
    },
}

/// What repeating a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Safe,
    /// It may run at most once.
    Unsafe,
    /// A series of events; as `Unsafe` unless it may be resumed.
    Streaming,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: CompactString,
    /// The `Host` that it is for.
    pub host: CompactString,
    /// What its paths begin with.
    pub path_prefix: CompactString,
    /// What repeating may do.
    pub kind: Kind,
    /// The longest time that a request is held.
    pub timeout_ms: u64,
    /// An answer within this time has its full worth.
    pub target_latency_ms: u64,
    /// Its rank; 0 is highest.
    pub priority: u8,
    /// Services with their weights.
    pub split: Vec<(CompactString, u64)>,
    /// The most backends that one try may be sent to.
    pub attempts: u32,
    /// Needs no key.
    pub public: bool,
    /// Its requests tell the parts of their prompts.
    pub sticky: bool,
    /// A stream may be continued at another backend.
    pub resumable: bool,
    /// The longest pause between events.
    pub gap_target_ms: u64,
}

impl Route {
    /// Whether a request on it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Streaming => self.resumable,
        }
    }
}

/// What a service's backends are, where they run models.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests at once on a backend.
    pub slots: u32,
    /// Tokens that fit into a backend's memory.
    pub kv_capacity: u64,
    /// Bytes of a token in memory.
    pub kv_token_bytes: f64,
    /// Speed of a backend's link.
    pub link_mbps: f64,
    /// Calls for events that a backend holds at once.
    pub max_concurrent: u32,
    /// Names of models.
    pub models: Vec<CompactString>,
}

/// A service that keeps parts of prompts.
#[derive(Debug, Clone, PartialEq)]
pub struct KvStore {
    /// Where it is.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: CompactString,
    /// Tokens that fit.
    pub kv_capacity: u64,
    /// Calls for events that it holds at once.
    pub max_concurrent: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path of its health check.
    pub health_path: CompactString,
    /// Connections that a backend takes from all callers together.
    pub connection_limit: u32,
    /// Its engine, where it runs models.
    pub engine: Option<Engine>,
    /// The store that it is, where it is one.
    pub kv_store: Option<KvStore>,
}

/// Bounds on what clients may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: u64,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Time for a head to come.
    pub header_timeout_ms: u64,
    /// Time that a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Its name.
    pub name: CompactString,
    /// Its rank, put before that of a route.
    pub priority: u8,
    /// Shares no part of a prompt with others.
    pub isolated: bool,
}

/// A checked configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services by name.
    pub services: BTreeMap<CompactString, Service>,
    /// Bounds on what clients may send.
    pub limits: Limits,
    /// Its tenants.
    pub tenants: Vec<Tenant>,
    keys: HashMap<String, usize>,
    route_index: HashMap<CompactString, Vec<usize>>,
}

/// Who may send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access<'a> {
    /// The key's tenant.
    Tenant(&'a Tenant),
    /// Nobody needs a key.
    Open,
    /// A key is wanted, and this is none.
    Denied,
}

impl Configuration {
    /// Reads and checks a configuration, apart from whether its version rises.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationError> {
        let mut bytes = body.to_vec();
        let value: OwnedValue = simd_json::to_owned_value(&mut bytes)
            .map_err(|error| ConfigurationError::InvalidJson(error.to_string()))?;
        let mut parsed = Configuration {
            version: number(&value, "version").ok_or_else(|| field("version", "a whole number"))?,
            limits: read_limits(value.get("limits")),
            ..Configuration::default()
        };
        for (index, service) in list(&value, "services")?.iter().enumerate() {
            let (name, service) = read_service(service, index)?;
            parsed.services.insert(name, service);
        }
        for (index, route) in list(&value, "routes")?.iter().enumerate() {
            parsed.routes.push(read_route(route, index)?);
        }
        if value.get("tenants").is_some() {
            for (index, tenant) in list(&value, "tenants")?.iter().enumerate() {
                parsed.add_tenant(tenant, index)?;
            }
        }
        parsed.check()?;
        parsed.index();
        Ok(parsed)
    }

    fn add_tenant(&mut self, value: &OwnedValue, index: usize) -> Result<(), ConfigurationError> {
        let path = format!("tenants[{index}]");
        let tenant = Tenant {
            name: text(value, "name").ok_or_else(|| field(&format!("{path}.name"), "a text"))?,
            priority: number(value, "priority").unwrap_or(0).min(9) as u8,
            isolated: flag(value, "isolated"),
        };
        for key in list(value, "apiKeys")? {
            let key = key
                .as_str()
                .ok_or_else(|| field(&format!("{path}.apiKeys"), "a list of texts"))?;
            if let Some(other) = self.keys.insert(key.to_owned(), self.tenants.len())
                && other != self.tenants.len()
            {
                let (first, second) = (self.tenants[other].name.clone(), tenant.name);
                return Err(ConfigurationError::SharedKey { first, second });
            }
        }
        self.tenants.push(tenant);
        Ok(())
    }

    fn check(&self) -> Result<(), ConfigurationError> {
        let mut seen: HashMap<(&str, &str), &Route> = HashMap::new();
        for route in &self.routes {
            let unknown = route
                .split
                .iter()
                .find(|(service, _)| !self.services.contains_key(service));
            if let Some((service, _)) = unknown {
                let (route, service) = (route.name.clone(), service.clone());
                return Err(ConfigurationError::UnknownService { route, service });
            }
            if route.split.iter().map(|(_, weight)| weight).sum::<u64>() == 0 {
                return Err(ConfigurationError::ZeroWeight {
                    route: route.name.clone(),
                });
            }
            if route.timeout_ms == 0 {
                return Err(ConfigurationError::ZeroTimeout {
                    route: route.name.clone(),
                });
            }
            if let Some(other) = seen.insert((&route.host, &route.path_prefix), route) {
                let (first, second) = (other.name.clone(), route.name.clone());
                return Err(ConfigurationError::DuplicateRoute { first, second });
            }
        }
        Ok(())
    }

    fn index(&mut self) {
        for (index, route) in self.routes.iter().enumerate() {
            self.route_index
                .entry(route.host.clone())
                .or_default()
                .push(index);
        }
        let routes = &self.routes;
        for candidates in self.route_index.values_mut() {
            candidates.sort_by_key(|index| std::cmp::Reverse(routes[*index].path_prefix.len()));
        }
    }

    /// The route of a host and a path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let candidates = self.route_index.get(host)?;
        let mut routes = candidates.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Who sends a request with this key on this route.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        let tenant = key
            .and_then(|key| self.keys.get(key))
            .map(|index| &self.tenants[*index]);
        match tenant {
            Some(tenant) => Access::Tenant(tenant),
            None if route.public || self.tenants.is_empty() => Access::Open,
            None => Access::Denied,
        }
    }
}

fn field(path: &str, wanted: &'static str) -> ConfigurationError {
    ConfigurationError::Field {
        path: path.to_owned(),
        wanted,
    }
}

fn number(value: &OwnedValue, key: &str) -> Option<u64> {
    let value = value.get(key)?;
    let integral = value
        .as_f64()
        .filter(|float| float.fract() == 0.0 && *float >= 0.0);
    value.as_u64().or(integral.map(|float| float as u64))
}

fn decimal(value: &OwnedValue, key: &str) -> Option<f64> {
    value.get(key)?.cast_f64()
}

fn text(value: &OwnedValue, key: &str) -> Option<CompactString> {
    value.get(key)?.as_str().map(CompactString::from)
}

fn flag(value: &OwnedValue, key: &str) -> bool {
    value
        .get(key)
        .and_then(|value| value.as_bool())
        .unwrap_or(false)
}

fn list<'a>(value: &'a OwnedValue, key: &str) -> Result<&'a [OwnedValue], ConfigurationError> {
    let list = value.get(key).and_then(|value| value.as_array());
    list.map(|list| &list[..])
        .ok_or_else(|| field(key, "a list"))
}

fn read_limits(value: Option<&OwnedValue>) -> Limits {
    let defaults = Limits::default();
    let get = |key: &str, default: u64| {
        value
            .and_then(|value| number(value, key))
            .unwrap_or(default)
    };
    Limits {
        max_header_bytes: get("maxHeaderBytes", defaults.max_header_bytes),
        max_body_bytes: get("maxBodyBytes", defaults.max_body_bytes),
        header_timeout_ms: get("headerTimeoutMs", defaults.header_timeout_ms),
        idle_timeout_ms: get("idleTimeoutMs", defaults.idle_timeout_ms),
    }
}

fn read_service(
    value: &OwnedValue,
    index: usize,
) -> Result<(CompactString, Service), ConfigurationError> {
    let name =
        text(value, "name").ok_or_else(|| field(&format!("services[{index}].name"), "a text"))?;
    let engine = value.get("engine").map(|engine| Engine {
        slots: number(engine, "slots").unwrap_or(1).max(1) as u32,
        kv_capacity: number(engine, "kvCapacity").unwrap_or(0),
        kv_token_bytes: decimal(engine, "kvTokenBytes").unwrap_or(0.0),
        link_mbps: decimal(engine, "linkMbps").unwrap_or(0.0),
        max_concurrent: number(engine, "maxConcurrent").unwrap_or(1) as u32,
        models: engine
            .get("models")
            .and_then(|models| models.as_array())
            .map(|models| {
                models
                    .iter()
                    .filter_map(|model| text(model, "name"))
                    .collect()
            })
            .unwrap_or_default(),
    });
    let address = value
        .get("kvStoreAddress")
        .and_then(|address| address.as_str());
    let kv_store = address
        .and_then(|address| address.parse().ok())
        .map(|address| KvStore {
            address,
            zone: text(value, "zone").unwrap_or_default(),
            kv_capacity: number(value, "kvCapacity").unwrap_or(0),
            max_concurrent: number(value, "maxConcurrent").unwrap_or(1) as u32,
        });
    let service = Service {
        health_path: text(value, "healthPath").unwrap_or_default(),
        connection_limit: number(value, "connectionLimit").unwrap_or(u64::from(u32::MAX)) as u32,
        engine,
        kv_store,
    };
    Ok((name, service))
}

fn read_route(value: &OwnedValue, index: usize) -> Result<Route, ConfigurationError> {
    let path = |key: &str| format!("routes[{index}].{key}");
    let wanted = |key: &str| text(value, key).ok_or_else(|| field(&path(key), "a text"));
    let kind = match value.get("kind").and_then(|kind| kind.as_str()) {
        Some("safe") => Kind::Safe,
        Some("streaming") => Kind::Streaming,
        Some("unsafe") | None => Kind::Unsafe,
        Some(_) => return Err(field(&path("kind"), "safe, unsafe or streaming")),
    };
    let split = match value.get("trafficSplit").and_then(|split| split.as_array()) {
        Some(split) => split
            .iter()
            .map(|part| {
                let service = text(part, "service")
                    .ok_or_else(|| field(&path("trafficSplit"), "services with weights"))?;
                Ok((service, number(part, "weight").unwrap_or(0)))
            })
            .collect::<Result<Vec<_>, ConfigurationError>>()?,
        None => vec![(wanted("service")?, 1)],
    };
    let timeout =
        number(value, "timeoutMs").ok_or_else(|| field(&path("timeoutMs"), "a whole number"))?;
    Ok(Route {
        name: text(value, "name").unwrap_or_default(),
        host: wanted("host")?,
        path_prefix: wanted("pathPrefix")?,
        kind,
        timeout_ms: timeout,
        target_latency_ms: number(value, "targetLatencyMs").unwrap_or(timeout),
        priority: number(value, "priority").unwrap_or(5).min(9) as u8,
        split,
        attempts: number(value, "attempts").unwrap_or(1).max(1) as u32,
        public: flag(value, "public"),
        sticky: flag(value, "sticky"),
        resumable: flag(value, "resumable"),
        gap_target_ms: number(value, "gap_aim_ms").unwrap_or(0),
    })
}
