//! Signals of the process: SIGTERM and SIGINT start the shutdown, SIGHUP reloads the files.
use crate::config::files::ConfigFiles;
use crate::config::{Config, ConfigError};
use crate::event::Event;
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::{future, FutureExt, StreamExt};
use std::io;

type ReadResult = Result<Box<Config>, ConfigError>;

/// Catches the signals from now on.
pub fn catch() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

enum SignalEvent {
    Signal(io::Result<Signal>),
    FilesRead(ReadResult),
}

/// Forwards signals to the dispatcher: SIGHUP as a reload with the files read again, any other as a shutdown, of which
/// the dispatcher acts only on the first. Evaluating the operator file may take seconds: signals are still received
/// meanwhile, and any number of SIGHUPs in that time causes one more reading.
pub async fn watch(mut signals: Signals, files: ConfigFiles, events: Sender<Event>) {
    let mut pending_read = None;
    let mut read_again = false;
    loop {
        let signal = async { signals.next().await.map(SignalEvent::Signal) };
        let read = async {
            match &pending_read {
                Some(read) => Some(SignalEvent::FilesRead(read_result(read).await)),
                None => future::pending().await,
            }
        };
        let event = match signal.or(read).await {
            Some(SignalEvent::Signal(Ok(Signal::Hup))) if pending_read.is_some() => {
                read_again = true;
                continue;
            }
            // Without an operator file, reading the files is too short to need a thread.
            Some(SignalEvent::Signal(Ok(Signal::Hup))) if files.operator.is_none() => {
                Event::Reload(files.read().map(Box::new))
            }
            Some(SignalEvent::Signal(Ok(Signal::Hup))) => {
                pending_read = Some(start_read(&files));
                continue;
            }
            Some(SignalEvent::Signal(Ok(_))) => Event::Shutdown,
            Some(SignalEvent::Signal(Err(error))) => {
                tracing::warn!(%error, "cannot read a signal");
                continue;
            }
            Some(SignalEvent::FilesRead(result)) => {
                pending_read = std::mem::take(&mut read_again).then(|| start_read(&files));
                Event::Reload(result)
            }
            None => return,
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

/// Reads the files on a separate thread, which then ends.
fn start_read(files: &ConfigFiles) -> Receiver<ReadResult> {
    let files = files.clone();
    let (sender, result) = async_channel::bounded(1);
    std::thread::spawn(move || {
        let _ = sender.try_send(files.read().map(Box::new));
    });
    result
}

async fn read_result(read: &Receiver<ReadResult>) -> ReadResult {
    let result = read.recv().await;
    result.unwrap_or(Err(ConfigError::ReaderPanicked))
}
