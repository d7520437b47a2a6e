//! In which order and how fast classes come back while index hosts warm up.
//!
//! What index hosts bear together grows from a stated share to all of it over a stated time, and
//! each gatherer has its share of the clients, so the share of its own queries that may be taken is
//! the same for each: nobody needs to know how many are up. That is the least; where
//! [`crate::bearing`] has seen them bear more, more is taken. Classes are taken back by what they
//! are worth. Others are told when their turn is, not all for one moment.

use crate::Time;

/// Whether a query is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It is.
    Taken,
    /// Not now; it should come again after this long.
    Later(Time),
}

/// How index hosts warm up, and which classes go first.
#[derive(Debug, Clone)]
pub struct Ramp {
    /// What they bear at the start, of what they bear when warm.
    pub start: f64,
    /// How long that takes.
    pub lasts: Time,
    /// The longest that a client is told to wait.
    pub most: Time,
    /// For each class how many are worth more.
    places: Vec<usize>,
}

impl Ramp {
    /// A ramp from a share (0 to 1) over a time; each class has what one of its queries is worth
    /// against its work.
    pub fn new(start: f64, lasts: Time, most: Time, worth: &[f64]) -> Ramp {
        let mut order: Vec<usize> = (0..worth.len()).collect();
        order.sort_by(|a, b| worth[*b].total_cmp(&worth[*a]).then(a.cmp(b)));
        let mut places = vec![0; worth.len()];
        order
            .iter()
            .enumerate()
            .for_each(|(place, class)| places[*class] = place);
        Ramp {
            start: start.clamp(0.0, 1.0),
            lasts,
            most,
            places,
        }
    }

    /// What index hosts bear after so long, of what they bear when warm.
    pub fn share(&self, after: Time) -> f64 {
        if after >= self.lasts {
            return 1.0;
        }
        self.start + (1.0 - self.start) * after as f64 / self.lasts as f64
    }

    /// The part of a class's queries that are taken where this share of all is.
    pub fn part(&self, class: usize, share: f64) -> f64 {
        // A class that came with other settings goes last.
        let place = self
            .places
            .get(class)
            .copied()
            .unwrap_or(self.places.len().saturating_sub(1));
        (share * self.places.len().max(1) as f64 - place as f64).clamp(0.0, 1.0)
    }

    /// Whether a query of a class is taken after so long, where index hosts were seen to bear a
    /// share of all queries. `draw` is from 0 to 1, anew for each query.
    pub fn admit(&self, class: usize, after: Time, borne: f64, draw: f64) -> Turn {
        if draw < self.part(class, self.share(after).max(borne)) || after >= self.lasts {
            return Turn::Taken;
        }
        // When half of its queries are taken, at the latest; spread, so that not all come at that
        // moment.
        let place = self
            .places
            .get(class)
            .copied()
            .unwrap_or(self.places.len().saturating_sub(1));
        let half = (place as f64 + 0.5) / self.places.len().max(1) as f64;
        let at =
            (half - self.start) / (1.0 - self.start).max(f64::MIN_POSITIVE) * self.lasts as f64;
        let wait = (at.max(0.0) as Time)
            .saturating_sub(after)
            .max(self.lasts / 64)
            .min(self.most);
        Turn::Later(wait / 2 + (wait as f64 / 2.0 * draw.clamp(0.0, 1.0)) as Time)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;

    #[test]
    fn classes_come_back_by_worth_and_no_more_is_taken_than_hosts_bear() {
        let ramp = Ramp::new(0.2, 10 * S, 4 * S, &[1.0, 5.0, 2.0]);
        let parts = |after| [1, 2, 0].map(|class| ramp.part(class, ramp.share(after)));
        assert_eq!(parts(0), [0.6000000000000001, 0.0, 0.0]);
        for tenth in 0..100 {
            let after = tenth * S / 10;
            let parts = parts(after);
            assert!(parts[0] >= parts[1] && parts[1] >= parts[2], "{parts:?}");
            // Classes that ask alike make up what the hosts bear, and no more.
            let taken: f64 = parts.iter().sum::<f64>() / 3.0;
            assert!((taken - ramp.share(after)).abs() < 1e-9);
        }
        assert_eq!(parts(10 * S), [1.0; 3]);
        assert_eq!(ramp.part(7, 0.2), 0.0, "a class that nobody knew goes last");
    }

    #[test]
    fn clients_are_told_to_come_within_the_bound_and_not_all_at_one_moment() {
        let ramp = Ramp::new(0.2, 10 * S, 4 * S, &[1.0, 5.0, 2.0]);
        let mut rng = fastrand::Rng::with_seed(7);
        let mut waits = Vec::new();
        for _ in 0..1000 {
            // A draw that is refused lies above the part that is taken.
            match ramp.admit(0, S, 0.0, rng.f64()) {
                Turn::Later(wait) => waits.push(wait),
                Turn::Taken => panic!("the least class has no turn yet"),
            }
        }
        waits.sort_unstable();
        assert!(waits[0] >= 2 * S && waits[999] <= 4 * S);
        let most_in_a_tenth = waits.windows(150).map(|w| w[149] - w[0]).min().unwrap();
        assert!(
            most_in_a_tenth > S / 5,
            "150 of 1000 within {most_in_a_tenth} ns"
        );
        assert_eq!(ramp.admit(1, 3 * S, 0.0, 0.99), Turn::Taken);
        assert_eq!(ramp.admit(0, S, 1.0, 0.99), Turn::Taken, "seen to be borne");
        assert_eq!(
            Ramp::new(1.0, 0, S, &[1.0]).admit(0, 0, 0.0, 0.99),
            Turn::Taken
        );
    }
}
