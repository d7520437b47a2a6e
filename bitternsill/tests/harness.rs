//! The test harness: a free address accepts no connection, whatever processes start meanwhile.

mod common;

use common::free_address;
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Guards against a port search with a listening socket. A process that another test had just
/// started held a copy of that socket; a connection to the address was accepted and then reset.
#[test]
fn free_address_accepts_no_connection() {
    let stop = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..4)
        .map(|_| {
            let stop = stop.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            })
        })
        .collect();
    for attempt in 0..4_000 {
        let address = free_address();
        assert!(
            TcpStream::connect(address).is_err(),
            "attempt {attempt}: {address} has a listener"
        );
        // The caller can listen there at once.
        drop(TcpListener::bind(address).unwrap());
    }
    stop.store(true, Ordering::Relaxed);
    starters
        .into_iter()
        .for_each(|starter| starter.join().unwrap());
}
