//! A model of the engine with one run that makes calls.
use cottondyke::protocol::engine::{EngineCommand, EngineMessage, MessageNumber};
use cottondyke::protocol::WireId;
use cottondyke_admission::RunOutcome;

/// The calls that a run makes, one after the other.
const CALLS: usize = 2;

/// The progress of a run.
#[derive(Clone, Debug, PartialEq)]
enum Progress {
    Working,
    /// Waits for the call that this message asked for.
    AtCall(MessageNumber),
}

/// A run, and the calls that it has asked for.
#[derive(Clone, Debug)]
struct Run {
    progress: Progress,
    calls: usize,
}

/// The engine.
#[derive(Debug)]
pub(crate) struct EngineModel {
    pub(crate) id: WireId,
    run: Option<Run>,
    starts: usize,
    /// All numbered messages, in order; the first has number 1.
    pub(crate) messages: Vec<EngineMessage>,
    /// Whether the request has been answered.
    pub(crate) is_answered: bool,
}

/// The body of the call that this message asks for.
pub(crate) fn call_body(MessageNumber(number): MessageNumber) -> Vec<u8> {
    format!("call of message {number}").into_bytes()
}

impl EngineModel {
    pub(crate) fn new(id: WireId) -> Self {
        EngineModel {
            id,
            run: None,
            starts: 0,
            messages: Vec::new(),
            is_answered: false,
        }
    }

    pub(crate) fn was_started(&self) -> bool {
        self.starts > 0
    }

    pub(crate) fn is_at_call(&self) -> bool {
        let run = self.run.as_ref();
        run.is_some_and(|run| run.progress != Progress::Working)
    }

    pub(crate) fn is_working(&self) -> bool {
        let run = self.run.as_ref();
        run.is_some_and(|run| run.progress == Progress::Working)
    }

    /// Executes a command; returns the answer to a query. The result of a call is the body of its request.
    pub(crate) fn execute(&mut self, command: EngineCommand) -> Option<EngineMessage> {
        match command {
            EngineCommand::StartRun { .. } => self.start(),
            EngineCommand::CallResult(_, result) => self.resume_with(&result),
            EngineCommand::SkipCall(_, number) => self.skip(number),
            EngineCommand::QueryLoad(tag) => {
                return Some(EngineMessage::Load {
                    tag,
                    gauges: vec![0.5],
                })
            }
            EngineCommand::CancelRun(_) => self.cancel(),
            EngineCommand::Attach(_) | EngineCommand::SelfTest(_) => {}
        }
        None
    }

    fn cancel(&mut self) {
        if self.run.take().is_some() {
            self.push_end(RunOutcome::Cancelled);
        }
    }

    fn push_end(&mut self, outcome: RunOutcome) {
        self.messages.push(EngineMessage::RunEnded {
            number: MessageNumber(self.messages.len() as u64 + 1),
            id: self.id,
            outcome,
            result: Vec::new(),
        });
    }

    fn start(&mut self) {
        if self.run.is_some() || self.is_answered {
            return;
        }
        self.starts += 1;
        self.run = Some(Run {
            progress: Progress::Working,
            calls: 0,
        });
    }

    fn resume_with(&mut self, result: &[u8]) {
        let Some(run) = &mut self.run else { return };
        if let Progress::AtCall(number) = run.progress {
            assert_eq!(
                String::from_utf8_lossy(result),
                String::from_utf8_lossy(&call_body(number)),
                "the result of another call"
            );
            run.progress = Progress::Working;
        }
    }

    fn skip(&mut self, number: MessageNumber) {
        let Some(run) = &mut self.run else { return };
        if run.progress == Progress::AtCall(number) {
            run.progress = Progress::Working;
        }
    }

    /// The run finishes its current piece of work: it asks for its next call, or ends.
    pub(crate) fn finish_work(&mut self) {
        let number = MessageNumber(self.messages.len() as u64 + 1);
        let Some(run) = &mut self.run else { return };
        let id = self.id;
        if run.calls < CALLS {
            run.calls += 1;
            run.progress = Progress::AtCall(number);
            let body = call_body(number);
            self.messages
                .push(EngineMessage::CallNeeded { number, id, body });
        } else {
            self.run = None;
            self.push_end(RunOutcome::Completed);
        }
    }
}
