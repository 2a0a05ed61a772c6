//! Checks of what endpoints ask for in their responses.

use std::collections::HashMap;
use std::time::Duration;

use super::{Bounds, requests_by_id};
use crate::ledger::{Arrival, Ask, Asked, End, Ledger, Notice};

/// Time after a refusal with a pause in which requests that were under way may still arrive.
const PAUSE_TRANSIT: Duration = Duration::from_millis(500);
/// Requests that may arrive in the rest of a pause.
const PAUSE_ARRIVALS: usize = 2;

/// Returns the requests that reached the endpoint of a notice later, from the process that received it,
/// with the requests as their callers sent them. Nothing for a notice that may not have been received.
fn later_arrivals<'a>(
    ledger: &'a Ledger,
    requests: &HashMap<&str, &'a Asked>,
    notice: &'a Notice,
) -> Vec<(&'a Arrival, &'a Asked)> {
    let Some(receiver) = requests.get(notice.id.as_str()) else {
        return Vec::new();
    };
    let is_disturbed = |from: Duration, until: Duration| {
        let mut disturbances = ledger.disturbances.iter();
        disturbances.any(|disturbance| {
            disturbance.host == Some(receiver.host)
                && disturbance.from < until
                && from < disturbance.until
        })
    };
    let mut endpoints = ledger.endpoint_disturbances.iter();
    let is_lost = endpoints.any(|(from, until)| (*from..*until).contains(&notice.at));
    let is_received = matches!(receiver.end, End::Whole { .. });
    if is_lost || !is_received {
        return Vec::new();
    }
    let later = ledger.arrivals.iter().filter_map(|arrival| {
        let request = *requests.get(arrival.id.as_str())?;
        let is_same_process = request.host == receiver.host && request.boot == receiver.boot;
        let is_later = arrival.endpoint == notice.endpoint && arrival.at > notice.at;
        (is_same_process && is_later && !is_disturbed(notice.at, arrival.at))
            .then_some((arrival, request))
    });
    later.collect()
}

pub(super) fn leaving(ledger: &Ledger, bounds: &Bounds) -> Vec<String> {
    let requests = requests_by_id(ledger);
    let notices = ledger.notices.iter();
    let texts = notices
        .filter(|notice| notice.ask == Ask::Leave)
        .flat_map(|notice| {
            // The response counts from the moment at which its caller has it.
            let passed_on = requests
                .get(notice.id.as_str())
                .map(|request| request.ended);
            let arrivals = later_arrivals(ledger, &requests, notice).into_iter();
            let late = arrivals.filter(move |(_, request)| {
                passed_on.is_some_and(|passed_on| request.sent > passed_on + bounds.drain)
            });
            late.map(move |(arrival, request)| {
                format!("{arrival:?}, sent at {:?}, after {notice:?}", request.sent)
            })
        });
    texts.collect()
}

pub(super) fn pause(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let requests = requests_by_id(ledger);
    let mut texts = Vec::new();
    for notice in &ledger.notices {
        let Ask::Pause(wait) = notice.ask else {
            continue;
        };
        let span = notice.at + PAUSE_TRANSIT..notice.at + wait;
        let mut arrivals = later_arrivals(ledger, &requests, notice);
        arrivals.retain(|(arrival, _)| span.contains(&arrival.at));
        if arrivals.len() > PAUSE_ARRIVALS {
            texts.push(format!(
                "{} requests after {notice:?}: {arrivals:?}",
                arrivals.len()
            ));
        }
    }
    texts
}

/// Time from the first response with a limit until the limit holds.
const LIMIT_NOTICE: Duration = Duration::from_secs(3);
/// Span in which requests are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Requests that a span may have beyond one and a half times the limit.
const LIMIT_EXTRA: f64 = 5.0;
/// Time during which an endpoint named a limit, and its requests in ten seconds.
struct Limited<'a> {
    endpoint: &'a str,
    limit: u32,
    from: Duration,
    until: Duration,
    has_ended: bool,
}

/// Returns the times during which endpoints named limits.
fn limited(ledger: &Ledger) -> Vec<Limited<'_>> {
    let mut spans: Vec<Limited<'_>> = Vec::new();
    for notice in &ledger.notices {
        let mut spans_of_endpoint = spans.iter_mut().rev();
        let known = spans_of_endpoint
            .find(|span| span.endpoint == notice.endpoint)
            .filter(|span| !span.has_ended);
        match (notice.ask, known) {
            (Ask::Limit(_), Some(span)) => span.until = notice.at,
            (Ask::Limit(limit), None) => spans.push(Limited {
                endpoint: &notice.endpoint,
                limit,
                from: notice.at,
                until: notice.at,
                has_ended: false,
            }),
            (Ask::NoLimit, Some(span)) => span.has_ended = true,
            _ => {}
        }
    }
    spans
}

/// Requests of hosts that were disturbed since the limit was named do not count.
pub(super) fn limit(ledger: &Ledger, _: &Bounds) -> Vec<String> {
    let requests = requests_by_id(ledger);
    let mut texts = Vec::new();
    for span in limited(ledger) {
        let is_disturbed = |host: usize, until: Duration| {
            ledger.disturbances.iter().any(|disturbance| {
                disturbance.host.is_none_or(|disturbed| disturbed == host)
                    && disturbance.from < until
                    && span.from < disturbance.until
            })
        };
        let arrivals = ledger.arrivals.iter().filter(|arrival| {
            let request = requests.get(arrival.id.as_str());
            let is_counted = request.is_some_and(|request| !is_disturbed(request.host, arrival.at));
            let held = span.from + LIMIT_NOTICE..=span.until;
            arrival.endpoint == span.endpoint && held.contains(&arrival.at) && is_counted
        });
        let mut times: Vec<Duration> = arrivals.map(|arrival| arrival.at).collect();
        times.sort_unstable();
        let allowed = f64::from(span.limit) / 10.0 * LIMIT_SPAN.as_secs_f64() * 1.5 + LIMIT_EXTRA;
        let most = times.iter().enumerate().map(|(n, from)| {
            let count = times[n..].partition_point(|at| *at < *from + LIMIT_SPAN);
            (count, *from)
        });
        let most = most.max_by_key(|(count, _)| *count);
        if let Some((count, at)) = most.filter(|(count, _)| *count as f64 > allowed) {
            texts.push(format!(
                "{count} requests in {LIMIT_SPAN:?} from {at:?} at endpoint {}, which named a limit from {:?} to {:?}, \
                 {allowed} allowed",
                span.endpoint, span.from, span.until
            ));
        }
    }
    texts
}
