//! From a request's path to what answers it.

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
use super::body::Tracked;
use super::reply::{self, Answer};
use super::{address, completion, plain};
use crate::config::View;
use crate::gate::{Gate, random_id};
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Caller;

/// Header with the class that the caller asks for.
pub const CLASS_HEADER: &str = "x-agate-class";
/// Header with the caller's own deadline, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "x-agate-deadline-ms";

/// A request and what is known of its caller.
pub struct Call {
    /// Identity.
    pub id: String,
    /// When its head was received.
    pub arrival: Instant,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Path and query.
    pub target: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body, not read yet.
    pub payload: Payload,
    /// Key that was shown.
    pub secret: Option<Secret>,
}

/// Answers one request.
pub async fn handle(gate: Rc<Gate>, mut request: Request) -> Response<BoxBody> {
    let guard = gate.activity.start_request();
    let id = random_id();
    let answer = match answer(&gate, &id, &mut request).await {
        Ok(answer) => answer,
        Err(refusal) => refuse(&gate, &id, &refusal).into(),
    };
    let Answer {
        mut response,
        delivered,
    } = answer;
    reply::identify(&mut response, &id);
    response.map_body(|_, body| BoxBody::new(Tracked::new(body, guard, delivered)))
}

/// Paths and messages may hold what the caller wrote, a key among it, and stay out of the log.
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

async fn answer(gate: &Rc<Gate>, id: &str, request: &mut Request) -> Result<Answer, Refusal> {
    let call = match open(id, request) {
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

fn open(id: &str, request: &mut Request) -> Result<Call, Denial> {
    let arrival = Instant::now();
    let secret = auth::shown(request.head())?;
    let target = request.uri().path_and_query().map_or("/", |it| it.as_str());
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
    /// Account of the key that was shown.
    pub fn authorize(&self, gate: &Gate) -> Result<Caller, Denial> {
        match &self.secret {
            Some(secret) => gate.authorize(&secret.digest()),
            None => Err(Denial::new(
                Reason::KeyMissing,
                "show a key in the Authorization header",
            )),
        }
    }

    /// Account for which a request on `route` runs; `None` if the route is open to all.
    pub fn caller(&self, gate: &Gate, route: &Route) -> Result<Option<Caller>, Denial> {
        match route.access {
            Access::Open => Ok(None),
            Access::Keyed => self.authorize(gate).map(Some),
        }
    }

    /// Class of a request on `route`.
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

    /// When the answer is due.
    pub fn deadline(&self, class: &Class) -> Result<Instant, Denial> {
        let target = self.arrival + class.target.deadline;
        let Some(text) = self.header(DEADLINE_HEADER)? else {
            return Ok(target);
        };
        let malformed = |_| {
            let message = format!("{DEADLINE_HEADER} is not a number of milliseconds");
            Denial::new(Reason::BadRequest, message)
        };
        let millis: u32 = text.parse().map_err(malformed)?;
        let own = self.arrival + std::time::Duration::from_millis(millis.into());
        Ok(target.min(own))
    }

    /// A header as text.
    pub fn header(&self, name: &str) -> Result<Option<&str>, Denial> {
        let Some(value) = self.headers.get(name) else {
            return Ok(None);
        };
        let malformed = |_| Denial::new(Reason::BadRequest, format!("{name} is not text"));
        value.to_str().map(Some).map_err(malformed)
    }

    /// Refuses a request that would show the caller's key to an endpoint.
    pub fn check_secrecy(&self, headers: &HeaderMap, body: &[u8]) -> Result<(), Denial> {
        let Some(secret) = &self.secret else {
            return Ok(());
        };
        let target = auth::decoded_percent(&self.target);
        if secret.occurs_in(self.target.as_bytes()) || secret.occurs_in(target.as_bytes()) {
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
    let allowed = account.is_some_and(|account| account.classes.iter().any(|it| it == name));
    if allowed {
        return Ok(name.to_owned());
    }
    let message = format!("the account may not use class {name:?}");
    Err(Denial::new(Reason::ClassForbidden, message))
}
