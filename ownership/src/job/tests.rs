//! Tests of jobs.

use super::*;

#[test]
fn parks_after_failed_attempts_but_not_after_orderly_release() {
    let token = |revision| Token { era: 1, revision };
    let mut job = Job::new(
        vec![Step::Activate(7), Step::Restart(vec!["a".to_owned()])],
        1,
    );
    for owner in 1..=3 {
        job = job
            .begin_attempt(token(owner), false)
            .begin_attempt(token(owner), true);
        assert_eq!((job.attempts, &job.status), (owner, &Status::Open));
        assert_eq!(Job::parse(&job.to_json().to_string()).as_ref(), Some(&job));
    }
    assert_eq!(
        job.complete_step().attempts,
        0,
        "the count restarts with the next step"
    );
    let parked = job.begin_attempt(token(4), false);
    assert!(
        matches!(&parked.status, Status::Parked(reason) if reason.contains("activate proposal 7"))
    );
    assert_eq!(parked.current_step(), None);
    assert_eq!(
        Job::parse(&parked.to_json().to_string()).as_ref(),
        Some(&parked)
    );
    let reopened = parked.with_status(Status::Open);
    assert_eq!(
        (reopened.current_step(), reopened.attempts),
        (Some(&Step::Activate(7)), 0)
    );
    assert_eq!(
        reopened.complete_step().complete_step().status,
        Status::Done
    );
}
