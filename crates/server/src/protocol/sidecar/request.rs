//! Decodes a request from a sidecar: named fields, then the body.
use super::{read_fields, DecoderSettings, Fields, StreamId};
use crate::protocol::{RequestError, WireId};
use cottondyke_types::{HandlerId, TenantId};
use std::rc::Rc;

/// Maximum size of a request's body.
const MAX_BODY_BYTES: usize = 2_048;
/// Exclusive upper bound of a request's memory, in kilobytes; no request needs as much.
const MAX_MEMORY_KB: f64 = 2_000.0;
/// Maximum expected work of a request on one core, as a multiple of the longest client timeout; no request is meant to
/// need more.
const MAX_COST_PER_TIMEOUT: f64 = 4.0;
/// Maximum remaining wait of a caller, as a multiple of the longest client timeout; no caller means to wait longer.
const MAX_WAIT_PER_TIMEOUT: f64 = 4.0;

/// A valid request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The stream to answer on.
    pub stream: StreamId,
    /// Its id, unique among the requests in flight.
    pub id: WireId,
    /// The requested handler.
    pub handler: HandlerId,
    /// The tenant; `None` if the settings define no tenants.
    pub tenant: Option<TenantId>,
    /// When it reached the machine, in milliseconds since the Unix epoch, as the sidecar sent it (field `at`). The
    /// clock that it comes from may differ from this machine's.
    pub arrived_unix_ms: u64,
    /// Whether the caller marked it as a retry.
    pub is_retry: bool,
    /// How much longer the caller was going to wait at `arrived_unix_ms`, in milliseconds, if callers send that.
    pub client_wait_ms: Option<f64>,
    /// Expected work in milliseconds, if the caller sent it.
    pub cost_hint_ms: Option<f64>,
    /// Expected memory in kilobytes.
    pub memory_kb: f64,
    /// A key that equivalent requests share: the idempotency key of a keyed request, or the key of a read.
    pub idempotency_key: Option<Rc<str>>,
    /// The input of the run.
    pub body: Vec<u8>,
}

pub(super) fn decode(
    settings: &DecoderSettings,
    stream: StreamId,
    payload: &[u8],
) -> Result<Request, RequestError> {
    let (fields, body) = read_fields(payload)?;
    let fields = RequestFields(fields);
    let handler = fields.handler(settings)?;
    let tenant = fields.tenant(settings)?;
    let id = fields.required("id")?;
    let arrived = fields.required("at")?;
    // The sender must be a number, but is not used.
    let sender = fields.required("from")?;
    sender
        .parse::<u64>()
        .map_err(|_| RequestError::NotANumber("from"))?;
    let is_retry = fields.is_retry()?;
    let memory_kb = fields.memory_kb()?;
    fields.check_rank()?;
    let max_timeout_ms = settings.max_client_timeout_ms;
    let cost = fields.number_up_to("cost", max_timeout_ms * MAX_COST_PER_TIMEOUT)?;
    let client_wait_ms = fields.number_up_to("wait", max_timeout_ms * MAX_WAIT_PER_TIMEOUT)?;
    let idempotency_key = match fields.optional("once")? {
        None => fields.optional("key")?,
        key => key,
    };
    if body.len() > MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLong);
    }
    Ok(Request {
        stream,
        id: WireId::new(id).ok_or(RequestError::InvalidId)?,
        handler,
        tenant,
        arrived_unix_ms: arrived
            .parse()
            .map_err(|_| RequestError::NotANumber("at"))?,
        is_retry,
        client_wait_ms,
        cost_hint_ms: cost.filter(|ms| *ms > 0.0),
        memory_kb,
        idempotency_key: idempotency_key.map(Into::into),
        body: body.to_vec(),
    })
}

/// The fields of one request. Unknown fields are ignored.
struct RequestFields<'a>(Fields<'a>);

impl<'a> RequestFields<'a> {
    fn optional(&self, name: &'static str) -> Result<Option<&'a str>, RequestError> {
        let mut found = self.0.iter().filter(|field| field.0 == name);
        let first = found.next().map(|field| field.1);
        match found.next() {
            Some(_) => Err(RequestError::Repeated(name)),
            None => Ok(first),
        }
    }

    fn required(&self, name: &'static str) -> Result<&'a str, RequestError> {
        self.optional(name)?.ok_or(RequestError::Missing(name))
    }

    fn number(&self, name: &'static str) -> Result<Option<f64>, RequestError> {
        let parse = |text: &str| {
            text.parse::<f64>()
                .ok()
                .filter(|number| number.is_finite() && *number >= 0.0)
                .ok_or(RequestError::NotANumber(name))
        };
        self.optional(name)?.map(parse).transpose()
    }

    fn number_up_to(&self, name: &'static str, max: f64) -> Result<Option<f64>, RequestError> {
        let number = self.number(name)?;
        if number.is_some_and(|number| number > max) {
            return Err(RequestError::OutOfBounds(name));
        }
        Ok(number)
    }

    fn handler(&self, settings: &DecoderSettings) -> Result<HandlerId, RequestError> {
        let class = self.required("class")?;
        let index = settings.handlers.iter().position(|name| name == class);
        index.map(HandlerId).ok_or(RequestError::UnknownHandler)
    }

    fn tenant(&self, settings: &DecoderSettings) -> Result<Option<TenantId>, RequestError> {
        let Some(tenant) = self.optional("tenant")? else {
            return match settings.tenants.is_empty() {
                true => Ok(None),
                false => Err(RequestError::Missing("tenant")),
            };
        };
        let index = settings.tenants.iter().position(|name| name == tenant);
        let index = index.ok_or(RequestError::UnknownTenant)?;
        Ok(Some(TenantId(index)))
    }

    fn is_retry(&self) -> Result<bool, RequestError> {
        match self.optional("retry")? {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(_) => Err(RequestError::InvalidRetry),
        }
    }

    fn memory_kb(&self) -> Result<f64, RequestError> {
        let kb = self.number("kb")?.ok_or(RequestError::Missing("kb"))?;
        if kb <= 0.0 || kb >= MAX_MEMORY_KB {
            return Err(RequestError::OutOfBounds("kb"));
        }
        Ok(kb)
    }

    /// Validates the rank, which is not used otherwise.
    fn check_rank(&self) -> Result<(), RequestError> {
        match self.number("rank")? {
            Some(rank) if rank >= 1.0 => Err(RequestError::OutOfBounds("rank")),
            _ => Ok(()),
        }
    }
}
