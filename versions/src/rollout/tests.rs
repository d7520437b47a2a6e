//! Tests of `rollout`.

use super::*;

#[test]
fn an_activation_names_everybody_who_is_in_its_way() {
    let word = |to: u64, why: Option<&str>| Member {
        word: Some((to, why.map(str::to_owned))),
        ..Member::default()
    };
    let out = |at| Member {
        left_out: Some(at),
        ..Member::default()
    };
    let fleet: BTreeMap<String, Member> = [
        ("a", word(7, None)),
        ("b", word(6, None)),
        ("c", word(7, Some("no such effect"))),
        ("d", out(100)),
        ("e", out(195)),
        ("f", out(10)),
        ("g", Member::default()),
    ]
    .map(|(name, member)| (name.to_owned(), member))
    .into();
    let keepers = BTreeSet::from(["f".to_owned()]);
    let named = in_the_way(&fleet, 7, &keepers, 100, 210);
    let expected = [
        ("b", Missing::Silent),
        ("c", Missing::Cannot("no such effect".to_owned())),
        ("e", Missing::LeftOutTooLately(85)),
        ("f", Missing::Keeper),
        ("g", Missing::Silent),
    ];
    assert_eq!(named, BTreeMap::from(expected));
    assert_eq!(bound(8_000, 50), 8_400);
}

#[test]
fn keepers_are_as_many_as_stated_and_change_with_the_version() {
    let names: Vec<String> = (0..60).map(|n| format!("gatherer-{n}")).collect();
    let of = |proposal| keepers(names.iter().map(String::as_str), proposal, 0.25);
    let mut often: BTreeMap<&str, u32> = BTreeMap::new();
    for proposal in 1..=200 {
        assert_eq!(of(proposal).len(), 15);
        of(proposal)
            .into_iter()
            .for_each(|name| *often.entry(name).or_default() += 1);
    }
    assert_eq!(often.len(), 60, "each is one at times");
    assert!(
        often.values().all(|times| (20..=85).contains(times)),
        "{often:?}"
    );
    assert_eq!(
        (least(3, 0.5), least(3, 0.0), least(0, 1.0), least(5, 2.0)),
        (2, 0, 0, 5)
    );
}
