//! Why bytes of a peer cannot be decoded any further, and why a request that was decoded cannot be run.

/// Bytes that break a protocol, or a connection that breaks its rules. After it nothing more is decoded from that
/// connection. The text goes to the peer and to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum ProtocolError {
    /// Sidecar: a length that no frame has.
    FrameLength,
    /// Sidecar: stream 0 belongs to no request.
    RequestOnStreamZero,
    /// Sidecar: a kind of frame that this version does not know.
    UnknownFrameKind,
    /// Sidecar: each stream number is used once in a connection.
    StreamReused,
    /// Sidecar: the fields of a frame.
    Fields(#[source] FieldError),
    /// Sidecar: a frame took too long from its first byte to its last.
    FrameTimeout,
    /// Sidecar: the connection ended within a frame.
    EndedInFrame,
    /// Sidecar: incomplete frames of all connections together take too much memory.
    FrameBufferFull,
    /// Engine: a line longer than any message.
    LineTooLong,
    /// Engine: a line that is not UTF-8.
    LineNotText,
    /// Engine: a message with a body that does not say its length.
    MissingBodyLength,
    /// Engine or HTTP: a body longer than the limit.
    BodyTooLong,
    /// Engine: no line end where the body should end.
    UnterminatedBody,
    /// Engine: a message whose parts cannot be read.
    UnreadableMessage,
    /// HTTP: a head longer than the limit.
    HeadTooLong,
    /// HTTP: a head that is not UTF-8.
    HeadNotText,
    /// HTTP: another protocol or version.
    NotHttp1,
    /// HTTP: no status of three digits.
    MissingStatus,
    /// HTTP: a header line without a colon.
    HeaderWithoutColon,
    /// HTTP: a `Content-Length` that is no number or over the limit.
    ContentLength,
    /// HTTP: two lengths that differ.
    ConflictingLengths,
    /// HTTP: a transfer encoding other than `chunked`.
    UnknownEncoding,
    /// HTTP: a body that ends with its connection, which may have been cut short.
    BodyWithoutLength,
    /// HTTP: a chunk without a size line.
    ChunkWithoutSize,
    /// HTTP: a chunk's size that cannot be read or is over the limit.
    ChunkSize,
    /// HTTP: no line end after a chunk.
    UnterminatedChunk,
    /// Peers: a length that no message has.
    PeerFrameLength,
    /// Peers: the tag of another kind of frame.
    UnknownPeerFrame,
}

impl ProtocolError {
    /// The text that the peer and the log are given.
    pub fn message(self) -> &'static str {
        match self {
            ProtocolError::FrameLength => "a frame's length is out of bounds",
            ProtocolError::RequestOnStreamZero => "a req on stream 0",
            ProtocolError::UnknownFrameKind => "a frame of unknown type",
            ProtocolError::StreamReused => "a stream number used twice",
            ProtocolError::Fields(error) => error.message(),
            ProtocolError::FrameTimeout => "no whole frame in time",
            ProtocolError::EndedInFrame => "the connection ended in a frame",
            ProtocolError::FrameBufferFull => "too much lies here in unfinished frames",
            ProtocolError::LineTooLong => "a line without an end",
            ProtocolError::LineNotText => "a line is not text",
            ProtocolError::MissingBodyLength => "no length",
            ProtocolError::BodyTooLong => "a body is too long",
            ProtocolError::UnterminatedBody => "a body without its end",
            ProtocolError::UnreadableMessage => "a notice that cannot be read",
            ProtocolError::HeadTooLong => "a head without an end",
            ProtocolError::HeadNotText => "a head is not text",
            ProtocolError::NotHttp1 => "not HTTP/1",
            ProtocolError::MissingStatus => "no status",
            ProtocolError::HeaderWithoutColon => "a header without a colon",
            ProtocolError::ContentLength => "a length",
            ProtocolError::ConflictingLengths => "two lengths",
            ProtocolError::UnknownEncoding => "an unknown encoding",
            ProtocolError::BodyWithoutLength => "a body without a length",
            ProtocolError::ChunkWithoutSize => "a chunk without a size",
            ProtocolError::ChunkSize => "a chunk's size",
            ProtocolError::UnterminatedChunk => "a chunk without its end",
            ProtocolError::PeerFrameLength => "a frame of a length that no word has",
            ProtocolError::UnknownPeerFrame => "a frame that is no word",
        }
    }
}

/// Why the fields of a sidecar's frame cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum FieldError {
    /// The payload is empty.
    MissingCount,
    /// A name or value is longer than what is left of the frame.
    PastFrame,
    /// A name or value that is not UTF-8.
    NotText,
}

impl FieldError {
    /// The text that the peer and the log are given.
    pub fn message(self) -> &'static str {
        match self {
            FieldError::MissingCount => "a frame without its count of fields",
            FieldError::PastFrame => "a field reaches past its frame",
            FieldError::NotText => "a field is not text",
        }
    }
}

/// Why a request can be answered and not run. It costs that request only. Fields are named as on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Its fields cannot be told apart.
    #[error(transparent)]
    Fields(#[from] FieldError),
    /// A field that stands twice.
    #[error("{0} repeated")]
    Repeated(&'static str),
    /// A field that every request has.
    #[error("{0} missing")]
    Missing(&'static str),
    /// A field whose value is no finite number of at least zero.
    #[error("{0} is not a number")]
    NotANumber(&'static str),
    /// A number that no request can have.
    #[error("{0} is out of bounds")]
    OutOfBounds(&'static str),
    /// `class` names no handler of the settings.
    #[error("unknown handler")]
    UnknownHandler,
    /// `tenant` names no tenant of the settings.
    #[error("unknown customer")]
    UnknownTenant,
    /// `retry` is neither 0 nor 1.
    #[error("retry is not 1")]
    InvalidRetry,
    /// `id` is not 16 hexadecimal digits.
    #[error("id is not 16 hex digits")]
    InvalidId,
    /// The body is over the limit.
    #[error("the body is too long")]
    BodyTooLong,
}
