//! Admission control of a service with one queue, in virtual time, by independent routers.

use routing::admission::{AdmissionController, InFlightId};
use std::collections::VecDeque;

const LATENCY_TARGET: u64 = 500;

/// A service that begins one answer after the other, and routers before it.
struct Service {
    rng: fastrand::Rng,
    /// Milliseconds that one answer takes.
    service_time: f64,
    free_at: f64,
    waiting: VecDeque<(usize, InFlightId, f64)>,
    routers: Vec<AdmissionController>,
    now: u64,
}

/// What became of the requests of a stretch of time.
#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    rejected: u32,
    latencies: Vec<u64>,
}

impl Outcome {
    fn rejection_ratio(&self) -> f64 {
        f64::from(self.rejected) / f64::from(self.requests.max(1))
    }

    fn in_time_ratio(&self) -> f64 {
        let in_time = self
            .latencies
            .iter()
            .filter(|latency| **latency <= LATENCY_TARGET)
            .count();
        in_time as f64 / f64::from(self.requests.max(1))
    }
}

impl Service {
    fn new(service_time: f64, routers: usize) -> Self {
        Service {
            rng: fastrand::Rng::with_seed(7),
            service_time,
            free_at: 0.0,
            waiting: VecDeque::new(),
            routers: (0..routers)
                .map(|_| AdmissionController::default())
                .collect(),
            now: 100_000,
        }
    }

    /// Plays a stretch in which so many requests come in a second.
    fn run(&mut self, milliseconds: u64, per_second: f64) -> Outcome {
        let mut outcome = Outcome::default();
        for _ in 0..milliseconds {
            self.now += 1;
            if self.rng.f64() < per_second / 1_000.0 {
                self.arrive(&mut outcome);
            }
            while self
                .waiting
                .front()
                .is_some_and(|(_, _, begins)| *begins <= self.now as f64)
            {
                let (at, id, _) = self.waiting.pop_front().expect("it was there");
                self.routers[at].record_response(id, self.now);
            }
        }
        outcome
    }

    fn arrive(&mut self, outcome: &mut Outcome) {
        let at = self.rng.usize(0..self.routers.len());
        outcome.requests += 1;
        if self.rng.f64() < self.routers[at].rejection_ratio(self.now) {
            outcome.rejected += 1;
            return;
        }
        let id = self.routers[at].record_sent(LATENCY_TARGET, self.now);
        self.free_at = self.free_at.max(self.now as f64) + self.service_time;
        outcome
            .latencies
            .push((self.free_at - self.now as f64) as u64);
        self.waiting.push_back((at, id, self.free_at));
    }
}

#[test]
fn admits_all_under_normal_load() {
    let mut service = Service::new(10.0, 5);
    assert_eq!(service.run(20_000, 70.0).rejected, 0);
}

#[test]
fn admits_all_during_short_burst() {
    let mut service = Service::new(10.0, 5);
    service.run(3_000, 50.0);
    let peak = service.run(1_000, 190.0);
    let after = service.run(6_000, 50.0);
    assert_eq!((peak.rejected, after.rejected), (0, 0));
}

#[test]
fn admitted_requests_meet_target_under_overload() {
    for overload in [1.3, 2.0] {
        let mut service = Service::new(10.0, 9);
        service.run(3_000, 50.0);
        service.run(8_000, 100.0 * overload);
        let settled = service.run(20_000, 100.0 * overload);
        let ratio = settled.rejection_ratio();
        let least = 1.0 - 1.0 / overload;
        assert!(
            ratio > least - 0.03 && ratio < least + 0.2,
            "{ratio:.2} rejected at {overload}"
        );
        assert!(
            settled.in_time_ratio() > 0.7 / overload,
            "{:.2} in time at {overload}",
            settled.in_time_ratio()
        );
    }
}

#[test]
fn overload_without_admission_control_misses_target() {
    let mut service = Service::new(10.0, 9);
    let mut never = Outcome::default();
    for _ in 0..28_000 {
        service.now += 1;
        if service.rng.f64() < 0.13 {
            never.requests += 1;
            service.free_at = service.free_at.max(service.now as f64) + service.service_time;
            never
                .latencies
                .push((service.free_at - service.now as f64) as u64);
        }
    }
    assert!(
        never.in_time_ratio() < 0.1,
        "the comparison that makes the test above worth something"
    );
}

#[test]
fn admits_all_after_recovery() {
    let mut service = Service::new(10.0, 5);
    service.run(15_000, 180.0);
    let after = service.run(4_000, 40.0);
    assert!(after.rejected > 0 || after.in_time_ratio() > 0.9);
    assert_eq!(service.run(10_000, 40.0).rejected, 0);
}

#[test]
fn detects_unresponsive_service_from_in_flight_requests() {
    let mut admission = AdmissionController::default();
    let mut ratio: f64 = 0.0;
    for now in (1_000..8_000).step_by(20) {
        ratio = admission.rejection_ratio(now);
        admission.record_sent(LATENCY_TARGET, now);
    }
    assert!(ratio > 0.8, "{ratio:.2}");
}

#[test]
fn ignores_discarded_requests() {
    let mut admission = AdmissionController::default();
    for now in (1_000..10_000).step_by(20) {
        let id = admission.record_sent(LATENCY_TARGET, now);
        assert_eq!(admission.rejection_ratio(now), 0.0);
        admission.discard(id);
    }
}
