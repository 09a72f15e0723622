//! The HTTP client against a service that answers out of turn, on real connections.
use async_io::Async;
use cottondyke::event::CallError;
use cottondyke::outbound::http_client::{exchange, Exchange, ExchangeProgress};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// What an exchange brings with a service that says `response` and resets the connection before the request is written.
fn reset_after(response: &[u8]) -> Result<Exchange, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut service, _) = listener.accept().unwrap();
    service.write_all(response).unwrap();
    // Closing without waiting is a reset, behind the response.
    rustix::net::sockopt::set_socket_linger(&service, Some(Duration::ZERO)).unwrap();
    drop(service);
    let mut stream = Async::new(stream).unwrap();
    async_io::block_on(exchange(
        &mut stream,
        &[7; 4_096],
        &ExchangeProgress::default(),
    ))
}

/// Guards calls against a service that answers before it has read the request, and closes: the response says that the
/// call never ran, though it could not be written. Without a complete response nothing is known.
#[test]
fn takes_a_response_that_comes_before_the_request_is_written() {
    let rejection = b"HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n";
    let exchange = reset_after(rejection).unwrap();
    let response = &exchange.response;
    assert!(response.status == 503 && response.not_executed && !exchange.is_reusable);
    for cut in 0..rejection.len() {
        assert!(
            matches!(
                reset_after(&rejection[..cut]),
                Err(CallError::MaybeBegun(_))
            ),
            "{cut}"
        );
    }
}

/// Guards a service against calls beside those whose connections broke: only a reply that has begun shows that the call
/// has ended.
#[test]
fn tells_a_call_that_may_go_on_from_one_whose_reply_was_cut() {
    for (reply, has_ended) in [(&b""[..], false), (b"HTTP/1.1 200 OK\r\nContent-Le", true)] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (mut service, _) = listener.accept().unwrap();
        let answering = std::thread::spawn(move || {
            service.read_exact(&mut [0; 16]).unwrap();
            service.write_all(reply).unwrap();
        });
        let mut stream = Async::new(stream).unwrap();
        let progress = ExchangeProgress::default();
        let error = async_io::block_on(exchange(&mut stream, &[7; 16], &progress)).unwrap_err();
        answering.join().unwrap();
        let ended = matches!(error, CallError::Ended(_));
        let interrupted = matches!(error, CallError::Interrupted(_));
        assert_eq!((ended, interrupted), (has_ended, !has_ended), "{error:?}");
    }
}
