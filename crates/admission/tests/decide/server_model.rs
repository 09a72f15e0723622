//! A small model of a server: which requests are queued, run, make calls and are answered, and which idempotency keys
//! are retained. It carries out actions in their documented order and fails the test at the first violated invariant.
use cottondyke_admission::*;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    Queued,
    Coalesced,
    Running,
    Paused,
    AwaitingCall,
    Calling,
    Ended,
}

#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    pub(crate) arrived_at: Time,
    pub(crate) deadline: Time,
    pub(crate) idempotency: Idempotency,
    pub(crate) memory_kb: f64,
    pub(crate) idempotency_key: Option<u32>,
    pub(crate) state: State,
    pub(crate) answered: bool,
    pub(crate) was_started: bool,
    /// Whether its last run was cancelled, and nothing is left of it.
    pub(crate) was_cancelled: bool,
    /// Whether its run may still wait for its call, since the result of the call may have been lost.
    pub(crate) result_may_be_lost: bool,
    pub(crate) call_may_have_run: bool,
}

/// What differs between the modelled servers.
#[derive(Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) cancellation: Cancellation,
    pub(crate) tells_client_time_left: bool,
    pub(crate) is_cold: bool,
    pub(crate) advice_format: AdviceFormat,
    pub(crate) call_share: Option<f64>,
    pub(crate) skip_value: f64,
    pub(crate) memory_limit_kb: f64,
    pub(crate) expected_callers: f64,
    /// The window over which overload is measured; zero disables the slow-start budget.
    pub(crate) overload_window: Time,
    /// Whether requests carry a cost hint.
    pub(crate) has_cost_hints: bool,
}

pub(crate) const DEFAULT_SETUP: Setup = Setup {
    cancellation: Cancellation::Drop,
    tells_client_time_left: false,
    is_cold: false,
    advice_format: AdviceFormat::Share,
    call_share: None,
    skip_value: 0.0,
    memory_limit_kb: 1e6,
    expected_callers: 4.0,
    overload_window: Time(0),
    has_cost_hints: false,
};
pub(crate) const CORES: usize = 2;
pub(crate) const OVERLOAD_FACTOR: f64 = 4.0;
pub(crate) const RESPONSE_TARGET: Time = Time(10_000);
pub(crate) const CLIENT_TIMEOUT: Time = Time(30_000);
pub(crate) const DRAIN_GRACE: Time = Time(10_000);
pub(crate) const MAX_IDLE: Time = Time(80_000);
/// The work of each request on a core at full speed, if it carries a cost hint.
pub(crate) const FULL_SPEED_WORK: Time = Time(1_250);
pub(crate) const WARM_WITHIN: Time = Time(100_000);
const STARTED_AT: Time = Time(50_000);
pub(crate) const START_CAPACITY: f64 = 0.25;
const DEDUP_WINDOW: Time = Time(20_000);
const MEMORY_KB: f64 = 10.0;
const RUNNING_MEMORY_FACTOR: f64 = 8.0;
const KEY_MEMORY_KB: f64 = 5.0;
/// How late an answer may be in the model, because its ticks come in steps.
const DEADLINE_SLACK: Time = Time(400);

/// The idempotency of each handler: one handler of each kind.
const IDEMPOTENCIES: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::Keyed,
    Idempotency::NonIdempotent,
];

pub(crate) struct ServerModel {
    pub(crate) now: Time,
    pub(crate) setup: Setup,
    pub(crate) controller: AdmissionController,
    pub(crate) requests: BTreeMap<RequestId, ModelRequest>,
    pub(crate) retained_keys: BTreeMap<RequestId, Time>,
    /// When the shutdown signal came, and when the server is stopped.
    pub(crate) draining: Option<(Time, Time)>,
    pub(crate) ticks: Vec<Time>,
    pub(crate) rejections: Vec<Rejection>,
    /// Whether the cores make no progress: runs do not end and cannot be cancelled.
    pub(crate) cores_frozen: bool,
    /// The gauge of runs on the cores, if there is one; the other runs wait for the disk.
    pub(crate) runnable_tasks: Option<f64>,
    pub(crate) max_rules_fired: usize,
    pub(crate) advice: f64,
    pub(crate) call_timeouts: Vec<Time>,
    /// All actions so far, in order.
    pub(crate) actions: Vec<Actions>,
    pub(crate) idle_timeout: Time,
    /// The tenant of the requests that arrive; if none, the tenants take turns.
    pub(crate) tenant: Option<usize>,
    /// The caller of the requests that arrive, if known.
    pub(crate) caller: Option<CallerId>,
    /// When runs were started, in order.
    run_starts: Vec<Time>,
    next_id: u32,
}

pub(crate) fn handler(idempotency: Idempotency, skip_value: f64) -> Handler {
    Handler {
        idempotency,
        response_target: RESPONSE_TARGET,
        target_stretch: 0.0,
        client_timeout: CLIENT_TIMEOUT,
        value: 1.0,
        late_value: 0.2,
        dedup_window: DEDUP_WINDOW,
        makes_calls: idempotency != Idempotency::NonIdempotent,
        skip_value,
    }
}

fn config(setup: Setup) -> AdmissionConfig {
    AdmissionConfig {
        resolution: Time(20),
        handlers: IDEMPOTENCIES.map(|i| handler(i, setup.skip_value)).to_vec(),
        quotas: vec![50.0, 50.0, 50.0],
        fleet_size: 10.0,
        goal: GoalWeights {
            total: 0.6,
            worst_handler: 0.2,
            worst_tenant: 0.2,
            over_quota: 0.1,
            by_work: false,
        },
        concurrency: ConcurrencyConfig {
            cores: CORES,
            overload_factor: OVERLOAD_FACTOR,
            start_capacity: if setup.is_cold { START_CAPACITY } else { 1.0 },
            warm_within: WARM_WITHIN,
            overload_window: setup.overload_window,
        },
        cancellation: setup.cancellation,
        loss_window: RESPONSE_TARGET,
        memory: MemoryLimits {
            limit: setup.memory_limit_kb,
            running_factor: RUNNING_MEMORY_FACTOR,
            per_key: KEY_MEMORY_KB,
        },
        calls: CallConfig {
            share: setup.call_share,
            window: RESPONSE_TARGET,
            abandoned_linger: Time(2000),
        },
        drain_grace: DRAIN_GRACE,
        callers: CallerConfig {
            expected: setup.expected_callers,
            max_idle: MAX_IDLE,
            advice_format: setup.advice_format,
            advice_lifetime: RESPONSE_TARGET,
            max_retry_after: RESPONSE_TARGET,
        },
        seed: 7,
    }
}

/// The inputs.
impl ServerModel {
    pub(crate) fn new(setup: Setup) -> Self {
        let mut server = ServerModel {
            now: STARTED_AT,
            setup,
            controller: AdmissionController::new(STARTED_AT, &config(setup)),
            requests: BTreeMap::new(),
            retained_keys: BTreeMap::new(),
            draining: None,
            ticks: vec![],
            rejections: vec![],
            cores_frozen: false,
            runnable_tasks: None,
            max_rules_fired: 0,
            advice: 1.0,
            call_timeouts: vec![],
            actions: vec![],
            idle_timeout: MAX_IDLE,
            tenant: None,
            caller: None,
            run_starts: vec![],
            next_id: 1,
        };
        server.tick(0.0);
        server
    }

    /// Lets a request for one of the three handlers arrive. It has waited `queueing_delay` to be read, and its client
    /// waits `client_time_left` longer.
    pub(crate) fn arrive(
        &mut self,
        handler: usize,
        queueing_delay: Time,
        client_time_left: Time,
        idempotency_key: Option<u32>,
    ) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let handler = handler % IDEMPOTENCIES.len();
        let idempotency = IDEMPOTENCIES[handler];
        let arrived_at = self.now - queueing_delay;
        let idempotency_key = idempotency_key.filter(|_| idempotency == Idempotency::Keyed);
        let duplicate_of = self.original(idempotency_key, arrived_at);
        let tells_client_time_left = self.setup.tells_client_time_left;
        let deadline = if tells_client_time_left {
            self.now + client_time_left
        } else {
            (arrived_at + CLIENT_TIMEOUT).max(self.now)
        };
        let request = ModelRequest {
            arrived_at,
            deadline,
            idempotency,
            memory_kb: MEMORY_KB,
            idempotency_key,
            state: State::Queued,
            answered: false,
            was_started: false,
            was_cancelled: false,
            result_may_be_lost: false,
            call_may_have_run: false,
        };
        self.requests.insert(id, request);
        let arrival = Arrival {
            id,
            handler: HandlerId(handler),
            tenant: Some(TenantId(self.tenant.unwrap_or(id.0 as usize % 4))),
            caller: self.caller,
            cost_hint: self.setup.has_cost_hints.then_some(FULL_SPEED_WORK),
            is_retry: id.0.is_multiple_of(5),
            duplicate_of,
            memory_kb: MEMORY_KB,
            queueing_delay,
            observed_delay: queueing_delay,
            client_time_left: tells_client_time_left.then_some(client_time_left),
        };
        let actions = self.controller.arrival(self.now, arrival);
        self.apply(actions);
        id
    }

    /// Finds the newest request with this idempotency key. A duplicate is recognized only if the key was still retained
    /// when it reached the machine.
    fn original(&self, idempotency_key: Option<u32>, arrived_at: Time) -> Option<RequestId> {
        let is_retained = |id: &RequestId| {
            let expires_at = self.retained_keys.get(id);
            expires_at.is_some_and(|at| *at > arrived_at)
        };
        let is_original = |(id, request): &(&RequestId, &ModelRequest)| {
            request.idempotency_key.is_some()
                && request.idempotency_key == idempotency_key
                && is_retained(id)
        };
        let originals = self.requests.iter().filter(is_original);
        originals.map(|(id, _)| *id).next_back()
    }

    pub(crate) fn end_run(&mut self, id: RequestId, outcome: RunOutcome) {
        let request = self.requests.get_mut(&id).unwrap();
        request.state = State::Ended;
        request.answered |= matches!(outcome, RunOutcome::Completed | RunOutcome::Failed);
        let actions = self.controller.run_ended(self.now, id, outcome);
        self.apply(actions);
    }

    /// Completes the call of a run, and reports that its result may have been lost.
    pub(crate) fn lose_call_result(&mut self, id: RequestId) {
        self.end_call(id, CallOutcome::Completed);
        self.requests.get_mut(&id).unwrap().result_may_be_lost = true;
        let actions = self.controller.call_result_possibly_lost(self.now, id);
        self.apply(actions);
    }

    /// Reports that the run of an answered request has not ended for a long time.
    pub(crate) fn run_overdue(&mut self, id: RequestId) {
        let actions = self.controller.run_overdue(self.now, id);
        self.apply(actions);
    }

    pub(crate) fn want_call(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).unwrap();
        request.state = State::AwaitingCall;
        request.call_may_have_run = false;
        if request.answered {
            self.end_run(id, RunOutcome::Cancelled);
            return;
        }
        let actions = self.controller.call_requested(self.now, id);
        self.apply(actions);
    }

    /// Lets all running requests want a call.
    pub(crate) fn all_want_calls(&mut self) {
        for id in self.in_state(State::Running) {
            self.want_call(id);
        }
    }

    pub(crate) fn end_call(&mut self, id: RequestId, outcome: CallOutcome) {
        let request = self.requests.get_mut(&id).unwrap();
        request.state = if outcome == CallOutcome::Completed {
            State::Running
        } else {
            State::AwaitingCall
        };
        request.call_may_have_run |=
            !matches!(outcome, CallOutcome::Completed | CallOutcome::NotExecuted);
        let actions = self.controller.call_ended(self.now, id, outcome);
        self.apply(actions);
    }

    pub(crate) fn request_abandoned(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).unwrap();
        request.answered = true;
        if matches!(request.state, State::Queued | State::Coalesced) {
            request.state = State::Ended;
        }
        let is_at_call = matches!(request.state, State::AwaitingCall | State::Calling);
        let actions = self.controller.request_abandoned(self.now, id);
        self.apply(actions);
        if is_at_call {
            self.end_run(id, RunOutcome::Cancelled);
        }
    }

    pub(crate) fn drain(&mut self, timeout: Time) {
        self.drain_since(self.now, timeout);
    }

    /// Tells the controller of a shutdown notice that was received earlier.
    pub(crate) fn drain_since(&mut self, received_at: Time, timeout: Time) {
        self.draining = Some((received_at, received_at + timeout));
        let notice = ShutdownNotice {
            received_at,
            timeout,
        };
        let actions = self.controller.drain(self.now, notice);
        self.apply(actions);
    }

    pub(crate) fn tick(&mut self, cpu_utilization: f64) {
        let sample = LoadSample {
            cpu_utilization: Some(cpu_utilization),
            runnable_tasks: self.runnable_tasks,
        };
        let actions = self.controller.tick(self.now, sample);
        self.apply(actions);
    }

    /// Lets time pass, with a tick whenever the controller has asked for one.
    pub(crate) fn advance(&mut self, duration: Time) {
        let end = self.now + duration;
        while let Some(next) = self.ticks.iter().min().copied().filter(|at| *at <= end) {
            self.now = self.now.max(next);
            self.ticks.retain(|at| *at > next);
            let is_busy = self.cores_frozen || self.count(State::Running) >= CORES;
            self.tick(if is_busy { 1.0 } else { 0.5 });
        }
        self.now = end;
        self.check_invariants();
    }

    pub(crate) fn count(&self, state: State) -> usize {
        self.requests.values().filter(|r| r.state == state).count()
    }

    pub(crate) fn in_state(&self, state: State) -> Vec<RequestId> {
        let requests = self.requests.iter().filter(|(_, r)| r.state == state);
        requests.map(|(id, _)| *id).collect()
    }
}

/// The actions.
impl ServerModel {
    fn apply(&mut self, actions: Actions) {
        self.max_rules_fired = self.max_rules_fired.max(actions.firings.len());
        self.actions.push(actions.clone());
        let mut ended = Vec::new();
        for id in actions.cancel {
            ended.extend(self.cancel(id));
        }
        for id in actions.fail {
            ended.extend(self.fail(id));
        }
        for rejection in actions.reject {
            self.reject(rejection);
        }
        for (id, duration) in actions.retain_key {
            self.retained_keys.insert(id, self.now + duration);
        }
        for id in actions.release_key {
            let key = self.retained_keys.remove(&id);
            assert!(key.is_some(), "released a key that was not retained");
        }
        for id in actions.start {
            self.start(id);
        }
        for id in actions.coalesce {
            let request = self.requests.get_mut(&id).unwrap();
            let state = request.state;
            assert_eq!(
                state,
                State::Queued,
                "coalesced a request that is not queued"
            );
            request.state = State::Coalesced;
        }
        for (id, timeout) in actions.call {
            self.call(id, timeout);
        }
        for id in actions.skip_call {
            self.skip_call(id);
        }
        self.advice = actions.advice.unwrap_or(self.advice);
        self.idle_timeout = actions.idle_timeout.unwrap_or(self.idle_timeout);
        let tick = actions.next_tick.map(|duration| self.now + duration);
        self.ticks.extend(tick);
        self.check_invariants();
        for id in ended {
            if self.requests[&id].answered {
                self.end_run(id, RunOutcome::Cancelled);
            } else {
                self.cancel_unanswered_run(id);
            }
        }
    }

    fn skip_call(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).unwrap();
        let is_at_call = request.state == State::AwaitingCall || request.result_may_be_lost;
        let may_skip = self.setup.skip_value > 0.0 && is_at_call;
        assert!(may_skip, "skipped a call that must not be skipped");
        request.state = State::Running;
    }

    /// Reports that a run was cancelled although its request is unanswered, which may only happen to a run that waits.
    fn cancel_unanswered_run(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).unwrap();
        assert!(request.result_may_be_lost, "cancelled a run that goes on");
        request.state = State::Queued;
        request.was_cancelled = true;
        request.result_may_be_lost = false;
        let actions = self.controller.run_cancelled(self.now, id);
        self.apply(actions);
    }

    /// Returns the request if its run ends as a result.
    fn cancel(&mut self, id: RequestId) -> Option<RequestId> {
        let request = self.requests.get_mut(&id).unwrap();
        let cancellation = self.setup.cancellation;
        assert_ne!(
            cancellation,
            Cancellation::Never,
            "cancelled a run although runs cannot be cancelled"
        );
        assert_eq!(
            request.idempotency,
            Idempotency::Idempotent,
            "duplicate effect: cancelled a run that must not be repeated"
        );
        if request.state != State::Running || self.cores_frozen {
            return None;
        }
        request.state = if request.answered {
            State::Ended
        } else {
            State::Paused
        };
        Some(id)
    }

    /// Returns the request if its run ends as a result.
    fn fail(&mut self, id: RequestId) -> Option<RequestId> {
        let request = self.requests.get_mut(&id).unwrap();
        assert!(!request.answered, "lost request: {id:?} answered twice");
        request.answered = true;
        match request.state {
            State::AwaitingCall | State::Calling => return Some(id),
            State::Queued | State::Coalesced | State::Paused => request.state = State::Ended,
            State::Running | State::Ended => {}
        }
        None
    }

    fn reject(&mut self, rejection: Rejection) {
        let request = self.requests.get_mut(&rejection.id).unwrap();
        assert!(
            !request.answered,
            "lost request: {rejection:?} answered twice"
        );
        assert!(
            !request.was_started && request.state == State::Queued,
            "rejected a request that ran"
        );
        request.answered = true;
        request.state = State::Ended;
        self.rejections.push(rejection);
    }

    fn start(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        assert_eq!(
            request.state,
            State::Queued,
            "started a request that is not queued"
        );
        assert!(
            !request.was_started || request.was_cancelled,
            "duplicate effect: {id:?} started again"
        );
        let in_grace = |(at, _): (Time, Time)| request.arrived_at <= at + DRAIN_GRACE;
        assert!(
            self.draining.is_none_or(in_grace),
            "drain: started a request that arrived after the grace period"
        );
        let is_duplicate = |other: &&ModelRequest| {
            other.was_started
                && other.idempotency_key.is_some()
                && other.idempotency_key == request.idempotency_key
        };
        let duplicate = self.requests.values().find(is_duplicate);
        let is_past_window =
            duplicate.is_none_or(|d| request.arrived_at - d.arrived_at > DEDUP_WINDOW);
        assert!(
            is_past_window || request.idempotency != Idempotency::Keyed,
            "duplicate effect: a duplicate ran within the dedup window"
        );
        let request = self.requests.get_mut(&id).unwrap();
        request.state = State::Running;
        request.was_started = true;
        request.was_cancelled = false;
        self.run_starts.push(self.now);
    }

    fn call(&mut self, id: RequestId, timeout: Time) {
        let request = self.requests.get_mut(&id).unwrap();
        let state = request.state;
        assert_eq!(
            state,
            State::AwaitingCall,
            "made a call that no request waits for"
        );
        assert!(timeout > Time(0));
        self.call_timeouts.push(timeout);
        let is_safe = request.idempotency == Idempotency::Idempotent || !request.call_may_have_run;
        assert!(
            is_safe,
            "duplicate effect: repeated a call that may have run"
        );
        request.state = State::Calling;
    }
}

/// The invariants.
impl ServerModel {
    fn check_invariants(&self) {
        self.check_answers();
        self.check_concurrency();
        self.check_memory();
        self.check_slow_start();
    }

    /// Over any window a server in slow start starts no more runs than its budget allows, with a statistical margin.
    fn check_slow_start(&self) {
        let window = self.setup.overload_window;
        let capacity = self.capacity();
        if window == Time(0) || capacity >= 1.0 {
            return;
        }
        let started = self.run_starts.iter().rev();
        let started = started.take_while(|at| **at + window > self.now).count() as f64;
        let expected = CORES as f64 * capacity * window.as_f64() / FULL_SPEED_WORK.as_f64();
        let margin = if expected < 30.0 {
            3.0 * expected.sqrt() + 3.0
        } else {
            2.0 * expected.sqrt() + 2.0
        };
        assert!(
            started <= expected + margin,
            "overload: {started} started in slow start, {expected} expected"
        );
    }

    /// The fraction of its full speed that the server has reached according to the settings.
    fn capacity(&self) -> f64 {
        let warm_fraction = if self.setup.is_cold {
            (self.now - STARTED_AT).as_f64() / WARM_WITHIN.as_f64()
        } else {
            1.0
        };
        (START_CAPACITY + (1.0 - START_CAPACITY) * warm_fraction).min(1.0)
    }

    fn check_answers(&self) {
        let now = self.now;
        let stop = self.draining.map_or(Time::MAX, |(_, stop)| stop);
        for (id, request) in &self.requests {
            assert!(
                request.answered || request.deadline + DEADLINE_SLACK >= now,
                "lost request: {id:?} {request:?} at {now:?}"
            );
            assert!(
                request.answered || now < stop,
                "drain: {id:?} unanswered when stopped"
            );
        }
    }

    fn check_concurrency(&self) {
        let ceiling = 1.0 + (OVERLOAD_FACTOR - 1.0) * self.capacity();
        let running = self.count(State::Running) as f64;
        let on_core = self.runnable_tasks.unwrap_or(f64::MAX).min(running);
        assert!(
            on_core <= CORES as f64 * ceiling,
            "overload: {on_core} on the cores"
        );
        // A shared dependency fails when servers exceed their shares together; a share below one still allows one call.
        let calling = self.count(State::Calling) as f64;
        let share = self.setup.call_share;
        assert!(
            share.is_none_or(|share| calling <= share.max(1.0)),
            "overload: {calling} calls in flight"
        );
    }

    fn check_memory(&self) {
        let memory_of = |request: &ModelRequest| match request.state {
            State::Ended => 0.0,
            State::Queued | State::Coalesced => request.memory_kb,
            State::Running | State::Paused | State::AwaitingCall | State::Calling => {
                request.memory_kb * RUNNING_MEMORY_FACTOR
            }
        };
        let requests = self.requests.values().map(memory_of).sum::<f64>();
        let expirations = self.retained_keys.values();
        let keys = expirations.filter(|at| **at > self.now).count();
        let used = requests + keys as f64 * KEY_MEMORY_KB;
        assert!(
            used <= self.setup.memory_limit_kb,
            "overload: {used} kB of memory"
        );
    }
}
