//! The records service and the control plane.
use super::{accept_forever, listen, sleep_ms, Record, World};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// A request over HTTP/1.1.
struct HttpRequest {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl HttpRequest {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<HttpRequest> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first = lines.remove(0);
    let headers: Vec<(String, String)> = lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_string(), value.trim().to_string()))
        .collect();
    let mut request = HttpRequest {
        line: first,
        headers,
        body: Vec::new(),
    };
    let length = request.header("Content-Length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    request.body.resize(length, 0);
    reader.read_exact(&mut request.body)?;
    Ok(request)
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// The reply to a call with this body.
pub fn reply_to(call: &str) -> String {
    format!("reply to {call}")
}

/// Starts a records service that answers each call after `delay_ms`, with a reply that names the call.
pub fn start_records(world: World, record: Record, delay_ms: u64) -> SocketAddr {
    let listener = listen();
    let addr = listener.local_addr().expect("a local address");
    accept_forever(listener, move |stream| {
        let _ = serve_records(stream, &world, &record, delay_ms);
    });
    addr
}

fn serve_records(
    stream: TcpStream,
    world: &World,
    record: &Record,
    delay_ms: u64,
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let id = request.header("Op-Of").unwrap_or_default().to_string();
        let call = String::from_utf8_lossy(&request.body).into_owned();
        if !world.update(&id, |request| request.calls.push(call.clone())) {
            record.line(format!("records: call of unknown request {id}"));
            respond(&mut writer, "409 Conflict", "Op-Not-Begun: 1\r\n", b"")?;
            continue;
        }
        record.line(format!("records: {id} executing {call:?}"));
        sleep_ms(delay_ms);
        respond(&mut writer, "200 OK", "", reply_to(&call).as_bytes())?;
    }
}

/// The control plane: the conditions that the server reported.
#[derive(Clone, Default)]
pub struct ControlPlane {
    conditions: Arc<Mutex<Vec<String>>>,
}

impl ControlPlane {
    pub fn start(record: Record) -> (Self, SocketAddr) {
        let listener = listen();
        let addr = listener.local_addr().expect("a local address");
        let plane = ControlPlane::default();
        let served = plane.clone();
        accept_forever(listener, move |stream| {
            let _ = served.serve(stream, &record);
        });
        (plane, addr)
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_request(&mut reader)?;
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let mut conditions = super::lock(&self.conditions);
            if conditions.last() != Some(&body) {
                record.line(format!("control plane: {} {body}", request.line));
            }
            conditions.push(body);
            drop(conditions);
            respond(&mut writer, "204 No Content", "", b"")?;
        }
    }

    /// The number of reports so far.
    pub fn reports(&self) -> usize {
        super::lock(&self.conditions).len()
    }
}
