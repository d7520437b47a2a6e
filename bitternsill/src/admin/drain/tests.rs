//! Tests of `admin::drain`.

use super::*;

#[test]
fn drain_closes_every_connection_in_time() {
    let steps = Schedule::from_limits(&Limits::default());
    let mut drain = Drain::default();
    assert!(drain.begin(1_000, steps) && !drain.begin(2_000, steps));
    assert!(drain.sweep(1_000).is_none() && !drain.closes_after_answer(1_000));
    // The load balancer checks every 0.1 s and sends connections until 0.2 s after the first failed
    // check.
    assert!(!drain.closes_after_answer(1_000 + 300_000_000));
    // A connection that arrives at the last moment and then stays idle is closed before 2 s are
    // over: a later request would fall within the last 2 s, over which the drain is judged.
    let (mut at, mut closed) = (1_000, None);
    let last = 1_000 + 300_000_000;
    while let Some(due) = drain.due().filter(|due| *due < 3_000_000_000) {
        at = due;
        if drain
            .sweep(at)
            .is_some_and(|s| s.idle_since >= last && s.partial)
        {
            closed.get_or_insert(at);
        }
    }
    assert!(
        closed.is_some_and(|at| at <= 1_000 + 2_000_000_000),
        "closed at {closed:?}, last sweep {at}"
    );
    assert!(drain.end() && !drain.is_under_way() && !drain.end());
    assert!(drain.due().is_none() && !drain.closes_after_answer(Time::MAX));
}
