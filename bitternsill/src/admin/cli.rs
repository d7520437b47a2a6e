//! `bitternsill admin`: calls the operators' API from the command line.

use super::calls::{Operation, ROUTES};
use crate::front::http::{Progress, Reader};
use crate::limits::Limits;
use clap::{Args, Subcommand};
use serde_json::json;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Call the operators' API of a running gatherer.
#[derive(Debug, Subcommand)]
pub enum Admin {
    /// Report whether the process accepts clients.
    Ready(At),
    /// Exclude an index host: it gets no new requests until it is included again.
    Exclude(Host),
    /// Include an index host again.
    Include(Host),
    /// Drain clients; the process keeps running.
    Evacuate(At),
    /// Accept clients again.
    Rejoin(At),
}

/// How to reach the operators' API.
#[derive(Debug, Args)]
pub struct At {
    /// The address of the operators' API [default: $ROUTER_ADMIN].
    #[arg(long, value_name = "ADDRESS")]
    at: Option<SocketAddr>,
    /// Milliseconds to wait for the response.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    patience: u64,
}

/// The arguments of calls that name an index host.
#[derive(Debug, Args)]
pub struct Host {
    /// The host's id in discovery.
    member: String,
    #[command(flatten)]
    at: At,
}

/// Why a call failed.
#[derive(Debug)]
pub enum AdminError {
    /// No address was given.
    NoAddress,
    /// The request could not be sent, or there was no response.
    Unreachable(SocketAddr, io::Error),
    /// The response is malformed.
    InvalidResponse(SocketAddr),
    /// The gatherer refused the call, with this text.
    Refused(String),
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminError::NoAddress => f.write_str("no address: use --at, or set ROUTER_ADMIN"),
            AdminError::Unreachable(at, problem) if is_timeout(problem) => {
                write!(f, "{at}: timed out waiting for a response")
            }
            AdminError::Unreachable(at, problem) => write!(f, "{at}: {problem}"),
            AdminError::InvalidResponse(at) => write!(
                f,
                "{at}: the response is malformed; is this the address of a gatherer's operators' API?"
            ),
            AdminError::Refused(text) => write!(f, "no: {text}"),
        }
    }
}

impl std::error::Error for AdminError {}

fn is_timeout(problem: &io::Error) -> bool {
    matches!(
        problem.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Makes the call; returns the text of a successful response.
pub fn run(call: Admin) -> Result<String, AdminError> {
    let (operation, host, at) = match call {
        Admin::Ready(at) => (Operation::Ready, None, at),
        Admin::Exclude(Host { member, at }) => (Operation::Exclude, Some(member), at),
        Admin::Include(Host { member, at }) => (Operation::Include, Some(member), at),
        Admin::Evacuate(at) => (Operation::Evacuate, None, at),
        Admin::Rejoin(at) => (Operation::Rejoin, None, at),
    };
    let from_environment = || {
        std::env::var("ROUTER_ADMIN")
            .ok()
            .and_then(|at| at.parse().ok())
    };
    let to = at
        .at
        .or_else(from_environment)
        .ok_or(AdminError::NoAddress)?;
    let body = host
        .map(|member| json!({"member": member}).to_string())
        .unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(at.patience);
    let (status, text) = send_request(to, operation, &body, until)?;
    if (200..300).contains(&status) {
        Ok(text)
    } else {
        Err(AdminError::Refused(text))
    }
}

fn send_request(
    to: SocketAddr,
    operation: Operation,
    body: &str,
    until: Instant,
) -> Result<(u16, String), AdminError> {
    let unreachable = |problem| AdminError::Unreachable(to, problem);
    let left = || {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            Err(io::Error::from(io::ErrorKind::TimedOut))
        } else {
            Ok(left)
        }
    };
    let route = ROUTES
        .iter()
        .find(|r| r.operation == operation)
        .ok_or(AdminError::InvalidResponse(to))?;
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        route.method,
        route.path,
        body.len()
    );
    let mut stream = left()
        .and_then(|left| TcpStream::connect_timeout(&to, left))
        .map_err(unreachable)?;
    let limits = Limits::default();
    let mut reader = Reader::responses(limits.head_bytes, limits.body_bytes);
    let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
    stream.write_all(request.as_bytes()).map_err(unreachable)?;
    loop {
        left()
            .and_then(|left| stream.set_read_timeout(Some(left)))
            .map_err(unreachable)?;
        let n = stream.read(&mut chunk).map_err(unreachable)?;
        input.extend_from_slice(&chunk[..n]);
        match reader.read(&mut input) {
            Ok(Progress::Whole) => break,
            Ok(Progress::More) if n > 0 => {}
            _ => return Err(AdminError::InvalidResponse(to)),
        }
    }
    let (head, body) = reader.take();
    let status = head
        .start
        .1
        .parse()
        .map_err(|_| AdminError::InvalidResponse(to))?;
    Ok((status, String::from_utf8_lossy(&body).trim_end().to_owned()))
}
