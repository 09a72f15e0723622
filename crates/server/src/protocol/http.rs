//! HTTP/1.1 as a client speaks it: one request, one reply. What follows the reply is never read.
use super::{ProtocolError, ReadBuffer};

const MOST_HEAD: usize = 16_384;
const MOST_BODY: usize = 262_144;

/// Appends a request with a body. Names and values hold no line ends.
pub fn request(
    verb: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    to: &mut Vec<u8>,
) {
    let mut head = format!("{verb} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    to.extend(head.as_bytes());
    to.extend(body);
}

#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    pub status: u16,
    /// The service says that the call never ran.
    pub not_begun: bool,
    /// The service closes the connection after it.
    pub close: bool,
    /// Only a 200 has one that counts.
    pub body: Vec<u8>,
}

/// Where the body stands.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Body {
    Sized(usize),
    Chunked,
}

#[derive(Debug, Default)]
pub struct Decoder {
    pending: ReadBuffer,
    head: Option<(Response, Body)>,
}

impl Decoder {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.pending.feed(bytes);
    }

    /// Whether nothing more has come than was decoded.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The reply, once it has come whole.
    pub fn reply(&mut self) -> Result<Option<Response>, ProtocolError> {
        while self.head.is_none() {
            let rest = self.pending.rest();
            let Some(end) = head_end(rest) else {
                let long = rest.len() > MOST_HEAD;
                return if long {
                    Err(ProtocolError("a head without an end"))
                } else {
                    Ok(None)
                };
            };
            let head = head(&rest[..end])?;
            self.pending.take(end);
            // A reply before the reply says nothing.
            self.head = Some(head).filter(|(reply, _)| reply.status >= 200);
        }
        let Some((mut reply, body)) = self.head.take() else {
            return Ok(None);
        };
        match body {
            Body::Sized(length) if self.pending.rest().len() >= length => {
                reply.body = self.pending.rest()[..length].to_vec();
                self.pending.take(length);
                return Ok(Some(reply));
            }
            Body::Chunked if self.chunks(&mut reply.body)? => return Ok(Some(reply)),
            _ if self.pending.rest().len() > MOST_BODY => {
                return Err(ProtocolError("a body is too long"))
            }
            _ => {}
        }
        self.head = Some((reply, body));
        Ok(None)
    }

    /// Moves whole chunks over; true after the last.
    fn chunks(&mut self, to: &mut Vec<u8>) -> Result<bool, ProtocolError> {
        loop {
            let Some((line, end)) = self.pending.line() else {
                let long = self.pending.rest().len() > MOST_HEAD;
                return if long {
                    Err(ProtocolError("a chunk without a size"))
                } else {
                    Ok(false)
                };
            };
            let size = std::str::from_utf8(line)
                .ok()
                .and_then(|l| l.split(';').next());
            let size = size.and_then(|s| usize::from_str_radix(s.trim(), 16).ok());
            let size = size
                .filter(|s| *s <= MOST_BODY - to.len())
                .ok_or(ProtocolError("a chunk's size"))?;
            if size == 0 {
                let trailer = &self.pending.rest()[end..];
                let done = trailer
                    .starts_with(b"\r\n")
                    .then_some(2)
                    .or_else(|| head_end(trailer));
                if let Some(length) = done {
                    self.pending.take(end + length);
                }
                return Ok(done.is_some());
            }
            let Some(chunk) = self.pending.rest().get(end..end + size + 2) else {
                return Ok(false);
            };
            to.extend(
                chunk
                    .strip_suffix(b"\r\n")
                    .ok_or(ProtocolError("a chunk without its end"))?,
            );
            self.pending.take(end + size + 2);
        }
    }
}

fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4)
}

fn head(bytes: &[u8]) -> Result<(Response, Body), ProtocolError> {
    let text = std::str::from_utf8(bytes).map_err(|_| ProtocolError("a head is not text"))?;
    let mut lines = text.split("\r\n");
    let mut first = lines.next().unwrap_or_default().splitn(3, ' ');
    let version = first
        .next()
        .filter(|v| v.starts_with("HTTP/1."))
        .ok_or(ProtocolError("not HTTP/1"))?;
    let mut close = version == "HTTP/1.0";
    let status = first
        .next()
        .filter(|s| s.len() == 3)
        .and_then(|s| s.parse::<u16>().ok());
    let status = status
        .filter(|s| (100..600).contains(s))
        .ok_or(ProtocolError("no status"))?;
    let mut body = (status != 200).then_some(Body::Sized(0));
    let (bodiless, mut not_begun) = (body.is_some(), false);
    for line in lines.filter(|l| !l.is_empty()) {
        let (name, value) = line
            .split_once(':')
            .ok_or(ProtocolError("a header without a colon"))?;
        let (name, value) = (name.to_ascii_lowercase(), value.trim());
        match name.as_str() {
            "content-length" if body != Some(Body::Chunked) && !bodiless => {
                let digits = value.bytes().all(|b| b.is_ascii_digit());
                let length = value.parse().ok().filter(|l| digits && *l <= MOST_BODY);
                let length = length.ok_or(ProtocolError("a length"))?;
                if matches!(body, Some(Body::Sized(other)) if other != length) {
                    return Err(ProtocolError("two lengths"));
                }
                body = Some(Body::Sized(length));
            }
            "transfer-encoding" if !bodiless => {
                let chunked = value.eq_ignore_ascii_case("chunked");
                body = if chunked {
                    Some(Body::Chunked)
                } else {
                    Err(ProtocolError("an unknown encoding"))?
                };
            }
            "connection" => {
                close |= value
                    .split(',')
                    .any(|v| v.trim().eq_ignore_ascii_case("close"))
            }
            "op-not-begun" => not_begun = value == "1",
            _ => {}
        }
    }
    // One that ends with its connection may have been cut short: it is not believed.
    let body = body.ok_or(ProtocolError("a body without a length"))?;
    Ok((
        Response {
            status,
            not_begun,
            close,
            body: Vec::new(),
        },
        body,
    ))
}
