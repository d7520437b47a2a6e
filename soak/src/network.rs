//! Loopback networks. Concurrent runs use different ones, also across processes.

use crate::settings::Addresses;
use std::io;
use std::net::{Ipv4Addr, TcpListener};

/// The values of N for the networks 127.N.0.0/16.
const NETWORKS: std::ops::RangeInclusive<u8> = 200..=250;
/// A run claims a network by listening on this port.
const CLAIM_PORT: u16 = 7_001;

/// A network that no other run uses until this is dropped.
#[derive(Debug)]
pub struct Network {
    /// The addresses of the network.
    pub addresses: Addresses,
    _claim: TcpListener,
}

impl Network {
    /// Claims the first free network.
    ///
    /// # Errors
    /// All networks are in use.
    pub fn claim() -> io::Result<Self> {
        for network in NETWORKS {
            if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, network, 255, 1), CLAIM_PORT))
            {
                return Ok(Network {
                    addresses: Addresses { network },
                    _claim: claim,
                });
            }
        }
        Err(io::Error::other(
            "all loopback networks are in use by other soak runs",
        ))
    }
}
