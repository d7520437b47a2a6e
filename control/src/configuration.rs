//! The operators' configuration: parsing, validation, and lookup of routes and API keys.

use crate::json_depth::{MAX_JSON_DEPTH, first_too_deep};
use compact_str::CompactString;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use thiserror::Error;

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The body is malformed or truncated JSON.
    #[error("the body is malformed or truncated JSON: {0}; send the whole body again")]
    InvalidJson(String),
    /// Lists and objects are nested too deep.
    #[error(
        "at byte {offset} of the body lists or objects are nested deeper than {MAX_JSON_DEPTH} levels; send a flatter one"
    )]
    TooDeep {
        /// The offset of the first value that is too deep.
        offset: usize,
    },
    /// A field is missing or has the wrong type.
    #[error("{path} is missing or not {expected}")]
    Field {
        /// The path of the field.
        path: String,
        /// The expected type or values.
        expected: &'static str,
    },
    /// A route refers to a service that is not defined.
    #[error(
        "routes[{route}] refers to the service {service}, which is not listed under services; \
         add it there, or refer to a listed service"
    )]
    UnknownService {
        /// The route's name.
        route: CompactString,
        /// The service.
        service: CompactString,
    },
    /// Two routes have the same host and path prefix.
    #[error("routes {first} and {second} have the same host and pathPrefix; change one of them")]
    DuplicateRoute {
        /// The name of one route.
        first: CompactString,
        /// The name of the other.
        second: CompactString,
    },
    /// The weights of a traffic split add up to 0.
    #[error(
        "the weights of routes[{route}].trafficSplit add up to 0; at least one must be positive"
    )]
    ZeroWeight {
        /// The route's name.
        route: CompactString,
    },
    /// The time-out of a route is 0.
    #[error("routes[{route}].timeoutMs is 0; it must be at least 1")]
    ZeroTimeout {
        /// The route's name.
        route: CompactString,
    },
    /// The version is not higher than the current one.
    #[error("version {found} is not above the current {current}; send a higher version")]
    StaleVersion {
        /// The submitted version.
        found: u64,
        /// The current version.
        current: u64,
    },
    /// Two tenants have the same API key.
    #[error("tenants {first} and {second} have the same API key; give one of them another key")]
    SharedKey {
        /// The name of one tenant.
        first: CompactString,
        /// The name of the other.
        second: CompactString,
    },
}

/// Whether the requests of a route may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may be executed more than once.
    Safe,
    /// A request may be executed at most once.
    Unsafe,
    /// The response is an event stream. Treated as `Unsafe` unless the stream is resumable.
    Streaming,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: CompactString,
    /// The `Host` header that the route matches.
    pub host: CompactString,
    /// The path prefix that the route matches.
    pub path_prefix: CompactString,
    /// Whether requests may be executed more than once.
    pub kind: Kind,
    /// The time-out of a request.
    pub timeout_ms: u64,
    /// The latency target of a response.
    pub target_latency_ms: u64,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The traffic split: services with their weights.
    pub split: Vec<(CompactString, u64)>,
    /// The most executions of one request, the first one included.
    pub attempts: u32,
    /// Requests need no API key.
    pub public: bool,
    /// Requests carry the segments of their prompts in headers, for cache-aware routing.
    pub sticky: bool,
    /// An event stream may be resumed on another backend.
    pub resumable: bool,
    /// The target for the gap between two events of a stream.
    pub gap_target_ms: u64,
}

impl Route {
    /// Whether a request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Streaming => self.resumable,
        }
    }
}

/// The inference engine that a service's backends run.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The number of requests that a backend processes concurrently.
    pub slots: u32,
    /// The capacity of a backend's KV cache, in tokens.
    pub kv_capacity: u64,
    /// The size of a token in the KV cache, in bytes.
    pub kv_token_bytes: f64,
    /// The bandwidth of a backend's network link, in Mbit/s.
    pub link_mbps: f64,
    /// The most event subscriptions that a backend serves concurrently.
    pub max_concurrent: u32,
    /// The names of the models.
    pub models: Vec<CompactString>,
}

/// A store for the KV cache of prompt segments.
#[derive(Debug, Clone, PartialEq)]
pub struct KvStore {
    /// The address of the store.
    pub address: SocketAddrV4,
    /// The zone of the store.
    pub zone: CompactString,
    /// The capacity in tokens.
    pub kv_capacity: u64,
    /// The most event subscriptions that the store serves concurrently.
    pub max_concurrent: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The path of the health check.
    pub health_path: CompactString,
    /// The most connections that a backend accepts from all clients together.
    pub connection_limit: u32,
    /// The inference engine, where the service runs models.
    pub engine: Option<Engine>,
    /// The KV store, where the service is one.
    pub kv_store: Option<KvStore>,
}

/// Limits on client requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes of a request's header section.
    pub max_header_bytes: u64,
    /// The most bytes of a request's body.
    pub max_body_bytes: u64,
    /// The time-out for receiving a header section.
    pub header_timeout_ms: u64,
    /// The time after which an idle connection is closed.
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
    /// The name of the tenant.
    pub name: CompactString,
    /// The priority, which takes precedence over that of a route; 0 is the highest.
    pub priority: u8,
    /// Cached prompt segments are not shared with other tenants.
    pub isolated: bool,
}

/// A validated configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// The version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<CompactString, Service>,
    /// Limits on client requests.
    pub limits: Limits,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// API keys, each with the index of its tenant.
    keys: HashMap<String, usize>,
    /// Hosts, each with the indices of its routes, longest path prefix first.
    route_index: HashMap<CompactString, Vec<usize>>,
}

/// The result of checking an API key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access<'a> {
    /// The key belongs to this tenant.
    Tenant(&'a Tenant),
    /// No key is required.
    Open,
    /// A key is required, and this one is missing or unknown.
    Denied,
}

impl Configuration {
    /// Parses and validates a configuration. [`ConfigurationError::StaleVersion`] is not checked
    /// here, as that depends on the current version.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationError> {
        if let Some(offset) = first_too_deep(body, MAX_JSON_DEPTH) {
            return Err(ConfigurationError::TooDeep { offset });
        }
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
            name: text(value, "name").ok_or_else(|| field(&format!("{path}.name"), "a string"))?,
            priority: number(value, "priority").unwrap_or(0).min(9) as u8,
            isolated: flag(value, "isolated"),
        };
        for key in list(value, "apiKeys")? {
            let key = key
                .as_str()
                .ok_or_else(|| field(&format!("{path}.apiKeys"), "a list of strings"))?;
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

    /// The route of a host and a path: the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let candidates = self.route_index.get(host)?;
        let mut routes = candidates.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// The access that an API key gives to a route.
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

fn field(path: &str, expected: &'static str) -> ConfigurationError {
    ConfigurationError::Field {
        path: path.to_owned(),
        expected,
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
        text(value, "name").ok_or_else(|| field(&format!("services[{index}].name"), "a string"))?;
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
    let required = |key: &str| text(value, key).ok_or_else(|| field(&path(key), "a string"));
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
        None => vec![(required("service")?, 1)],
    };
    let timeout =
        number(value, "timeoutMs").ok_or_else(|| field(&path("timeoutMs"), "a whole number"))?;
    Ok(Route {
        name: text(value, "name").unwrap_or_default(),
        host: required("host")?,
        path_prefix: required("pathPrefix")?,
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
