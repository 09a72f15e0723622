//! What a started req does. A kind of work is told `start` and `stop`, and ends each run exactly once with an
//! `Event::Ended`; it knows nothing of connections, and the decider hears of it by the desk alone.
pub mod engine;
use cottondyke_decide::types::{CallEnd, Kind, ReqId, RunEnd, Time};
use std::rc::Rc;

/// What a run brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    pub body: Vec<u8>,
    /// The parts that are not whole, by name and joined by commas; none where all is whole.
    pub partial: Option<Rc<str>>,
}

impl Output {
    pub fn whole(body: Vec<u8>) -> Self {
        Output { body, partial: None }
    }

    /// The room that it takes where it is kept, in bytes.
    pub fn size(&self) -> usize {
        self.body.len() + self.partial.as_ref().map_or(0, |names| names.len())
    }
}

/// A req as a kind of work needs it.
#[derive(Clone, Debug)]
pub struct Job {
    pub wire: crate::wire::WireId,
    pub handler: cottondyke_decide::types::HandlerId,
    pub body: Rc<[u8]>,
    /// The end of its response target, and the time by which it must be answered.
    pub target: Time,
    pub due: Time,
}

/// What a kind of work tells the desk.
#[derive(Debug)]
pub enum Event {
    /// The run shows that it goes on.
    Lives(ReqId),
    Ended(ReqId, RunEnd, Output),
    /// The run needs a call that the decider lets out.
    CallWanted(ReqId),
    CallEnded(ReqId, CallEnd),
    /// The part of the cores in use, asked for by the desk.
    Gauges(Option<f64>),
    /// A test that the desk asked for.
    Tested(crate::wire::engine::Tag, bool),
}

/// The kinds of work that this server has, and which handler goes to which.
pub struct Works {
    pub engine: engine::Runs,
    classes: Vec<Rc<str>>,
    kinds: Vec<Kind>,
}

impl Works {
    /// `classes` and `kinds` by handler.
    pub fn new(engine: engine::Runs, classes: Vec<Rc<str>>, kinds: Vec<Kind>) -> Self {
        Works { engine, classes, kinds }
    }

    pub fn start(&mut self, id: ReqId, job: &Job) {
        let place = job.handler.0;
        let replayable = self.kinds[place] == Kind::Replayable;
        self.engine.start(id, job, self.classes[place].clone(), replayable);
    }

    pub fn stop(&mut self, id: ReqId) {
        self.engine.stop(id);
    }

    /// Nobody waits for the run any longer.
    pub fn unwanted(&mut self, id: ReqId) {
        self.engine.unwanted(id);
    }

    /// The run is over for the desk.
    pub fn forget(&mut self, id: ReqId) {
        self.engine.forget(id);
    }

    pub fn forget_all(&mut self) {
        self.engine.forget_all();
    }
}
