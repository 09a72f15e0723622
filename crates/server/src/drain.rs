//! Signals, and leaving: the notice, and when to stop listening and to end.
use crate::config::Config;
use crate::input::Input;
use crate::sources::Sources;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use cottondyke_decide::types::Time;
use futures_lite::StreamExt;
use std::io;

/// Parts of the time between the notice and the end: from when no connection is taken, and from when the
/// program ends as soon as everything it read is answered. The decider has answered all by 0.95.
const CLOSE_PART: f64 = 0.88;
const END_PART: f64 = 0.955;
/// From when it ends although a sidecar has not taken its answers.
const OVER_PART: f64 = 0.985;

pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Passes signals on: SIGHUP with the configuration read anew, any other as the notice to leave, of which the
/// desk takes the first only.
pub async fn watch(mut signals: Signals, sources: Sources, desk: Sender<Input>) {
    while let Some(signal) = signals.next().await {
        let input = match signal {
            Ok(Signal::Hup) => Input::Reload(reread(&sources).await.map(Box::new)),
            Ok(_) => Input::Leave,
            Err(error) => {
                tracing::warn!(%error, "a signal could not be read");
                continue;
            }
        };
        if desk.send(input).await.is_err() {
            return;
        }
    }
}

/// Evaluating a script may take seconds: it is done beside the serving thread. Without a script the file is short.
async fn reread(sources: &Sources) -> Result<Config, String> {
    if sources.operator.is_none() {
        return sources.read();
    }
    let (sources, (told, read)) = (sources.clone(), async_channel::bounded(1));
    std::thread::spawn(move || {
        let _ = told.try_send(Box::new(sources.read()));
    });
    let read = read.recv().await.map(|read| *read);
    read.unwrap_or_else(|_| Err("reading the files anew panicked".to_string()))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Serving,
    Leaving,
    Closed,
    Ended,
    Over,
}

/// How far a server that was told to leave at `notice` has come.
pub fn stage(notice: Option<Time>, left: Time, now: Time) -> Stage {
    let Some(notice) = notice else { return Stage::Serving };
    let reached = |part: f64| now >= notice + left.times(part);
    let stages = [(OVER_PART, Stage::Over), (END_PART, Stage::Ended), (CLOSE_PART, Stage::Closed)];
    stages.into_iter().find(|(part, _)| reached(*part)).map_or(Stage::Leaving, |(_, stage)| stage)
}
