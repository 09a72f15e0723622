//! What a started req does. A kind of work is told `start` and `stop`, and ends each run exactly once with an
//! `ExecutionEvent::Ended`; it knows nothing of connections, and the decider hears of it by the desk alone.
pub mod aggregation;
pub mod command_queue;
pub mod engine;
pub mod engine_link;

use crate::protocol::sidecar::RunOutput;
use cottondyke_admission::{CallOutcome, RunOutcome};
use cottondyke_types::{Idempotency, RequestId, TenantId, Time};
use std::rc::Rc;

/// A req as a kind of work needs it.
#[derive(Clone, Debug)]
pub struct ExecutionRequest {
    pub wire: crate::protocol::WireId,
    pub handler: cottondyke_types::HandlerId,
    pub customer: Option<TenantId>,
    pub body: Rc<[u8]>,
    /// The end of its response target, and the time by which it must be answered.
    pub target: Time,
    pub due: Time,
}

/// What a kind of work tells the desk.
#[derive(Debug)]
pub enum ExecutionEvent {
    /// The run shows that it goes on.
    Lives(RequestId),
    Ended(RequestId, RunOutcome, RunOutput),
    /// The run needs a call that the decider lets out.
    CallWanted(RequestId),
    CallEnded(RequestId, CallOutcome),
    /// The part of the cores in use, asked for by the desk.
    LoadSample(Option<f64>),
    /// A test that the desk asked for.
    Tested(crate::protocol::engine::Tag, bool),
}

/// The kinds of work that this server has, and which handler goes to which. Events come back from every input,
/// for the desk to take in their order.
pub struct Executors {
    /// None where the program serves on its own.
    pub engine: Option<engine::EngineExecutor>,
    /// None without an operator's file.
    pub pages: Option<aggregation::AggregationExecutor>,
    classes: Vec<Rc<str>>,
    kinds: Vec<Idempotency>,
}

impl Executors {
    /// `classes` and `kinds` by handler.
    pub fn new(
        engine: Option<engine::EngineExecutor>,
        pages: Option<aggregation::AggregationExecutor>,
        classes: Vec<Rc<str>>,
        kinds: Vec<Idempotency>,
    ) -> Self {
        Executors {
            engine,
            pages,
            classes,
            kinds,
        }
    }

    /// Whether anything can run: with an engine, only once it has said hello.
    pub fn ready(&self) -> bool {
        self.engine
            .as_ref()
            .is_none_or(engine::EngineExecutor::greeted)
    }

    /// Whether what runs reqs can be reached now.
    pub fn is_up(&self) -> bool {
        self.engine
            .as_ref()
            .is_none_or(engine::EngineExecutor::is_up)
    }

    pub fn start(
        &mut self,
        now: Time,
        id: RequestId,
        job: &ExecutionRequest,
    ) -> Vec<ExecutionEvent> {
        let (place, ready) = (job.handler.0, self.ready());
        let replayable = self.kinds[place] == Idempotency::Idempotent;
        match (&mut self.pages, &mut self.engine) {
            // What starts before the first hello starts anew with it.
            (Some(pages), _) if pages.has(place) && !ready => {}
            (Some(pages), _) if pages.has(place) => return pages.start(now, id, job, replayable),
            (_, Some(engine)) => engine.start(id, job, self.classes[place].clone(), replayable),
            (_, None) => {
                return vec![ExecutionEvent::Ended(
                    id,
                    RunOutcome::Failed,
                    RunOutput::default(),
                )]
            }
        }
        Vec::new()
    }

    /// Asks for a run's end.
    pub fn stop(&mut self, now: Time, id: RequestId) -> Vec<ExecutionEvent> {
        if let Some(engine) = &mut self.engine {
            engine.stop(id);
        }
        self.pages
            .as_mut()
            .map_or(Vec::new(), |pages| pages.stop(now, id))
    }

    /// Nobody waits for the run any longer. Pages end by themselves when they are due.
    pub fn unwanted(&mut self, id: RequestId) {
        if let Some(engine) = &mut self.engine {
            engine.unwanted(id);
        }
    }

    /// The run is over for the desk.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(engine) = &mut self.engine {
            engine.forget(id);
        }
    }

    pub fn forget_all(&mut self, now: Time) {
        if let Some(engine) = &mut self.engine {
            engine.forget_all();
        }
        if let Some(pages) = &mut self.pages {
            pages.forget_all(now);
        }
    }

    /// All is to be answered by `until`.
    pub fn leaving(&mut self, now: Time, until: Time) {
        if let Some(pages) = &mut self.pages {
            pages.leaving(now, until);
        }
    }

    pub fn next(&self) -> Option<Time> {
        self.pages
            .as_ref()
            .and_then(aggregation::AggregationExecutor::next)
    }

    pub fn timer(&mut self, now: Time) -> Vec<ExecutionEvent> {
        let due = self.next().is_some_and(|at| at <= now);
        self.pages
            .as_mut()
            .filter(|_| due)
            .map_or(Vec::new(), |pages| pages.timer(now))
    }

    /// Once a second: lines for the log.
    pub fn tally(&mut self, now: Time) -> engine::EngineCounters {
        if let Some(pages) = &mut self.pages {
            pages.chores(now);
        }
        self.engine
            .as_mut()
            .map(|engine| std::mem::take(&mut engine.tally))
            .unwrap_or_default()
    }
}
