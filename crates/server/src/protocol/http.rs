//! The client side of HTTP/1.1 (RFC 9112), for one request and one response. Bytes after the response are not decoded.
use super::{ProtocolError, ReadBuffer};

const MAX_HEAD_BYTES: usize = 16_384;
const MAX_BODY_BYTES: usize = 262_144;
const LINE_END: &[u8] = b"\r\n";

/// Appends an encoded request with a body. Header names and values must not contain line ends.
pub fn encode_request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    to: &mut Vec<u8>,
) {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    to.extend(head.as_bytes());
    to.extend(body);
}

/// A final response, that is, not an interim one (1xx).
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Whether the service reports that the call was not executed (header `Op-Not-Begun`).
    pub not_executed: bool,
    /// Whether the service closes the connection after this response.
    pub close: bool,
    /// The body; only the body of a 200 is decoded.
    pub body: Vec<u8>,
}

/// How the length of the body is given.
#[derive(Debug, Clone, Copy, PartialEq)]
enum BodyLength {
    Sized(usize),
    Chunked,
}

/// Decodes one response.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: ReadBuffer,
    /// The decoded head of a response whose body is not complete yet.
    head: Option<(Response, BodyLength)>,
}

impl Decoder {
    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.feed(bytes);
    }

    /// Whether everything that was read has been decoded.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The response, once it is complete.
    pub fn next_response(&mut self) -> Result<Option<Response>, ProtocolError> {
        while self.head.is_none() {
            let rest = self.buffer.rest();
            let Some(end) = head_end(rest) else {
                if rest.len() > MAX_HEAD_BYTES {
                    return Err(ProtocolError::HeadTooLong);
                }
                return Ok(None);
            };
            let head = parse_head(&rest[..end])?;
            self.buffer.consume(end);
            // Interim responses (1xx) are skipped.
            self.head = Some(head).filter(|(response, _)| response.status >= 200);
        }
        let Some((mut response, body)) = self.head.take() else {
            return Ok(None);
        };
        match body {
            BodyLength::Sized(length) if self.buffer.rest().len() >= length => {
                response.body = self.buffer.rest()[..length].to_vec();
                self.buffer.consume(length);
                return Ok(Some(response));
            }
            BodyLength::Chunked if self.take_chunks(&mut response.body)? => {
                return Ok(Some(response))
            }
            _ if self.buffer.rest().len() > MAX_BODY_BYTES => {
                return Err(ProtocolError::BodyTooLong)
            }
            _ => {}
        }
        self.head = Some((response, body));
        Ok(None)
    }

    /// Appends the data of complete chunks to `to`; returns true after the last chunk.
    fn take_chunks(&mut self, to: &mut Vec<u8>) -> Result<bool, ProtocolError> {
        loop {
            let Some((line, line_end)) = self.buffer.line() else {
                if self.buffer.rest().len() > MAX_HEAD_BYTES {
                    return Err(ProtocolError::ChunkWithoutSize);
                }
                return Ok(false);
            };
            let size = chunk_size(line)
                .filter(|size| *size <= MAX_BODY_BYTES - to.len())
                .ok_or(ProtocolError::ChunkSize)?;
            if size == 0 {
                return Ok(self.take_trailer(line_end));
            }
            let chunk_end = line_end + size + LINE_END.len();
            let Some(chunk) = self.buffer.rest().get(line_end..chunk_end) else {
                return Ok(false);
            };
            let chunk = chunk
                .strip_suffix(LINE_END)
                .ok_or(ProtocolError::UnterminatedChunk)?;
            to.extend(chunk);
            self.buffer.consume(chunk_end);
        }
    }

    /// Consumes the last chunk, whose line ends at `line_end`, and the trailer section; returns false until all of it
    /// has been read.
    fn take_trailer(&mut self, line_end: usize) -> bool {
        let trailer = &self.buffer.rest()[line_end..];
        let length = if trailer.starts_with(LINE_END) {
            Some(LINE_END.len())
        } else {
            head_end(trailer)
        };
        if let Some(length) = length {
            self.buffer.consume(line_end + length);
        }
        length.is_some()
    }
}

fn chunk_size(line: &[u8]) -> Option<usize> {
    let line = std::str::from_utf8(line).ok()?;
    let size = line.split(';').next()?;
    usize::from_str_radix(size.trim(), 16).ok()
}

fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|at| at + 4)
}

fn parse_head(bytes: &[u8]) -> Result<(Response, BodyLength), ProtocolError> {
    let text = std::str::from_utf8(bytes).map_err(|_| ProtocolError::HeadNotText)?;
    let mut lines = text.split("\r\n");
    let mut first = lines.next().unwrap_or_default().splitn(3, ' ');
    let version = first
        .next()
        .filter(|version| version.starts_with("HTTP/1."))
        .ok_or(ProtocolError::NotHttp1)?;
    let status = parse_status(first.next()).ok_or(ProtocolError::MissingStatus)?;
    let has_body = status == 200;
    let mut response = Response {
        status,
        not_executed: false,
        close: version == "HTTP/1.0",
        body: Vec::new(),
    };
    let mut length = (!has_body).then_some(BodyLength::Sized(0));
    for line in lines.filter(|line| !line.is_empty()) {
        let (name, value) = line
            .split_once(':')
            .ok_or(ProtocolError::HeaderWithoutColon)?;
        let (name, value) = (name.to_ascii_lowercase(), value.trim());
        match name.as_str() {
            "content-length" if has_body && length != Some(BodyLength::Chunked) => {
                length = Some(content_length(value, length)?);
            }
            "transfer-encoding" if has_body => length = Some(transfer_encoding(value)?),
            "connection" => response.close |= has_close_option(value),
            "op-not-begun" => response.not_executed = value == "1",
            _ => {}
        }
    }
    // A body without a length would end with the connection and could have been truncated: it is rejected.
    let length = length.ok_or(ProtocolError::BodyWithoutLength)?;
    Ok((response, length))
}

fn parse_status(word: Option<&str>) -> Option<u16> {
    let status = word.filter(|word| word.len() == 3)?.parse::<u16>().ok()?;
    (100..600).contains(&status).then_some(status)
}

fn content_length(value: &str, earlier: Option<BodyLength>) -> Result<BodyLength, ProtocolError> {
    let is_number = value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value
        .parse()
        .ok()
        .filter(|length| is_number && *length <= MAX_BODY_BYTES)
        .ok_or(ProtocolError::ContentLength)?;
    match earlier {
        Some(BodyLength::Sized(other)) if other != length => Err(ProtocolError::ConflictingLengths),
        _ => Ok(BodyLength::Sized(length)),
    }
}

fn transfer_encoding(value: &str) -> Result<BodyLength, ProtocolError> {
    if value.eq_ignore_ascii_case("chunked") {
        Ok(BodyLength::Chunked)
    } else {
        Err(ProtocolError::UnknownEncoding)
    }
}

fn has_close_option(connection: &str) -> bool {
    connection
        .split(',')
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
