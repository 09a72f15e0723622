//! Accepting, without the rest of the server.
use async_executor::LocalExecutor;
use async_io::Async;
use cottondyke::connection::reader::ConnectionContext;
use cottondyke::event::{ConnectionId, Event};
use cottondyke::listener::{guarded, listen};
use cottondyke::resource_limits::ResourceLimits;
use cottondyke_test_support::fakes::IO_TIMEOUT;
use futures_lite::future;
use std::net::TcpListener;
use std::rc::Rc;

/// Guards the server against a panic in one connection's handling: it ends there.
#[test]
fn a_panic_stays_with_its_connection() {
    future::block_on(guarded(ConnectionId(1), async { panic!("on purpose") }));
}

/// Guards connections that the machine had accepted when the server stopped listening: looking at the end
/// again after it was seen panicked here, and one past the room was dropped with what it had sent.
#[test]
fn what_waits_at_the_end_is_still_taken() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let addr = listener.get_ref().local_addr().unwrap();
    let clients: Vec<_> = (0..3)
        .map(|_| std::net::TcpStream::connect(addr).unwrap())
        .collect();
    let (desk, inputs) = async_channel::unbounded();
    let (_, close) = async_channel::bounded(1);
    let executor = Rc::new(LocalExecutor::new());
    let front = ConnectionContext {
        names: Rc::default(),
        room: ResourceLimits::new(1, 0),
        desk,
        write_timeout: IO_TIMEOUT,
    };
    let listening = listen(executor.clone(), listener, Rc::new(front), close);
    async_io::block_on(executor.run(async {
        listening.await;
        for _ in &clients {
            assert!(matches!(inputs.recv().await, Ok(Event::Opened(..))));
        }
    }));
}
