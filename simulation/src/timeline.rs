//! Random timelines of faults for a group of processes, deterministic by seed, so that a run that
//! failed can be repeated.

use std::collections::BTreeSet;

/// A fault, or its end. Processes are numbered from 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// These processes lose their power at the same time.
    PowerOff(BTreeSet<usize>),
    /// These processes start again.
    PowerOn(BTreeSet<usize>),
    /// A process is suspended (SIGSTOP).
    Suspend(usize),
    /// It is resumed (SIGCONT).
    Resume(usize),
    /// Messages from the first to the second are held back.
    Partition(usize, usize),
    /// Messages from the first to the second are delayed by this many milliseconds.
    Delay(usize, usize, u64),
    /// All connections between the two are reset.
    Reset(usize, usize),
    /// All links work again.
    Heal,
    /// A process without power loses its file.
    LoseFile(usize),
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// When it happens, in milliseconds from the start.
    pub at_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Draws a timeline of `length_ms` for a number of processes.
///
/// At its end all processes have power, run, and reach each other. Fewer than half of the processes
/// ever lose their file: with more, a store with a quorum of them could not keep its promises.
pub fn draw(seed: u64, processes: usize, length_ms: u64) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut timeline = Vec::new();
    let (mut off, mut stopped) = (BTreeSet::new(), BTreeSet::new());
    let mut lost = BTreeSet::new();
    let mut at = rng.u64(50..300);
    while at < length_ms {
        let (one, other) = (rng.usize(0..processes), rng.usize(0..processes));
        match rng.u8(0..12) {
            0..=2 if off.is_empty() => {
                // All, a group, or one.
                let most = [processes, processes, processes.div_ceil(2), 1][rng.usize(0..4)];
                let mut all: Vec<usize> = (0..processes).collect();
                rng.shuffle(&mut all);
                off = all.into_iter().take(most).collect();
                stopped.retain(|process| !off.contains(process));
                timeline.push(event(at, Fault::PowerOff(off.clone())));
                let victim = off.iter().copied().find(|_| rng.u8(0..3) == 0);
                if let Some(victim) = victim
                    .filter(|victim| lost.contains(victim) || lost.len() < (processes - 1) / 2)
                {
                    lost.insert(victim);
                    timeline.push(event(at, Fault::LoseFile(victim)));
                }
            }
            3..=5 if !off.is_empty() => {
                // All return together, or in two groups.
                let back: BTreeSet<usize> = if rng.bool() {
                    off.clone()
                } else {
                    off.iter().copied().take(off.len().div_ceil(2)).collect()
                };
                off.retain(|process| !back.contains(process));
                timeline.push(event(at, Fault::PowerOn(back)));
            }
            6 if !off.contains(&one) && stopped.insert(one) => {
                timeline.push(event(at, Fault::Suspend(one)))
            }
            7 => {
                if let Some(one) = stopped.pop_first() {
                    timeline.push(event(at, Fault::Resume(one)));
                }
            }
            8 if one != other => timeline.push(event(at, Fault::Partition(one, other))),
            9 if one != other => {
                timeline.push(event(at, Fault::Delay(one, other, rng.u64(5..120))))
            }
            10 if one != other => timeline.push(event(at, Fault::Reset(one, other))),
            11 => timeline.push(event(at, Fault::Heal)),
            _ => {}
        }
        at += rng.u64(20..500);
    }
    timeline.push(event(length_ms, Fault::Heal));
    timeline.extend(
        stopped
            .into_iter()
            .map(|one| event(length_ms, Fault::Resume(one))),
    );
    if !off.is_empty() {
        timeline.push(event(length_ms, Fault::PowerOn(off)));
    }
    timeline
}

fn event(at_ms: u64, fault: Fault) -> Event {
    Event { at_ms, fault }
}

#[cfg(test)]
mod tests;
