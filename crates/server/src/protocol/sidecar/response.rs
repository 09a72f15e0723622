//! What the server says to a sidecar.
use super::{StreamId, GO_AWAY, HEALTH_STATUS, LENGTH_BYTES, RESPONSE};
use std::rc::Rc;

/// Codes of a response.
const COMPLETED: u8 = 1;
const REJECTED: u8 = 0;
const FAILED: u8 = 9;
/// Codes of a health status.
const HEALTHY: u8 = 1;
const UNHEALTHY: u8 = 0;

/// What a run brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunOutput {
    /// The response's body.
    pub body: Vec<u8>,
    /// The parts that do not come from their primary source, by name and joined by commas; none where all do.
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

    /// The memory that it takes where it is retained, in bytes.
    pub fn size(&self) -> usize {
        self.body.len() + self.partial.as_ref().map_or(0, |names| names.len())
    }
}

/// A frame to a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The request was run.
    Completed(StreamId, RunOutput),
    /// The request was not admitted, or was shed before it ran.
    Rejected {
        /// The request's stream.
        stream: StreamId,
        /// When a retry is welcome, in milliseconds; 0 says nothing.
        retry_after_ms: f64,
        /// Whether no retry is welcome.
        do_not_retry: bool,
    },
    /// The request cannot be answered.
    Failed(StreamId),
    /// The answer to a health check.
    HealthStatus {
        /// The check's stream.
        stream: StreamId,
        /// Whether the server is ready.
        healthy: bool,
    },
    /// An error that belongs to no request; the connection ends after it.
    ConnectionError(&'static str),
    /// The sidecar is to send no more requests on this connection.
    GoAway,
}

impl Response {
    /// Whether it is the final answer to a request.
    pub fn settles_request(&self) -> bool {
        matches!(
            self,
            Response::Completed(..) | Response::Rejected { .. } | Response::Failed(_)
        )
    }

    /// Whether it answers something that came, be it a request or a health check.
    pub fn is_answer(&self) -> bool {
        self.settles_request() || matches!(self, Response::HealthStatus { .. })
    }

    /// Appends the frame; `advice` is the load advice from this answer on.
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

    /// None for a frame without a payload.
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
