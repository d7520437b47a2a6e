//! Tests of `job`.

use super::*;

#[test]
fn a_step_that_is_begun_again_and_again_is_parked_and_an_orderly_change_of_hands_is_none() {
    let token = |revision| Token { era: 1, revision };
    let mut job = Job::new(
        vec![Step::Activate(7), Step::Restart(vec!["a".to_owned()])],
        1,
    );
    for owner in 1..=3 {
        job = job.begun(token(owner), false).begun(token(owner), true);
        assert_eq!((job.tries, &job.stands), (owner, &Stands::Open));
        assert_eq!(Job::read(&job.json().to_string()).as_ref(), Some(&job));
    }
    assert_eq!(job.advanced().tries, 0, "the next step is another matter");
    let parked = job.begun(token(4), false);
    assert!(matches!(&parked.stands, Stands::Parked(why) if why.contains("activate proposal 7")));
    assert_eq!(parked.step(), None);
    assert_eq!(
        Job::read(&parked.json().to_string()).as_ref(),
        Some(&parked)
    );
    let again = parked.stood(Stands::Open);
    assert_eq!((again.step(), again.tries), (Some(&Step::Activate(7)), 0));
    assert_eq!(again.advanced().advanced().stands, Stands::Done);
}
