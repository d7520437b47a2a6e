//! The loop's own bookkeeping: stalls, and slots that are used again.

use super::*;
use std::cell::RefCell;
use std::rc::Rc;

/// A world that ends after some turns.
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
        self.1.borrow_mut().push(format!("nobody hears {message}"));
    }

    fn finished(&self, _now: Time) -> bool {
        self.0 == 0
    }
}

struct Ear(Rc<RefCell<Vec<String>>>, &'static str);

impl Connection<Turns> for Ear {
    fn opened(&mut self, _cx: &mut Context<'_, Turns>) -> io::Result<()> {
        Ok(())
    }

    fn ready(&mut self, _cx: &mut Context<'_, Turns>, _ready: Ready) {}

    fn deliver(&mut self, cx: &mut Context<'_, Turns>, message: &'static str) {
        self.0
            .borrow_mut()
            .push(format!("{} hears {message}", self.1));
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
    let mut round = |asleep, now| stalls.since(asleep, now);
    assert_eq!(round(0, 5), 5, "no stall");
    // Seen in a round of other events; the listener's come in the next, the bytes in the one behind
    // that.
    let times = [stall + 5, stall + 6, stall + 7, stall + 8];
    let seen = [
        (5, times[0]),
        (times[0], times[1]),
        (times[1], times[2]),
        (times[2], times[3]),
    ];
    assert_eq!(
        seen.map(|(asleep, now)| round(asleep, now)),
        [5, 5, 5, times[3]]
    );
}

#[test]
fn stale_token_does_not_reach_new_connection() {
    let heard = Rc::new(RefCell::new(Vec::new()));
    let mut reactor = Reactor::new(Turns(3, heard.clone()), Clock::start()).unwrap();
    let first = reactor
        .parts()
        .0
        .open(Box::new(Ear(heard.clone(), "first")));
    reactor.parts().0.post(first, "close");
    reactor.run().unwrap();
    reactor.parts().1.0 = 3;
    let second = reactor
        .parts()
        .0
        .open(Box::new(Ear(heard.clone(), "second")));
    assert_eq!(
        (first.index, second.index),
        (0, 0),
        "the slot is used again"
    );
    reactor.parts().0.post(first, "late");
    reactor.parts().0.post(second, "now");
    reactor.run().unwrap();
    assert_eq!(
        *heard.borrow(),
        ["first hears close", "nobody hears late", "second hears now"]
    );
}
