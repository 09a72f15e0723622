//! Time, ids, handlers, and the results record that every input to the decider returns.
pub use cottondyke_types::*;
#[derive(Clone, Copy, Debug)]
pub struct Handler {
    pub idempotency: Idempotency,
    /// The time within which an answer is wanted.
    pub response_target: Time,
    /// The response target grows by this many times the req's own work.
    pub target_stretch: f64,
    /// The time after which the client gives up.
    pub client_timeout: Time,
    pub value: f64,
    /// The part of the value left after the response target.
    pub late_value: f64,
    /// How long a uniqued req may come back.
    pub dedup_window: Time,
    /// Whether its runs may call what is below.
    pub makes_calls: bool,
    /// The part of the value left when a call was skipped; 0 forbids skipping.
    pub skip_value: f64,
}

/// How running work can be halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    Never,
    Drop,
    Pause,
}

/// How callers read the free value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdviceFormat {
    Unused,
    /// The chance that a caller does not pass this server by.
    Share,
    /// The most reqs that a caller keeps out here.
    Credit,
    /// The lowest rank that callers still send.
    Rank,
}

/// A req as it is read.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub id: RequestId,
    pub handler: HandlerId,
    pub tenant: Option<TenantId>,
    pub caller: Option<CallerId>,
    /// Expected work, as time of a standard core.
    pub cost_hint: Option<Time>,
    pub is_retry: bool,
    pub duplicate_of: Option<RequestId>,
    pub memory_kb: f64,
    /// The time since it reached the machine.
    pub queueing_delay: Time,
    /// The part of it that is believed to show how long reqs lie unread.
    pub observed_delay: Time,
    /// How long the caller still waits, where told.
    pub client_wait: Option<Time>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    Completed,
    Failed,
    /// Stopped, or ended at a call because nobody waits for it.
    Cancelled,
    /// Nothing started.
    NotStarted,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Completed,
    /// Known not to have run.
    NotExecuted,
    /// It ended with an error or a reply of no use; it may have had its effect.
    Failed,
    /// It may have had its effect, and may still go on.
    Indeterminate,
}

/// The memory that held and running reqs and keys share, in kilobytes.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    pub limit: f64,
    /// What a run takes, in multiples of what its req takes while held.
    pub running_factor: f64,
    pub per_key: f64,
}

/// What the server's own gauges read.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSample {
    /// The part of the cores in use.
    pub cpu_utilization: Option<f64>,
    /// How many want a core now, runs and all else.
    pub runnable_tasks: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub id: RequestId,
    /// When to come back.
    pub retry_after: Time,
    /// Asks the caller not to try elsewhere.
    pub do_not_retry: bool,
}

/// What to do after an input. The lists are carried out in the order in which they stand here:
/// what frees comes before what starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    pub cancel: Vec<RequestId>,
    pub fail: Vec<RequestId>,
    pub reject: Vec<Rejection>,
    pub retain_key: Vec<(RequestId, Time)>,
    pub release_key: Vec<RequestId>,
    pub start: Vec<RequestId>,
    pub coalesce: Vec<RequestId>,
    /// A call to make, and how long before it is given up.
    pub call: Vec<(RequestId, Time)>,
    pub skip_call: Vec<RequestId>,
    pub health: Option<bool>,
    pub advice: Option<f64>,
    /// Connections that carried nothing for this long are closed.
    pub idle_timeout: Option<Time>,
    pub next_tick: Option<Time>,
    /// Rules fired.
    pub rules_fired: usize,
}

/// When the decider is woken.
#[derive(Clone, Copy, Debug)]
pub struct TickSchedule {
    /// The shortest time between two inputs.
    pub resolution: Time,
    pub next_look: Time,
    /// The earliest wake that is asked for and still to come.
    pub woken: Option<Time>,
}

impl TickSchedule {
    pub fn new(resolution: Time) -> Self {
        TickSchedule {
            resolution,
            next_look: Time(i64::MIN),
            woken: None,
        }
    }
}

/// Where a req is between its arrival and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Queued,
    /// Waits for the answer of the req it repeats.
    Coalesced,
    Running,
    /// Waits to make a call.
    AwaitingCall,
    Calling,
}

/// What is noted of a req from its arrival to its end.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub arrival: Arrival,
    /// Hinted work, or a stand-in where there is no hint.
    pub base: f64,
    pub arrived: Time,
    /// The end of its response target.
    pub target: Time,
    pub due: Time,
    pub phase: Phase,
    pub answered: bool,
    pub started: Time,
    /// The start of the present phase.
    pub since: Time,
    /// The costs' clock at the start of the present phase.
    pub clock: f64,
    /// Core time before the present phase.
    pub spent: f64,
    /// Time at calls before the present phase.
    pub away: f64,
    /// Calls made for the present need.
    pub tries: u32,
    /// Calls wanted since the start.
    pub calls: f64,
}

impl RequestRecord {
    pub fn new(arrival: Arrival, now: Time, base: f64, handler: &Handler) -> Self {
        let arrived = now - arrival.queueing_delay;
        let target = handler.response_target + Time((handler.target_stretch * base) as i64);
        RequestRecord {
            arrival,
            base,
            arrived,
            target: arrived + target.min(handler.client_timeout),
            due: arrival
                .client_wait
                .map_or(arrived + handler.client_timeout, |wait| now + wait)
                .max(now),
            phase: Phase::Queued,
            answered: false,
            started: now,
            since: now,
            clock: 0.0,
            spent: 0.0,
            away: 0.0,
            tries: 0,
            calls: 0.0,
        }
    }

    pub fn handler(&self) -> usize {
        self.arrival.handler.0
    }

    pub fn live(&self, phase: Phase) -> bool {
        self.phase == phase && !self.answered
    }
}

/// A multiply-with-carry generator.
pub struct MultiplyWithCarry(u64);

impl MultiplyWithCarry {
    pub fn new(seed: u64) -> Self {
        MultiplyWithCarry(seed % 0xffff_fffe + 1)
    }

    /// From 0 up to just under 1.
    pub fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
