//! The HTTP client against a service that answers out of turn, on real connections.
use async_io::Async;
use cottondyke::event::CallError;
use cottondyke::outbound::http_client::exchange;
use cottondyke::protocol::http;
use std::cell::Cell;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// What an exchange brings with a service that says `reply` and resets the connection before the request is written.
fn reset_after(reply: &[u8]) -> Result<(http::Response, bool), CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut service, _) = listener.accept().unwrap();
    service.write_all(reply).unwrap();
    // Closing without waiting is a reset, behind the reply.
    rustix::net::sockopt::set_socket_linger(&service, Some(Duration::ZERO)).unwrap();
    drop(service);
    let mut stream = Async::new(stream).unwrap();
    async_io::block_on(exchange(
        &mut stream,
        &[7; 4_096],
        &Cell::new(false),
        &Cell::new(false),
    ))
}

/// Guards calls against a service that answers before it has read the request, and closes: the reply says that the
/// call never ran, though it could not be written. Without a whole reply nothing is known.
#[test]
fn a_reply_before_the_call_is_written_counts() {
    let turned_away = b"HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n";
    let (reply, again) = reset_after(turned_away).unwrap();
    assert!(reply.status == 503 && reply.not_begun && !again);
    for cut in 0..turned_away.len() {
        assert!(
            matches!(
                reset_after(&turned_away[..cut]),
                Err(CallError::MaybeBegun(_))
            ),
            "{cut}"
        );
    }
}
