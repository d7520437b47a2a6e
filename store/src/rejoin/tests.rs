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
fn lost_member_claims_generation_and_target_from_majority() {
    let mut lost = member(Status::Empty);
    let end = position(4, 2);
    assert_eq!(
        lost.on_response(2, 9, 3, response(7, PeerStatus::Active, 0, false, end)),
        Verdict::Pending
    );
    // Unverified members, members that have lost their file, members of another store and repeated
    // responses do not count.
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
            lost.status_request(1, end).unwrap().file_state
        ),
        (0, FileState::Claimed)
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
    let catch_up_target = lost.on_response(2, 9, 3, response(7, PeerStatus::Active, 5, false, end));
    assert_eq!(
        catch_up_target,
        Verdict::CatchUp {
            term: 5,
            last: position(2, 3)
        },
        "the highest term, and the most recent log end"
    );
    // Another incarnation has claimed the generation.
    assert_eq!(
        lost.on_response(5, 9, 3, response(7, PeerStatus::Active, 5, true, end)),
        Verdict::Pending
    );
    assert_eq!(
        lost.status_request(1, end).unwrap().file_state,
        FileState::Missing
    );
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
    // A bootstrapping member keeps others from bootstrapping a second store.
    let mut second = Rejoin::new(Status::Bootstrapping, 5, false, 8, 0, BTreeMap::new());
    let request = first.status_request(1, Position::default()).unwrap();
    let (answer, _) = second.respond(1, &request, 0, false, Position::default());
    assert_eq!(first.on_response(5, 3, 0, answer), Verdict::Pending);
    // A member that has lost its file belonged to a store.
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
    let mut active = member(Status::Active);
    let request = |incarnation, generation, starts, last| StatusRequest {
        incarnation,
        file_state: FileState::Intact,
        generation,
        starts,
        last,
    };
    let end = position(9, 3);
    assert!(
        active.respond(2, &request(1, 0, 5, end), 3, true, end).1,
        "a new incarnation is recorded"
    );
    let (again, must_persist) = active.respond(2, &request(1, 0, 5, end), 3, true, end);
    assert!(
        !again.superseded && !must_persist,
        "the same incarnation asks again"
    );
    active.observe_progress(2, 5, 4, Some(position(12, 4)));
    let newer = position(12, 4);
    for (case, request, term, superseded) in [
        ("the next start", request(2, 0, 6, newer), 4, false),
        (
            "the same start of another incarnation",
            request(3, 0, 6, newer),
            4,
            true,
        ),
        ("fewer starts", request(3, 0, 3, newer), 4, true),
        ("a lower term", request(3, 0, 7, newer), 3, true),
        (
            "a less recent log end",
            request(3, 0, 7, position(20, 3)),
            4,
            true,
        ),
        ("a later generation", request(4, 1, 1, newer), 4, false),
        ("an earlier generation", request(5, 0, 9, newer), 4, true),
    ] {
        assert_eq!(
            active.respond(2, &request, term, true, end).0.superseded,
            superseded,
            "{case}"
        );
    }
    assert!(active.is_stale(2, 0) && !active.is_stale(2, 1));
    assert!(
        active.observe_generation(2, 3)
            && !active.observe_generation(2, 3)
            && active.is_stale(2, 2)
    );
    // A member that has lost its own file records nothing for others.
    let mut lost = member(Status::Lost);
    let claim = StatusRequest {
        file_state: FileState::Claimed,
        ..request(6, 4, 1, end)
    };
    assert!(!lost.respond(3, &claim, 3, true, end).1);
    assert!(active.respond(3, &claim, 3, true, end).1 && active.is_stale(3, 3));
}
