//! The other sides of the server's protocols, as small as they can be: a sidecar, an engine, an HTTP service.
//! The toy is made of them, and so are the tests and trials.
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// No peer waits longer than this for anything.
pub const IO_TIMEOUT: Duration = Duration::from_secs(10);

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// The next connection, within the peers' patience.
pub fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    listener.set_nonblocking(true)?;
    let until = Instant::now() + IO_TIMEOUT;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(IO_TIMEOUT))?;
                return Ok(stream);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock && Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(e) => return Err(e),
        }
    }
}

/// Fields and body as they stand in a frame.
pub fn payload(fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![fields.len() as u8];
    for (name, value) in fields {
        bytes.push(name.len() as u8);
        bytes.extend(name.as_bytes());
        bytes.extend((value.len() as u16).to_be_bytes());
        bytes.extend(value.as_bytes());
    }
    bytes.extend(body);
    bytes
}

pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32 + 5).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// What a sidecar hears.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedFrame {
    pub kind: u8,
    pub stream: u32,
    pub code: u8,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ReceivedFrame {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|f| f.0 == name)
            .map(|f| f.1.as_str())
    }
}

pub struct FakeSidecar(pub TcpStream);

impl FakeSidecar {
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        Ok(FakeSidecar(stream))
    }

    pub fn send(
        &mut self,
        kind: u8,
        stream: u32,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.0
            .write_all(&frame(kind, stream, &payload(fields, body)))
    }

    /// The next frame; an error at the end of the connection.
    pub fn receive(&mut self) -> io::Result<ReceivedFrame> {
        let mut head = [0; 9];
        self.0.read_exact(&mut head)?;
        let mut rest =
            vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 5];
        self.0.read_exact(&mut rest)?;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        let mut heard = ReceivedFrame {
            kind: head[4],
            stream,
            code: 0,
            fields: Vec::new(),
            body: Vec::new(),
        };
        if rest.is_empty() {
            return Ok(heard);
        }
        heard.code = rest[0];
        let mut at = 2;
        let mut text = |size: usize| {
            at += size;
            String::from_utf8_lossy(&rest[at - size..at]).into_owned()
        };
        for _ in 0..rest[1] {
            let size = text(1).as_bytes()[0] as usize;
            let name = text(size);
            let size = text(2);
            let value = text(size.as_bytes()[1] as usize);
            heard.fields.push((name, value));
        }
        heard.body = rest[at..].to_vec();
        Ok(heard)
    }
}

/// One link from the server, as the engine sees it.
pub struct FakeEngine(pub BufReader<TcpStream>);

/// A command's words, and its body where it has one.
pub type EngineCommand = (Vec<String>, Vec<u8>);

impl FakeEngine {
    pub fn accept(listener: &TcpListener) -> io::Result<Self> {
        Ok(FakeEngine(BufReader::new(accept(listener)?)))
    }

    pub fn command(&mut self) -> io::Result<EngineCommand> {
        let mut line = String::new();
        if self.0.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let words: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
        let mut body = Vec::new();
        if matches!(words[0].as_str(), "RUN" | "FEED") {
            body.resize(
                words[words.len() - 1]
                    .parse::<usize>()
                    .map_err(io::Error::other)?
                    + 2,
                0,
            );
            self.0.read_exact(&mut body)?;
            body.truncate(body.len() - 2);
        }
        Ok((words, body))
    }

    /// The next command that is no question for gauges; those are answered.
    pub fn receive_command(&mut self) -> io::Result<EngineCommand> {
        let until = Instant::now() + IO_TIMEOUT;
        loop {
            if Instant::now() > until {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let (words, body) = self.command()?;
            if words[0] != "STAT" {
                return Ok((words, body));
            }
            self.send_line(&format!("STATS {} 0.5 1 0.1 3", words[1]))?;
        }
    }

    pub fn send_line(&mut self, line: &str) -> io::Result<()> {
        self.0.get_mut().write_all(format!("{line}\r\n").as_bytes())
    }

    pub fn send_line_with_body(&mut self, line: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{line} {}\r\n", body.len()).into_bytes();
        bytes.extend(body);
        bytes.extend(b"\r\n");
        self.0.get_mut().write_all(&bytes)
    }
}

/// One connection to an HTTP service, as the service sees it.
pub struct FakeService(pub BufReader<TcpStream>);

#[derive(Debug)]
pub struct ReceivedRequest {
    pub line: String,
    pub headers: Vec<String>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find_map(|h| h.strip_prefix(name)?.strip_prefix(": "))
    }
}

impl FakeService {
    pub fn accept(listener: &TcpListener) -> io::Result<Self> {
        Ok(FakeService(BufReader::new(accept(listener)?)))
    }

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
        let mut asked = ReceivedRequest {
            line: lines.remove(0),
            headers: lines,
            body: Vec::new(),
        };
        let length = asked
            .header("Content-Length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        asked.body.resize(length, 0);
        self.0.read_exact(&mut asked.body)?;
        Ok(asked)
    }

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
