//! Functions that all fakes share: accepting a connection with a timeout, and reading the wall clock.
use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest that a fake waits for a connection or for bytes.
pub const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// How often [`accept`] checks for a connection.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The wall clock, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Accepts the next connection of a listener; fails with `WouldBlock` if none arrives within [`IO_TIMEOUT`].
pub fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    listener.set_nonblocking(true)?;
    let deadline = Instant::now() + IO_TIMEOUT;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(IO_TIMEOUT))?;
                return Ok(stream);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock && Instant::now() < deadline => {
                std::thread::sleep(ACCEPT_POLL_INTERVAL);
            }
            Err(e) => return Err(e),
        }
    }
}
