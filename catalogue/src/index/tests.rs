//! Tests of `index`.

use super::*;

#[test]
fn names_context_sets_and_use_attributes_are_consistent() {
    for index in INDEXES {
        assert_eq!(by_name(index.name), Some(*index));
        assert_eq!(by_use(index.use_attribute), Some(*index));
        let (set, _) = index.name.split_once('.').expect("a context set");
        assert!(CONTEXT_SETS.iter().any(|(short, _)| *short == set));
    }
    assert_eq!(by_name("AUTHOR"), by_use(1));
    assert_eq!((by_name("dc.shoesize"), by_use(999_999)), (None, None));
    assert_eq!(
        context_set("info:srw/cql-context-set/1/dc-v1.0"),
        Some("dc")
    );
    assert_eq!(context_set("info:srw/cql-context-set/1/dcx-v1.0"), None);
}
