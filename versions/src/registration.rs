//! Detects that another process has registered under a gatherer's name.

/// The state of a process's registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Its own registration has not been committed yet.
    Pending,
    /// Its own registration was committed, and no other one after it.
    Registered,
    /// Another process registered after it. This state is final.
    Displaced,
}

/// One process's registration of its gatherer's name.
#[derive(Debug, Clone)]
pub struct Registration {
    incarnation: u64,
    state: State,
}

impl Registration {
    /// A process of this incarnation that has not registered yet.
    pub fn new(incarnation: u64) -> Self {
        Registration {
            incarnation,
            state: State::Pending,
        }
    }

    /// The incarnation that registers.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether another process has taken the name.
    pub fn is_displaced(&self) -> bool {
        self.state == State::Displaced
    }

    /// A registration of the name was committed. Returns `true` if this process lost the name by
    /// it.
    ///
    /// Every committed registration has to be passed, in order: of two processes that register at
    /// the same time each may find only the other's registration when it reads the store.
    pub fn observe_commit(&mut self, incarnation: u64) -> bool {
        let next = match self.state {
            State::Pending | State::Registered if incarnation == self.incarnation => {
                State::Registered
            }
            State::Registered => State::Displaced,
            unchanged => unchanged,
        };
        let lost = next == State::Displaced && self.state != State::Displaced;
        self.state = next;
        lost
    }
}
