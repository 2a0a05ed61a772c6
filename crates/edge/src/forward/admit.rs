//! What a request is and whether the configuration allows it.

use agate_model::id::Tier;
use tokio::time::Instant;

use super::{BUSY_WAIT, Forwarder, STALE_WAIT};
use crate::config::{Account, Config, Route, ServiceId};
use crate::front::Incoming;
use crate::interface::RequestInfo;
use crate::lane::Lane;
use crate::record::Record;
use crate::refusal::{Reason, Refusal};
use crate::{estimate, headers};

/// A request with all that was found out about it.
pub(super) struct Work {
    pub(super) incoming: Incoming,
    pub(super) ask: RequestInfo,
    pub(super) route: Route,
    pub(super) service: ServiceId,
    pub(super) is_engine: bool,
    pub(super) slots: u32,
    pub(super) account: Option<Account>,
    pub(super) tier: Tier,
    pub(super) deadline: Instant,
    pub(super) cost: f64,
    pub(super) prefix: Option<u64>,
    pub(super) lane: Option<Lane>,
}

impl Forwarder {
    /// Finds route, account, service and estimated work of a request.
    pub(super) fn accept(&self, incoming: Incoming, record: &mut Record) -> Result<Work, Refusal> {
        let edge = &self.edge;
        let head = incoming.request.head();
        let ask = edge.remote.dialect.request(head).map_err(|fault| {
            tracing::info!(event = "request_malformed", fault = %fault);
            Refusal::new(Reason::Malformed)
        })?;
        record.request = ask.id.clone();
        let config = edge
            .config()
            .ok_or(Refusal::retry(Reason::NoConfig, STALE_WAIT))?;
        record.version = config.version;
        record.evidence = edge.evidence_age();
        let path = head.uri.path();
        let host = headers::host(&head.headers);
        let Some(route) = config.route(host, path) else {
            return Err(self.deny(Reason::RouteUnknown));
        };
        record.route = route.id.clone();
        // A refusal for want of evidence is logged with the account that the key had last.
        let keys = config.keys.as_ref();
        let known = ask.key.as_ref().and_then(|key| keys?.get(key));
        record.account = known.map(|it| it.id.clone());
        let account = self.account(&config, route, &ask)?;
        record.account = account.as_ref().map(|it| it.id.clone());
        let service = route.service(estimate::hash(&ask.id)).clone();
        let engine = config.services.get(&service).and_then(|it| it.engine);
        let patience = ask.timeout.unwrap_or(route.timeout).min(route.timeout);
        let cost = estimate::cost(&ask);
        let lane = match engine {
            Some(_) => edge.lane(&service, &route.id, ask.prompt_tokens, cost),
            None => None,
        };
        let work = Work {
            lane,
            service,
            is_engine: engine.is_some(),
            slots: engine.map_or(0, |it| it.slots),
            tier: config.urgency(account.as_ref(), route),
            account,
            deadline: incoming.arrival + patience,
            cost,
            prefix: estimate::prefix(&ask),
            route: route.clone(),
            ask,
            incoming,
        };
        record.tier = work.tier;
        edge.record_request(&work.service, work.cost);
        Ok(work)
    }

    /// A denial is a statement about the newest configuration; without evidence for that the
    /// caller is told to come back.
    fn deny(&self, reason: Reason) -> Refusal {
        if self.edge.may_deny() {
            Refusal::new(reason)
        } else {
            Refusal::retry(Reason::Stale, STALE_WAIT)
        }
    }

    fn account(
        &self,
        config: &Config,
        route: &Route,
        ask: &RequestInfo,
    ) -> Result<Option<Account>, Refusal> {
        let Some(keys) = &config.keys else {
            return Ok(None);
        };
        if route.open {
            return Ok(None);
        }
        if !self.edge.is_current() {
            return Err(Refusal::retry(Reason::Stale, STALE_WAIT));
        }
        let found = ask.key.as_ref().and_then(|key| keys.get(key));
        match found {
            Some(account) => Ok(Some(account.clone())),
            None => Err(self.deny(Reason::KeyUnknown)),
        }
    }

    /// Checks again, before a request is sent, that the newest configuration allows it.
    pub(super) fn recheck(&self, work: &Work) -> Result<(), Refusal> {
        let config = self
            .edge
            .config()
            .ok_or(Refusal::retry(Reason::NoConfig, STALE_WAIT))?;
        let head = work.incoming.request.head();
        let host = headers::host(&head.headers);
        let Some(route) = config.route(host, head.uri.path()) else {
            return Err(self.deny(Reason::RouteUnknown));
        };
        if !route
            .split
            .iter()
            .any(|(service, _)| *service == work.service)
        {
            return Err(Refusal::retry(Reason::Stale, BUSY_WAIT));
        }
        let account = self.account(&config, route, &work.ask)?;
        if account.as_ref().map(|it| &it.id) != work.account.as_ref().map(|it| &it.id) {
            return Err(Refusal::new(Reason::KeyUnknown));
        }
        Ok(())
    }
}
