//! Executors run admitted requests, either on the engine or as an aggregation of dependency calls. An executor has
//! `start` and `cancel` methods and ends each run exactly once with an [`ExecutionEvent::Ended`]. Executors do not
//! depend on connections, and only the dispatcher passes their events on to the admission controller.
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

/// The parts of a request that an executor needs.
#[derive(Clone, Debug)]
pub struct ExecutionRequest {
    /// Its id on the wire.
    pub wire_id: WireId,
    /// The handler that the request asks for.
    pub handler: HandlerId,
    /// The tenant that the request belongs to, if any.
    pub tenant: Option<TenantId>,
    /// The request's body.
    pub body: Rc<[u8]>,
    /// The end of its response target.
    pub target: Time,
    /// When the response must have been sent.
    pub deadline: Time,
}

/// An event that an executor reports to the dispatcher.
#[derive(Debug)]
pub enum ExecutionEvent {
    /// The run has made progress.
    Progressed(RequestId),
    /// The run has ended.
    Ended(RequestId, RunOutcome, RunOutput),
    /// The run was cancelled while its request was unanswered. The request may be run again.
    Cancelled(RequestId),
    /// The run requests a call to the records service, which the admission controller has to permit.
    CallRequested(RequestId),
    /// The run's call to the records service has ended.
    CallEnded(RequestId, CallOutcome),
    /// The run may still wait for its call: the result may have been lost with the link to the engine.
    CallResultPossiblyLost(RequestId),
    /// The CPU utilization that the dispatcher queried, as a fraction of all cores; `None` if unknown.
    LoadSample(Option<f64>),
    /// The self-test with this tag has finished; true if it passed.
    SelfTested(Tag, bool),
}

/// The names and idempotency of the handlers, indexed by `HandlerId`.
pub struct HandlerTable {
    /// The names of the handlers, which the engine calls classes.
    pub names: Vec<Rc<str>>,
    /// Whether a handler's runs may be executed more than once.
    pub idempotency: Vec<Idempotency>,
}

/// The executors of this server, and the mapping from handlers to executors. Methods return the events that they
/// cause, which the dispatcher handles in order.
pub struct Executors {
    /// `None` if the server runs without an engine.
    pub engine: Option<EngineExecutor>,
    /// `None` if there is no operator's file.
    pub aggregation: Option<AggregationExecutor>,
    handlers: HandlerTable,
}

impl Executors {
    /// Creates the executors for these handlers.
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

    /// Whether requests can run. With an engine, this is the case once it has sent its first `HELLO`.
    pub fn is_ready(&self) -> bool {
        self.engine.as_ref().is_none_or(EngineExecutor::was_ever_up)
    }

    /// Whether the engine is connected now; always true without an engine.
    pub fn is_up(&self) -> bool {
        self.engine.as_ref().is_none_or(EngineExecutor::is_up)
    }

    /// Whether a completed run of this handler shows that its connection belongs to a sidecar. A run on the engine does,
    /// which runs only requests that it recognizes; an aggregation runs for any client. Without an engine, nothing
    /// recognizes requests, and every completed run counts.
    pub fn verifies_connections(&self, handler: HandlerId) -> bool {
        self.engine.is_none() || !self.is_aggregation(handler)
    }

    fn is_aggregation(&self, handler: HandlerId) -> bool {
        let aggregation = self.aggregation.as_ref();
        aggregation.is_some_and(|executor| executor.handles(handler))
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
        if let Some(aggregation) = aggregation.filter(|executor| executor.handles(request.handler))
        {
            // All runs start again after the engine's first `HELLO`, so an earlier start is ignored.
            return match is_ready {
                true => aggregation.start(now, id, request, is_idempotent),
                false => Vec::new(),
            };
        }
        let Some(engine) = &mut self.engine else {
            let output = RunOutput::default();
            return vec![ExecutionEvent::Ended(id, RunOutcome::Failed, output)];
        };
        let class = self.handlers.names[handler].clone();
        engine.start(id, request, class, is_idempotent);
        Vec::new()
    }

    /// Requests the cancellation of a run.
    pub fn cancel(&mut self, now: Time, id: RequestId) -> Vec<ExecutionEvent> {
        if let Some(engine) = &mut self.engine {
            engine.cancel(id);
        }
        match &mut self.aggregation {
            Some(aggregation) => aggregation.cancel(now, id),
            None => Vec::new(),
        }
    }

    /// Records that the run's request has been answered, so that no client waits for it. Aggregations end at their
    /// deadline in any case.
    pub fn mark_answered(&mut self, id: RequestId) {
        if let Some(engine) = &mut self.engine {
            engine.mark_answered(id);
        }
    }

    /// Whether the run can be given up: the engine may never have received it, or has suspended it at a call, where it
    /// uses no core. Also true for a run that is not on the engine.
    pub fn can_be_abandoned(&self, id: RequestId) -> bool {
        self.engine
            .as_ref()
            .is_none_or(|engine| engine.can_be_abandoned(id))
    }

    /// Drops the state of a run that the dispatcher considers ended.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(engine) = &mut self.engine {
            engine.forget(id);
        }
    }

    /// Drops the state of all runs without emitting events.
    pub fn forget_all(&mut self, now: Time) {
        if let Some(engine) = &mut self.engine {
            engine.forget_all();
        }
        if let Some(aggregation) = &mut self.aggregation {
            aggregation.forget_all(now);
        }
    }

    /// The server is draining: all aggregations must end by `until`, with the parts that are available then. Runs on
    /// the engine are not affected.
    pub fn start_draining(&mut self, now: Time, until: Time) {
        if let Some(aggregation) = &mut self.aggregation {
            aggregation.start_draining(now, until);
        }
    }

    /// When [`Executors::handle_timer`] has to be called next.
    pub fn next_timer(&self) -> Option<Time> {
        self.aggregation
            .as_ref()
            .and_then(AggregationExecutor::next_timer)
    }

    /// Handles the timers that are due.
    pub fn handle_timer(&mut self, now: Time) -> Vec<ExecutionEvent> {
        let is_due = self.next_timer().is_some_and(|at| at <= now);
        match &mut self.aggregation {
            Some(aggregation) if is_due => aggregation.handle_timer(now),
            _ => Vec::new(),
        }
    }

    /// Called once a second: logs the state of the dependencies, and returns the engine's counters and resets them.
    pub fn log_and_take_counters(&mut self, now: Time) -> EngineCounters {
        if let Some(aggregation) = &mut self.aggregation {
            aggregation.maintain(now);
        }
        match &mut self.engine {
            Some(engine) => engine.take_counters(),
            None => EngineCounters::default(),
        }
    }
}
