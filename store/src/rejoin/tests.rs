//! Tests of `rejoin`.

use super::*;

fn response(
    incarnation: u64,
    status: PeerStatus,
    generation: u64,
    superseded: bool,
    last: Position,
) -> StatusResponse {
    StatusResponse {
        incarnation,
        status,
        generation,
        superseded,
        last,
    }
}

fn position(index: u64, term: u64) -> Position {
    Position { index, term }
}

fn member(status: Status) -> Rejoin {
    Rejoin::new(status, 5, true, 7, 0, BTreeMap::new())
}

#[test]
fn lost_member_claims_generation_and_bar_from_majority() {
    let mut lost = member(Status::Empty);
    let end = position(4, 2);
    assert_eq!(
        lost.on_response(2, 9, 3, response(7, PeerStatus::Active, 0, false, end)),
        Verdict::Pending
    );
    // One that has only a file, one that lost its own, and one of another store do not count;
    // nor does one twice.
    for (from, store, status) in [
        (2, 9, PeerStatus::Active),
        (3, 9, PeerStatus::Unverified),
        (4, 9, PeerStatus::Lost),
        (5, 8, PeerStatus::Active),
    ] {
        assert_eq!(
            lost.on_response(from, store, 3, response(7, status, 4, false, end)),
            Verdict::Pending
        );
    }
    lost.on_response(3, 9, 3, response(7, PeerStatus::Active, 4, false, end));
    assert_eq!(
        lost.on_response(4, 9, 3, response(7, PeerStatus::Active, 1, false, end)),
        Verdict::ClaimGeneration(5)
    );
    assert_eq!(
        (
            lost.majority_store(),
            lost.status_request(1, end).unwrap().past
        ),
        (0, History::Claimed)
    );
    // Responses from before the claim, or to another incarnation, do not count.
    lost.on_response(2, 9, 3, response(7, PeerStatus::Active, 4, false, end));
    lost.on_response(3, 9, 9, response(8, PeerStatus::Active, 5, false, end));
    lost.on_response(3, 9, 5, response(7, PeerStatus::Active, 5, false, end));
    lost.on_response(
        4,
        9,
        4,
        response(7, PeerStatus::Active, 5, false, position(2, 3)),
    );
    let catch_up_bar = lost.on_response(2, 9, 3, response(7, PeerStatus::Active, 5, false, end));
    assert_eq!(
        catch_up_bar,
        Verdict::CatchUp {
            term: 5,
            last: position(2, 3)
        },
        "the highest term, and the furthest end by term"
    );
    // Somebody else had taken that generation.
    assert_eq!(
        lost.on_response(5, 9, 3, response(7, PeerStatus::Active, 5, true, end)),
        Verdict::Pending
    );
    assert_eq!(lost.status_request(1, end).unwrap().past, History::None);
}

#[test]
fn bootstraps_only_when_no_member_has_a_store() {
    let mut first = member(Status::Empty);
    for from in 2..5 {
        assert_eq!(
            first.on_response(
                from,
                0,
                0,
                response(7, PeerStatus::Empty, 0, false, Position::default())
            ),
            Verdict::Pending
        );
    }
    // A member that bootstraps a store itself keeps others from bootstrapping one.
    let mut second = Rejoin::new(Status::Bootstrapping, 5, false, 8, 0, BTreeMap::new());
    let request = first.status_request(1, Position::default()).unwrap();
    let (answer, _) = second.respond(1, &request, 0, false, Position::default());
    assert_eq!(first.on_response(5, 3, 0, answer), Verdict::Pending);
    // One that has lost its file knows that there was a store.
    assert_eq!(
        first.on_response(
            5,
            0,
            0,
            response(7, PeerStatus::Lost, 0, false, Position::default())
        ),
        Verdict::Pending
    );
    assert_eq!(
        first.on_response(
            5,
            0,
            0,
            response(7, PeerStatus::Empty, 0, false, Position::default())
        ),
        Verdict::Bootstrap
    );
}

#[test]
fn detects_outdated_files() {
    let mut sound = member(Status::Active);
    let request = |incarnation, generation, starts, last| StatusRequest {
        incarnation,
        past: History::Intact,
        generation,
        starts,
        last,
    };
    let end = position(9, 3);
    assert!(
        sound.respond(2, &request(1, 0, 5, end), 3, true, end).1,
        "a new life is noted"
    );
    let (again, must_persist) = sound.respond(2, &request(1, 0, 5, end), 3, true, end);
    assert!(
        !again.superseded && !must_persist,
        "the same life asks again"
    );
    sound.observe_progress(2, 5, 4, Some(position(12, 4)));
    let further = position(12, 4);
    for (case, request, term, superseded) in [
        ("the next start", request(2, 0, 6, further), 4, false),
        (
            "as many starts by another life",
            request(3, 0, 6, further),
            4,
            true,
        ),
        ("fewer starts", request(3, 0, 3, further), 4, true),
        ("a lower term", request(3, 0, 7, further), 3, true),
        (
            "a log that ends before",
            request(3, 0, 7, position(20, 3)),
            4,
            true,
        ),
        ("a later generation", request(4, 1, 1, further), 4, false),
        ("an earlier one", request(5, 0, 9, further), 4, true),
    ] {
        assert_eq!(
            sound.respond(2, &request, term, true, end).0.superseded,
            superseded,
            "{case}"
        );
    }
    assert!(sound.is_stale(2, 0) && !sound.is_stale(2, 1));
    assert!(
        sound.observe_generation(2, 3) && !sound.observe_generation(2, 3) && sound.is_stale(2, 2)
    );
    // One that has lost its own file remembers nothing for anybody.
    let mut lost = member(Status::Lost);
    let claim = StatusRequest {
        past: History::Claimed,
        ..request(6, 4, 1, end)
    };
    assert!(!lost.respond(3, &claim, 3, true, end).1);
    assert!(sound.respond(3, &claim, 3, true, end).1 && sound.is_stale(3, 3));
}
