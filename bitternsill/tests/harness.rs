//! What the other tests rest on: an address that is said to be free takes no connection, whatever
//! else is started meanwhile.

mod common;

use common::free_address;
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Found in CI: a program that another test had just started held the socket that had found the
/// port, and it listened; a connection there came up and was reset.
#[test]
fn a_free_address_takes_no_connection_while_programs_are_started() {
    let over = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..4)
        .map(|_| {
            let over = over.clone();
            thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            })
        })
        .collect();
    for tried in 0..4_000 {
        let address = free_address();
        assert!(
            TcpStream::connect(address).is_err(),
            "at try {tried} somebody listened at {address}"
        );
        // Whoever it was found for can listen there at once.
        drop(TcpListener::bind(address).unwrap());
    }
    over.store(true, Ordering::Relaxed);
    starters
        .into_iter()
        .for_each(|starter| starter.join().unwrap());
}
