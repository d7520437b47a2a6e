//! Tests of `kind`.

use super::*;

#[test]
fn leave_is_given_for_places_that_a_kind_names_and_what_is_not_fenced_is_bounded() {
    for kind in Kind::ALL {
        assert_eq!(Kind::named(kind.name()), Some(kind));
        let places = [Place::Store, Place::Discovery, Place::IndexHosts];
        for place in places {
            let permit = Permit::new(kind, place, Token::default());
            assert_eq!(
                permit.is_some(),
                kind.lands().contains(&place),
                "{kind} {place:?}"
            );
        }
    }
    assert_eq!(Place::Store.guard(), Guard::Fenced);
    assert!(matches!(Place::IndexHosts.guard(), Guard::Bounded(1)));
}
