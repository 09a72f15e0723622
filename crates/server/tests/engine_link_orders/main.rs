//! Every order of events between the server and its engine around broken links: a run makes two calls, and each of them
//! must be given its own result, whether the last commands of a broken link are executed, lost or only partly written.
mod model;
mod world;

use world::{Handler, Outcome, World};

/// Broken links in one order of events.
const MAX_BREAKS: usize = 2;

/// The choices of one order of events: which of the possible steps came next, and how many were possible.
#[derive(Default)]
struct Choices {
    taken: Vec<(usize, usize)>,
    position: usize,
}

impl Choices {
    /// The next choice out of `count`: the recorded one, or the first.
    fn choose(&mut self, count: usize) -> usize {
        if self.position == self.taken.len() {
            self.taken.push((0, count));
        }
        let (choice, _) = self.taken[self.position];
        self.position += 1;
        choice
    }

    /// Advances to the next order of events; returns false after the last one.
    fn advance(&mut self) -> bool {
        self.position = 0;
        while let Some((choice, count)) = self.taken.pop() {
            if choice + 1 < count {
                self.taken.push((choice + 1, count));
                return true;
            }
        }
        false
    }
}

/// Plays every order of events with this handler, and returns how many there are and how many of them ended the run.
fn play_all(handler: Handler) -> (u64, u64) {
    let (mut orders, mut ended) = (0, 0);
    let mut choices = Choices::default();
    loop {
        let mut world = World::new(handler, MAX_BREAKS);
        loop {
            let steps = world.possible_steps();
            if steps.is_empty() {
                break;
            }
            let choice = choices.choose(steps.len());
            world.perform(steps[choice]);
        }
        orders += 1;
        match world.outcome() {
            Outcome::Ended => ended += 1,
            Outcome::WaitsForLostResult => {
                let may_wait = !handler.may_skip && !handler.is_idempotent;
                assert!(may_wait, "not resumed: {:#?}", world.history);
            }
            Outcome::NeverStarted => {
                assert!(!handler.is_idempotent, "not started: {:#?}", world.history);
            }
        }
        if !choices.advance() {
            return (orders, ended);
        }
    }
}

/// Guards against a call's result that reaches the run as the result of its next call: it was sent again after a broken
/// link although the run had received it and gone on. Also guards against a run that hangs if it may skip its call.
#[test]
fn gives_each_call_its_own_result_in_every_order_of_events() {
    for may_skip in [true, false] {
        for is_idempotent in [true, false] {
            let handler = Handler {
                is_idempotent,
                may_skip,
            };
            let (orders, ended) = play_all(handler);
            println!("{handler:?}: {orders} orders of events, {ended} end the run");
            assert!(ended > 0);
        }
    }
}
