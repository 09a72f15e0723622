//! What runs a request that was started: the engine, or an aggregation of dependencies. An executor is told `start` and
//! `cancel`, and ends each run exactly once with an [`ExecutionEvent::Ended`]; it knows nothing of connections, and the
//! admission controller hears of it by the dispatcher alone.
pub mod aggregation;
pub mod command_queue;
pub mod engine;
pub mod engine_link;
mod engine_run;
pub mod response_body;

use crate::protocol::engine::Tag;
use crate::protocol::sidecar::RunOutput;
use crate::protocol::WireId;
use aggregation::AggregationExecutor;
use cottondyke_admission::{CallOutcome, RunOutcome};
use cottondyke_types::{HandlerId, Idempotency, RequestId, TenantId, Time};
use engine::{EngineCounters, EngineExecutor};
use std::rc::Rc;

/// A request as an executor needs it.
#[derive(Clone, Debug)]
pub struct ExecutionRequest {
    /// Its id on the wire.
    pub wire_id: WireId,
    /// What is asked for.
    pub handler: HandlerId,
    /// For whom.
    pub tenant: Option<TenantId>,
    /// What the run is given.
    pub body: Rc<[u8]>,
    /// The end of its response target.
    pub target: Time,
    /// By when it must be answered.
    pub deadline: Time,
}

/// What an executor tells the dispatcher.
#[derive(Debug)]
pub enum ExecutionEvent {
    /// The run shows that it goes on.
    Alive(RequestId),
    /// The run has ended.
    Ended(RequestId, RunOutcome, RunOutput),
    /// The run needs a call that the admission controller lets out.
    CallWanted(RequestId),
    /// The run's call has ended.
    CallEnded(RequestId, CallOutcome),
    /// The fraction of the cores in use, which the dispatcher asked for; none where it is not known.
    LoadSample(Option<f64>),
    /// A self-test that the dispatcher asked for, and whether it went well.
    SelfTested(Tag, bool),
}

/// The handlers' names and idempotency, by `HandlerId`.
pub struct HandlerTable {
    /// Names, as the engine knows them.
    pub classes: Vec<Rc<str>>,
    /// Whether a handler's runs may be repeated.
    pub idempotency: Vec<Idempotency>,
}

/// The executors that this server has, and which handler goes to which. Events come back from every input, for the
/// dispatcher to take in their order.
pub struct Executors {
    /// None where the program serves on its own.
    pub engine: Option<EngineExecutor>,
    /// None without an operator's file.
    pub aggregation: Option<AggregationExecutor>,
    handlers: HandlerTable,
}

impl Executors {
    /// Executors for these handlers.
    pub fn new(
        engine: Option<EngineExecutor>,
        aggregation: Option<AggregationExecutor>,
        handlers: HandlerTable,
    ) -> Self {
        Executors {
            engine,
            aggregation,
            handlers,
        }
    }

    /// Whether anything can run: with an engine, only once it has said hello.
    pub fn is_ready(&self) -> bool {
        self.engine.as_ref().is_none_or(EngineExecutor::was_ever_up)
    }

    /// Whether what runs requests can be reached now.
    pub fn is_up(&self) -> bool {
        self.engine.as_ref().is_none_or(EngineExecutor::is_up)
    }

    /// Starts a run.
    pub fn start(
        &mut self,
        now: Time,
        id: RequestId,
        request: &ExecutionRequest,
    ) -> Vec<ExecutionEvent> {
        let HandlerId(handler) = request.handler;
        let is_idempotent = self.handlers.idempotency[handler] == Idempotency::Idempotent;
        let is_ready = self.is_ready();
        let aggregation = self.aggregation.as_mut();
        if let Some(aggregation) = aggregation.filter(|executor| executor.has(request.handler)) {
            // What starts before the first hello starts again with it.
            return match is_ready {
                true => aggregation.start(now, id, request, is_idempotent),
                false => Vec::new(),
            };
        }
        let Some(engine) = &mut self.engine else {
            let output = RunOutput::default();
            return vec![ExecutionEvent::Ended(id, RunOutcome::Failed, output)];
        };
        let class = self.handlers.classes[handler].clone();
        engine.start(now, id, request, class, is_idempotent);
        Vec::new()
    }

    /// Asks for a run's end.
    pub fn cancel(&mut self, now: Time, id: RequestId) -> Vec<ExecutionEvent> {
        if let Some(engine) = &mut self.engine {
            engine.cancel(id);
        }
        match &mut self.aggregation {
            Some(aggregation) => aggregation.cancel(now, id),
            None => Vec::new(),
        }
    }

    /// Nobody waits for the run any longer. Aggregations end by themselves at their deadline.
    pub fn mark_unwanted(&mut self, id: RequestId) {
        if let Some(engine) = &mut self.engine {
            engine.mark_unwanted(id);
        }
    }

    /// Whether the engine may know nothing of a run that was started, or holds it where it takes no core.
    pub fn may_have_lost(&self, id: RequestId) -> bool {
        self.engine
            .as_ref()
            .is_none_or(|engine| engine.may_have_lost(id))
    }

    /// The run has ended for the dispatcher.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(engine) = &mut self.engine {
            engine.forget(id);
        }
    }

    /// All runs are forgotten, without events.
    pub fn forget_all(&mut self, now: Time) {
        if let Some(engine) = &mut self.engine {
            engine.forget_all();
        }
        if let Some(aggregation) = &mut self.aggregation {
            aggregation.forget_all(now);
        }
    }

    /// The server drains: all is to be answered by `until`.
    pub fn start_draining(&mut self, now: Time, until: Time) {
        if let Some(aggregation) = &mut self.aggregation {
            aggregation.start_draining(now, until);
        }
    }

    /// When [`Executors::handle_timer`] is due.
    pub fn next_timer(&self) -> Option<Time> {
        self.aggregation
            .as_ref()
            .and_then(AggregationExecutor::next_timer)
    }

    /// Does what is due by the clock.
    pub fn handle_timer(&mut self, now: Time) -> Vec<ExecutionEvent> {
        let is_due = self.next_timer().is_some_and(|at| at <= now);
        match &mut self.aggregation {
            Some(aggregation) if is_due => aggregation.handle_timer(now),
            _ => Vec::new(),
        }
    }

    /// Once a second: logs the dependencies, and returns what the engine counted.
    pub fn log_and_count(&mut self, now: Time) -> EngineCounters {
        if let Some(aggregation) = &mut self.aggregation {
            aggregation.maintain(now);
        }
        match &mut self.engine {
            Some(engine) => engine.take_counters(),
            None => EngineCounters::default(),
        }
    }
}
