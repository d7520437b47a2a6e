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
mod tests;
