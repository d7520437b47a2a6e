//! Detects that another process has registered under a gatherer's name.

/// The state of a process's registration of its gatherer's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The process's own registration has not been committed yet.
    Pending,
    /// The process's own registration is the last one that was committed.
    Registered,
    /// Another process registered after this one. This state is final.
    Displaced,
}

/// One process's registration of its gatherer's name.
#[derive(Debug, Clone)]
pub struct Registration {
    incarnation: u64,
    state: State,
}

impl Registration {
    /// The registration of a process that has not registered yet.
    pub fn new(incarnation: u64) -> Self {
        Registration {
            incarnation,
            state: State::Pending,
        }
    }

    /// The incarnation of the process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether another process has taken over the name.
    pub fn is_displaced(&self) -> bool {
        self.state == State::Displaced
    }

    /// Handles a committed registration of the name. Returns `true` if this process loses the name
    /// to it.
    ///
    /// The caller has to pass every committed registration, in order. The current content of the
    /// store is not enough: of two processes that register at the same time, each may read only the
    /// other's registration.
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
