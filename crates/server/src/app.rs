//! Puts the parts together and runs them on one thread.
use crate::clock::Clock;
use crate::config::files::ConfigFiles;
use crate::config::Config;
use crate::connection::reader::ConnectionContext;
use crate::connection::writer;
use crate::dispatcher::RequestDispatcher;
use crate::event::{TaskChannels, MAX_PENDING_EVENTS};
use crate::execution::engine_link;
use crate::protocol::sidecar::NameTable;
use crate::resource_limits::ResourceLimits;
use crate::{cluster, listener, load_report, signal};
use async_executor::{LocalExecutor, Task};
use async_signal::Signals;
use futures_lite::FutureExt;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

/// Serves until the server has left; an error says in one line why it could not.
/// `sources` are read anew on SIGHUP; `signals` have been caught since before they were first read.
pub fn serve(signals: Signals, sources: ConfigFiles, config: Config) -> Result<(), String> {
    let listener = listener::bind(config.listen)
        .map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let listen = listener.get_ref().local_addr().unwrap_or(config.listen);
    let clock = Clock::start();
    let admission = config.admission(clock.now())?;
    let names = NameTable {
        handlers: config.places.handlers.clone(),
        customers: config.places.tenants.clone(),
        longest_ms: config.longest,
    };
    let room = ResourceLimits::new(config.connections, config.memory);
    let config = Rc::new(config);
    let (to_desk, inputs) = async_channel::bounded(MAX_PENDING_EVENTS);
    let (close, closed) = async_channel::bounded(1);
    let (news, changes) = async_channel::unbounded();
    let (engine, moves) = async_channel::unbounded();
    let executor = Rc::new(LocalExecutor::new());
    tracing::info!(name = config.name, %listen, "serving");

    let write_timeout = writer::write_timeout(names.longest_ms);
    let front = ConnectionContext {
        names: Rc::new(names),
        room: room.clone(),
        desk: to_desk.clone(),
        write_timeout,
    };
    let accepting = listener::listen(executor.clone(), listener, Rc::new(front), closed);
    let accepting = executor.spawn(accepting);
    let (desk_of, name) = (to_desk.clone(), config.name.clone());
    let running = config
        .engine
        .map(|engine| executor.spawn(engine_link::keep(engine, moves, desk_of)));
    let reporting = config
        .control
        .map(|control| executor.spawn(load_report::keep(control, name, changes)));
    let watching = executor.spawn(signal::watch(signals, sources, to_desk.clone()));
    let among = config
        .operator
        .as_ref()
        .and_then(|operator| Some((operator, operator.peers.as_ref()?)));
    let among = among
        .map(|(operator, peers)| {
            cluster::start(operator, peers, clock, executor.clone(), config.seed)
        })
        .transpose()?;
    let fleet = among.as_ref().map(|started| started.fleet.clone());
    let among_peers = fleet.clone();
    let among = among.map(|started| executor.spawn(started.run()));
    let lines = TaskChannels {
        news,
        engine,
        close,
    };
    let desk = RequestDispatcher::new(
        config,
        admission,
        clock,
        executor.clone(),
        to_desk,
        room,
        lines,
        fleet,
    );
    // Without any of these the server would be half alive: a panic in one ends it, with a word why.
    let all = desk
        .run(inputs)
        .or(kept(Some(accepting)))
        .or(kept(running))
        .or(kept(reporting))
        .or(kept(among))
        .or(kept(Some(watching)));
    let ended = async_io::block_on(executor.run(AssertUnwindSafe(all).catch_unwind()));
    if let Some(fleet) = among_peers {
        fleet.gone();
    }
    ended.map_err(|_| "a part of the server panicked; it cannot go on".to_string())
}

/// Passes a task's panic on; its end is of no interest.
async fn kept(task: Option<Task<()>>) {
    if let Some(task) = task {
        task.await;
    }
    std::future::pending().await
}
