//! Admission: resolves route, account and service of a request and checks that the configuration
//! allows it.

use std::rc::Rc;

use agate_model::id::Tier;
use agate_poison::PartId;
use tokio::time::Instant;

use super::{Forwarder, LEAVING_RETRY_AFTER, STALE_RETRY_AFTER};
use crate::config::{Account, Config, Route, ServiceId};
use crate::interface::RequestInfo;
use crate::queue::Demand;
use crate::record::Record;
use crate::refusal::{MIN_RETRY_AFTER, Reason, Refusal};
use crate::server::Incoming;
use crate::stop::Stop;
use crate::subset::Subset;
use crate::{estimate, headers};

/// An admitted request with what was resolved for it.
pub(super) struct Call {
    pub(super) incoming: Incoming,
    /// Metadata read from the head of the request.
    pub(super) info: RequestInfo,
    pub(super) route: Rc<Route>,
    /// Service chosen by the split of the route.
    pub(super) service: ServiceId,
    /// Whether the service is a model engine.
    pub(super) is_engine: bool,
    /// Requests that one endpoint of a model engine runs at once; 0 for other services.
    pub(super) slots: u32,
    /// Account of the key; None on open routes and while the configuration has no keys.
    pub(super) account: Option<Account>,
    /// Urgency of the request in the queue.
    pub(super) tier: Tier,
    /// When the request is given up: the caller's timeout, at most that of the route, after its
    /// arrival.
    pub(super) deadline: Instant,
    /// Estimated work of the request, in milliseconds.
    pub(super) cost: f64,
    /// Tokens that the request takes in the memory of an endpoint.
    pub(super) tokens: f64,
    /// Tokens of the prompt that an endpoint has to read.
    pub(super) prefill_tokens: f64,
    /// Hash of the longest prompt part that other requests share; None without a prompt.
    pub(super) prefix: Option<u64>,
    /// Parts of the prompt as evidence of crashes; the same part is another one at another service.
    pub(super) parts: Vec<PartId>,
    /// Endpoints that the request prefers; None if the service is not divided.
    pub(super) subset: Option<Subset>,
}

impl Call {
    /// Returns what the request asks of the queue.
    pub(super) fn demand(&self) -> Demand {
        Demand {
            account: self.account.as_ref().map(|account| account.id.clone()),
            tier: self.tier,
            is_urgent: self.route.tier == 0,
            target: self.route.target,
            arrival: self.incoming.arrival,
            deadline: self.deadline,
            tokens: estimate::tokens(&self.info),
            bytes: self.incoming.body.len(),
        }
    }

    /// Returns when the request stops to wait for endpoints that are missing, paused or already tried.
    pub(super) fn patience(&self) -> Instant {
        self.deadline
            .min(self.incoming.arrival + self.route.target / 2)
    }

    /// Returns the parts of the prompt that other requests may have too.
    pub(super) fn shared_parts(&self) -> &[PartId] {
        match self.parts.as_slice() {
            [shared @ .., _] if !shared.is_empty() => shared,
            all => all,
        }
    }
}

impl Forwarder {
    /// Resolves route, account, service and estimated work of a request, or refuses it.
    pub(super) fn admit(&self, incoming: Incoming, record: &mut Record) -> Result<Call, Refusal> {
        let edge = &self.edge;
        let head = incoming.request.head();
        let info = edge.remote.dialect.request(head).map_err(|fault| {
            tracing::info!(event = "request_malformed", fault = %fault);
            Refusal::new(Reason::Malformed)
        })?;
        record.request = info.id.clone();
        let config = edge
            .config()
            .ok_or(Refusal::retry_after(Reason::NoConfig, STALE_RETRY_AFTER))?;
        record.version = config.version;
        record.evidence_age = edge.evidence_age();
        let path = head.uri.path();
        let host = headers::host(&head.headers);
        let Some(route) = config.route(host, path) else {
            return Err(self.deny(Reason::RouteUnknown));
        };
        record.route = route.id.clone();
        // A refusal for lack of evidence is logged with the last known account of the key.
        let known = info.key.as_ref().and_then(|key| config.account(key));
        record.account = known.map(|account| account.id.clone());
        let account = self.account(&config, route, &info)?;
        record.account = account.as_ref().map(|account| account.id.clone());
        let service = route.service(estimate::hash(&info.id)).clone();
        let engine = config
            .services
            .get(&service)
            .and_then(|service| service.engine);
        let timeout = info.timeout.unwrap_or(route.timeout).min(route.timeout);
        let cost = estimate::cost(&info);
        let subset = match engine {
            Some(_) => edge.lane(&service, &route.id, info.prompt_tokens, cost),
            None => None,
        };
        let call = Call {
            subset,
            is_engine: engine.is_some(),
            slots: engine.map_or(0, |engine| engine.slots),
            tier: config.urgency(account.as_ref(), route),
            account,
            deadline: incoming.arrival + timeout,
            cost,
            tokens: estimate::memory_tokens(&info),
            prefill_tokens: estimate::prefill_tokens(&info),
            prefix: estimate::prefix(&info),
            parts: parts(&info, &service),
            service,
            route: route.clone(),
            info,
            incoming,
        };
        record.tier = call.tier;
        let is_late = |stop: Stop| !stop.admits(Instant::now(), call.deadline);
        if edge.is_sealed() || edge.stop().is_some_and(is_late) {
            return Err(Refusal::retry_after(Reason::Leaving, LEAVING_RETRY_AFTER));
        }
        edge.record_request(&call.service, call.cost);
        Ok(call)
    }

    /// Returns a refusal for `reason` if there is recent evidence that the configuration is the
    /// newest. A denial is a statement about the newest configuration, so without that evidence
    /// the caller is told to retry.
    fn deny(&self, reason: Reason) -> Refusal {
        if self.edge.may_deny() {
            Refusal::new(reason)
        } else {
            Refusal::retry_after(Reason::Stale, STALE_RETRY_AFTER)
        }
    }

    /// Returns the account of the request's key, None on an open route, or a refusal.
    fn account(
        &self,
        config: &Config,
        route: &Route,
        info: &RequestInfo,
    ) -> Result<Option<Account>, Refusal> {
        if !config.needs_key() || route.open {
            return Ok(None);
        }
        if !self.edge.is_current() {
            return Err(Refusal::retry_after(Reason::Stale, STALE_RETRY_AFTER));
        }
        let account = info.key.as_ref().and_then(|key| config.account(key));
        match account {
            Some(account) => Ok(Some(account.clone())),
            None => Err(self.deny(Reason::KeyUnknown)),
        }
    }

    /// Checks again, before a request is sent, that the configuration now in force still allows it and
    /// that its prompt is not known to crash endpoints.
    pub(super) fn recheck(&self, call: &Call) -> Result<(), Refusal> {
        let config = self
            .edge
            .config()
            .ok_or(Refusal::retry_after(Reason::NoConfig, STALE_RETRY_AFTER))?;
        let head = call.incoming.request.head();
        let host = headers::host(&head.headers);
        let Some(route) = config.route(host, head.uri.path()) else {
            return Err(self.deny(Reason::RouteUnknown));
        };
        if !route
            .split
            .iter()
            .any(|(service, _)| *service == call.service)
        {
            return Err(Refusal::retry_after(Reason::Stale, MIN_RETRY_AFTER));
        }
        let account = self.account(&config, route, &call.info)?;
        if account.as_ref().map(|account| &account.id)
            != call.account.as_ref().map(|account| &account.id)
        {
            return Err(Refusal::new(Reason::KeyUnknown));
        }
        match self.edge.blocked(&call.parts) {
            Some(left) => Err(Refusal::retry_after(Reason::PromptBlocked, left)),
            None => Ok(()),
        }
    }
}

/// Returns the identities of the parts of a prompt at a service.
fn parts(info: &RequestInfo, service: &ServiceId) -> Vec<PartId> {
    let ids = info.prompt.iter().map(|part| part.id);
    ids.map(|id| estimate::hash_pair(id, service)).collect()
}
