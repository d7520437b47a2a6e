//! Evidence that a backend fails requests, gathered from several routers.
//!
//! A fleet of many routers sends each backend little from each of them, so that none sees enough
//! failures to judge. One router gathers the faults that all of them saw at a backend and suspects
//! it once enough came from more than one of them. A suspicion has an end; it lasts longer where
//! the backend fails again soon after.

use crate::Millis;
use compact_str::CompactString;
use std::collections::{HashMap, VecDeque};

/// Faults count for so long.
const WINDOW: Millis = 2_000;
/// A backend is suspected after so many faults within the window.
const ENOUGH: u32 = 4;
/// A router's faults count for so many within the window, so that no single one can make a backend
/// suspected.
const MOST_EACH: u32 = 2;
/// How long the first suspicion lasts.
const SUSPECTED: Millis = 1_000;
/// A suspicion lasts twice as long as the one before, up to this.
const LONGEST: Millis = 8_000;
/// A suspicion counts as another one in a row if it begins so soon after the end of the one before.
const IN_A_ROW: Millis = 6_000;

/// The faults that one router saw at a backend.
#[derive(Debug)]
struct Report {
    reporter: CompactString,
    faults: u32,
    at: Millis,
}

/// What is known of one backend.
#[derive(Debug, Default)]
struct Case {
    reports: VecDeque<Report>,
    lasts: Millis,
    until: Millis,
}

/// The faults of the backends that this router judges.
#[derive(Debug, Default)]
pub struct FaultEvidence {
    cases: HashMap<CompactString, Case>,
}

impl FaultEvidence {
    /// Takes the faults that a router saw. Returns how long the backend is to be suspected, where
    /// that begins now.
    pub fn report(
        &mut self,
        backend: &CompactString,
        reporter: &CompactString,
        faults: u32,
        now: Millis,
    ) -> Option<Millis> {
        let case = self.cases.entry(backend.clone()).or_default();
        if now < case.until {
            return None;
        }
        case.reports.push_back(Report {
            reporter: reporter.clone(),
            faults,
            at: now,
        });
        case.forget_old(now);
        (case.weight() >= ENOUGH).then(|| case.suspect(now))
    }

    /// Forgets backends of which nothing was heard for long.
    pub fn forget_quiet(&mut self, now: Millis) {
        self.cases.retain(|_, case| {
            case.forget_old(now);
            !case.reports.is_empty() || now < case.until + IN_A_ROW
        });
    }

    /// How many backends are remembered.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Whether no backend is remembered.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }
}

impl Case {
    fn forget_old(&mut self, now: Millis) {
        while self
            .reports
            .front()
            .is_some_and(|report| now >= report.at + WINDOW)
        {
            self.reports.pop_front();
        }
    }

    fn weight(&self) -> u32 {
        let mut by_reporter: HashMap<&CompactString, u32> = HashMap::new();
        for report in &self.reports {
            let faults = by_reporter.entry(&report.reporter).or_default();
            *faults = (*faults + report.faults).min(MOST_EACH);
        }
        by_reporter.values().sum()
    }

    fn suspect(&mut self, now: Millis) -> Millis {
        let again = self.lasts > 0 && now < self.until + IN_A_ROW;
        self.lasts = if again {
            (2 * self.lasts).min(LONGEST)
        } else {
            SUSPECTED
        };
        self.until = now + self.lasts;
        self.reports.clear();
        self.lasts
    }
}

/// Whether suspicions are to be heeded: where more than 3 in 10 backends of a service are
/// suspected, the fault is more likely the requests' or the network's.
pub fn are_few_suspected(suspected: usize, all: usize) -> bool {
    10 * suspected <= 3 * all
}
