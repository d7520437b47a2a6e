//! A fake model backend that implements the published protocol of orders: it rejects an order with
//! a lower fencing token than it has seen, and an order that is conditional on another number of
//! accepted orders. It executes all others, including orders for an older version. It can also
//! simulate a network that loses the response to an order and delivers the order later.

use super::{answer, header, read_request, success};
use serde_json::Value;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// The state of a backend.
#[derive(Debug)]
struct State {
    version: u64,
    accepted_orders: u64,
    highest_fencing_token: u64,
    /// How many of the next orders are delayed in transit.
    orders_to_delay: usize,
    delayed: Vec<String>,
    requests: Vec<String>,
}

/// The fake backend; clones share their state.
#[derive(Debug, Clone)]
pub struct ModelBackend {
    pub address: SocketAddrV4,
    state: Arc<Mutex<State>>,
}

impl ModelBackend {
    /// Starts a backend with a version of the weights of model `m`.
    pub async fn start(version: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else {
            unreachable!()
        };
        let (delayed, requests) = (Vec::new(), Vec::new());
        let state = State {
            version,
            accepted_orders: 0,
            highest_fencing_token: 0,
            orders_to_delay: 0,
            delayed,
            requests,
        };
        let backend = ModelBackend {
            address,
            state: Arc::new(Mutex::new(state)),
        };
        let serving = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        backend
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    pub fn accepted_orders(&self) -> u64 {
        self.state.lock().unwrap().accepted_orders
    }

    /// Paths of requests that were neither orders nor reports.
    pub fn requests(&self) -> Vec<String> {
        self.state.lock().unwrap().requests.clone()
    }

    /// Changes the version of the weights without an order.
    pub fn set_version(&self, version: u64) {
        self.state.lock().unwrap().version = version;
    }

    /// Delays this number of next orders in transit.
    pub fn delay_orders(&self, count: usize) {
        self.state.lock().unwrap().orders_to_delay = count;
    }

    /// Number of orders that are delayed in transit now.
    pub fn delayed_orders(&self) -> usize {
        self.state.lock().unwrap().delayed.len()
    }

    /// Delivers the delayed orders. Returns the status of each response.
    pub fn deliver_delayed_orders(&self) -> Vec<u16> {
        let mut state = self.state.lock().unwrap();
        let delayed = std::mem::take(&mut state.delayed);
        delayed
            .iter()
            .map(|order| state.observe_order(order))
            .collect()
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            let Some(answer) = self.answer(&request) else {
                // The caller gets no response, and closes the connection.
                let _ = read_request(&mut stream).await;
                return;
            };
            let id = header(&request, "x-request-id").unwrap_or_default();
            if stream
                .write_all(answer.replace("{id}", &id).as_bytes())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &str) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        let path = request.split(' ').nth(1).unwrap_or_default();
        match path {
            "/v1/order" if state.orders_to_delay > 0 => {
                state.orders_to_delay -= 1;
                state.delayed.push(request.to_owned());
                None
            }
            "/v1/order" => {
                let status = state.observe_order(request);
                Some(answer(&format!("{status} X"), "", "{}"))
            }
            "/v1/report" => Some(answer("200 OK", "", &state.report())),
            _ => Some(state.run(path.to_owned(), request)),
        }
    }
}

impl State {
    fn observe_order(&mut self, request: &str) -> u16 {
        let body = request.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let order: Value = serde_json::from_str(body).unwrap();
        let (Some(fencing_token), Some(version)) =
            (order["fenceToken"].as_u64(), order["version"].as_u64())
        else {
            return 400;
        };
        if fencing_token < self.highest_fencing_token {
            return 412;
        }
        self.highest_fencing_token = fencing_token;
        if order["ifRevision"]
            .as_u64()
            .is_some_and(|expected| expected != self.accepted_orders)
        {
            return 409;
        }
        if version == self.version {
            return 200;
        }
        self.version = version;
        self.accepted_orders += 1;
        202
    }

    fn report(&self) -> String {
        let models = serde_json::json!([{"name": "m", "version": self.version, "adapters": []}]);
        serde_json::json!({"models": models, "busy": false, "sequence": self.accepted_orders})
            .to_string()
    }

    fn run(&mut self, path: String, request: &str) -> String {
        self.requests.push(path);
        let expected = header(request, "expect-version").and_then(|text| text.parse().ok());
        if expected.is_some_and(|expected: u64| expected != self.version) {
            return answer("421 Misdirected Request", "X-Not-Executed: 1\r\n", "");
        }
        success("ok")
    }
}
