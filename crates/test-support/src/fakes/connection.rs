//! What all fakes share: the limit of their waits, the next connection of a listener, the wall clock.
use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// No fake waits longer than this for a connection or for bytes.
pub const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// How often [`accept`] looks for a connection.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The wall clock, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// The next connection of a listener; an error of kind `WouldBlock` if none comes within [`IO_TIMEOUT`].
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
