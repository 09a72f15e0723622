//! Encodes the frames that the server sends to a sidecar.
use super::{StreamId, GO_AWAY, HEALTH_STATUS, LENGTH_BYTES, RESPONSE};
use std::rc::Rc;

/// Result codes of a response.
const COMPLETED: u8 = 1;
const REJECTED: u8 = 0;
const FAILED: u8 = 9;
/// Result codes of a health status.
const HEALTHY: u8 = 1;
const UNHEALTHY: u8 = 0;

/// Space for the head and the fields of a frame.
const HEAD_CAPACITY: usize = 128;

/// The output of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunOutput {
    /// The response's body.
    pub body: Vec<u8>,
    /// The names of the parts that do not come from their primary source, joined by commas; `None` if all parts do.
    pub partial: Option<Rc<str>>,
}

impl RunOutput {
    /// An output without partial parts.
    pub fn complete(body: Vec<u8>) -> Self {
        RunOutput {
            body,
            partial: None,
        }
    }

    /// The memory that it takes when retained, in bytes.
    pub fn size(&self) -> usize {
        self.body.len() + self.partial.as_ref().map_or(0, |names| names.len())
    }
}

/// A frame to a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The request has run.
    Completed(StreamId, RunOutput),
    /// The request was not admitted, or was shed before it ran.
    Rejected {
        /// The request's stream.
        stream: StreamId,
        /// After how many milliseconds to retry; 0 if unspecified.
        retry_after_ms: f64,
        /// Whether the request should not be retried.
        do_not_retry: bool,
    },
    /// The request failed.
    Failed(StreamId),
    /// The answer to a health check.
    HealthStatus {
        /// The check's stream.
        stream: StreamId,
        /// Whether the server is ready.
        healthy: bool,
    },
    /// An error of the connection, which is closed once the requests in flight on it are answered.
    ConnectionError(&'static str),
    /// Asks the sidecar to send no more requests on this connection.
    GoAway,
}

impl Response {
    /// The stream of the request whose final response it is; `None` for any other frame.
    pub fn settled_stream(&self) -> Option<StreamId> {
        match self {
            Response::Completed(stream, _)
            | Response::Rejected { stream, .. }
            | Response::Failed(stream) => Some(*stream),
            _ => None,
        }
    }

    /// Whether it answers a request or a health check.
    pub fn is_answer(&self) -> bool {
        self.settled_stream().is_some() || matches!(self, Response::HealthStatus { .. })
    }

    /// The encoded frame; see [`Response::encode`].
    pub fn to_bytes(&self, advice: Option<f64>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.body().len() + HEAD_CAPACITY);
        self.encode(advice, &mut bytes);
        bytes
    }

    /// Appends the encoded frame. `advice` is the load advice, which tells the sidecar how much to send to this server
    /// from this response on, in the format that the settings select (`AdviceFormat`).
    pub fn encode(&self, advice: Option<f64>, to: &mut Vec<u8>) {
        let start = to.len();
        to.extend([0; LENGTH_BYTES]);
        let (kind, stream) = self.kind_and_stream();
        to.push(kind);
        to.extend(stream.to_be_bytes());
        if let Some(code) = self.code() {
            to.push(code);
            self.encode_fields(advice, to);
            to.extend(self.body());
        }
        let length = (to.len() - start - LENGTH_BYTES) as u32;
        to[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    }

    fn kind_and_stream(&self) -> (u8, u32) {
        match self {
            Response::Completed(stream, _)
            | Response::Rejected { stream, .. }
            | Response::Failed(stream) => (RESPONSE, stream.0),
            Response::HealthStatus { stream, .. } => (HEALTH_STATUS, stream.0),
            Response::ConnectionError(_) => (RESPONSE, 0),
            Response::GoAway => (GO_AWAY, 0),
        }
    }

    /// The result code; `None` for a frame without a payload.
    fn code(&self) -> Option<u8> {
        match self {
            Response::Completed(..) => Some(COMPLETED),
            Response::Rejected { .. } => Some(REJECTED),
            Response::Failed(_) | Response::ConnectionError(_) => Some(FAILED),
            Response::HealthStatus { healthy: true, .. } => Some(HEALTHY),
            Response::HealthStatus { healthy: false, .. } => Some(UNHEALTHY),
            Response::GoAway => None,
        }
    }

    fn body(&self) -> &[u8] {
        match self {
            Response::Completed(_, output) => &output.body,
            Response::ConnectionError(message) => message.as_bytes(),
            _ => &[],
        }
    }

    fn encode_fields(&self, advice: Option<f64>, to: &mut Vec<u8>) {
        let count_at = to.len();
        to.push(0);
        let mut put = |name: &str, value: &str| {
            to[count_at] += 1;
            to.push(name.len() as u8);
            to.extend(name.as_bytes());
            to.extend((value.len() as u16).to_be_bytes());
            to.extend(value.as_bytes());
        };
        if let Some(value) = advice {
            put("say", &value.to_string());
        }
        match self {
            Response::Completed(_, output) => {
                if let Some(names) = &output.partial {
                    put("partial", names);
                }
            }
            Response::Rejected {
                retry_after_ms,
                do_not_retry,
                ..
            } => {
                if *retry_after_ms > 0.0 {
                    put("after", &retry_after_ms.to_string());
                }
                if *do_not_retry {
                    put("last", "1");
                }
            }
            _ => {}
        }
    }
}
