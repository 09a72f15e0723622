//! A request as a sidecar sends it: fields by name, then the body.
use super::{read_fields, Fields, NameTable, StreamId};
use crate::protocol::{RequestError, WireId};
use cottondyke_types::{HandlerId, TenantId};

/// Bytes of a request's body.
const MAX_BODY_BYTES: usize = 2_048;
/// Memory that no request needs, in kilobytes.
const MAX_MEMORY_KB: f64 = 2_000.0;
/// Work that no request is meant to be: this many times the longest client timeout, on one core.
const MAX_COST_PER_TIMEOUT: f64 = 4.0;
/// The wait that no caller means: this many times the longest client timeout.
const MAX_WAIT_PER_TIMEOUT: f64 = 4.0;

/// A request that can be run.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// To be answered on this stream.
    pub stream: StreamId,
    /// Its id, which no other request that is in flight may bear.
    pub id: WireId,
    /// What is asked for.
    pub handler: HandlerId,
    /// For whom; none where the settings name no tenants.
    pub tenant: Option<TenantId>,
    /// When it reached the machine, in Unix milliseconds.
    pub arrived_unix_ms: u64,
    /// Whether its caller says that it is a retry.
    pub is_retry: bool,
    /// How long its caller still waited when it reached the machine, in milliseconds, where callers tell that.
    pub client_wait_ms: Option<f64>,
    /// Expected work in milliseconds.
    pub cost_hint_ms: Option<f64>,
    /// Expected memory in kilobytes.
    pub memory_kb: f64,
    /// What repeats share: the idempotency key of a keyed request, or what a read is about.
    pub idempotency_key: Option<Box<str>>,
    /// What the run is given.
    pub body: Vec<u8>,
}

pub(super) fn decode(
    names: &NameTable,
    stream: StreamId,
    payload: &[u8],
) -> Result<Request, RequestError> {
    let (fields, body) = read_fields(payload)?;
    let fields = RequestFields(fields);
    let handler = fields.handler(names)?;
    let tenant = fields.tenant(names)?;
    let id = fields.required("id")?;
    let arrived = fields.required("at")?;
    let sender = fields.required("from")?;
    sender
        .parse::<u64>()
        .map_err(|_| RequestError::NotANumber("from"))?;
    let is_retry = fields.is_retry()?;
    let memory_kb = fields.memory_kb()?;
    fields.check_rank()?;
    let longest = names.max_client_timeout_ms;
    let cost = fields.number_up_to("cost", longest * MAX_COST_PER_TIMEOUT)?;
    let client_wait_ms = fields.number_up_to("wait", longest * MAX_WAIT_PER_TIMEOUT)?;
    let idempotency_key = match fields.optional("once")? {
        None => fields.optional("key")?,
        once => once,
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

/// The fields of one request. Those that it does not know are passed over.
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

    fn handler(&self, names: &NameTable) -> Result<HandlerId, RequestError> {
        let class = self.required("class")?;
        let place = names.handlers.iter().position(|name| name == class);
        place.map(HandlerId).ok_or(RequestError::UnknownHandler)
    }

    fn tenant(&self, names: &NameTable) -> Result<Option<TenantId>, RequestError> {
        let Some(tenant) = self.optional("tenant")? else {
            return match names.tenants.is_empty() {
                true => Ok(None),
                false => Err(RequestError::Missing("tenant")),
            };
        };
        let place = names.tenants.iter().position(|name| name == tenant);
        let place = place.ok_or(RequestError::UnknownTenant)?;
        Ok(Some(TenantId(place)))
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

    /// The rank is checked and not used.
    fn check_rank(&self) -> Result<(), RequestError> {
        match self.number("rank")? {
            Some(rank) if rank >= 1.0 => Err(RequestError::OutOfBounds("rank")),
            _ => Ok(()),
        }
    }
}
