//! Dispatches a caller's request by path and resolves its caller, class and deadline.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage as _, Method, Payload, Request, Response, StatusCode};
use agate_model::class::Class;
use agate_model::id::ClassId;
use agate_model::refusal::Reason;
use agate_model::route::{Access, Route};
use tokio::time::Instant;

use super::auth::{self, Secret};
use super::body::{self, Tracked};
use super::reply::{self, Reply};
use super::{address, completion, plain};
use crate::activity::Phase;
use crate::config::View;
use crate::gate::{Gate, random_id};
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Caller;

/// Header with the class that the caller requests in place of the route's class.
pub const CLASS_HEADER: &str = "x-agate-class";
/// Header with the caller's own deadline, in milliseconds from the arrival of the request.
pub const DEADLINE_HEADER: &str = "x-agate-deadline-ms";

/// Request head with the key that the caller presented and the unread body.
pub struct Call {
    /// Random request id, which the response and log lines carry.
    pub id: String,
    /// Time at which the request head was received; deadlines and latencies count from here.
    pub arrival: Instant,
    /// HTTP method, which is passed on to plain services.
    pub method: Method,
    /// Path without the query, with percent escapes as sent.
    pub path: String,
    /// Path and query as the caller sent them.
    pub target: String,
    /// All headers that the caller sent, including those that are not passed on.
    pub headers: HeaderMap,
    /// Body, which has not been read yet.
    pub payload: Payload,
    /// Key that the caller presented; `None` without one. It has not been checked yet.
    pub secret: Option<Secret>,
}

/// Handles one request of a caller. Nothing is admitted once the gate enters [`Phase::Ending`].
pub async fn handle(gate: Rc<Gate>, mut request: Request) -> Response<BoxBody> {
    let id = random_id();
    let is_ending = gate.activity.phase() >= Phase::Ending;
    let dispatched = tokio::select! {
        biased;
        refusal = async { refuse_late() }, if is_ending => Err(refusal),
        dispatched = dispatch(&gate, &id, &mut request) => dispatched,
        () = gate.activity.reached(Phase::Ending) => Err(end()),
    };
    let reply = match dispatched {
        Ok(reply) => reply,
        Err(refusal) => refuse(&gate, &id, &refusal).into(),
    };
    let Reply {
        mut response,
        on_delivered,
    } = reply;
    reply::set_request_id(&mut response, &id);
    response.map_body(|_, body| BoxBody::new(Tracked::new(body, (), on_delivered)))
}

/// Returns the refusal of a request that was received too late to be sent to an endpoint.
fn refuse_late() -> Refusal {
    Progress::received(false).refuse(body::late())
}

/// Returns the refusal of a request that has no response when the process ends.
fn end() -> Refusal {
    let message = "the host shuts down before the endpoint has answered";
    Refusal::given_up(Denial::new(Reason::EndpointTimeout, message))
}

/// Counts and logs a refusal and builds its response. The path and the message stay out of the log,
/// because they may contain text from the caller, such as a key.
fn refuse(gate: &Gate, id: &str, refusal: &Refusal) -> Response<BoxBody> {
    gate.metrics.refused(refusal.reason());
    tracing::info!(
        event = "refused",
        request = id,
        reason = refusal.reason().code(),
        execution = refusal.execution().as_str(),
    );
    refusal.response(id)
}

/// Passes the request to the handler of its path. Paths without a handler go to plain services.
async fn dispatch(gate: &Rc<Gate>, id: &str, request: &mut Request) -> Result<Reply, Refusal> {
    let call = match parse_head(id, request) {
        Ok(call) => call,
        Err(denial) => return Err(Progress::received(false).refuse(denial)),
    };
    let path = call.path.clone();
    match (path.as_str(), &call.method) {
        ("/healthz", _) => Ok(reply::text(StatusCode::OK, "ok\n").into()),
        ("/readyz", _) => Ok(address::readiness(gate).into()),
        ("/v1/addresses", &Method::GET) => Ok(address::addresses(gate).into()),
        ("/v1/models", &Method::GET) => match completion::models(gate, &call) {
            Ok(response) => Ok(response.into()),
            Err(denial) => Err(Progress::received(false).refuse(denial)),
        },
        ("/v1/chat/completions", &Method::POST) => completion::run(gate, call).await,
        _ => plain::run(gate, call).await,
    }
}

/// Returns the call that a request head describes.
fn parse_head(id: &str, request: &mut Request) -> Result<Call, Denial> {
    let arrival = Instant::now();
    let secret = auth::presented_key(request.head())?;
    let target = request
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    Ok(Call {
        id: id.to_owned(),
        arrival,
        method: request.method().clone(),
        path: request.path().to_owned(),
        target: target.to_owned(),
        headers: request.headers().clone(),
        payload: request.take_payload(),
        secret,
    })
}

impl Call {
    /// Returns the account of the presented key, or a denial if the key is missing or invalid.
    pub fn authorize(&self, gate: &Gate) -> Result<Caller, Denial> {
        match &self.secret {
            Some(secret) => gate.authorize(&secret.digest()),
            None => Err(Denial::new(
                Reason::KeyMissing,
                "show a key in the Authorization header",
            )),
        }
    }

    /// Returns the caller of a request on `route`; `None` if the route is open to all.
    pub fn caller(&self, gate: &Gate, route: &Route) -> Result<Option<Caller>, Denial> {
        match route.access {
            Access::Open => Ok(None),
            Access::Keyed => self.authorize(gate).map(Some),
        }
    }

    /// Returns the class of a request on `route`: the one in [`CLASS_HEADER`] if the account may
    /// use it, and the route's class without that header.
    pub fn class(
        &self,
        view: &View,
        route: &Route,
        caller: Option<&Caller>,
    ) -> Result<Class, Denial> {
        let id = match self.header(CLASS_HEADER)? {
            Some(name) => allowed_class(view, route, caller, name)?,
            None => route.class.clone(),
        };
        let unknown = || Denial::new(Reason::NoEndpoint, format!("class {id:?} is not declared"));
        view.snapshot.class(&id).cloned().ok_or_else(unknown)
    }

    /// Returns the deadline of the request: the earlier of its class's and the caller's own.
    pub fn deadline(&self, class: &Class) -> Result<Instant, Denial> {
        let class_deadline = self.arrival + class.target.deadline;
        let Some(text) = self.header(DEADLINE_HEADER)? else {
            return Ok(class_deadline);
        };
        let malformed = |_| {
            let message = format!("{DEADLINE_HEADER} is not a number of milliseconds");
            Denial::new(Reason::BadRequest, message)
        };
        let millis: u32 = text.parse().map_err(malformed)?;
        let requested = self.arrival + std::time::Duration::from_millis(millis.into());
        Ok(class_deadline.min(requested))
    }

    /// Returns the first value of a header as text, or `None` without the header. Bytes other than
    /// visible ASCII are refused.
    pub fn header(&self, name: &str) -> Result<Option<&str>, Denial> {
        let Some(value) = self.headers.get(name) else {
            return Ok(None);
        };
        let malformed = |_| Denial::new(Reason::BadRequest, format!("{name} is not text"));
        value.to_str().map(Some).map_err(malformed)
    }

    /// Refuses a request that would pass the caller's key on to an endpoint.
    pub fn check_key_leak(&self, headers: &HeaderMap, body: &[u8]) -> Result<(), Denial> {
        let Some(secret) = &self.secret else {
            return Ok(());
        };
        let decoded = auth::percent_decode(&self.target);
        if secret.occurs_in(self.target.as_bytes()) || secret.occurs_in(decoded.as_bytes()) {
            return Err(auth::misplaced_key("the path or query"));
        }
        if headers
            .iter()
            .any(|(_, value)| secret.occurs_in(value.as_bytes()))
        {
            return Err(auth::misplaced_key("a header that is passed on"));
        }
        if secret.occurs_in(body) {
            return Err(auth::misplaced_key("the body"));
        }
        Ok(())
    }
}

/// Returns the class `name` if it is the route's class or the caller's account lists it.
fn allowed_class(
    view: &View,
    route: &Route,
    caller: Option<&Caller>,
    name: &str,
) -> Result<ClassId, Denial> {
    if name == route.class {
        return Ok(name.to_owned());
    }
    let account = caller.and_then(|caller| view.snapshot.account(&caller.account));
    let allowed = account.is_some_and(|account| account.classes.iter().any(|class| class == name));
    if allowed {
        return Ok(name.to_owned());
    }
    let message = format!("the account may not use class {name:?}");
    Err(Denial::new(Reason::ClassForbidden, message))
}
