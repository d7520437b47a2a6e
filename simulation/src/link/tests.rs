//! Tests of `link`.

use super::*;
use std::sync::mpsc;

/// What arrives at the far side of a link, a line at a time.
fn far_side() -> (SocketAddr, mpsc::Receiver<(String, TcpStream)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, told) = mpsc::channel();
    thread::spawn(move || {
        for mut socket in listener.incoming().flatten().take(4) {
            let tell = tell.clone();
            thread::spawn(move || {
                let mut bytes = [0; 64];
                while let Ok(n) = socket.read(&mut bytes) {
                    let text = String::from_utf8_lossy(&bytes[..n]).into_owned();
                    if tell.send((text, socket.try_clone().unwrap())).is_err() || n == 0 {
                        return;
                    }
                }
            });
        }
    });
    (address, told)
}

#[test]
fn each_direction_can_be_stalled_alone_and_what_waits_passes_later() {
    let (target, told) = far_side();
    let link = Link::to(target).unwrap();
    let mut near = TcpStream::connect(link.address).unwrap();
    near.write_all(b"one").unwrap();
    let (text, mut far) = told.recv().unwrap();
    assert_eq!(text, "one");
    link.set(Way::Stalled, Way::Open);
    near.write_all(b"two").unwrap();
    far.write_all(b"back").unwrap();
    let mut bytes = [0; 4];
    near.read_exact(&mut bytes).unwrap();
    assert_eq!((&bytes, told.try_recv().is_err()), (b"back", true));
    link.set(Way::Open, Way::Stalled);
    assert_eq!(told.recv().unwrap().0, "two");
    link.set(Way::Open, Way::Open);
    link.reset();
    let ended = near.read(&mut bytes);
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
    let mut again = TcpStream::connect(link.address).unwrap();
    again.write_all(b"new").unwrap();
    let texts = || told.recv().unwrap().0;
    assert!(
        (0..3).any(|_| texts() == "new"),
        "a new connection is carried"
    );
}
