//! Tests of accepting connections, without the rest of the server.
use async_executor::LocalExecutor;
use async_io::Async;
use cottondyke::connection::reader::ConnectionContext;
use cottondyke::event::{ConnectionId, Event};
use cottondyke::listener::{contain_panic, listen};
use cottondyke::memory_plan::MemoryPlan;
use cottondyke::resource_limits::ResourceLimits;
use cottondyke_test_support::fakes::IO_TIMEOUT;
use futures_lite::future;
use std::net::TcpListener;
use std::rc::Rc;

/// Guards the server against a panic in the handler of one connection: only that connection ends.
#[test]
fn ends_only_its_connection_when_a_handler_panics() {
    future::block_on(contain_panic(ConnectionId(1), async {
        panic!("on purpose")
    }));
}

/// Guards connections that are in the listen queue when the server stops listening. Two faults occurred here: polling
/// the stop future again after it had completed panicked, and a connection past the connection limit was dropped
/// together with what it had sent.
#[test]
fn accepts_the_backlog_when_listening_stops() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let addr = listener.get_ref().local_addr().unwrap();
    let clients: Vec<_> = (0..3)
        .map(|_| std::net::TcpStream::connect(addr).unwrap())
        .collect();
    let (events, pending) = async_channel::unbounded();
    let (_, stop) = async_channel::bounded(1);
    let executor = Rc::new(LocalExecutor::new());
    let context = ConnectionContext {
        decoder_settings: Rc::default(),
        limits: ResourceLimits::new(MemoryPlan::unlimited(1)),
        events,
        write_timeout: IO_TIMEOUT,
    };
    let listening = listen(executor.clone(), listener, Rc::new(context), stop);
    async_io::block_on(executor.run(async {
        listening.await;
        for _ in &clients {
            assert!(matches!(pending.recv().await, Ok(Event::Opened(..))));
        }
    }));
}
