//! Loopback networks: each run has one of its own, also beside runs of other processes.

use crate::settings::Addresses;
use std::io;
use std::net::{Ipv4Addr, TcpListener};

/// Networks 127.N with these N.
const NETWORKS: std::ops::RangeInclusive<u8> = 200..=250;
/// Whoever listens here has the network.
const CLAIM_PORT: u16 = 7_001;

/// A network that no other run has for as long as this lives.
#[derive(Debug)]
pub struct Network {
    /// Its addresses.
    pub addresses: Addresses,
    _claim: TcpListener,
}

impl Network {
    /// The first network that is free.
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
            "every loopback network is in use: end other soaks first",
        ))
    }
}
