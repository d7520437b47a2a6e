//! Admission control by independent routers of a service with one queue, in simulated time.

use routing::admission::{AdmissionController, InFlightId};
use std::collections::VecDeque;

const LATENCY_TARGET: u64 = 500;
/// Work of every request.
const WORK: u64 = 1_000;
/// Number of slots of the service, which counts as busy while half of them are in use.
const SLOTS: usize = 20;

/// A service that executes one request at a time, and its routers.
struct Service {
    rng: fastrand::Rng,
    /// Milliseconds per request.
    service_time: f64,
    free_at: f64,
    waiting: VecDeque<(usize, InFlightId, f64)>,
    routers: Vec<AdmissionController>,
    now: u64,
}

/// The outcome of the requests in a period.
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

    fn in_time(&self) -> usize {
        let latencies = self.latencies.iter();
        latencies
            .filter(|latency| **latency <= LATENCY_TARGET)
            .count()
    }

    fn in_time_ratio(&self) -> f64 {
        self.in_time() as f64 / f64::from(self.requests.max(1))
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

    /// Simulates a period with a random rate of requests per second.
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
                let (at, id, _) = self.waiting.pop_front().expect("the queue is not empty");
                self.routers[at].record_response(id, self.now);
            }
        }
        outcome
    }

    fn arrive(&mut self, outcome: &mut Outcome) {
        let at = self.rng.usize(0..self.routers.len());
        outcome.requests += 1;
        let would_be_late = self.routers[at].should_reject(WORK, LATENCY_TARGET, self.now);
        // Like the router, rejects nothing while more than half of the slots are free.
        let is_busy = 2 * self.waiting.len() >= SLOTS;
        if would_be_late && is_busy {
            outcome.rejected += 1;
            return;
        }
        let id = self.routers[at].record_sent(WORK, self.now);
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

/// A burst whose backlog fits within the latency target is served.
#[test]
fn admits_all_during_short_burst() {
    for seed in 0..20 {
        let mut service = Service::new(10.0, 5);
        service.rng = fastrand::Rng::with_seed(seed);
        service.run(3_000, 50.0);
        let peak = service.run(100, 190.0);
        let after = service.run(6_000, 50.0);
        assert_eq!((peak.rejected, after.rejected), (0, 0), "seed {seed}");
    }
}

/// During a burst of 2.5 times the load fewer requests were served in time than before. All
/// requests waited until their clients gave up, and rejections began only after two seconds, at the
/// end of the burst.
#[test]
fn burst_takes_no_goodput() {
    const CALM: f64 = 70.0;
    const BURST: f64 = 2.5 * CALM;
    for seed in 0..20 {
        let mut service = Service::new(10.0, 9);
        service.rng = fastrand::Rng::with_seed(seed);
        let calm = service.run(5_000, CALM);
        let before = calm.in_time() / 5;
        let (mut in_time, mut admitted) = (0, 0);
        for second in 0..6 {
            let outcome = service.run(1_000, BURST);
            assert!(
                outcome.in_time() >= before,
                "seed {seed}, second {second}: {} in time, {before} before",
                outcome.in_time()
            );
            in_time += outcome.in_time();
            admitted += outcome.latencies.len();
        }
        let late = admitted - in_time;
        assert!(
            late * 20 <= admitted,
            "seed {seed}: {late} of {admitted} were late"
        );
        service.run(1_000, CALM);
        assert_eq!(
            service.run(5_000, CALM).rejected,
            0,
            "seed {seed}: rejected after the burst"
        );
    }
}

/// With requests of different sizes, large ones are rejected first.
#[test]
fn large_requests_are_rejected_first() {
    const LARGE: u64 = 20 * WORK;
    let mut admission = AdmissionController::default();
    let mut in_flight = VecDeque::new();
    // One request begins every 10 ms, and the queue grows until both sizes are rejected.
    let (mut small, mut large) = (None, None);
    for now in (1_000..20_000).step_by(10) {
        if let Some(id) = in_flight.pop_front() {
            admission.record_response(id, now);
        }
        for _ in 0..1 + usize::from(now % 100 == 0) {
            in_flight.push_back(admission.record_sent(WORK, now));
        }
        if large.is_none() && admission.should_reject(LARGE, LATENCY_TARGET, now) {
            large = Some(now);
        }
        if small.is_none() && admission.should_reject(WORK, LATENCY_TARGET, now) {
            small = Some(now);
        }
    }
    assert!(large.is_some() && large < small, "{large:?}, {small:?}");
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
        "the overload is too small for the test above"
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

/// Few requests are sent to a service that stops responding or never responded.
#[test]
fn detects_unresponsive_service_from_in_flight_requests() {
    for has_responded in [false, true] {
        let mut admission = AdmissionController::default();
        if has_responded {
            for now in (0..1_000).step_by(20) {
                let id = admission.record_sent(WORK, now);
                admission.record_response(id, now + 10);
            }
        }
        let mut rejected = 0;
        for now in (1_000..8_000).step_by(20) {
            match admission.should_reject(WORK, LATENCY_TARGET, now) {
                true => rejected += 1,
                false => {
                    admission.record_sent(WORK, now);
                }
            }
        }
        assert!(rejected > 280, "{rejected} of 350");
    }
}

#[test]
fn ignores_discarded_requests() {
    let mut admission = AdmissionController::default();
    for now in (1_000..10_000).step_by(20) {
        let id = admission.record_sent(WORK, now);
        assert!(!admission.should_reject(WORK, LATENCY_TARGET, now));
        admission.discard(id);
    }
}
