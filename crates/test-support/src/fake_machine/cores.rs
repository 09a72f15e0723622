//! The cores of a machine: the runs that share them, their speed after a cold start, and a record of their load.
use super::config::{CallResults, MachineConfig, NoticeStyle, StartKind, StartedRun};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Running and survivable number of runs during one step.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: Duration,
    length: f64,
    running: f64,
    survivable: f64,
}

/// The work of a run that is left after its current part.
#[derive(Clone, Copy, Debug)]
struct LaterParts {
    /// Parts of work that are left, each with a call before it.
    count: u32,
    /// Seconds of work of each.
    work: f64,
}

/// A run on the cores.
#[derive(Clone, Copy, Debug)]
struct ActiveRun {
    /// Remaining seconds of work of its current part.
    remaining: f64,
    later: LaterParts,
}

/// A run that waits for its call.
#[derive(Clone, Copy, Debug)]
struct WaitingRun {
    /// The notice that asked for the call.
    notice: u64,
    since: Instant,
    later: LaterParts,
}

/// The body of the call that a notice asks for.
fn call_body(notice: u64) -> String {
    format!("call of notice {notice}")
}

/// The result of a call with this body, as a dependency must return it to pass as the right one.
pub fn call_result(body: &str) -> String {
    format!("result of the {body}")
}

/// The cores, and the runs on them.
#[derive(Debug)]
pub(super) struct Cores {
    config: MachineConfig,
    start: StartKind,
    started_at: Instant,
    advanced_at: Instant,
    is_hung: bool,
    /// Runs on the cores, by id.
    runs: BTreeMap<String, ActiveRun>,
    /// Runs that wait for a call, by id.
    waiting_for_call: BTreeMap<String, WaitingRun>,
    call_results: CallResults,
    started_runs: Vec<StartedRun>,
    load_samples: Vec<LoadSample>,
    /// All notices since the machine's start; the first has number 1.
    notices: Vec<String>,
    /// The number of the current link, which replaced all earlier ones.
    current_link: u64,
    /// Links up to this number are broken.
    last_broken_link: u64,
    /// When the current link breaks; until then, commands on it are lost.
    breaks_at: Option<Instant>,
    /// Size of the result of a run.
    result_bytes: usize,
    /// Requests with this id and higher ones are not recognized.
    first_unknown_id: Option<u64>,
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
            call_results: CallResults::default(),
            started_runs: Vec::new(),
            load_samples: Vec::new(),
            notices: Vec::new(),
            current_link: 0,
            last_broken_link: 0,
            breaks_at: None,
            result_bytes: 0,
            first_unknown_id: None,
        }
    }

    pub(super) fn set_result_bytes(&mut self, bytes: usize) {
        self.result_bytes = bytes;
    }

    pub(super) fn set_first_unknown_id(&mut self, id: u64) {
        self.first_unknown_id = Some(id);
    }

    /// Whether a request with this id has come to this machine.
    pub(super) fn recognizes(&self, id: &str) -> bool {
        let number = u64::from_str_radix(id, 16).ok();
        let first_unknown = self.first_unknown_id;
        first_unknown.is_none_or(|first| number.is_some_and(|number| number < first))
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
        self.breaks_at = None;
    }

    /// The current link breaks at this time; commands that are read on it until then are lost.
    pub(super) fn break_link_at(&mut self, at: Instant) {
        self.breaks_at = Some(at);
    }

    /// Whether commands on the current link are executed.
    pub(super) fn executes_commands(&self) -> bool {
        self.breaks_at.is_none()
    }

    /// Opens a new link, which replaces the one before, and returns its number.
    pub(super) fn open_link(&mut self) -> u64 {
        self.current_link += 1;
        self.breaks_at = None;
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
        if self.breaks_at.is_some_and(|at| at <= now) {
            self.break_link();
        }
        self.end_waiting_runs(now);
        if self.is_hung {
            return;
        }
        let share = (self.config.cores / running.max(1.0)).min(1.0);
        for run in self.runs.values_mut() {
            run.remaining -= length * speed * share;
        }
        let done = self.runs.iter().filter(|(_, run)| run.remaining <= 0.0);
        let done: Vec<String> = done.map(|(id, _)| id.clone()).collect();
        for id in done {
            self.end_part(&id, now);
        }
    }

    /// A part of a run's work is done: the run asks for its next call, or ends.
    fn end_part(&mut self, id: &str, now: Instant) {
        let Some(run) = self.runs.get(id).copied() else {
            return;
        };
        if run.later.count == 0 {
            return self.end_run(id, "fine");
        }
        self.runs.remove(id);
        self.wait_for_call(id, run.later, now);
    }

    fn wait_for_call(&mut self, id: &str, later: LaterParts, now: Instant) {
        let notice = self.next_notice();
        let body = call_body(notice);
        let waiting = WaitingRun {
            notice,
            since: now,
            later,
        };
        self.waiting_for_call.insert(id.to_string(), waiting);
        let length = body.len();
        self.notices
            .push(format!("NEED {notice} {id} {length}\r\n{body}\r\n"));
    }

    /// Ends the runs that have waited for a call for too long.
    fn end_waiting_runs(&mut self, now: Instant) {
        let max_wait = self.config.max_call_wait;
        let runs = self.waiting_for_call.iter();
        let over = runs.filter(|(_, run)| now.duration_since(run.since) > max_wait);
        let over: Vec<String> = over.map(|(id, _)| id.clone()).collect();
        for id in over {
            self.call_results.missing += 1;
            self.end_run(&id, "broken_off");
        }
    }

    /// The number of the next notice.
    fn next_notice(&self) -> u64 {
        self.notices.len() as u64 + 1
    }

    /// Removes a run, and queues the notice of its outcome.
    fn end_run(&mut self, id: &str, outcome: &str) {
        let was_active = self.runs.remove(id).is_some();
        let was_waiting = self.waiting_for_call.remove(id).is_some();
        if was_active || was_waiting {
            let notice = self.next_notice();
            let length = if outcome == "fine" {
                self.result_bytes
            } else {
                0
            };
            let result = "r".repeat(length);
            self.notices.push(format!(
                "DONE {notice} {id} {outcome} 1 {length}\r\n{result}\r\n"
            ));
        }
    }

    /// Starts a run; has no effect if the run has started already.
    pub(super) fn start_run(&mut self, id: &str, work: f64, now: Instant) {
        if self.runs.contains_key(id) || self.waiting_for_call.contains_key(id) {
            return;
        }
        let at = now.duration_since(self.started_at);
        self.started_runs.push(StartedRun { at, work });
        let calls = self.config.calls;
        let later = LaterParts {
            count: calls,
            work: work / f64::from(calls.max(1)),
        };
        if calls > 0 {
            self.wait_for_call(id, later, now);
        } else {
            let run = ActiveRun {
                remaining: work,
                later,
            };
            self.runs.insert(id.to_string(), run);
        }
    }

    /// Gives the result of a call to a run, which takes it as that of the call that it waits for.
    pub(super) fn give_call_result(&mut self, id: &str, result: &str) {
        let Some(run) = self.waiting_for_call.get(id) else {
            return;
        };
        if result == call_result(&call_body(run.notice)) {
            self.call_results.right += 1;
        } else {
            self.call_results.wrong += 1;
        }
        self.resume_run(id);
    }

    /// Lets a run continue without the call that this notice asked for, if it waits for that one.
    pub(super) fn skip_call(&mut self, id: &str, notice: u64) {
        let run = self.waiting_for_call.get(id);
        if run.is_some_and(|run| run.notice == notice) {
            self.resume_run(id);
        }
    }

    /// Moves a run whose call is over to the cores.
    fn resume_run(&mut self, id: &str) {
        if let Some(waiting) = self.waiting_for_call.remove(id) {
            let mut later = waiting.later;
            later.count -= 1;
            let run = ActiveRun {
                remaining: later.work,
                later,
            };
            self.runs.insert(id.to_string(), run);
        }
    }

    /// Ends a run before its work is done.
    pub(super) fn cancel_run(&mut self, id: &str) {
        self.end_run(id, "broken_off");
    }

    /// The notices after number `last`.
    pub(super) fn notices_after(&self, last: usize) -> Vec<String> {
        self.notices.get(last..).unwrap_or_default().to_vec()
    }

    /// How notices are written.
    pub(super) fn notice_style(&self) -> NoticeStyle {
        self.config.notices
    }

    pub(super) fn call_results(&self) -> CallResults {
        self.call_results
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
