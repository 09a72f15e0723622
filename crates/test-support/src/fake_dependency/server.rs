//! A running fake dependency and its thread pool.
use super::config::{CallCounts, FakeDependencyConfig, Fault};
use super::connection;
use super::counting::Shared;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Connections that are served at the same time, one per thread of the pool.
const MAX_CONNECTIONS: usize = 256;

/// A running dependency; it stops when it is dropped.
///
/// ```
/// use cottondyke_test_support::fake_dependency::{FakeDependency, FakeDependencyConfig, Fault};
/// use std::io::{Read, Write};
/// use std::net::TcpStream;
/// use std::time::Duration;
///
/// let dependency = FakeDependency::start(FakeDependencyConfig {
///     mean_latency: Duration::from_millis(1),
///     concurrency_limit: 8,
///     post_cancel_duration: Duration::ZERO,
///     seed: 1,
/// })?;
/// dependency.set_fault(Fault::Fail);
/// let mut stream = TcpStream::connect(dependency.addr)?;
/// stream.write_all(b"GET / HTTP/1.1\r\nReq-Id: 0001a\r\n\r\n")?;
/// let mut status = [0; 12];
/// stream.read_exact(&mut status)?;
/// assert_eq!(&status, b"HTTP/1.1 500");
/// assert_eq!(dependency.counts().calls, 1);
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct FakeDependency {
    /// Where it listens.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeDependency {
    /// Starts one on a free port of the loopback interface.
    pub fn start(config: FakeDependencyConfig) -> io::Result<Self> {
        Self::start_at(([127, 0, 0, 1], 0).into(), config)
    }

    /// Starts one at an address.
    pub fn start_at(addr: SocketAddr, config: FakeDependencyConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::new(config));
        let listener = Arc::new(listener);
        for _ in 0..MAX_CONNECTIONS {
            let (shared, listener) = (shared.clone(), listener.clone());
            thread::Builder::new()
                .stack_size(crate::threads::THREAD_STACK_BYTES)
                .spawn(move || accept_connections(&shared, &listener))?;
        }
        Ok(FakeDependency { addr, shared })
    }

    /// Sets how it fails from now on; calls in flight keep the fault with which they arrived.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.state().fault = fault;
    }

    /// The calls counted so far.
    pub fn counts(&self) -> CallCounts {
        self.shared.state().counts.clone()
    }
}

impl Drop for FakeDependency {
    fn drop(&mut self) {
        self.shared.stop();
        let _ = TcpStream::connect(self.addr);
    }
}

/// Serves one connection after another on a thread of the pool.
///
/// All threads are started in advance: with one accepting thread that started another for each connection, calls were
/// counted up to 0.8 s after they had arrived when the cores were busy.
fn accept_connections(shared: &Shared, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        if shared.is_stopped() {
            // Wakes the next thread. Threads that serve a connection have a timeout on every wait, so all threads end.
            let _ = listener.local_addr().and_then(TcpStream::connect);
            return;
        }
        // An error ends only its own connection.
        let _ = connection::serve(shared, stream);
    }
}
