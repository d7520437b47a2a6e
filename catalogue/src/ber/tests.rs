//! Tests of `ber`.

use super::*;

#[test]
fn values_round_trip_at_any_split() {
    let mut writer = Writer::default();
    writer.inside(212, |w| {
        w.integer(23, -129);
        w.integer(24, 70_000);
        w.boolean(22, true);
        w.oid("1.2.840.10003.5.109.10");
        w.bytes(45, &[7; 300]);
    });
    let bytes = writer.finish();
    for at in 0..bytes.len() {
        let mut input = bytes[..at].to_vec();
        assert_eq!(read(&mut input, 1000, 4), Ok(None), "{at}");
        input.extend_from_slice(&bytes[at..]);
        let item = read(&mut input, 1000, 4).unwrap().expect("a whole value");
        assert_eq!((item.tag, input.len()), (212, 0));
        let number = |tag| item.get(tag).and_then(Item::integer);
        assert_eq!((number(23), number(24)), (Some(-129), Some(70_000)));
        assert_eq!(
            item.items()[3].oid().as_deref(),
            Some("1.2.840.10003.5.109.10")
        );
        assert_eq!(item.get(45).map(Item::bytes), Some(vec![7; 300]));
    }
}

#[test]
fn limits_are_enforced_and_malformed_input_is_rejected() {
    assert_eq!(
        read(&mut vec![0xa0, 0x84, 0xff, 0xff, 0xff, 0xff], 1000, 4),
        Err(BerError::TooLong)
    );
    assert_eq!(read(&mut vec![0xa0; 40], 1000, 4), Err(BerError::TooLong));
    assert_eq!(
        read(&mut [0xa0, 0x80].repeat(9), 1000, 4),
        Err(BerError::TooDeep)
    );
    assert_eq!(
        read(&mut vec![0x80, 0x80], 1000, 4),
        Err(BerError::Malformed)
    );
    let indefinite = vec![0xa0, 0x80, 0x82, 1, 9, 0, 0];
    let item = read(&mut indefinite.clone(), 1000, 4)
        .unwrap()
        .expect("a whole value");
    assert_eq!(item.get(2).and_then(Item::integer), Some(9));
}
