//! Tests of the relay.

use super::*;
use std::sync::mpsc;

/// Starts a target for a link. Returns its address, and each received chunk with its socket.
fn start_target() -> (SocketAddr, mpsc::Receiver<(String, TcpStream)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (send, received) = mpsc::channel();
    thread::spawn(move || {
        for mut socket in listener.incoming().flatten().take(4) {
            let send = send.clone();
            thread::spawn(move || {
                let mut bytes = [0; 64];
                while let Ok(n) = socket.read(&mut bytes) {
                    let text = String::from_utf8_lossy(&bytes[..n]).into_owned();
                    if send.send((text, socket.try_clone().unwrap())).is_err() || n == 0 {
                        return;
                    }
                }
            });
        }
    });
    (address, received)
}

#[test]
fn stalls_one_direction_and_forwards_later() {
    let (target, received) = start_target();
    let link = Link::to(target).unwrap();
    let mut client = TcpStream::connect(link.address).unwrap();
    client.write_all(b"one").unwrap();
    let (text, mut target_socket) = received.recv().unwrap();
    assert_eq!(text, "one");
    link.set(Flow::Stalled, Flow::Open);
    client.write_all(b"two").unwrap();
    target_socket.write_all(b"back").unwrap();
    let mut bytes = [0; 4];
    client.read_exact(&mut bytes).unwrap();
    assert_eq!((&bytes, received.try_recv().is_err()), (b"back", true));
    link.set(Flow::Open, Flow::Stalled);
    assert_eq!(received.recv().unwrap().0, "two");
    link.set(Flow::Open, Flow::Open);
    link.reset();
    let ended = client.read(&mut bytes);
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
    let mut new_client = TcpStream::connect(link.address).unwrap();
    new_client.write_all(b"new").unwrap();
    let texts = || received.recv().unwrap().0;
    assert!(
        (0..3).any(|_| texts() == "new"),
        "a connection after the reset is relayed"
    );
}
