//! A fake of an HTTP service that the server calls (records service, control plane): its side of one connection.
use super::connection::accept;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};

/// The service's side of one connection from the server.
#[derive(Debug)]
pub struct FakeService(
    /// The connection, with bytes that were read ahead.
    pub BufReader<TcpStream>,
);

/// A request that a service received.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The request line: method, path and version.
    pub line: String,
    /// Header lines as they were received.
    pub headers: Vec<String>,
    /// The body, as many bytes as `Content-Length` says.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// The value of the first header with this name; the comparison is case-sensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find_map(|h| h.strip_prefix(name)?.strip_prefix(": "))
    }
}

impl FakeService {
    /// Waits for the server's next connection.
    pub fn accept(listener: &TcpListener) -> io::Result<Self> {
        Ok(FakeService(BufReader::new(accept(listener)?)))
    }

    /// Receives the next request; fails at the end of the connection.
    pub fn receive_request(&mut self) -> io::Result<ReceivedRequest> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end() {
                "" => break,
                line => lines.push(line.to_string()),
            }
        }
        let mut request = ReceivedRequest {
            line: lines.remove(0),
            headers: lines,
            body: Vec::new(),
        };
        let length = request
            .header("Content-Length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        request.body.resize(length, 0);
        self.0.read_exact(&mut request.body)?;
        Ok(request)
    }

    /// Sends a response with a status (code and reason), header lines that each end in CRLF, and a body.
    pub fn reply(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend(body);
        self.0.get_mut().write_all(&bytes)
    }
}
