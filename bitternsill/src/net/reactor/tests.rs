//! Tests of stall detection and of the reuse of connection slots.

use super::*;
use std::cell::RefCell;
use std::rc::Rc;

/// A world that ends after a number of turns and records undelivered messages.
struct Turns(u32, Rc<RefCell<Vec<String>>>);

impl World for Turns {
    type Message = &'static str;

    fn due(&self, now: Time) -> Option<Time> {
        Some(now)
    }

    fn turn(&mut self, _net: &mut Net<Self>, _now: Time) {
        self.0 -= 1;
    }

    fn undelivered(&mut self, message: &'static str, _now: Time) {
        self.1.borrow_mut().push(format!("undelivered: {message}"));
    }

    fn finished(&self, _now: Time) -> bool {
        self.0 == 0
    }
}

struct Recorder(Rc<RefCell<Vec<String>>>, &'static str);

impl Connection<Turns> for Recorder {
    fn opened(&mut self, _cx: &mut Context<'_, Turns>) -> io::Result<()> {
        Ok(())
    }

    fn ready(&mut self, _cx: &mut Context<'_, Turns>, _ready: Ready) {}

    fn deliver(&mut self, cx: &mut Context<'_, Turns>, message: &'static str) {
        self.0
            .borrow_mut()
            .push(format!("{} received {message}", self.1));
        if message == "close" {
            cx.set_timer(cx.now + 1);
            cx.close();
        }
    }

    fn timer(&mut self, _cx: &mut Context<'_, Turns>) {
        self.0.borrow_mut().push(format!("{}'s timer", self.1));
    }
}

#[test]
fn stall_applies_to_three_rounds() {
    let (mut stalls, stall) = (Stalls::default(), 12 * STALL_THRESHOLD);
    let mut round = |last_poll, now| stalls.since(last_poll, now);
    assert_eq!(round(0, 5), 5, "no stall");
    // The stalled round handles other events; the next one accepts, and the one after that reads.
    let times = [stall + 5, stall + 6, stall + 7, stall + 8];
    let seen = [
        (5, times[0]),
        (times[0], times[1]),
        (times[1], times[2]),
        (times[2], times[3]),
    ];
    assert_eq!(
        seen.map(|(last_poll, now)| round(last_poll, now)),
        [5, 5, 5, times[3]]
    );
}

#[test]
fn stale_token_does_not_reach_new_connection() {
    let records = Rc::new(RefCell::new(Vec::new()));
    let mut reactor = Reactor::new(Turns(3, records.clone()), Clock::start()).unwrap();
    let first = reactor
        .parts()
        .0
        .open(Box::new(Recorder(records.clone(), "first")));
    reactor.parts().0.post(first, "close");
    reactor.run().unwrap();
    reactor.parts().1.0 = 3;
    let second = reactor
        .parts()
        .0
        .open(Box::new(Recorder(records.clone(), "second")));
    assert_eq!(
        (first.index, second.index),
        (0, 0),
        "the slot is used again"
    );
    reactor.parts().0.post(first, "late");
    reactor.parts().0.post(second, "now");
    reactor.run().unwrap();
    assert_eq!(
        *records.borrow(),
        [
            "first received close",
            "undelivered: late",
            "second received now"
        ]
    );
}
