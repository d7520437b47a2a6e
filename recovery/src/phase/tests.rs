//! Tests of `phase`.

use super::*;

const MS: Time = 1_000_000;

fn start(peers: &[u64]) -> Recovery {
    let ramp = Ramp::new(0.2, 10_000 * MS, 1_000 * MS, &[1.0, 5.0, 2.0]);
    let plan = Plan {
        ask_for: 1_000 * MS,
        list_for: 1_500 * MS,
        together: 5_000 * MS,
        ramp,
        ends_within: 3_000 * MS,
    };
    Recovery::new(plan, peers.iter().copied(), 100 * MS)
}

fn peer(running: Time, phase: Phase) -> Peer {
    Peer {
        running,
        phase: Some(phase),
    }
}

#[test]
fn one_that_was_away_alone_serves_in_full_as_soon_as_it_has_a_list() {
    let mut one = start(&[1, 2]);
    one.listed(true, false, 110 * MS);
    assert_eq!((one.phase(), one.is_ready()), (Phase::Asking, false));
    // The first that serves in full is enough, and the other is not waited for.
    one.answered(2, peer(90_000 * MS, Phase::Full), 150 * MS);
    assert_eq!(
        (one.phase(), one.is_ready(), one.distrusts_hosts()),
        (Phase::Full, true, false)
    );
    assert_eq!(one.admit(0, 1.0, 150 * MS), Turn::Taken);
    assert_eq!(one.reasons(), [Reason::AloneAway, Reason::ListUnconfirmed]);
}

#[test]
fn all_that_start_together_return_by_ramps_and_distrust_a_list_from_before() {
    let mut one = start(&[1, 2]);
    one.answered(1, peer(30 * MS, Phase::Asking), 140 * MS);
    one.answered(9, peer(30 * MS, Phase::Full), 140 * MS);
    assert_eq!(
        one.phase(),
        Phase::Asking,
        "one that is no peer says nothing"
    );
    one.answered(2, peer(2_000 * MS, Phase::Listing), 150 * MS);
    assert_eq!(
        (one.phase(), one.reasons()),
        (Phase::Listing, vec![Reason::NoList])
    );
    one.listed(true, false, 160 * MS);
    // Discovery's own list is waited for, but not for long.
    assert_eq!((one.phase(), one.due()), (Phase::Listing, Some(1_600 * MS)));
    one.tick(1_600 * MS);
    assert_eq!(
        (one.phase(), one.distrusts_hosts()),
        (Phase::Returning, true)
    );
    one.listed(true, true, 1_700 * MS);
    assert!(!one.distrusts_hosts(), "discovery knows when each started");
    one.tick(11_599 * MS);
    assert_eq!(one.phase(), Phase::Returning);
    one.tick(11_600 * MS);
    let told: Vec<(Phase, Phase)> = one.take_changes().iter().map(|c| (c.from, c.to)).collect();
    let way = [Phase::Asking, Phase::Listing, Phase::Returning, Phase::Full];
    assert_eq!(
        told,
        way.windows(2).map(|w| (w[0], w[1])).collect::<Vec<_>>()
    );
}

#[test]
fn peers_that_never_answer_are_waited_for_no_longer_than_told() {
    let mut one = start(&[1, 2, 3]);
    one.answered(3, peer(90_000 * MS, Phase::Returning), 200 * MS);
    assert_eq!(
        (one.due(), one.unanswered()),
        (Some(1_100 * MS), vec![1, 2])
    );
    one.listed(true, true, 1_099 * MS);
    assert!(!one.is_ready());
    one.tick(1_100 * MS);
    // The only one that answered has been running for long: this one was away alone.
    assert_eq!(one.phase(), Phase::Full);
    let why = &one.take_changes()[0].why;
    assert_eq!(why[..], [Reason::AloneAway, Reason::PeersLate(2)]);
    let mut cut_off = start(&[1, 2, 3]);
    cut_off.listed(true, true, 200 * MS);
    cut_off.tick(1_100 * MS);
    assert_eq!(
        cut_off.phase(),
        Phase::Returning,
        "nobody answered: the careful way"
    );
}
