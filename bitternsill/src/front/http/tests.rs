//! Tests of `front::http`.

use super::*;

fn read_split(
    bytes: &[u8],
    at: usize,
    body_limit: usize,
) -> Result<Option<(Head, Vec<u8>)>, HttpError> {
    let mut reader = Reader::requests(1024, body_limit);
    let mut input = Vec::new();
    for piece in [&bytes[..at], &bytes[at..]] {
        input.extend_from_slice(piece);
        if reader.read(&mut input)? == Progress::Whole {
            return Ok(Some(reader.take()));
        }
    }
    Ok(None)
}

#[test]
fn reads_same_message_at_any_split() {
    let whole = b"POST /api HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nabc\r\n0a;x=y\r\n0123456789\r\n0\r\nT: u\r\n\r\n";
    for at in 0..whole.len() {
        let (head, body) = read_split(whole, at, 64).unwrap().expect("a whole message");
        assert_eq!(
            (head.start.1.as_str(), body.as_slice()),
            ("/api", &b"abc0123456789"[..]),
            "{at}"
        );
    }
}

#[test]
fn rejects_malformed_and_oversized_requests() {
    let cases: [(&str, u16); 9] = [
        ("POST /api HTTP/1.1\r\nContent-Length: 99\r\n\r\n", 413),
        (
            "POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            400,
        ),
        (
            "POST /api HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        ("POST /api HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (
            "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n",
            413,
        ),
        (
            "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
            400,
        ),
        ("POST /api HTTP/2.0\r\n\r\n", 505),
        ("POST\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
    ];
    for (text, status) in cases {
        let bytes = [text.as_bytes(), &[b'x'; 90]].concat();
        let result = read_split(&bytes, 10, 64);
        assert_eq!(
            result.map(|_| ()).map_err(HttpError::status),
            Err(status),
            "{text:?}"
        );
    }
    let long = vec![b'a'; 2000];
    assert_eq!(read_split(&long, 1000, 64), Err(HttpError::HeadTooLarge));
}
