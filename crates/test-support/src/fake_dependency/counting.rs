//! Counts calls from their arrival to their end, including those whose callers disconnected.
use super::config::{CallCounts, FakeDependencyConfig, Fault};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Length of the sliding window of [`CallCounts::max_per_second`].
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Number of leading digits of a request's id by which time in flight is summed.
const TAG_DIGITS: usize = 4;

/// The current fault, and the calls counted so far.
pub(super) struct State {
    pub(super) fault: Fault,
    pub(super) counts: CallCounts,
    /// Number of calls of each request, by its id.
    calls_by_request: HashMap<String, u32>,
    /// Arrival times of the calls of the last [`RATE_WINDOW`].
    recent_arrivals: VecDeque<Instant>,
    random: fastrand::Rng,
}

/// The state of the dependency when a call arrived.
pub(super) struct Arrival {
    pub(super) fault: Fault,
    /// Calls in flight, including this one.
    pub(super) in_flight: u64,
    /// Uniform random number from 0 to 1 that determines its latency.
    pub(super) latency_draw: f64,
}

impl State {
    fn new(seed: u64) -> Self {
        State {
            fault: Fault::None,
            counts: CallCounts::default(),
            calls_by_request: HashMap::new(),
            recent_arrivals: VecDeque::new(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Counts a call that arrives now, as in flight from then on.
    pub(super) fn record_arrival(&mut self, request_id: String) -> Arrival {
        let now = Instant::now();
        self.recent_arrivals.push_back(now);
        while self
            .recent_arrivals
            .front()
            .is_some_and(|arrival| now - *arrival >= RATE_WINDOW)
        {
            self.recent_arrivals.pop_front();
        }
        let counts = &mut self.counts;
        counts.max_per_second = counts.max_per_second.max(self.recent_arrivals.len());
        counts.calls += 1;
        counts.in_flight += 1;
        counts.max_in_flight = counts.max_in_flight.max(counts.in_flight);
        let calls = self.calls_by_request.entry(request_id).or_default();
        *calls += 1;
        counts.extra += u64::from(*calls > 1);
        Arrival {
            fault: self.fault,
            in_flight: counts.in_flight,
            latency_draw: self.random.f64(),
        }
    }
}

/// State that the threads of all connections share.
pub(super) struct Shared {
    pub(super) config: FakeDependencyConfig,
    state: Mutex<State>,
    stopped: AtomicBool,
    next_call: AtomicU64,
}

impl Shared {
    pub(super) fn new(config: FakeDependencyConfig) -> Self {
        Shared {
            config,
            state: Mutex::new(State::new(config.seed)),
            stopped: AtomicBool::new(false),
            next_call: AtomicU64::new(0),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Ends all waits of the connections' threads.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Numbers calls, starting from 0.
    pub(super) fn next_call_number(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }
}

/// Counts a call as in flight until it is dropped.
pub(super) struct InFlightCall<'a> {
    shared: &'a Shared,
    tag: String,
    start: Instant,
}

impl<'a> InFlightCall<'a> {
    /// Creates the guard of a call that [`State::record_arrival`] has counted.
    pub(super) fn new(shared: &'a Shared, tag: String) -> Self {
        InFlightCall {
            shared,
            tag,
            start: Instant::now(),
        }
    }
}

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        let tag = std::mem::take(&mut self.tag);
        let mut state = self.shared.state();
        state.counts.in_flight -= 1;
        *state.counts.in_flight_seconds.entry(tag).or_default() +=
            self.start.elapsed().as_secs_f64();
    }
}

/// The digits of a request's id by which time in flight is summed; empty if the id has fewer.
pub(super) fn tag_of(request_id: &str) -> String {
    request_id.get(..TAG_DIGITS).unwrap_or_default().to_string()
}
