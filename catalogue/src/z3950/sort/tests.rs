//! Tests of `z3950::sort`.

use super::*;
use crate::ber;

#[test]
fn sort_keys_round_trip() {
    let mut keys = vec![
        SortKey::named("title").unwrap(),
        SortKey::named("date").unwrap(),
    ];
    keys[0].ascending = false;
    keys[1].case = true;
    keys[1].missing = Missing::Constant("1900".into());
    let bytes = crate::z3950::unit(crate::z3950::tag::SORT_REQUEST, None, |w| {
        write_request(w, "A", &keys).unwrap();
    });
    let item = ber::read(&mut bytes.clone(), 1000, 16)
        .unwrap()
        .expect("a unit");
    let wanted = SortRequest {
        input: vec!["A".into()],
        output: "A".into(),
        keys,
    };
    assert_eq!(read_request(&item, 2), Ok(wanted));
    assert_eq!(
        read_request(&item, 1).map_err(|f| f.kind),
        Err(Kind::SORT_KEYS)
    );
}
