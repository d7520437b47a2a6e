//! Tests of `sort`.

use super::*;

#[test]
fn sort_keys_round_trip_and_invalid_ones_are_refused() {
    let keys = read_sort_keys("title,,0,1,lowValue date dc.creator,dc,1,,\"x\"", 3).unwrap();
    assert_eq!(read_sort_keys(&write_sort_keys(&keys), 3), Ok(keys.clone()));
    assert_eq!(
        (keys[0].ascending, keys[0].case, &keys[0].missing),
        (false, true, &Missing::Low)
    );
    assert_eq!(keys[2].missing, Missing::Constant("x".into()));
    for (text, kind) in [
        ("shoesize", Kind::SORT_KEY),
        ("bath.isbn", Kind::SORT_KEY),
        ("title,,2", Kind::SORT_KEY),
        ("title,,1,0,omit", Kind::SORT_MISSING_ACTION),
        ("title date creator subject", Kind::SORT_KEYS),
    ] {
        assert_eq!(
            read_sort_keys(text, 3).map_err(|f| f.kind),
            Err(kind),
            "{text}"
        );
    }
}

#[test]
fn missing_values_sort_as_the_key_specifies() {
    let mut key = SortKey::named("title").unwrap();
    let at = |key: &SortKey, text| value(key, text);
    assert!(at(&key, None) > at(&key, Some("zzz")));
    key.missing = Missing::Low;
    assert!(at(&key, Some(" ")) < at(&key, Some("a")));
    key.missing = Missing::Fail;
    assert_eq!(at(&key, None), None);
    // Descending order reverses missing values as well, so High sorts first.
    let down = SortKey {
        ascending: false,
        missing: Missing::High,
        ..key
    };
    let (a, b) = (
        [at(&down, None).unwrap()],
        [at(&down, Some("M  oon")).unwrap()],
    );
    assert_eq!(compare(&[down], &a, &b), Ordering::Less);
    assert_eq!(b[0], Value::Is("m oon".into()));
}
