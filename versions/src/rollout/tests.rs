//! Tests of the rollout.

use super::*;

#[test]
fn names_all_blockers() {
    let vote = |proposal: u64, objection: Option<&str>| Member {
        vote: Some(Vote {
            proposal,
            objection: objection.map(str::to_owned),
        }),
        ..Member::default()
    };
    let excluded = |at| Member {
        excluded_since: Some(at),
        ..Member::default()
    };
    let fleet: BTreeMap<String, Member> = [
        ("a", vote(7, None)),
        ("b", vote(6, None)),
        ("c", vote(7, Some("no such effect"))),
        ("d", excluded(100)),
        ("e", excluded(195)),
        ("f", excluded(10)),
        ("g", Member::default()),
    ]
    .map(|(name, member)| (name.to_owned(), member))
    .into();
    let autonomous = BTreeSet::from(["f".to_owned()]);
    let found = blockers(&fleet, 7, &autonomous, 100, 210);
    let expected = [
        ("b", Blocker::NoVote),
        ("c", Blocker::Objection("no such effect".to_owned())),
        ("e", Blocker::StillValid(85)),
        ("f", Blocker::Autonomous),
        ("g", Blocker::NoVote),
    ];
    assert_eq!(found, BTreeMap::from(expected));
    assert_eq!(exclusion_delay(8_000, 50), 8_400);
}

#[test]
fn autonomous_members_rotate_with_the_proposal() {
    let names: Vec<String> = (0..60).map(|n| format!("gatherer-{n}")).collect();
    let selected = |proposal| autonomous_members(names.iter().map(String::as_str), proposal, 0.25);
    let mut selections: BTreeMap<&str, u32> = BTreeMap::new();
    for proposal in 1..=200 {
        assert_eq!(selected(proposal).len(), 15);
        selected(proposal)
            .into_iter()
            .for_each(|name| *selections.entry(name).or_default() += 1);
    }
    assert_eq!(selections.len(), 60, "each is selected sometimes");
    assert!(
        selections.values().all(|count| (20..=85).contains(count)),
        "{selections:?}"
    );
    assert_eq!(
        (
            autonomous_count(3, 0.5),
            autonomous_count(3, 0.0),
            autonomous_count(0, 1.0),
            autonomous_count(5, 2.0)
        ),
        (2, 0, 0, 5)
    );
}
