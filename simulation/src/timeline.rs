//! Random timelines of faults for a group of processes. The same seed gives the same timeline, so
//! that a failed run can be repeated.

use std::collections::BTreeSet;

/// The start or end of a fault. Processes are numbered from 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// These processes lose power at the same time.
    PowerOff(BTreeSet<usize>),
    /// These processes start again.
    PowerOn(BTreeSet<usize>),
    /// A process is suspended (SIGSTOP).
    Suspend(usize),
    /// A suspended process is resumed (SIGCONT).
    Resume(usize),
    /// Messages from the first process to the second are held back.
    Partition(usize, usize),
    /// Messages from the first process to the second are delayed by this many milliseconds.
    Delay(usize, usize, u64),
    /// All connections between two processes are reset.
    Reset(usize, usize),
    /// All partitions and delays end.
    Heal,
    /// A process without power loses its data file.
    LoseFile(usize),
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The time in milliseconds since the start of the timeline.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// Draws a timeline of `length_ms` for a number of processes.
///
/// At the end all processes have power, run, and reach each other. Fewer than half of the processes
/// ever lose their file: a store that commits on a majority loses data when more files are lost.
pub fn draw(seed: u64, processes: usize, length_ms: u64) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut timeline = Vec::new();
    let (mut powered_off, mut suspended) = (BTreeSet::new(), BTreeSet::new());
    let mut file_losses = BTreeSet::new();
    let mut at = rng.u64(50..300);
    while at < length_ms {
        let (one, other) = (rng.usize(0..processes), rng.usize(0..processes));
        match rng.u8(0..12) {
            0..=2 if powered_off.is_empty() => {
                // All processes, half of them, or one.
                let count = [processes, processes, processes.div_ceil(2), 1][rng.usize(0..4)];
                let mut all: Vec<usize> = (0..processes).collect();
                rng.shuffle(&mut all);
                powered_off = all.into_iter().take(count).collect();
                suspended.retain(|process| !powered_off.contains(process));
                timeline.push(event(at, Fault::PowerOff(powered_off.clone())));
                let victim = powered_off.iter().copied().find(|_| rng.u8(0..3) == 0);
                if let Some(victim) = victim.filter(|victim| {
                    file_losses.contains(victim) || file_losses.len() < (processes - 1) / 2
                }) {
                    file_losses.insert(victim);
                    timeline.push(event(at, Fault::LoseFile(victim)));
                }
            }
            3..=5 if !powered_off.is_empty() => {
                // All are powered on together, or in two groups.
                let powered_on: BTreeSet<usize> = if rng.bool() {
                    powered_off.clone()
                } else {
                    powered_off
                        .iter()
                        .copied()
                        .take(powered_off.len().div_ceil(2))
                        .collect()
                };
                powered_off.retain(|process| !powered_on.contains(process));
                timeline.push(event(at, Fault::PowerOn(powered_on)));
            }
            6 if !powered_off.contains(&one) && suspended.insert(one) => {
                timeline.push(event(at, Fault::Suspend(one)))
            }
            7 => {
                if let Some(one) = suspended.pop_first() {
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
        suspended
            .into_iter()
            .map(|one| event(length_ms, Fault::Resume(one))),
    );
    if !powered_off.is_empty() {
        timeline.push(event(length_ms, Fault::PowerOn(powered_off)));
    }
    timeline
}

fn event(at_ms: u64, fault: Fault) -> Event {
    Event { at_ms, fault }
}

#[cfg(test)]
mod tests;
