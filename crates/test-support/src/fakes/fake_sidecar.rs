//! A fake sidecar with a frame codec of its own, so that tests detect bugs in the server's codec.
use super::connection::IO_TIMEOUT;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Bytes of a frame before its payload: length (4), kind (1) and stream (4).
const FRAME_HEAD_BYTES: usize = 9;
/// Bytes of the head that the length counts: kind and stream.
const COUNTED_HEAD_BYTES: usize = 5;

/// Encodes fields and a body as the payload of a frame.
pub fn encode_payload(fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
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

/// Encodes a frame.
pub fn encode_frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() + COUNTED_HEAD_BYTES) as u32;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// A frame that a sidecar received.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedFrame {
    /// The frame's type.
    pub kind: u8,
    /// The stream that it belongs to; 0 is the connection itself.
    pub stream: u32,
    /// The first byte of its payload; for an answer this is the outcome (0 shed, 1 done, others errors).
    pub code: u8,
    /// Names and values of its fields, in order.
    pub fields: Vec<(String, String)>,
    /// The bytes after the fields.
    pub body: Vec<u8>,
}

impl ReceivedFrame {
    /// The value of the first field with this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|f| f.0 == name)
            .map(|f| f.1.as_str())
    }

    /// Decodes a payload into code, fields and body; panics on a truncated one, which fails the test.
    fn decode_payload(&mut self, payload: &[u8]) {
        self.code = payload[0];
        let field_count = payload[1];
        let mut position = 2;
        let mut take = |size: usize| {
            position += size;
            &payload[position - size..position]
        };
        for _ in 0..field_count {
            let name_size = usize::from(take(1)[0]);
            let name = String::from_utf8_lossy(take(name_size)).into_owned();
            let value_size = take(2);
            let value_size = usize::from(u16::from_be_bytes([value_size[0], value_size[1]]));
            let value = String::from_utf8_lossy(take(value_size)).into_owned();
            self.fields.push((name, value));
        }
        self.body = payload[position..].to_vec();
    }
}

/// The sidecar's side of a connection to the server.
#[derive(Debug)]
pub struct FakeSidecar(
    /// The connection.
    pub TcpStream,
);

impl FakeSidecar {
    /// Connects to a server.
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        Ok(FakeSidecar(stream))
    }

    /// Sends one frame.
    pub fn send(
        &mut self,
        kind: u8,
        stream: u32,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.0
            .write_all(&encode_frame(kind, stream, &encode_payload(fields, body)))
    }

    /// Receives the next frame; fails at the end of the connection.
    pub fn receive(&mut self) -> io::Result<ReceivedFrame> {
        let mut head = [0; FRAME_HEAD_BYTES];
        self.0.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut payload = vec![0; length - COUNTED_HEAD_BYTES];
        self.0.read_exact(&mut payload)?;
        let mut received = ReceivedFrame {
            kind: head[4],
            stream: u32::from_be_bytes([head[5], head[6], head[7], head[8]]),
            code: 0,
            fields: Vec::new(),
            body: Vec::new(),
        };
        if !payload.is_empty() {
            received.decode_payload(&payload);
        }
        Ok(received)
    }
}
