//! Propagation of the committed state: late and duplicate updates change nothing.

use control::changes::Change;
use control::state::{ControlState, Position, StoredConfiguration, Update};
use router::published::Published;

fn body(version: u64) -> Vec<u8> {
    let routes: Vec<String> = (0..30)
        .map(|at| {
            let timeout = if at == version { 2_000 } else { 1_000 };
            format!(
                r#"{{"name":"r{at}","host":"a.example","pathPrefix":"/p{at}/","kind":"safe","timeoutMs":{timeout},"service":"s"}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s"}}]}}"#,
        routes.join(",")
    )
    .into_bytes()
}

fn change(state: &mut ControlState, version: u64) {
    let position = Position {
        index: state.position.index + 1,
        epoch: 1,
    };
    let change = Change::Configuration {
        base: state.version(),
        body: body(version).into(),
    };
    state.apply(&Update { position, change });
}

/// The state of a source after the configurations 1 to `version`.
fn source(version: u64) -> Published {
    let (mut state, mut published) = (ControlState::default(), Published::default());
    for version in 1..=version {
        change(&mut state, version);
        published.apply_committed(&state);
    }
    published
}

#[test]
fn concurrent_updates_do_not_conflict() {
    for (first, second) in [(2, 4), (4, 2), (3, 3)] {
        let mut receiver = source(1);
        let (position, base) = (receiver.position(), receiver.base());
        let updates = [first, second].map(|version| {
            source(version)
                .update_for(position, base)
                .expect("an update")
        });
        for update in updates {
            receiver.apply_update(update);
        }
        let version = first.max(second);
        if receiver.version() != Some(version) {
            let update = source(version)
                .update_for(receiver.position(), receiver.base())
                .expect("an update");
            assert!(receiver.apply_update(update));
        }
        let configuration = receiver.configuration().expect("a configuration");
        assert_eq!(configuration.version, version);
        assert_eq!(configuration.routes[version as usize].timeout_ms, 2_000);
    }
}

#[test]
fn requests_full_text_after_checksum_mismatch() {
    // This router's version 1 differs from the source's.
    let mut state = ControlState::default();
    let other = String::from_utf8(body(1))
        .expect("text")
        .replace("a.example", "b.example");
    let change = Change::Configuration {
        base: 0,
        body: other.into_bytes().into(),
    };
    state.apply(&Update {
        position: Position { index: 1, epoch: 1 },
        change,
    });
    let mut receiver = Published::default();
    receiver.apply_committed(&state);

    let update = source(2)
        .update_for(receiver.position(), receiver.base())
        .expect("an update");
    assert!(
        !receiver.apply_update(update),
        "deltas to another text must not be applied"
    );
    assert_eq!(
        receiver.version(),
        Some(1),
        "the configuration in force remains"
    );
    assert!(receiver.is_outdated(), "a newer configuration is known");
    assert_eq!(receiver.base(), None, "the full text is requested");
    let update = source(2)
        .update_for(receiver.position(), receiver.base())
        .expect("an update");
    assert!(receiver.apply_update(update));
    assert_eq!((receiver.version(), receiver.base()), (Some(2), Some(2)));
    assert!(!receiver.is_outdated());
}

/// A newer build of the program may commit a configuration that this one can't parse. The one before
/// it stays in force, and does not count as the latest.
#[test]
fn configuration_that_cannot_be_parsed_leaves_state_outdated() {
    let mut published = source(1);
    let mut committed = ControlState::default();
    committed.position = Position { index: 2, epoch: 1 };
    committed.configuration = Some(StoredConfiguration {
        version: 2,
        body: b"{".as_slice().into(),
    });
    published.apply_committed(&committed);
    assert_eq!(published.version(), Some(1));
    assert!(published.is_outdated());
}
