//! Tests of `front::platform::frames`.

use super::*;
use crate::core::ports::AttemptId;

#[test]
fn call_is_encoded_per_protocol() {
    let part = Outgoing {
        id: AttemptId { part: 1, number: 0 },
        name: "9b1f.3.r".to_owned(),
        shard: 3,
        until: 240_000_000,
        not_after: 0,
        key: Some("5c0f".into()),
        from: Some("3+5+9".into()),
        first_step_complete: Some(false),
        text: "c41e77d0".into(),
    };
    let bytes = call(
        &[
            part.clone(),
            Outgoing {
                from: None,
                name: "9b1f.3".to_owned(),
                ..part
            },
        ],
        0,
    );
    assert_eq!(bytes[..4], (bytes.len() as u32 - 4).to_le_bytes());
    let text = String::from_utf8_lossy(&bytes[4..]);
    insta::assert_snapshot!(text, @r"
    m9b1f.3.r 3 d=240,k=5c0f,from=3+5+9,whole=0 8
    c41e77d09b1f.3 3 d=240,k=5c0f 8
    c41e77d0
    ");
}

#[test]
fn parses_split_frames_and_rejects_malformed_ones() {
    let bytes = frame(b'q', b"a.3 good 18402777190000000001 -\nva\nlue");
    for at in 0..bytes.len() {
        let mut input = bytes[..at].to_vec();
        assert_eq!(read(&mut input, 100), Ok(None));
        input.extend_from_slice(&bytes[at..]);
        let value = Value {
            score: Score::Integer(18402777190000000001),
            body: "va\nlue".into(),
        };
        let expected = Frame::Ended {
            name: "a.3".to_owned(),
            end: End::Served(value),
        };
        assert_eq!(read(&mut input, 100), Ok(Some(expected)));
        assert!(input.is_empty());
    }
    let expect_malformed = |bytes: &[u8]| {
        let expected = Frame::Ended {
            name: "a.3".to_owned(),
            end: End::Malformed,
        };
        assert_eq!(
            read(&mut frame(b'q', bytes), 100),
            Ok(Some(expected)),
            "{bytes:?}"
        );
    };
    expect_malformed(b"a.3 odd 1 -\n");
    expect_malformed(b"a.3 good\nvalue");
    expect_malformed(b"a.3 good high -\nvalue");
    expect_malformed(b"a.3 good 1 -\nval\xff");
    expect_malformed(b"a.3 good 1 -\nvalue\x1c\0\0\0qa.4 good 2 -\nvalue");
    let odd_report = read(&mut frame(b'q', b"a.3 good 1 \xff\xfe\nvalue"), 100);
    assert!(
        matches!(
            odd_report,
            Ok(Some(Frame::Ended {
                end: End::Served(_),
                ..
            }))
        ),
        "{odd_report:?}"
    );
    assert_eq!(
        read(&mut frame(b'q', b"a.3 good 1 -"), 100),
        Err(FrameError::Line)
    );
    assert_eq!(
        read(&mut frame(b'z', b""), 100),
        Err(FrameError::UnknownType(b'z'))
    );
    assert_eq!(
        read(&mut vec![255, 255, 255, 255], 100),
        Err(FrameError::Length(u32::MAX as usize))
    );
}
