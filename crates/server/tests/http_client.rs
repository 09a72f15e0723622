//! The HTTP client against services that respond early or break the connection, on real sockets.
use async_io::Async;
use cottondyke::event::CallError;
use cottondyke::outbound::http_client::{exchange, Exchange, ExchangeProgress};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// The result of an exchange with a service that sends `response` and resets the connection before the request is
/// written.
fn exchange_with_reset_after(response: &[u8]) -> Result<Exchange, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut service, _) = listener.accept().unwrap();
    service.write_all(response).unwrap();
    // With a linger time of zero, closing the socket resets the connection after the response.
    rustix::net::sockopt::set_socket_linger(&service, Some(Duration::ZERO)).unwrap();
    drop(service);
    let mut stream = Async::new(stream).unwrap();
    async_io::block_on(exchange(
        &mut stream,
        &[7; 4_096],
        &ExchangeProgress::default(),
    ))
}

/// A service may respond and close the connection before it has read the request. A complete response that reports the
/// call as not executed must be used, although the request could not be written. An incomplete one proves nothing.
#[test]
fn takes_a_response_that_comes_before_the_request_is_written() {
    let rejection = b"HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n";
    let exchange = exchange_with_reset_after(rejection).unwrap();
    let response = &exchange.response;
    assert!(response.status == 503 && response.not_executed && !exchange.is_reusable);
    for cut in 0..rejection.len() {
        assert!(
            matches!(
                exchange_with_reset_after(&rejection[..cut]),
                Err(CallError::Indeterminate(_))
            ),
            "{cut}"
        );
    }
}

/// A service must not get further calls beside ones that may still run there after their connections broke. Only a
/// response that has begun shows that its call has ended.
#[test]
fn distinguishes_a_call_that_may_still_run_from_one_with_a_truncated_response() {
    for (response, has_ended) in [(&b""[..], false), (b"HTTP/1.1 200 OK\r\nContent-Le", true)] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (mut service, _) = listener.accept().unwrap();
        let answering = std::thread::spawn(move || {
            service.read_exact(&mut [0; 16]).unwrap();
            service.write_all(response).unwrap();
        });
        let mut stream = Async::new(stream).unwrap();
        let progress = ExchangeProgress::default();
        let error = async_io::block_on(exchange(&mut stream, &[7; 16], &progress)).unwrap_err();
        answering.join().unwrap();
        let ended = matches!(error, CallError::Failed(_));
        let interrupted = matches!(error, CallError::Interrupted(_));
        assert_eq!((ended, interrupted), (has_ended, !has_ended), "{error:?}");
    }
}
