//! Refusing early: a service with one queue, in virtual time, before routers that know nothing of
//! each other.

use routing::admission::{Admission, PendingId};
use std::collections::VecDeque;

const OBJECTIVE: u64 = 500;

/// A service that begins one answer after the other, and routers before it.
struct Service {
    rng: fastrand::Rng,
    /// Milliseconds that one answer takes.
    work: f64,
    free_at: f64,
    waiting: VecDeque<(usize, PendingId, f64)>,
    routers: Vec<Admission>,
    now: u64,
}

/// What became of the requests of a stretch of time.
#[derive(Debug, Default)]
struct Seen {
    asked: u32,
    refused: u32,
    waits: Vec<u64>,
}

impl Seen {
    fn refused_share(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.asked.max(1))
    }

    fn in_time(&self) -> f64 {
        let in_time = self.waits.iter().filter(|wait| **wait <= OBJECTIVE).count();
        in_time as f64 / f64::from(self.asked.max(1))
    }
}

impl Service {
    fn new(work: f64, routers: usize) -> Self {
        Service {
            rng: fastrand::Rng::with_seed(7),
            work,
            free_at: 0.0,
            waiting: VecDeque::new(),
            routers: (0..routers).map(|_| Admission::default()).collect(),
            now: 100_000,
        }
    }

    /// Plays a stretch in which so many requests come in a second.
    fn play(&mut self, milliseconds: u64, per_second: f64) -> Seen {
        let mut seen = Seen::default();
        for _ in 0..milliseconds {
            self.now += 1;
            if self.rng.f64() < per_second / 1_000.0 {
                self.arrive(&mut seen);
            }
            while self
                .waiting
                .front()
                .is_some_and(|(_, _, begins)| *begins <= self.now as f64)
            {
                let (at, id, _) = self.waiting.pop_front().expect("it was there");
                self.routers[at].answered(id, self.now);
            }
        }
        seen
    }

    fn arrive(&mut self, seen: &mut Seen) {
        let at = self.rng.usize(0..self.routers.len());
        seen.asked += 1;
        if self.rng.f64() < self.routers[at].refused_share(self.now) {
            seen.refused += 1;
            return;
        }
        let id = self.routers[at].sent(OBJECTIVE, self.now);
        self.free_at = self.free_at.max(self.now as f64) + self.work;
        seen.waits.push((self.free_at - self.now as f64) as u64);
        self.waiting.push_back((at, id, self.free_at));
    }
}

#[test]
fn nothing_is_refused_while_answers_are_in_time() {
    let mut service = Service::new(10.0, 5);
    assert_eq!(service.play(20_000, 70.0).refused, 0);
}

#[test]
fn a_short_peak_is_served_late_and_not_refused() {
    let mut service = Service::new(10.0, 5);
    service.play(3_000, 50.0);
    let peak = service.play(1_000, 190.0);
    let after = service.play(6_000, 50.0);
    assert_eq!((peak.refused, after.refused), (0, 0));
}

#[test]
fn under_lasting_overload_the_rest_is_answered_in_time() {
    for overload in [1.3, 2.0] {
        let mut service = Service::new(10.0, 9);
        service.play(3_000, 50.0);
        service.play(8_000, 100.0 * overload);
        let settled = service.play(20_000, 100.0 * overload);
        let share = settled.refused_share();
        let least = 1.0 - 1.0 / overload;
        assert!(
            share > least - 0.03 && share < least + 0.2,
            "{share:.2} refused at {overload}"
        );
        assert!(
            settled.in_time() > 0.7 / overload,
            "{:.2} in time at {overload}",
            settled.in_time()
        );
    }
}

#[test]
fn without_refusals_the_same_overload_leaves_nobody_in_time() {
    let mut service = Service::new(10.0, 9);
    let mut never = Seen::default();
    for _ in 0..28_000 {
        service.now += 1;
        if service.rng.f64() < 0.13 {
            never.asked += 1;
            service.free_at = service.free_at.max(service.now as f64) + service.work;
            never
                .waits
                .push((service.free_at - service.now as f64) as u64);
        }
    }
    assert!(
        never.in_time() < 0.1,
        "the comparison that makes the test above worth something"
    );
}

#[test]
fn once_the_overload_is_over_nothing_is_refused_any_more() {
    let mut service = Service::new(10.0, 5);
    service.play(15_000, 180.0);
    let after = service.play(4_000, 40.0);
    assert!(after.refused > 0 || after.in_time() > 0.9);
    assert_eq!(service.play(10_000, 40.0).refused, 0);
}

#[test]
fn a_service_that_answers_nothing_is_noticed_by_what_is_pending() {
    let mut admission = Admission::default();
    let mut share: f64 = 0.0;
    for now in (1_000..8_000).step_by(20) {
        share = admission.refused_share(now);
        admission.sent(OBJECTIVE, now);
    }
    assert!(share > 0.8, "{share:.2}");
}

#[test]
fn what_was_given_up_for_other_reasons_does_not_count() {
    let mut admission = Admission::default();
    for now in (1_000..10_000).step_by(20) {
        let id = admission.sent(OBJECTIVE, now);
        assert_eq!(admission.refused_share(now), 0.0);
        admission.forget(id);
    }
}
