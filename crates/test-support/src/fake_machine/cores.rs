//! The cores of a machine: the runs that share them, their speed after a cold start, and a record of their load.
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Configuration of a machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineConfig {
    /// The number of cores.
    pub cores: f64,
    /// The fraction of full speed at which the machine runs right after a cold start.
    pub cold_speed: f64,
    /// How long a cold machine takes to reach full speed.
    pub warm_after: Duration,
    /// The cold speed that the server's settings state, which is no higher than the actual one.
    pub configured_cold_speed: f64,
    /// The warm-up time that the server's settings state, which is no shorter than the actual one.
    pub configured_warm_within: Duration,
    /// Runs per core that the machine survives when warm.
    pub overload_factor: f64,
    /// Whether each run needs one call to a dependency before it uses the cores.
    pub makes_calls: bool,
}

/// How a machine starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// Below full speed.
    Cold,
    /// At full speed.
    Warm,
}

/// A run that the machine started.
#[derive(Clone, Copy, Debug)]
pub struct StartedRun {
    /// When it started, counted from the machine's start.
    pub at: Duration,
    /// Work of the run, in seconds on one core at full speed.
    pub work: f64,
}

/// Running and survivable number of runs during one step.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: Duration,
    length: f64,
    running: f64,
    survivable: f64,
}

/// The cores, and the runs on them.
#[derive(Debug)]
pub(super) struct Cores {
    config: MachineConfig,
    start: StartKind,
    started_at: Instant,
    advanced_at: Instant,
    is_hung: bool,
    /// Remaining seconds of work of each run on the cores, by its id.
    runs: BTreeMap<String, f64>,
    /// Seconds of work of each run that waits for its call, by its id.
    waiting_for_call: BTreeMap<String, f64>,
    started_runs: Vec<StartedRun>,
    load_samples: Vec<LoadSample>,
    /// The number of the last notice since the machine's start.
    last_notice: u64,
    /// Notices that have not been written to a connection yet.
    notices: VecDeque<String>,
    /// The number of the current link, which replaced all earlier ones.
    current_link: u64,
    /// Links up to this number are broken.
    last_broken_link: u64,
}

impl Cores {
    pub(super) fn new(config: MachineConfig, start: StartKind, now: Instant) -> Self {
        Cores {
            config,
            start,
            started_at: now,
            advanced_at: now,
            is_hung: false,
            runs: BTreeMap::new(),
            waiting_for_call: BTreeMap::new(),
            started_runs: Vec::new(),
            load_samples: Vec::new(),
            last_notice: 0,
            notices: VecDeque::new(),
            current_link: 0,
            last_broken_link: 0,
        }
    }

    /// Restarts with the same configuration; the current link breaks, and whether the machine is hung stays as it is.
    pub(super) fn restart(&mut self, start: StartKind, now: Instant) {
        let (link, is_hung) = (self.current_link, self.is_hung);
        *self = Cores::new(self.config, start, now);
        (self.current_link, self.last_broken_link, self.is_hung) = (link, link, is_hung);
    }

    pub(super) fn set_hung(&mut self, is_hung: bool) {
        self.is_hung = is_hung;
    }

    pub(super) fn break_link(&mut self) {
        self.last_broken_link = self.current_link;
    }

    /// Opens a new link, which replaces the one before, and returns its number.
    pub(super) fn open_link(&mut self) -> u64 {
        self.current_link += 1;
        self.current_link
    }

    pub(super) fn is_link_open(&self, link: u64) -> bool {
        link == self.current_link && link > self.last_broken_link
    }

    /// The first line on a new link: the state of the machine and its age in milliseconds.
    pub(super) fn hello_line(&self, now: Instant) -> String {
        let state = match self.start {
            StartKind::Cold => "starting",
            StartKind::Warm => "running",
        };
        let age = now.duration_since(self.started_at).as_millis();
        format!("HELLO {state} {age}")
    }

    /// The fraction of full speed at a time since the machine's start.
    fn speed_at(&self, at: Duration, cold_speed: f64, warm_after: Duration) -> f64 {
        let progress = at.as_secs_f64() / warm_after.as_secs_f64();
        match self.start {
            StartKind::Cold => (cold_speed + (1.0 - cold_speed) * progress).min(1.0),
            StartKind::Warm => 1.0,
        }
    }

    /// Advances the runs up to `now`, and ends those whose work is done.
    pub(super) fn advance(&mut self, now: Instant) {
        let at = now.duration_since(self.started_at);
        let length = now.duration_since(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        let running = self.runs.len() as f64;
        let speed = self.speed_at(at, self.config.cold_speed, self.config.warm_after);
        let extra = (self.config.overload_factor - 1.0) * speed;
        let survivable = self.config.cores * (1.0 + extra);
        self.load_samples.push(LoadSample {
            at,
            length,
            running,
            survivable,
        });
        if self.is_hung {
            return;
        }
        let share = (self.config.cores / running.max(1.0)).min(1.0);
        for remaining in self.runs.values_mut() {
            *remaining -= length * speed * share;
        }
        let ended = self.runs.iter().filter(|(_, remaining)| **remaining <= 0.0);
        let ended: Vec<String> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.end_run(&id, "fine");
        }
    }

    /// Removes a run, and queues the notice of its outcome.
    fn end_run(&mut self, id: &str, outcome: &str) {
        if self
            .runs
            .remove(id)
            .or(self.waiting_for_call.remove(id))
            .is_some()
        {
            self.last_notice += 1;
            let notice = self.last_notice;
            self.notices
                .push_back(format!("DONE {notice} {id} {outcome} 1 0\r\n\r\n"));
        }
    }

    /// Starts a run; has no effect if the run has started already.
    pub(super) fn start_run(&mut self, id: &str, work: f64, now: Instant) {
        if self.runs.contains_key(id) || self.waiting_for_call.contains_key(id) {
            return;
        }
        let at = now.duration_since(self.started_at);
        self.started_runs.push(StartedRun { at, work });
        if self.config.makes_calls {
            self.waiting_for_call.insert(id.to_string(), work);
            self.last_notice += 1;
            let notice = self.last_notice;
            self.notices
                .push_back(format!("NEED {notice} {id} 4\r\ncall\r\n"));
        } else {
            self.runs.insert(id.to_string(), work);
        }
    }

    /// Moves a run whose call is over to the cores.
    pub(super) fn resume_run(&mut self, id: &str) {
        if let Some(work) = self.waiting_for_call.remove(id) {
            self.runs.insert(id.to_string(), work);
        }
    }

    /// Ends a run before its work is done.
    pub(super) fn cancel_run(&mut self, id: &str) {
        self.end_run(id, "broken_off");
    }

    pub(super) fn take_notices(&mut self) -> Vec<String> {
        self.notices.drain(..).collect()
    }

    /// The gauges of a `STATS` line: utilization of the cores, runnable tasks, memory, connections.
    pub(super) fn gauges(&self) -> String {
        let running = self.runs.len() as f64;
        let used = (running / self.config.cores).min(1.0);
        format!("{used:.3} {running:.0} 0.1 3")
    }

    pub(super) fn started_runs(&self) -> &[StartedRun] {
        &self.started_runs
    }

    /// See [`FakeMachine::peak_load`](super::FakeMachine::peak_load).
    pub(super) fn peak_load(&self, window: Duration) -> f64 {
        let span = window.as_secs_f64();
        let mut peak: f64 = 0.0;
        let (mut oldest, mut sum) = (0, 0.0);
        for sample in &self.load_samples {
            sum += sample.running * sample.length;
            while self.load_samples[oldest].at + window < sample.at {
                sum -= self.load_samples[oldest].running * self.load_samples[oldest].length;
                oldest += 1;
            }
            peak = peak.max(sum / span / sample.survivable);
        }
        peak
    }
}
