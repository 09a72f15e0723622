//! Signals of the process: SIGTERM and SIGINT begin the shutdown, SIGHUP has the files read again.
use crate::config::files::ConfigFiles;
use crate::config::Config;
use crate::event::Event;
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use std::io;

pub fn signals() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Passes signals on: SIGHUP with the files read anew, any other as the notice to leave, of which the desk takes the
/// first only. Evaluating a script may take seconds: signals are heard meanwhile, and one more SIGHUP has the files
/// read once more.
pub async fn watch(mut signals: Signals, sources: ConfigFiles, desk: Sender<Event>) {
    let (mut reading, mut again) = (None, false);
    loop {
        let signal = async { signals.next().await.map(SignalEvent::Signal) };
        let read = async {
            match &reading {
                Some(read) => Some(SignalEvent::Read(reread(read).await)),
                None => std::future::pending().await,
            }
        };
        let input = match signal.or(read).await {
            Some(SignalEvent::Signal(Ok(Signal::Hup))) if reading.is_some() => {
                again = true;
                continue;
            }
            Some(SignalEvent::Signal(Ok(Signal::Hup))) if sources.operator.is_none() => {
                Event::Reload(sources.read().map(Box::new))
            }
            Some(SignalEvent::Signal(Ok(Signal::Hup))) => {
                reading = Some(start_reading(&sources));
                continue;
            }
            Some(SignalEvent::Signal(Ok(_))) => Event::Shutdown,
            Some(SignalEvent::Signal(Err(error))) => {
                tracing::warn!(%error, "a signal could not be read");
                continue;
            }
            Some(SignalEvent::Read(result)) => {
                reading = std::mem::take(&mut again).then(|| start_reading(&sources));
                Event::Reload(result)
            }
            None => return,
        };
        if desk.send(input).await.is_err() {
            return;
        }
    }
}

enum SignalEvent {
    Signal(io::Result<Signal>),
    Read(Result<Box<Config>, String>),
}

type Reading = Receiver<Result<Box<Config>, String>>;

/// Reads the files on a thread of its own, which ends with it.
fn start_reading(sources: &ConfigFiles) -> Reading {
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
