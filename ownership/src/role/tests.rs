//! Tests of roles and permits.

use super::*;

#[test]
fn permits_only_targets_of_the_role() {
    for role in Role::ALL {
        assert_eq!(Role::from_name(role.name()), Some(role));
        let targets = [Target::Store, Target::Discovery, Target::IndexHosts];
        for target in targets {
            let permit = Permit::new(role, target, Token::default());
            assert_eq!(
                permit.is_some(),
                role.targets().contains(&target),
                "{role} {target:?}"
            );
        }
    }
    assert_eq!(Target::Store.guard(), Guard::Fenced);
    assert!(matches!(Target::IndexHosts.guard(), Guard::Bounded(1)));
}
