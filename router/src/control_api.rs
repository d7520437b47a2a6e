//! The control API: heartbeats of backends and operators' calls.

use crate::fleet::Fleet;
use crate::protocol::MAX_HOPS;
use crate::sync::lock;
use bytes::Bytes;
use compact_str::CompactString;
use control::changes::{Change, Outcome, Rejection};
use control::directory::{Backend, BackendPhase, Key, Value};
use poem::http::{HeaderMap, Method, StatusCode};
use poem::{Body, Endpoint, Request, Response, Result};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Maximum size of a configuration, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 8 << 20;
/// Maximum size of any other request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Header with the version of the configuration that a new one is based on.
const BASE_VERSION: &str = "x-base-version";
/// Value of the Retry-After header of calls with an unknown outcome, in seconds.
const RETRY_AFTER: &str = "0.2";

/// The endpoint of the control API.
pub struct ControlApi {
    fleet: Arc<Fleet>,
}

/// A heartbeat as backends send it.
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
    /// Creates the endpoint.
    pub fn new(fleet: Arc<Fleet>) -> Self {
        ControlApi { fleet }
    }

    async fn handle(&self, mut request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method().clone(), &segments[..]) {
            (Method::POST, ["v1", "instances", id, "heartbeat"]) => {
                let body = read_body(&mut request, MAX_BODY_BYTES).await;
                self.heartbeat(id, body).await
            }
            (Method::POST, ["v1", "instances", id, "deregister"]) => self.deregister(id).await,
            (Method::POST, ["v1", "configuration", "replace"]) => {
                let base = base_version(request.headers());
                let body = read_body(&mut request, MAX_CONFIGURATION_BYTES).await;
                self.replace_configuration(base, body).await
            }
            (Method::GET, ["v1", "configuration", "read"]) => self.read_configuration().await,
            (Method::POST, ["v1", "version-put"]) => {
                let body = read_body(&mut request, MAX_BODY_BYTES).await;
                self.put_version(body).await
            }
            (Method::GET, ["v1", "status"]) => self.status(),
            _ => error_response(
                StatusCode::NOT_FOUND,
                "there is no such call; the operators' page lists them",
            ),
        }
    }

    async fn heartbeat(&self, id: &str, body: Option<Bytes>) -> Response {
        let Some(body) = body else {
            return incomplete_body();
        };
        let json = &mut serde_json::Deserializer::from_slice(&body);
        let heartbeat: Heartbeat = match serde_path_to_error::deserialize(json) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                return error_response(
                    StatusCode::BAD_REQUEST,
                    &format!("{}: {}", error.path(), error.inner()),
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
            Some(Some(address)) => json_response(
                StatusCode::OK,
                serde_json::json!({"heartbeatAddress": address.to_string()}),
            ),
            Some(None) => json_response(StatusCode::OK, serde_json::json!({})),
            None => unavailable(),
        }
    }

    async fn deregister(&self, id: &str) -> Response {
        let key = Key::Backend(id.into());
        let current = match lock(&self.fleet.directory).get(&key) {
            Some(Value::Backend(backend)) => backend.clone(),
            // The backend is unknown here, so no router sends it requests and only its id matters.
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
            ..current
        };
        match self.fleet.register(id.into(), gone).await {
            Some(_) => json_response(StatusCode::OK, serde_json::json!({})),
            None => unavailable(),
        }
    }

    async fn replace_configuration(&self, base: Option<u64>, body: Option<Bytes>) -> Response {
        let Some(body) = body else {
            return incomplete_body();
        };
        let Some(base) = base else {
            return error_response(
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
            return incomplete_body();
        };
        match serde_json::from_slice::<VersionPut>(&body) {
            Ok(put) => {
                self.change(Change::Weights {
                    model: put.model,
                    version: put.version,
                })
                .await
            }
            Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    async fn change(&self, change: Change) -> Response {
        match self.fleet.submit(change, MAX_HOPS).await {
            Outcome::Committed => json_response(StatusCode::OK, serde_json::json!({})),
            Outcome::Rejected(Rejection::VersionConflict { current }) => {
                let text = format!("version {current} is in force: build on it");
                error_response(StatusCode::PRECONDITION_FAILED, &text)
            }
            Outcome::Rejected(Rejection::Invalid(text)) => {
                error_response(StatusCode::BAD_REQUEST, &text)
            }
            Outcome::Unknown => unavailable(),
        }
    }

    async fn read_configuration(&self) -> Response {
        match self.fleet.read_configuration(MAX_HOPS).await {
            Some(Some(body)) => Response::builder()
                .content_type("application/json")
                .body(body),
            Some(None) => error_response(
                StatusCode::NOT_FOUND,
                "there is no configuration yet: send the first one",
            ),
            None => unavailable(),
        }
    }

    fn status(&self) -> Response {
        json_response(StatusCode::OK, crate::status::report(&self.fleet))
    }
}

impl Endpoint for ControlApi {
    type Output = Response;

    async fn call(&self, request: Request) -> Result<Self::Output> {
        Ok(self.handle(request).await)
    }
}

async fn read_body(request: &mut Request, max_bytes: usize) -> Option<Bytes> {
    request.take_body().into_bytes_limit(max_bytes).await.ok()
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

fn json_response(status: StatusCode, value: serde_json::Value) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(Body::from_string(value.to_string()))
}

fn error_response(status: StatusCode, text: &str) -> Response {
    json_response(status, serde_json::json!({"error": text}))
}

fn incomplete_body() -> Response {
    error_response(
        StatusCode::BAD_REQUEST,
        "the request body is incomplete or too long: send it again",
    )
}

fn unavailable() -> Response {
    let mut response = error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "no majority of the control state can be reached from here: ask again, or ask another node",
    );
    response.headers_mut().insert(
        "retry-after",
        poem::http::HeaderValue::from_static(RETRY_AFTER),
    );
    response
}
