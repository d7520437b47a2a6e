//! Frames between routers: encoding and decoding, and rejection of invalid bytes.

use assert_matches::assert_matches;
use router::frame::{encode, read_frame, write_frame};
use router::protocol::{Frame, MAX_MESSAGE_BYTES, Request, Response};
use router::traffic::{MessageKind, Traffic};
use std::io;

const COMPRESSED: u32 = 1 << 31;

fn fetch(keys: usize) -> Frame {
    Frame::Request(
        7,
        Request::Fetch {
            keys: (0..keys as u64).map(|key| key % 3).collect(),
        },
    )
}

async fn read(bytes: &[u8]) -> io::Result<Frame> {
    read_frame(&mut &bytes[..], &Traffic::default()).await
}

fn framed(length: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

#[tokio::test]
async fn frames_round_trip_around_compression_threshold() {
    for keys in [0, 1, 2_040, 2_048, 2_056, 100_000] {
        let mut bytes = Vec::new();
        let traffic = Traffic::default();
        write_frame(&mut bytes, &fetch(keys), &traffic)
            .await
            .unwrap();
        assert_eq!(bytes, encode(&fetch(keys)).unwrap());
        let frame = read_frame(&mut &bytes[..], &traffic).await.unwrap();
        assert_matches!(frame, Frame::Request(7, Request::Fetch { keys: read }) if read.len() == keys);
        let (_, count) = traffic
            .counts()
            .find(|(kind, _)| *kind == MessageKind::Repair)
            .unwrap();
        assert_eq!(
            (count.bytes_sent, count.bytes_received),
            (bytes.len() as u64, bytes.len() as u64)
        );
    }
}

#[tokio::test]
async fn compresses_long_frames() {
    let text =
        r#"{"name":"r-1","host":"h.example","pathPrefix":"/p/","kind":"streaming"}"#.repeat(1_000);
    let frame = Frame::Response(
        1,
        Response::Configuration(Some(Some(text.clone().into_bytes()))),
    );
    let bytes = encode(&frame).unwrap();
    assert!(
        bytes.len() < text.len() / 10,
        "{} bytes for {}",
        bytes.len(),
        text.len()
    );
    assert_matches!(read(&bytes).await.unwrap(), Frame::Response(1, Response::Configuration(Some(Some(read)))) => {
        assert_eq!(read, text.into_bytes());
    });
}

#[tokio::test]
async fn rejects_invalid_frames_without_allocating() {
    let too_long = MAX_MESSAGE_BYTES as u32 + 1;
    let false_size = [&too_long.to_le_bytes()[..], b"few bytes"].concat();
    for (bytes, reason) in [
        (framed(too_long, b"whatever"), "is longer than"),
        (framed(too_long | COMPRESSED, b"whatever"), "is longer than"),
        (
            framed(false_size.len() as u32 | COMPRESSED, &false_size),
            "is longer than",
        ),
        (
            framed(4 | COMPRESSED, &[200, 0, 0, 0]),
            "can't be decompressed",
        ),
        (framed(3 | COMPRESSED, &[1, 2, 3]), "can't be decompressed"),
        (framed(2, &[255, 255]), "can't be read"),
    ] {
        let error = read(&bytes)
            .await
            .map(|_| ())
            .expect_err("an invalid frame");
        assert_eq!(error.kind(), io::ErrorKind::InvalidData, "{bytes:?}");
        assert!(
            error.to_string().contains(reason),
            "unexpected error: {error}, expected: {reason}"
        );
    }
}

#[tokio::test]
async fn rejects_truncated_frames() {
    let complete = encode(&fetch(3_000)).unwrap();
    for length in 0..complete.len() {
        assert!(
            read(&complete[..length]).await.is_err(),
            "truncated to {length} of {} bytes",
            complete.len()
        );
    }
}
