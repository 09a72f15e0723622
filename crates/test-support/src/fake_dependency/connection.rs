//! Serves the calls of one connection, with the latency and the response that the current fault determines.
use super::config::{FakeDependencyConfig, Fault};
use super::counting::{tag_of, Arrival, InFlightCall, Shared};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// A connection on which no request arrives for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Latency of [`Fault::Hang`]: longer than any caller waits.
const HANG_LATENCY: Duration = Duration::from_secs(30);
/// Latency of [`Fault::Fail`] and [`Fault::Reset`].
const FAILURE_LATENCY: Duration = Duration::from_micros(200);
/// How many times its usual latency an outlier takes.
const OUTLIER_FACTOR: u32 = 10;
/// How often a call in flight checks whether the dependency was stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The fraction of the configured duration for which a call goes on after its caller disconnected; the rest allows for
/// delays of this thread's own timers.
const POST_CANCEL_FRACTION: f64 = 0.8;

struct Request {
    id: String,
    body: Vec<u8>,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let (mut id, mut length, mut is_first_line) = (String::new(), 0, true);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() && !is_first_line {
            break;
        }
        is_first_line = false;
        if let Some(value) = line.strip_prefix("Req-Id: ") {
            id = value.to_string();
        }
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.parse().map_err(io::Error::other)?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Request { id, body })
}

/// Serves calls until the connection ends, fails, or is idle for too long.
pub(super) fn serve(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        reader.get_ref().set_read_timeout(Some(IDLE_TIMEOUT))?;
        let request = read_request(&mut reader)?;
        let number = shared.next_call_number();
        let tag = tag_of(&request.id);
        let arrival = shared.state().record_arrival(request.id);
        let call = InFlightCall::new(shared, tag);
        let latency = latency(&shared.config, &arrival, number);
        if !wait_while_connected(shared, &writer, latency) {
            // The call goes on after its caller disconnected, for as long as the configuration says.
            let post_cancel = shared.config.post_cancel_duration;
            thread::sleep(post_cancel.mul_f64(POST_CANCEL_FRACTION).min(latency));
            return Ok(());
        }
        drop(call);
        let body = format!("{{\"of\":{},\"number\":{number}}}", request.body.len());
        match arrival.fault {
            Fault::Reset => return reset(&mut writer, number),
            Fault::Corrupt => return respond_corrupt(&mut writer, number, &body),
            Fault::Fail => write!(writer, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")?,
            _ => {
                write_response(&mut writer, body.len(), &body)?;
                shared.state().counts.successes += 1;
            }
        }
    }
}

/// How long a call takes.
fn latency(config: &FakeDependencyConfig, arrival: &Arrival, number: u64) -> Duration {
    let in_flight = arrival.in_flight as f64;
    let slowdown = (in_flight / config.concurrency_limit as f64).max(1.0);
    let usual = config
        .mean_latency
        .mul_f64((0.5 + arrival.latency_draw) * slowdown);
    match arrival.fault {
        Fault::Hang => HANG_LATENCY,
        Fault::Slow(factor) => usual * factor,
        Fault::Overloaded(limit) => usual.mul_f64((in_flight / limit as f64).max(1.0).powi(2)),
        Fault::FixedLatency(latency) => latency,
        Fault::Fail | Fault::Reset => FAILURE_LATENCY,
        Fault::LatencyOutliers(interval) if number.is_multiple_of(u64::from(interval)) => {
            usual * OUTLIER_FACTOR
        }
        _ => usual,
    }
}

/// Waits for a duration; returns false if the caller disconnects meanwhile or the dependency is stopped.
fn wait_while_connected(shared: &Shared, stream: &TcpStream, duration: Duration) -> bool {
    let deadline = Instant::now() + duration;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || shared.is_stopped() {
            return remaining.is_zero();
        }
        let timeout = remaining.min(STOP_POLL_INTERVAL);
        if stream.set_read_timeout(Some(timeout)).is_err() {
            return false;
        }
        // The end of the connection, or bytes that arrive before the response, end the wait early.
        match stream.peek(&mut [0]) {
            Err(e) if is_timeout(&e) => {}
            _ => return false,
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn write_response(writer: &mut TcpStream, length: usize, body: &str) -> io::Result<()> {
    write!(
        writer,
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Closes the connection, every other time in the middle of a body.
fn reset(writer: &mut TcpStream, number: u64) -> io::Result<()> {
    if number.is_multiple_of(2) {
        write_response(writer, 100, "half of")?;
    }
    // The peer sees a reset if bytes of its next request are unread here, otherwise an early end of the stream.
    writer.shutdown(Shutdown::Both)
}

/// Sends one of five kinds of malformed response, and closes the connection.
fn respond_corrupt(writer: &mut TcpStream, number: u64, body: &str) -> io::Result<()> {
    match number % 5 {
        0 => write_response(writer, 3_000_000_000, body)?,
        1 => write_response(writer, body.len() - 3, body)?,
        2 => write!(writer, "\u{1}\u{2} noise \r\n\r\n")?,
        3 => write_response(writer, 5, "{\"ha\"")?,
        _ => write_response(writer, body.len() + 9, body)?,
    }
    writer.shutdown(Shutdown::Write)
}
