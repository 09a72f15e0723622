//! The adaptive concurrency limit of one dependency: additive increase while it is used and calls end well,
//! multiplicative decrease on signs of overload, a slighter one while the latency gradient shows a queue.
use cottondyke_types::Time;

/// Parts of the limit that stay after a sign of overload, and after a call that shows a queue.
const OVERLOAD: f64 = 0.7;
const QUEUE: f64 = 0.95;
/// Part of the most from which the limit starts again after the breaker closed.
const RESTART: f64 = 0.25;
/// From this many times the usual latency on a queue is taken to stand at the dependency.
const GRADIENT: f64 = 2.0;
/// The limit grows only where this part of it is in use: unused room proves nothing.
const USED: f64 = 0.5;

#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    floor: f64,
    most: f64,
    now: f64,
    /// Up to here it grows by one a call, past it by one a round.
    slow_start: f64,
    /// One decrease a round trip: calls sent before it tell of the same overload.
    rests: Time,
    adapts: bool,
}

impl ConcurrencyLimiter {
    /// Between `floor` and `most`, where it starts; fixed there unless it `adapts`.
    pub fn new(floor: usize, most: usize, adapts: bool) -> Self {
        let most = most.max(1) as f64;
        ConcurrencyLimiter {
            floor: (floor as f64).clamp(1.0, most),
            most,
            now: most,
            slow_start: most,
            rests: Time(0),
            adapts,
        }
    }

    pub fn set(&mut self, floor: usize, most: usize, adapts: bool) {
        self.most = most.max(1) as f64;
        self.floor = (floor as f64).clamp(1.0, self.most);
        self.now = if adapts {
            self.now.clamp(self.floor, self.most)
        } else {
            self.most
        };
        self.adapts = adapts;
    }

    /// The most changed: a limit that stood at it goes with it, one that was learned below it stays.
    pub fn follow(&mut self, most: usize) {
        let most = most.max(1) as f64;
        if self.now >= self.most || !self.adapts {
            (self.now, self.slow_start) = (most, most);
        }
        self.now = self.now.min(most);
        self.most = most;
    }

    /// Whether nothing that was learned bounds it.
    pub fn is_full(&self) -> bool {
        self.now >= self.most
    }

    /// Calls that may be held.
    pub fn calls(&self) -> usize {
        self.now as usize
    }

    /// A call ended well, one of `held`. `gradient`: how many times longer than usual calls take of late; `round`:
    /// their usual time.
    pub fn well(&mut self, now: Time, gradient: f64, held: usize, round: Time) {
        if gradient > GRADIENT {
            self.fall(now, QUEUE, round);
        } else if self.adapts && held as f64 >= self.now * USED {
            let step = if self.now < self.slow_start {
                1.0
            } else {
                1.0 / self.now
            };
            self.now = (self.now + step).min(self.most);
        }
    }

    /// A call's end shows overload.
    pub fn overload(&mut self, now: Time, round: Time) {
        self.fall(now, OVERLOAD, round);
    }

    fn fall(&mut self, now: Time, part: f64, round: Time) {
        if self.adapts && now >= self.rests {
            // The most that it held well lately bounds how quickly it comes back.
            self.slow_start = self.now * part;
            self.now = self.slow_start.max(self.floor);
            self.rests = now + round;
        }
    }

    /// After the breaker closed: from a part of the most, and by one a call up to where it stood before.
    pub fn restart(&mut self) {
        if self.adapts {
            self.slow_start = self.slow_start.max(self.now);
            self.now = self.now.min(self.most * RESTART).max(self.floor);
        }
    }
}
