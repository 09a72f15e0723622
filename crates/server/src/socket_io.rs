//! Reads, writes, accepts and connects on non-blocking sockets. All socket calls of the server go through this module.
//!
//! Any of these system calls may fail with `EINTR` without having done anything (signal(7)). `async-io` passes this error
//! on, and so does the `AsyncRead` and `AsyncWrite` implementation of its sockets. Here the call is made again, so that
//! an interruption never looks like a broken connection.
use crate::memory_plan::SocketBuffers;
use async_io::Async;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::net::sockopt;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsFd;

/// Makes a system call again for as long as it is interrupted.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Limits the kernel's buffers of a connection, or of the connections that a listener will accept. Without a limit, the
/// kernel lets them grow to megabytes.
pub fn limit_buffers(socket: impl AsFd, buffers: SocketBuffers) {
    let socket = socket.as_fd();
    // The kernel doubles the values that it is given (socket(7)). A buffer that stays larger is no reason to refuse the
    // connection.
    let _ = sockopt::set_socket_recv_buffer_size(socket, buffers.receive_bytes / 2);
    let _ = sockopt::set_socket_send_buffer_size(socket, buffers.send_bytes / 2);
}

/// Opens a connection. An interrupted attempt has sent no bytes, so another one is made on a new socket.
pub async fn connect(addr: SocketAddr) -> io::Result<Async<TcpStream>> {
    loop {
        match Async::<TcpStream>::connect(addr).await {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Waits for the next connection of a listener.
pub async fn accept(listener: &Async<TcpListener>) -> io::Result<(Async<TcpStream>, SocketAddr)> {
    let (stream, peer) = listener.read_with(accept_now).await?;
    Ok((Async::new(stream)?, peer))
}

/// Accepts a connection of a non-blocking listener; fails with `WouldBlock` if there is none. A connection that failed
/// while it was queued is skipped.
pub fn accept_now(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    loop {
        match listener.accept() {
            Err(error) if concerns_one_connection(&error) => {}
            result => return result,
        }
    }
}

/// Whether an error of `accept` is one of the connection that was to be accepted, so that the next one can be accepted
/// at once (accept(2), "Error handling"), or an interruption.
fn concerns_one_connection(error: &io::Error) -> bool {
    const ERRORS: [Errno; 12] = [
        Errno::INTR,
        Errno::CONNABORTED,
        Errno::PERM,
        Errno::PROTO,
        Errno::NOPROTOOPT,
        Errno::OPNOTSUPP,
        Errno::NETDOWN,
        Errno::NETUNREACH,
        Errno::HOSTDOWN,
        Errno::HOSTUNREACH,
        Errno::NONET,
        Errno::TIMEDOUT,
    ];
    Errno::from_io_error(error).is_some_and(|errno| ERRORS.contains(&errno))
}

/// Waits until bytes have arrived and reads them; returns their number, which is 0 at the end of the stream.
pub async fn read(stream: &Async<TcpStream>, bytes: &mut [u8]) -> io::Result<usize> {
    stream.read_with(|stream| read_now(stream, bytes)).await
}

/// Reads what has arrived on a non-blocking connection; fails with `WouldBlock` if nothing has.
pub fn read_now(mut stream: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    retry_interrupted(|| stream.read(bytes))
}

/// Returns the number of bytes that a read would return now, at most 1; fails with `WouldBlock` if nothing has arrived.
pub fn peek_now(stream: &TcpStream) -> io::Result<usize> {
    retry_interrupted(|| stream.peek(&mut [0]))
}

/// Whether a connection is reset or closed in both directions, so that nothing that is written reaches the peer. A peer
/// that has only stopped sending may still read.
pub fn is_broken(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::empty())];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let count = retry_interrupted(|| Ok(poll(&mut polled, Some(&no_wait))?));
    let broken = PollFlags::HUP | PollFlags::ERR;
    count.is_ok() && polled[0].revents().intersects(broken)
}

/// Waits until some of the bytes can be written and returns their number, which is never 0.
pub async fn write(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    let write = |mut stream: &TcpStream| retry_interrupted(|| stream.write(bytes));
    match stream.write_with(write).await? {
        0 => Err(ErrorKind::WriteZero.into()),
        count => Ok(count),
    }
}

/// Writes all bytes, waiting as often as necessary.
pub async fn write_all(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    let mut written = 0;
    while written < bytes.len() {
        written += write(stream, &bytes[written..]).await?;
    }
    Ok(())
}

/// Waits for the next datagram and returns its size.
pub async fn receive_datagram(socket: &Async<UdpSocket>, bytes: &mut [u8]) -> io::Result<usize> {
    let receive = |socket: &UdpSocket| retry_interrupted(|| socket.recv_from(bytes));
    let (count, _) = socket.read_with(receive).await?;
    Ok(count)
}

/// Sends a datagram; fails with `WouldBlock` if it cannot be sent at once.
pub fn send_datagram_now(
    socket: &Async<UdpSocket>,
    bytes: &[u8],
    to: SocketAddr,
) -> io::Result<usize> {
    retry_interrupted(|| socket.get_ref().send_to(bytes, to))
}
