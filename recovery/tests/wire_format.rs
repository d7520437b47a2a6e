//! Pins the names of phases and the texts of reasons, which appear in answers to `phase` and in
//! logs.

use recovery::phase::{Phase, Reason};

#[test]
fn phase_names_are_stable() {
    for (phase, word) in [
        (Phase::QueryingPeers, "asking"),
        (Phase::AwaitingEndpoints, "listing"),
        (Phase::SlowStart, "returning"),
        (Phase::Serving, "full"),
    ] {
        assert_eq!(phase.to_string(), word);
        assert_eq!(Phase::named(word), Some(phase));
    }
    assert_eq!(Phase::named("unknown"), None);
}

#[test]
fn reason_texts_are_stable() {
    for (reason, text) in [
        (Reason::PeersPending(2), "2 peers have not answered yet"),
        (Reason::PeersTimedOut(2), "2 peers did not answer in time"),
        (
            Reason::NoEndpoints,
            "no list has named an index host that takes work",
        ),
        (
            Reason::EndpointsUnconfirmed,
            "the list is from before; discovery has not confirmed it",
        ),
        (
            Reason::FleetRestart,
            "most of the fleet started with this gatherer",
        ),
        (
            Reason::SingleRestart,
            "a peer serves in full: this gatherer alone was away",
        ),
        (
            Reason::NoPeerAnswered,
            "no peer answered: held to be a loss of power",
        ),
        (
            Reason::WarmedUp,
            "the index hosts have had their time to warm up",
        ),
        (
            Reason::CapacityProven,
            "all that clients ask was taken, and answered whole in its time",
        ),
    ] {
        assert_eq!(reason.to_string(), text);
    }
}
