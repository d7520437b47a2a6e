//! Tests of the link.

use super::*;
use std::sync::mpsc;

/// The chunks that arrive at the target of a link.
fn far_side() -> (SocketAddr, mpsc::Receiver<(String, TcpStream)>) {
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
    let (target, received) = far_side();
    let link = Link::to(target).unwrap();
    let mut near = TcpStream::connect(link.address).unwrap();
    near.write_all(b"one").unwrap();
    let (text, mut far) = received.recv().unwrap();
    assert_eq!(text, "one");
    link.set(Flow::Stalled, Flow::Open);
    near.write_all(b"two").unwrap();
    far.write_all(b"back").unwrap();
    let mut bytes = [0; 4];
    near.read_exact(&mut bytes).unwrap();
    assert_eq!((&bytes, received.try_recv().is_err()), (b"back", true));
    link.set(Flow::Open, Flow::Stalled);
    assert_eq!(received.recv().unwrap().0, "two");
    link.set(Flow::Open, Flow::Open);
    link.reset();
    let ended = near.read(&mut bytes);
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
    let mut again = TcpStream::connect(link.address).unwrap();
    again.write_all(b"new").unwrap();
    let texts = || received.recv().unwrap().0;
    assert!(
        (0..3).any(|_| texts() == "new"),
        "a new connection is carried"
    );
}
