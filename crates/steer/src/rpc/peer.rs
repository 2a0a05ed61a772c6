//! Handlers for the calls of peers and gates: changes, lists, demand and this host's state.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use agate_model::id::HostId;
use agate_wire::demand;
use agate_wire::mirror;
use agate_wire::peer::{self, Announce, Fetch, Fetched, HostStatus, Push};
use agate_wire::permit::{self, Reply};
use agate_wire::sync;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::config::copy;
use crate::context::Context;
use crate::duty;
use crate::limits;
use crate::rpc::server::{Failure, Handler, Handlers};

/// Handles a call with a typed body from the named sender.
pub type Function<B, A> = fn(Context, HostId, B) -> LocalBoxFuture<'static, Result<A, Failure>>;

/// Handler that parses the request's body from JSON and serializes the response's.
pub struct Method<B, A> {
    context: Context,
    function: Function<B, A>,
}

impl<B, A> Method<B, A>
where
    B: DeserializeOwned + 'static,
    A: Serialize + 'static,
{
    /// Returns a handler that calls `function`.
    pub fn shared(context: &Context, function: Function<B, A>) -> Rc<dyn Handler> {
        Rc::new(Self {
            context: context.clone(),
            function,
        })
    }
}

impl<B: DeserializeOwned, A: Serialize> Handler for Method<B, A> {
    fn handle(&self, sender: HostId, body: String) -> LocalBoxFuture<'_, Result<String, Failure>> {
        Box::pin(async move {
            let body = serde_json::from_str(&body).map_err(|err| Failure(err.to_string()))?;
            let response = (self.function)(self.context.clone(), sender, body).await?;
            serde_json::to_string(&response).map_err(|err| Failure(err.to_string()))
        })
    }
}

/// Names of the methods that every control process serves.
pub const METHODS: [&str; 9] = [
    sync::METHOD,
    permit::METHOD,
    permit::GRANT,
    peer::PUSH,
    peer::FETCH,
    peer::STANDING,
    mirror::METHOD,
    demand::METHOD,
    peer::ROSTER,
];

/// Returns a handler for each of [`METHODS`].
pub fn handlers(context: &Context) -> Handlers {
    let mut handlers = Handlers::new();
    let sync = Method::shared(context, |context, _, body| {
        Box::pin(async move { Ok(crate::sync::respond(&context, body)) })
    });
    handlers.insert(sync::METHOD, sync);
    let permits = Method::shared(context, |context, _, question| {
        Box::pin(async move { Ok(Reply::from(limits::find(&context, question).await)) })
    });
    handlers.insert(permit::METHOD, permits);
    let grant = Method::shared(context, |context, _, question| {
        Box::pin(async move { Ok(Reply::from(limits::grant(&context, &question))) })
    });
    handlers.insert(permit::GRANT, grant);
    let push = Method::shared(context, |context, _, body| {
        Box::pin(async move { apply_push(&context, body) })
    });
    handlers.insert(peer::PUSH, push);
    let fetch = Method::shared(context, |context, _, body: Fetch| {
        Box::pin(async move { Ok(fetch(&context, body)) })
    });
    handlers.insert(peer::FETCH, fetch);
    let standing = Method::shared(context, |context, _, body: Announce| {
        Box::pin(async move {
            context.members.learn(body.host);
            Ok(standing(&context, true))
        })
    });
    handlers.insert(peer::STANDING, standing);
    let mirror = Method::shared(context, |context, _, push| {
        Box::pin(async move { Ok(duty::mirror::receive(&context, push, SystemTime::now())) })
    });
    handlers.insert(mirror::METHOD, mirror);
    let demand = Method::shared(context, |context, sender, push| {
        Box::pin(async move {
            context.duty.demand.record(sender, push);
            let is_holder = context.duty.tenure.epoch().is_some();
            Ok(demand::Ack { is_holder })
        })
    });
    handlers.insert(demand::METHOD, demand);
    let roster = Method::shared(context, |context, _, (): ()| {
        Box::pin(async move {
            let lists = context.roster.export();
            lists.ok_or_else(|| Failure("no lists have been read".to_owned()))
        })
    });
    handlers.insert(peer::ROSTER, roster);
    handlers
}

/// Applies pushed entries; the returned version acknowledges them. Entries that leave a gap are no
/// error, as the reader fetches the missing ones.
fn apply_push(context: &Context, push: Push) -> Result<HostStatus, Failure> {
    let newest = push.entries.last().map(|entry| entry.change.version);
    context.copy.note_version(newest.unwrap_or(0));
    match context.copy.extend(push.entries) {
        Ok(()) | Err(copy::Error::Gap(_)) => {}
        Err(err) => return Err(Failure(err.to_string())),
    }
    context.copy.accept(push.accepted);
    Ok(standing(context, false))
}

fn fetch(context: &Context, request: Fetch) -> Fetched {
    match context.copy.entries_above(request.above) {
        Some(entries) => Fetched::Entries(entries),
        None => Fetched::Copy(Box::new(context.copy.export())),
    }
}

/// Returns this host's state, with the rows of all known hosts if `with_hosts` is set.
pub fn standing(context: &Context, with_hosts: bool) -> HostStatus {
    let hosts = if with_hosts {
        context.members.rows()
    } else {
        Vec::new()
    };
    HostStatus {
        host: context.host.id.clone(),
        incarnation: context.host.incarnation.clone(),
        version: context.copy.version(),
        gate_version: context.inbox.gate_version(&context.host.id),
        proof_age_ms: context.copy.proof_age().map(millis),
        hosts,
    }
}

/// Returns whole milliseconds, rounded up so that an age is never understated.
pub fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}
