//! Signals of the process: SIGTERM and SIGINT start the shutdown, SIGHUP reloads the files.
//!
//! A signal sets a flag, and wakes the serving thread through a socket. The flag counts: if the write to the socket
//! fails in the signal's handler, the signal is seen at the next check.
use crate::config::files::ConfigFiles;
use crate::config::{Config, ConfigError};
use crate::event::Event;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, FutureExt, StreamExt};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often the flags are checked if nothing wakes the serving thread.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

type ReadResult = Result<Box<Config>, ConfigError>;

/// The signals that were caught and not acted on yet.
pub struct CaughtSignals {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

/// Catches the signals from now on. Starts no thread.
pub fn catch() -> io::Result<CaughtSignals> {
    let (shutdown, reload) = (Arc::default(), Arc::default());
    flag::register(SIGTERM, Arc::clone(&shutdown))?;
    flag::register(SIGINT, Arc::clone(&shutdown))?;
    flag::register(SIGHUP, Arc::clone(&reload))?;
    Ok(CaughtSignals { shutdown, reload })
}

impl CaughtSignals {
    /// Waits for the next signal; signals of one kind that come together count as one.
    async fn next(&self, wake_ups: &mut Option<Signals>) -> SignalEvent {
        loop {
            if self.shutdown.swap(false, Ordering::Relaxed) {
                return SignalEvent::Shutdown;
            }
            if self.reload.swap(false, Ordering::Relaxed) {
                return SignalEvent::Reload;
            }
            let woken = async {
                let is_woken = match wake_ups {
                    Some(wake_ups) => matches!(wake_ups.next().await, Some(Ok(_))),
                    None => false,
                };
                if !is_woken {
                    // There is no socket, or reading from it failed: only the interval is left.
                    future::pending::<()>().await;
                }
            };
            let interval = async {
                Timer::after(CHECK_INTERVAL).await;
            };
            woken.or(interval).await;
        }
    }
}

enum SignalEvent {
    Shutdown,
    Reload,
    FilesRead(ReadResult),
}

/// Forwards signals to the dispatcher: SIGHUP as a reload with the files read again, any other as a shutdown, of which
/// the dispatcher acts only on the first. Evaluating the operator file may take seconds: signals are still received
/// meanwhile, and any number of SIGHUPs in that time causes one more reading.
pub async fn watch(signals: CaughtSignals, files: ConfigFiles, events: Sender<Event>) {
    // Its handlers run after those that set the flags, which were registered first.
    let mut wake_ups = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(wake_ups) => Some(wake_ups),
        Err(error) => {
            tracing::warn!(%error, "signals are noticed late");
            None
        }
    };
    let mut pending_read = None;
    let mut read_again = false;
    loop {
        let read = async {
            match &pending_read {
                Some(read) => SignalEvent::FilesRead(read_result(read).await),
                None => future::pending().await,
            }
        };
        let event = match signals.next(&mut wake_ups).or(read).await {
            SignalEvent::Reload if pending_read.is_some() => {
                read_again = true;
                continue;
            }
            // Without an operator file, reading the files is too short to need a thread.
            SignalEvent::Reload if files.operator.is_none() => {
                Event::Reload(files.read().map(Box::new))
            }
            SignalEvent::Reload => {
                pending_read = Some(start_read(&files));
                continue;
            }
            SignalEvent::Shutdown => Event::Shutdown,
            SignalEvent::FilesRead(result) => {
                pending_read = std::mem::take(&mut read_again).then(|| start_read(&files));
                Event::Reload(result)
            }
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
