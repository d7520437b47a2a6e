//! The control interface: heartbeats of backends, calls of operators.

use crate::fleet::Fleet;
use crate::links::lock;
use crate::protocol::MOST_HOPS;
use bytes::Bytes;
use compact_str::CompactString;
use control::changes::{Change, Outcome, Rejection};
use control::directory::{Backend, BackendPhase, Key, Value};
use poem::http::{HeaderMap, Method, StatusCode};
use poem::{Body, Endpoint, Request, Response, Result};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// The longest configuration.
const LONGEST_CONFIGURATION: usize = 8 << 20;
/// The longest other body.
const LONGEST_BODY: usize = 64 << 10;
/// The header that names the version that a configuration builds on.
const BASE_VERSION: &str = "x-base-version";
/// When to come back where nobody can tell what became of a call.
const RETRY_AFTER: &str = "0.2";

/// The control interface of a router.
pub struct ControlApi {
    fleet: Arc<Fleet>,
}

/// A heartbeat as a backend sends it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Heartbeat {
    service: CompactString,
    address: SocketAddrV4,
    #[serde(default)]
    zone: CompactString,
    #[serde(default)]
    slots: u32,
    state: CompactString,
    sequence: u64,
    #[serde(default)]
    models: Vec<ModelVersion>,
}

#[derive(Debug, Deserialize)]
struct ModelVersion {
    name: CompactString,
    #[serde(default)]
    version: u64,
}

#[derive(Debug, Deserialize)]
struct VersionPut {
    model: CompactString,
    version: u64,
}

impl ControlApi {
    /// The interface of a router.
    pub fn new(fleet: Arc<Fleet>) -> Self {
        ControlApi { fleet }
    }

    async fn handle(&self, mut request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method().clone(), &parts[..]) {
            (Method::POST, ["v1", "instances", id, "heartbeat"]) => {
                let body = read_body(&mut request, LONGEST_BODY).await;
                self.heartbeat(id, body).await
            }
            (Method::POST, ["v1", "instances", id, "deregister"]) => self.deregister(id).await,
            (Method::POST, ["v1", "configuration", "replace"]) => {
                let base = base_version(request.headers());
                let body = read_body(&mut request, LONGEST_CONFIGURATION).await;
                self.replace_configuration(base, body).await
            }
            (Method::GET, ["v1", "configuration", "read"]) => self.read_configuration().await,
            (Method::POST, ["v1", "version-put"]) => {
                let body = read_body(&mut request, LONGEST_BODY).await;
                self.put_version(body).await
            }
            (Method::GET, ["v1", "status"]) => self.status(),
            _ => problem(
                StatusCode::NOT_FOUND,
                "there is no such call; the operators' page lists them",
            ),
        }
    }

    async fn heartbeat(&self, id: &str, body: Option<Bytes>) -> Response {
        let Some(body) = body else {
            return incomplete();
        };
        let json = &mut serde_json::Deserializer::from_slice(&body);
        let heartbeat: Heartbeat = match serde_path_to_error::deserialize(json) {
            Ok(heartbeat) => heartbeat,
            Err(found) => {
                return problem(
                    StatusCode::BAD_REQUEST,
                    &format!("{}: {}", found.path(), found.inner()),
                );
            }
        };
        let phase = if heartbeat.state == "ready" {
            BackendPhase::Ready
        } else {
            BackendPhase::Draining
        };
        let backend = Backend {
            service: heartbeat.service,
            address: heartbeat.address,
            zone: heartbeat.zone,
            slots: heartbeat.slots,
            phase,
            sequence: heartbeat.sequence,
            unresponsive: false,
            owner: CompactString::default(),
            models: heartbeat
                .models
                .into_iter()
                .map(|model| (model.name, model.version))
                .collect(),
        };
        match self.fleet.register(id.into(), backend).await {
            Some(Some(address)) => json_answer(
                StatusCode::OK,
                serde_json::json!({"heartbeatAddress": address.to_string()}),
            ),
            Some(None) => json_answer(StatusCode::OK, serde_json::json!({})),
            None => unavailable(),
        }
    }

    async fn deregister(&self, id: &str) -> Response {
        let key = Key::Backend(id.into());
        let held = match lock(&self.fleet.directory).get(&key) {
            Some(Value::Backend(backend)) => backend.clone(),
            // Nobody here knows it, so nobody sends it anything.
            _ => Backend {
                service: CompactString::default(),
                address: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
                zone: CompactString::default(),
                slots: 0,
                phase: BackendPhase::Gone,
                sequence: u64::MAX,
                unresponsive: false,
                owner: CompactString::default(),
                models: Vec::new(),
            },
        };
        let gone = Backend {
            phase: BackendPhase::Gone,
            sequence: u64::MAX,
            ..held
        };
        match self.fleet.register(id.into(), gone).await {
            Some(_) => json_answer(StatusCode::OK, serde_json::json!({})),
            None => unavailable(),
        }
    }

    async fn replace_configuration(&self, base: Option<u64>, body: Option<Bytes>) -> Response {
        let Some(body) = body else {
            return incomplete();
        };
        let Some(base) = base else {
            return problem(
                StatusCode::BAD_REQUEST,
                "X-Base-Version is missing or no whole number: name the version in force",
            );
        };
        self.change(Change::Configuration {
            base,
            body: body[..].into(),
        })
        .await
    }

    async fn put_version(&self, body: Option<Bytes>) -> Response {
        let Some(body) = body else {
            return incomplete();
        };
        match serde_json::from_slice::<VersionPut>(&body) {
            Ok(put) => {
                self.change(Change::Weights {
                    model: put.model,
                    version: put.version,
                })
                .await
            }
            Err(found) => problem(StatusCode::BAD_REQUEST, &found.to_string()),
        }
    }

    async fn change(&self, change: Change) -> Response {
        match self.fleet.submit(change, MOST_HOPS).await {
            Outcome::Committed => json_answer(StatusCode::OK, serde_json::json!({})),
            Outcome::Rejected(Rejection::VersionConflict { current }) => {
                let text = format!("version {current} is in force: build on it");
                problem(StatusCode::PRECONDITION_FAILED, &text)
            }
            Outcome::Rejected(Rejection::Invalid(text)) => problem(StatusCode::BAD_REQUEST, &text),
            Outcome::Unknown => unavailable(),
        }
    }

    async fn read_configuration(&self) -> Response {
        match self.fleet.read_configuration(MOST_HOPS).await {
            Some(Some(body)) => Response::builder()
                .content_type("application/json")
                .body(body),
            Some(None) => problem(
                StatusCode::NOT_FOUND,
                "there is no configuration yet: send the first one",
            ),
            None => unavailable(),
        }
    }

    fn status(&self) -> Response {
        json_answer(StatusCode::OK, crate::status::report(&self.fleet))
    }
}

impl Endpoint for ControlApi {
    type Output = Response;

    async fn call(&self, request: Request) -> Result<Self::Output> {
        Ok(self.handle(request).await)
    }
}

async fn read_body(request: &mut Request, longest: usize) -> Option<Bytes> {
    request.take_body().into_bytes_limit(longest).await.ok()
}

fn base_version(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(BASE_VERSION)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

fn json_answer(status: StatusCode, value: serde_json::Value) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(Body::from_string(value.to_string()))
}

fn problem(status: StatusCode, text: &str) -> Response {
    json_answer(status, serde_json::json!({"error": text}))
}

fn incomplete() -> Response {
    problem(
        StatusCode::BAD_REQUEST,
        "the body did not come whole, or is too long: send it again",
    )
}

fn unavailable() -> Response {
    let mut response = problem(
        StatusCode::SERVICE_UNAVAILABLE,
        "no majority of the control state can be reached from here: ask again, or ask another node",
    );
    response.headers_mut().insert(
        "retry-after",
        poem::http::HeaderValue::from_static(RETRY_AFTER),
    );
    response
}
