//! Signals, and leaving: the notice, and when to stop listening and to end.
use crate::config::Config;
use crate::input::Input;
use crate::sources::Sources;
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use cottondyke_types::Time;
use futures_lite::{FutureExt, StreamExt};
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

/// Passes signals on: SIGHUP with the files read anew, any other as the notice to leave, of which the desk takes the
/// first only. Evaluating a script may take seconds: signals are heard meanwhile, and one more SIGHUP has the files
/// read once more.
pub async fn watch(mut signals: Signals, sources: Sources, desk: Sender<Input>) {
    let (mut reading, mut again) = (None, false);
    loop {
        let signal = async { signals.next().await.map(Happening::Signal) };
        let read = async {
            match &reading {
                Some(read) => Some(Happening::Read(reread(read).await)),
                None => std::future::pending().await,
            }
        };
        let input = match signal.or(read).await {
            Some(Happening::Signal(Ok(Signal::Hup))) if reading.is_some() => {
                again = true;
                continue;
            }
            Some(Happening::Signal(Ok(Signal::Hup))) if sources.operator.is_none() => {
                Input::Reload(sources.read().map(Box::new))
            }
            Some(Happening::Signal(Ok(Signal::Hup))) => {
                reading = Some(start_reading(&sources));
                continue;
            }
            Some(Happening::Signal(Ok(_))) => Input::Leave,
            Some(Happening::Signal(Err(error))) => {
                tracing::warn!(%error, "a signal could not be read");
                continue;
            }
            Some(Happening::Read(result)) => {
                reading = std::mem::take(&mut again).then(|| start_reading(&sources));
                Input::Reload(result)
            }
            None => return,
        };
        if desk.send(input).await.is_err() {
            return;
        }
    }
}

enum Happening {
    Signal(io::Result<Signal>),
    Read(Result<Box<Config>, String>),
}

type Reading = Receiver<Result<Box<Config>, String>>;

/// Reads the files on a thread of its own, which ends with it.
fn start_reading(sources: &Sources) -> Reading {
    let (sources, (told, read)) = (sources.clone(), async_channel::bounded(1));
    std::thread::spawn(move || {
        let _ = told.try_send(sources.read().map(Box::new));
    });
    read
}

async fn reread(reading: &Reading) -> Result<Box<Config>, String> {
    reading
        .recv()
        .await
        .unwrap_or_else(|_| Err("reading the files anew panicked".to_string()))
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
    let Some(notice) = notice else {
        return Stage::Serving;
    };
    let reached = |part: f64| now >= notice + left.scaled(part);
    let stages = [
        (OVER_PART, Stage::Over),
        (END_PART, Stage::Ended),
        (CLOSE_PART, Stage::Closed),
    ];
    stages
        .into_iter()
        .find(|(part, _)| reached(*part))
        .map_or(Stage::Leaving, |(_, stage)| stage)
}
