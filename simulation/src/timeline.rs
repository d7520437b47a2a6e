//! Which faults befall which of some processes, and when: drawn by a seed, so that a day that fails
//! can be played again.

use std::collections::BTreeSet;

/// Something that befalls the processes, which are counted from 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// These lose their power at one moment.
    PowerOff(BTreeSet<usize>),
    /// These have it again.
    PowerOn(BTreeSet<usize>),
    /// One stands still.
    Stop(usize),
    /// It goes on.
    Continue(usize),
    /// What the first sends to the second stays on the way.
    Cut(usize, usize),
    /// What the first sends to the second is late by so many milliseconds.
    Slow(usize, usize, u64),
    /// Every connection between these two is reset.
    Reset(usize, usize),
    /// All links are whole again.
    Heal,
    /// One that is off loses its file.
    LoseFile(usize),
}

/// A fault and when it comes, in milliseconds from the begin.
pub type Event = (u64, Fault);

/// A day of so many milliseconds for some processes. At its end all have power, run, and hear each
/// other. No file is lost while another one is, and fewer than half of the processes ever lose
/// theirs.
pub fn draw(seed: u64, processes: usize, length: u64) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut day = Vec::new();
    let (mut off, mut stopped) = (BTreeSet::new(), BTreeSet::new());
    let mut lost = BTreeSet::new();
    let mut at = rng.u64(50..300);
    while at < length {
        let (one, other) = (rng.usize(0..processes), rng.usize(0..processes));
        match rng.u8(0..12) {
            0..=2 if off.is_empty() => {
                // Of all, of a group, or of one.
                let most = [processes, processes, processes.div_ceil(2), 1][rng.usize(0..4)];
                let mut all: Vec<usize> = (0..processes).collect();
                rng.shuffle(&mut all);
                off = all.into_iter().take(most).collect();
                stopped.retain(|process| !off.contains(process));
                day.push((at, Fault::PowerOff(off.clone())));
                let gone = off.iter().copied().find(|_| rng.u8(0..3) == 0);
                if let Some(gone) =
                    gone.filter(|gone| lost.contains(gone) || lost.len() < (processes - 1) / 2)
                {
                    lost.insert(gone);
                    day.push((at, Fault::LoseFile(gone)));
                }
            }
            3..=5 if !off.is_empty() => {
                // They come back together, or in two groups.
                let back: BTreeSet<usize> = if rng.bool() {
                    off.clone()
                } else {
                    off.iter().copied().take(off.len().div_ceil(2)).collect()
                };
                off.retain(|process| !back.contains(process));
                day.push((at, Fault::PowerOn(back)));
            }
            6 if !off.contains(&one) && stopped.insert(one) => day.push((at, Fault::Stop(one))),
            7 => {
                if let Some(one) = stopped.pop_first() {
                    day.push((at, Fault::Continue(one)));
                }
            }
            8 if one != other => day.push((at, Fault::Cut(one, other))),
            9 if one != other => day.push((at, Fault::Slow(one, other, rng.u64(5..120)))),
            10 if one != other => day.push((at, Fault::Reset(one, other))),
            11 => day.push((at, Fault::Heal)),
            _ => {}
        }
        at += rng.u64(20..500);
    }
    day.push((length, Fault::Heal));
    day.extend(
        stopped
            .into_iter()
            .map(|one| (length, Fault::Continue(one))),
    );
    if !off.is_empty() {
        day.push((length, Fault::PowerOn(off)));
    }
    day
}

#[cfg(test)]
mod tests;
