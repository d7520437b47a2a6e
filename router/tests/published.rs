//! Propagation of the committed state: late and duplicate updates change nothing.

use control::changes::Change;
use control::state::{ControlState, Position, Update};
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
        let mut holder = source(1);
        let (position, base) = (holder.position(), holder.base());
        let answers = [first, second].map(|version| {
            source(version)
                .update_for(position, base)
                .expect("there is news")
        });
        for answer in answers {
            holder.apply_update(answer);
        }
        let version = first.max(second);
        if holder.version() != Some(version) {
            let update = source(version)
                .update_for(holder.position(), holder.base())
                .expect("there is news");
            assert!(holder.apply_update(update));
        }
        let configuration = holder.configuration().expect("a configuration");
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
    let mut holder = Published::default();
    holder.apply_committed(&state);

    let update = source(2)
        .update_for(holder.position(), holder.base())
        .expect("there is news");
    assert!(
        !holder.apply_update(update),
        "steps from another text lead astray"
    );
    assert_eq!(holder.version(), Some(1), "what is in force stays in force");
    assert_eq!(holder.base(), None, "the whole text is wanted");
    let update = source(2)
        .update_for(holder.position(), holder.base())
        .expect("there is news");
    assert!(holder.apply_update(update));
    assert_eq!((holder.version(), holder.base()), (Some(2), Some(2)));
}
