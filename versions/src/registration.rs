//! Whether a process still has its gatherer's name, or another process has taken it.

/// How a process stands to its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Its own registration has not been committed yet.
    Unseen,
    /// Its own registration was committed, and no other one after it.
    Registered,
    /// Another process registered after it; this is for good.
    Displaced,
}

/// One process's claim to its gatherer's name.
#[derive(Debug, Clone)]
pub struct Registration {
    life: u64,
    state: State,
}

impl Registration {
    /// A process with this life that has not registered yet.
    pub fn new(life: u64) -> Self {
        Registration {
            life,
            state: State::Unseen,
        }
    }

    /// The life that a registration bears.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Whether another process has taken the name.
    pub fn is_displaced(&self) -> bool {
        self.state == State::Displaced
    }

    /// A registration of the name was committed. Each one has to be told, in order: two processes
    /// that register in the same moment may each find only the other's in the store whenever they
    /// look. True where the name is lost by this one.
    pub fn committed(&mut self, life: u64) -> bool {
        let next = match self.state {
            State::Unseen | State::Registered if life == self.life => State::Registered,
            State::Registered => State::Displaced,
            unchanged => unchanged,
        };
        let lost = next == State::Displaced && self.state != State::Displaced;
        self.state = next;
        lost
    }
}
