//! Pins the words of phases and reasons, which go out in the answers to `phase` and into the log.

use recovery::phase::{Phase, Reason};

#[test]
fn phases_keep_their_words() {
    for (phase, word) in [
        (Phase::Asking, "asking"),
        (Phase::Listing, "listing"),
        (Phase::Returning, "returning"),
        (Phase::Full, "full"),
    ] {
        assert_eq!(phase.to_string(), word);
        assert_eq!(Phase::named(word), Some(phase));
    }
    assert_eq!(Phase::named("unknown"), None);
}

#[test]
fn reasons_keep_their_texts() {
    for (reason, text) in [
        (Reason::PeersSilent(2), "2 peers have not answered yet"),
        (Reason::PeersLate(2), "2 peers did not answer in time"),
        (
            Reason::NoList,
            "no list has named an index host that takes work",
        ),
        (
            Reason::ListUnconfirmed,
            "the list is from before; discovery has not confirmed it",
        ),
        (
            Reason::StartedTogether,
            "most of the fleet started with this gatherer",
        ),
        (
            Reason::AloneAway,
            "a peer serves in full: this gatherer alone was away",
        ),
        (
            Reason::NobodyAnswered,
            "no peer answered: held to be a loss of power",
        ),
        (
            Reason::Warm,
            "the index hosts have had their time to warm up",
        ),
        (
            Reason::Borne,
            "all that clients ask was taken, and answered whole in its time",
        ),
    ] {
        assert_eq!(reason.to_string(), text);
    }
}
