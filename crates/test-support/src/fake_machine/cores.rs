//! The cores of a machine: runs that share them, the speed of a cold start, and what was put on them.
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// What a machine is like.
#[derive(Clone, Copy, Debug)]
pub struct MachineConfig {
    /// The number of cores.
    pub cores: f64,
    /// The fraction of its full speed at which a cold one starts.
    pub cold_speed: f64,
    /// How long it takes to its full speed.
    pub warm_after: Duration,
    /// What the settings tell of the first, which is no more than that.
    pub told_cold_speed: f64,
    /// What the settings tell of the second, which is no less than that.
    pub told_warm_within: Duration,
    /// Runs a core that it survives when warm.
    pub overload_factor: f64,
    /// Whether each run wants one call before it goes on the cores.
    pub makes_calls: bool,
}

/// How a machine starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// Below its full speed.
    Cold,
    /// At its full speed.
    Warm,
}

/// A run that was put on the cores.
#[derive(Clone, Copy, Debug)]
pub struct BegunRun {
    /// Since the machine's start.
    pub at: Duration,
    /// Seconds on one core at full speed.
    pub work: f64,
}

/// How many ran over a step, against what the machine survived then.
#[derive(Clone, Copy, Debug)]
struct CrowdingStep {
    at: Duration,
    length: f64,
    running: f64,
    survivable: f64,
}

/// The cores, and what runs on them.
#[derive(Debug)]
pub(super) struct Cores {
    config: MachineConfig,
    start: StartKind,
    started_at: Instant,
    advanced_at: Instant,
    is_hung: bool,
    /// Seconds of work left, by the id of the run.
    runs: BTreeMap<String, f64>,
    /// The same, of runs that wait for their call.
    at_call: BTreeMap<String, f64>,
    begun: Vec<BegunRun>,
    steps: Vec<CrowdingStep>,
    /// The number of the last notice of this life.
    last_notice: u64,
    /// Notices that were not written to a link yet.
    notices: VecDeque<String>,
    /// Which link is in force; a newer one replaces it.
    link: u64,
    /// Links up to this one are broken.
    broken_link: u64,
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
            at_call: BTreeMap::new(),
            begun: Vec::new(),
            steps: Vec::new(),
            last_notice: 0,
            notices: VecDeque::new(),
            link: 0,
            broken_link: 0,
        }
    }

    pub(super) fn restart(&mut self, start: StartKind, now: Instant) {
        let (link, is_hung) = (self.link, self.is_hung);
        *self = Cores::new(self.config, start, now);
        (self.link, self.broken_link, self.is_hung) = (link, link, is_hung);
    }

    pub(super) fn set_hung(&mut self, is_hung: bool) {
        self.is_hung = is_hung;
    }

    pub(super) fn break_link(&mut self) {
        self.broken_link = self.link;
    }

    /// A new link, which replaces the one before.
    pub(super) fn open_link(&mut self) -> u64 {
        self.link += 1;
        self.link
    }

    pub(super) fn is_link_open(&self, link: u64) -> bool {
        link == self.link && link > self.broken_link
    }

    pub(super) fn hello(&self, now: Instant) -> String {
        let state = match self.start {
            StartKind::Cold => "starting",
            StartKind::Warm => "running",
        };
        let age = now.duration_since(self.started_at).as_millis();
        format!("HELLO {state} {age}")
    }

    fn warmth(&self, at: Duration, cold_speed: f64, warm_after: Duration) -> f64 {
        let part = at.as_secs_f64() / warm_after.as_secs_f64();
        match self.start {
            StartKind::Cold => (cold_speed + (1.0 - cold_speed) * part).min(1.0),
            StartKind::Warm => 1.0,
        }
    }

    /// Moves the runs on, and ends those whose work is done.
    pub(super) fn advance(&mut self, now: Instant) {
        let at = now.duration_since(self.started_at);
        let length = now.duration_since(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        let running = self.runs.len() as f64;
        let speed = self.warmth(at, self.config.cold_speed, self.config.warm_after);
        let extra = (self.config.overload_factor - 1.0) * speed;
        let survivable = self.config.cores * (1.0 + extra);
        self.steps.push(CrowdingStep {
            at,
            length,
            running,
            survivable,
        });
        if self.is_hung {
            return;
        }
        let share = (self.config.cores / running.max(1.0)).min(1.0);
        for left in self.runs.values_mut() {
            *left -= length * speed * share;
        }
        let ended = self.runs.iter().filter(|(_, left)| **left <= 0.0);
        let ended: Vec<String> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.end(&id, "fine");
        }
    }

    fn end(&mut self, id: &str, outcome: &str) {
        if self.runs.remove(id).or(self.at_call.remove(id)).is_some() {
            self.last_notice += 1;
            let notice = self.last_notice;
            self.notices
                .push_back(format!("DONE {notice} {id} {outcome} 1 0\r\n\r\n"));
        }
    }

    /// Puts a run on the cores; one that runs already is left alone.
    pub(super) fn run(&mut self, id: &str, work: f64, now: Instant) {
        if self.runs.contains_key(id) || self.at_call.contains_key(id) {
            return;
        }
        let at = now.duration_since(self.started_at);
        self.begun.push(BegunRun { at, work });
        if self.config.makes_calls {
            self.at_call.insert(id.to_string(), work);
            self.last_notice += 1;
            let notice = self.last_notice;
            self.notices
                .push_back(format!("NEED {notice} {id} 4\r\ncall\r\n"));
        } else {
            self.runs.insert(id.to_string(), work);
        }
    }

    /// Lets a run go on from its call.
    pub(super) fn resume(&mut self, id: &str) {
        if let Some(work) = self.at_call.remove(id) {
            self.runs.insert(id.to_string(), work);
        }
    }

    pub(super) fn halt(&mut self, id: &str) {
        self.end(id, "broken_off");
    }

    pub(super) fn take_notices(&mut self) -> Vec<String> {
        self.notices.drain(..).collect()
    }

    /// The gauges: use of the cores, tasks that want one, memory, connections.
    pub(super) fn gauges(&self) -> String {
        let running = self.runs.len() as f64;
        let used = (running / self.config.cores).min(1.0);
        format!("{used:.3} {running:.0} 0.1 3")
    }

    pub(super) fn begun(&self) -> &[BegunRun] {
        &self.begun
    }

    pub(super) fn peak_crowding(&self, window: Duration) -> f64 {
        let span = window.as_secs_f64();
        let mut peak: f64 = 0.0;
        let (mut oldest, mut sum) = (0, 0.0);
        for step in &self.steps {
            sum += step.running * step.length;
            while self.steps[oldest].at + window < step.at {
                sum -= self.steps[oldest].running * self.steps[oldest].length;
                oldest += 1;
            }
            peak = peak.max(sum / span / step.survivable);
        }
        peak
    }
}
