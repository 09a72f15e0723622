//! A fake of the engine that executes runs for the server: the engine's side of one connection.
use super::connection::{accept, IO_TIMEOUT};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

/// Commands that are followed by a body, whose size is their last word.
const COMMANDS_WITH_BODY: [&str; 2] = ["RUN", "FEED"];
/// Ends each line and each body.
const LINE_END: &[u8; 2] = b"\r\n";

/// The words of a command, and its body, which is empty for commands without one.
pub type EngineCommand = (Vec<String>, Vec<u8>);

/// The engine's side of one connection from the server.
#[derive(Debug)]
pub struct FakeEngine(
    /// The connection, with bytes that were read ahead.
    pub BufReader<TcpStream>,
);

impl FakeEngine {
    /// Waits for the server's next connection.
    pub fn accept(listener: &TcpListener) -> io::Result<Self> {
        Ok(FakeEngine(BufReader::new(accept(listener)?)))
    }

    /// Receives the next command of any kind; fails at the end of the connection.
    pub fn receive_any_command(&mut self) -> io::Result<EngineCommand> {
        let mut line = String::new();
        if self.0.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let words: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
        let mut body = Vec::new();
        if COMMANDS_WITH_BODY.contains(&words[0].as_str()) {
            let size: usize = words[words.len() - 1].parse().map_err(io::Error::other)?;
            body.resize(size + LINE_END.len(), 0);
            self.0.read_exact(&mut body)?;
            body.truncate(size);
        }
        Ok((words, body))
    }

    /// Receives the next command other than `STAT`; answers each `STAT` before it with fixed gauges.
    pub fn receive_command(&mut self) -> io::Result<EngineCommand> {
        let deadline = Instant::now() + IO_TIMEOUT;
        loop {
            if Instant::now() > deadline {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let (words, body) = self.receive_any_command()?;
            if words[0] != "STAT" {
                return Ok((words, body));
            }
            self.send_line(&format!("STATS {} 0.5 1 0.1 3", words[1]))?;
        }
    }

    /// Sends one line, to which the line end is added.
    pub fn send_line(&mut self, line: &str) -> io::Result<()> {
        self.0.get_mut().write_all(format!("{line}\r\n").as_bytes())
    }

    /// Sends one line and a body; the body's size is added as the line's last word.
    pub fn send_line_with_body(&mut self, line: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{line} {}\r\n", body.len()).into_bytes();
        bytes.extend(body);
        bytes.extend(LINE_END);
        self.0.get_mut().write_all(&bytes)
    }
}
