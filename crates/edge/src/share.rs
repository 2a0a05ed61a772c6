//! What hosts tell each other of the endpoints of model engines: their requests in flight there and the
//! responses that they have observed.
//!
//! A host tells its own part with each heartbeat. The reader of its zone adds the parts up, exchanges the
//! sums with the readers of other zones in its own row, and returns the sums of all hosts in the receipt.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use agate_pick::capacity::Rate;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::estimate;
use crate::load::Figure;

/// Short form of the id of an endpoint. Two endpoints with the same one are taken for one, which makes
/// their load look larger than it is.
pub type Tag = u32;

/// Returns the short form of the id of an endpoint.
pub fn tag(id: &str) -> Tag {
    (estimate::hash(id) >> 32) as Tag
}

/// Figures of endpoints.
pub type News = BTreeMap<Tag, Figure>;

/// Maximum number of endpoints of which a host tells. With [`MAX_TOTALS`] it keeps the messages of a host
/// below 2 KB a second.
pub const MAX_PART: usize = 48;
/// Maximum number of endpoints in a receipt.
pub const MAX_TOTALS: usize = 80;
/// Maximum number of endpoints of which a reader tells other readers.
pub const MAX_ZONE: usize = 400;
/// Time after which what a host has told is dropped: two heartbeats were lost.
const PART_TTL: Duration = Duration::from_millis(2_500);
/// Time after which what another reader has told is dropped: two writes were lost.
const ZONE_TTL: Duration = Duration::from_secs(5);
/// Time for which sums of all hosts are used, changed by the parts that come in.
const SUM_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two removals of what has expired.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of responses below which the speed of an endpoint is forgotten.
const MIN_RESPONSES: f64 = 0.25;

/// Figures of endpoints in the form in which hosts pass them on: nine bytes each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(String);

/// A digest that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// It isn't valid Base64.
    #[error("not Base64")]
    Encoding,
    /// It ends inside an entry, or has too many of them.
    #[error("a length of {0} bytes")]
    Length(usize),
}

const ENTRY_BYTES: usize = 9;
/// Work in milliseconds that the square of the byte for it stands for.
const WORK_UNIT: f64 = 0.125;
/// Tokens that the square of the byte for them stands for.
const TOKEN_UNIT: f64 = 16.0;
/// Slowness that one unit of the byte for its mean stands for.
const SLOWNESS_UNIT: f64 = 1.0 / 64.0;

impl Digest {
    /// Returns whether it has no entry.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&News> for Digest {
    fn from(news: &News) -> Self {
        let byte = |value: f64| value.round().clamp(0.0, 255.0) as u8;
        let mut bytes = Vec::with_capacity(news.len() * ENTRY_BYTES);
        for (tag, figure) in news {
            bytes.extend_from_slice(&tag.to_le_bytes());
            let responses = byte(figure.responses);
            let mean = figure.slowness / figure.responses.max(f64::MIN_POSITIVE);
            let slowness = (mean / SLOWNESS_UNIT).round().clamp(-127.0, 127.0) as i8;
            bytes.extend_from_slice(&[
                byte(figure.running),
                byte((figure.work / WORK_UNIT).sqrt()),
                byte((figure.tokens / TOKEN_UNIT).sqrt()),
                responses,
                slowness.to_le_bytes()[0],
            ]);
        }
        Self(STANDARD_NO_PAD.encode(bytes))
    }
}

impl TryFrom<&Digest> for News {
    type Error = Malformed;

    fn try_from(digest: &Digest) -> Result<Self, Malformed> {
        let bytes = STANDARD_NO_PAD
            .decode(&digest.0)
            .map_err(|_| Malformed::Encoding)?;
        let (entries, rest) = bytes.as_chunks::<ENTRY_BYTES>();
        if !rest.is_empty() || entries.len() > MAX_ZONE {
            return Err(Malformed::Length(bytes.len()));
        }
        let figures = entries.iter().map(|entry| {
            let [a, b, c, d, running, work, tokens, responses, slowness] = *entry;
            let square = |byte: u8| f64::from(byte) * f64::from(byte);
            let responses = f64::from(responses);
            let figure = Figure {
                running: f64::from(running),
                work: square(work) * WORK_UNIT,
                tokens: square(tokens) * TOKEN_UNIT,
                responses,
                slowness: f64::from(i8::from_le_bytes([slowness])) * SLOWNESS_UNIT * responses,
            };
            (Tag::from_le_bytes([a, b, c, d]), figure)
        });
        Ok(figures.collect())
    }
}

/// Decodes a digest of another host; `None` with a log line if it is malformed.
pub fn decode(digest: &Digest, source: &str) -> Option<News> {
    News::try_from(digest)
        .inspect_err(
            |err| tracing::warn!(event = "endpoint_news_malformed", host = source, error = %err),
        )
        .ok()
}

/// Figures of the hosts for which this host reads, and of the readers of other zones.
#[derive(Debug, Default)]
pub struct Pool {
    /// Requests in flight by incarnation of the host, and when they were told.
    parts: HashMap<String, (News, Instant)>,
    /// Responses that the hosts of this reader have told.
    rates: HashMap<Tag, Rate>,
    /// Sums of other readers by incarnation, and when they were read.
    zones: HashMap<String, (News, Instant)>,
    /// Sums of all hosts, and when they were added up. A reader is asked for them by each of its hosts.
    totals: Option<(News, Instant)>,
    /// When what has expired was last removed.
    pruned_at: Option<Instant>,
}

impl Pool {
    /// Records the part of one incarnation of a host.
    pub fn record(&mut self, now: Instant, run: &str, part: News) {
        for (tag, figure) in &part {
            if figure.responses > 0.0 {
                let rate = self.rates.entry(*tag).or_default();
                rate.add(now.into_std(), figure.responses, figure.slowness);
            }
        }
        let before = self.parts.insert(run.to_owned(), (part.clone(), now));
        if let Some((totals, _)) = &mut self.totals {
            let before = before.map(|(part, _)| part).unwrap_or_default();
            for (news, factor) in [(before, -1.0), (part, 1.0)] {
                for (tag, figure) in news {
                    totals.entry(tag).or_default().add_requests(&figure, factor);
                }
            }
        }
        let is_due = |at: Instant| now.saturating_duration_since(at) >= PRUNE_INTERVAL;
        if self.pruned_at.is_none_or(is_due) {
            self.pruned_at = Some(now);
            self.parts
                .retain(|_, (_, at)| now.saturating_duration_since(*at) < PART_TTL);
            self.rates
                .retain(|_, rate| rate.sums(now.into_std()).0 >= MIN_RESPONSES);
        }
    }

    /// Records the sums of the reader of another zone.
    pub fn record_zone(&mut self, now: Instant, run: &str, sums: News) {
        self.zones.insert(run.to_owned(), (sums, now));
        self.zones
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < ZONE_TTL);
    }

    /// Returns the sums of the hosts of this reader.
    pub fn zone(&self, now: Instant) -> News {
        let mut sums = News::new();
        for (part, at) in self.parts.values() {
            if now.saturating_duration_since(*at) < PART_TTL {
                for (tag, figure) in part {
                    sums.entry(*tag).or_default().add_requests(figure, 1.0);
                }
            }
        }
        for (tag, rate) in &self.rates {
            let (responses, slowness) = rate.sums(now.into_std());
            let sum = sums.entry(*tag).or_default();
            sum.responses += responses;
            sum.slowness += slowness;
        }
        select(sums, MAX_ZONE)
    }

    /// Returns the sums of all hosts, with responses that may be `SUM_INTERVAL` old.
    pub fn totals(&mut self, now: Instant) -> News {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SUM_INTERVAL;
        match &self.totals {
            Some((totals, at)) if is_recent(at) => totals.clone(),
            _ => {
                let totals = self.add_up(now);
                self.totals = Some((totals.clone(), now));
                totals
            }
        }
    }

    fn add_up(&self, now: Instant) -> News {
        let mut totals = self.zone(now);
        for (sums, at) in self.zones.values() {
            if now.saturating_duration_since(*at) < ZONE_TTL {
                for (tag, figure) in sums {
                    let total = totals.entry(*tag).or_default();
                    total.add_requests(figure, 1.0);
                    total.responses += figure.responses;
                    total.slowness += figure.slowness;
                }
            }
        }
        totals
    }
}

/// Returns at most `limit` of the figures: a half of them those with the most requests in flight, the
/// others at random, so that each is told from time to time.
pub fn select(news: News, limit: usize) -> News {
    if news.len() <= limit {
        return news;
    }
    let mut figures: Vec<(Tag, Figure)> = news.into_iter().collect();
    figures.sort_by(|(_, left), (_, right)| right.running.total_cmp(&left.running));
    let mut rest = figures.split_off(limit / 2);
    for position in 0..limit - limit / 2 {
        let other = rand::random_range(position..rest.len());
        rest.swap(position, other);
    }
    rest.truncate(limit - limit / 2);
    figures.into_iter().chain(rest).collect()
}
