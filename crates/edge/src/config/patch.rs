//! Differences between two versions of the configuration.
//!
//! Hosts hand the configuration on as patches, so that a change costs what it changes, however many
//! routes and keys there are.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{Read as _, Write as _};
use std::rc::Rc;

use agate_model::id::{Revision, Version};
use agate_model::key::{DIGEST_BYTES, Digest};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::{Deserialize, Serialize};

use super::{Account, Config, Keys, Limits, Route, Service, ServiceId, checksum};

/// Maximum size of a decoded patch: the whole configuration at ten times the routes and keys of the
/// largest deployment.
const MAX_BYTES: u64 = 32 << 20;

/// Why a patch gives no configuration.
#[derive(Debug, thiserror::Error)]
pub enum Unpatched {
    /// It applies to another version than the one in force.
    #[error("the patch applies to revision {0:?}")]
    OtherBase(Option<Revision>),
    /// The bytes are no patch; another build may have written them.
    #[error("malformed patch: {0}")]
    Malformed(String),
    /// The result is not the configuration that the patch was made from.
    #[error("the checksum of the result is {found:016x}, expected {expected:016x}")]
    Checksum {
        /// Checksum in the patch.
        expected: u64,
        /// Checksum of the result.
        found: u64,
    },
}

/// A key of the configuration, as a digest, with its account.
#[derive(Debug, Serialize, Deserialize)]
struct Key {
    /// Digest of the key in hexadecimal digits.
    digest: String,
    account: Rc<Account>,
}

/// Place of a route: its host name in lowercase, and its prefix.
#[derive(Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Place {
    host: String,
    prefix: String,
}

/// What one version has in place of another, or all of a version.
#[derive(Debug, Serialize, Deserialize)]
pub struct Patch {
    /// Revision that wrote the version to which the patch applies; `None` if it applies to none.
    base: Option<Revision>,
    /// Version that results.
    pub version: Version,
    limits: Limits,
    /// Services that were added or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    services: Vec<Service>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed_services: Vec<ServiceId>,
    /// Whether requests need a key.
    needs_key: bool,
    /// Keys that were added, or whose account changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    keys: Vec<Key>,
    /// Digests of removed keys in hexadecimal digits.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed_keys: Vec<String>,
    /// Routes that were added or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    routes: Vec<Rc<Route>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed_routes: Vec<Place>,
    /// Checksum of the version that results.
    checksum: u64,
}

impl Patch {
    /// Returns the patch that makes `config` of the version which was written at revision `base.0`, or
    /// of nothing.
    pub fn new(base: Option<(Revision, &Config)>, config: &Config) -> Self {
        let mut patch = Self {
            base: base.map(|(revision, _)| revision),
            version: config.version,
            limits: config.limits,
            services: Vec::new(),
            removed_services: Vec::new(),
            needs_key: config.needs_key(),
            keys: Vec::new(),
            removed_keys: Vec::new(),
            routes: Vec::new(),
            removed_routes: Vec::new(),
            checksum: config.checksum(),
        };
        let base = base.map(|(_, config)| config);
        let none = BTreeMap::new();
        let services = base.map_or(&none, |base| &base.services);
        patch.compare_services(services, &config.services);
        let none = Keys::new();
        let keys = base.and_then(|base| base.keys.as_ref());
        patch.compare_keys(keys.unwrap_or(&none), config.keys.as_ref().unwrap_or(&none));
        let none = HashMap::new();
        let routes = base.map_or(&none, |base| &base.routes);
        let hosts: HashSet<_> = routes.keys().chain(config.routes.keys()).collect();
        for host in hosts {
            let before = routes.get(host).map_or(&[][..], Vec::as_slice);
            let after = config.routes.get(host).map_or(&[][..], Vec::as_slice);
            patch.compare_routes(host, before, after);
        }
        patch
    }

    fn compare_services(
        &mut self,
        before: &BTreeMap<ServiceId, Service>,
        after: &BTreeMap<ServiceId, Service>,
    ) {
        let changed = after.values();
        let changed = changed.filter(|service| before.get(&service.id) != Some(service));
        self.services = changed.cloned().collect();
        let removed = before.keys().filter(|id| !after.contains_key(*id));
        self.removed_services = removed.cloned().collect();
    }

    fn compare_keys(&mut self, before: &Keys, after: &Keys) {
        let changed = after.iter();
        let changed = changed.filter(|(digest, account)| before.get(digest) != Some(account));
        self.keys = changed
            .map(|(digest, account)| Key {
                digest: hex::encode(digest.0),
                account: account.clone(),
            })
            .collect();
        let removed = before.keys().filter(|digest| !after.contains_key(digest));
        self.removed_keys = removed.map(|digest| hex::encode(digest.0)).collect();
    }

    /// Compares the routes of one host name, both in the order of their prefixes.
    fn compare_routes(&mut self, host: &str, before: &[Rc<Route>], after: &[Rc<Route>]) {
        let (mut before, mut after) = (before.iter().peekable(), after.iter().peekable());
        loop {
            let order = match (before.peek(), after.peek()) {
                (None, None) => return,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(old), Some(new)) => old.prefix.cmp(&new.prefix),
            };
            let old = before.next_if(|_| order.is_le());
            let new = after.next_if(|_| order.is_ge());
            match (old, new) {
                (Some(old), None) => self.removed_routes.push(Place {
                    host: host.to_owned(),
                    prefix: old.prefix.clone(),
                }),
                (old, Some(new)) if old != Some(new) => self.routes.push(new.clone()),
                _ => {}
            }
        }
    }

    /// Returns the configuration that results if the patch is applied to the version in force, which
    /// was written at revision `base.0`.
    pub fn apply(self, base: Option<(Revision, &Config)>) -> Result<Config, Unpatched> {
        let base = match self.base {
            None => None,
            Some(revision) => match base {
                Some((known, config)) if known == revision => Some(config),
                _ => return Err(Unpatched::OtherBase(self.base)),
            },
        };
        let mut config = match base {
            Some(base) => Config {
                version: self.version,
                limits: self.limits,
                ..base.clone()
            },
            None => Config::new(self.version, self.limits, [], None, []),
        };
        config.replace_services(self.services, &self.removed_services);
        config.replace_keys(self.needs_key, self.keys, &self.removed_keys)?;
        config.replace_routes(self.routes, self.removed_routes);
        config.count_tiers();
        let found = config.checksum();
        match found == self.checksum {
            true => Ok(config),
            false => Err(Unpatched::Checksum {
                expected: self.checksum,
                found,
            }),
        }
    }

    /// Encodes the patch as text: JSON, compressed, in base64.
    pub fn encode(&self) -> Result<String, Unpatched> {
        let json = serde_json::to_vec(self).map_err(malformed)?;
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&json).map_err(malformed)?;
        Ok(STANDARD.encode(encoder.finish().map_err(malformed)?))
    }

    /// Decodes a patch that [`Patch::encode`] has encoded.
    pub fn decode(text: &[u8]) -> Result<Self, Unpatched> {
        let compressed = STANDARD.decode(text).map_err(malformed)?;
        let mut json = Vec::new();
        let decoder = ZlibDecoder::new(compressed.as_slice());
        let read = decoder.take(MAX_BYTES + 1).read_to_end(&mut json);
        let length = read.map_err(malformed)?;
        if length as u64 > MAX_BYTES {
            return Err(malformed(format!("more than {MAX_BYTES} bytes")));
        }
        serde_json::from_slice(&json).map_err(malformed)
    }
}

fn malformed(err: impl std::fmt::Display) -> Unpatched {
    Unpatched::Malformed(err.to_string())
}

/// Changes of parts, which keep the sum of their hashes.
impl Config {
    fn add(&mut self, hash: u64) {
        self.parts = self.parts.wrapping_add(hash);
    }

    fn subtract(&mut self, hash: u64) {
        self.parts = self.parts.wrapping_sub(hash);
    }

    /// Adds services, in place of those with the same name, and removes others.
    fn replace_services(&mut self, added: Vec<Service>, removed: &[ServiceId]) {
        for id in removed {
            if let Some(service) = self.services.remove(id) {
                self.subtract(checksum::of_service(&service));
            }
        }
        for service in added {
            self.add(checksum::of_service(&service));
            if let Some(service) = self.services.insert(service.id.clone(), service) {
                self.subtract(checksum::of_service(&service));
            }
        }
    }

    /// Adds keys, in place of those with the same digest, and removes others; all of them if requests
    /// need no key any more.
    fn replace_keys(
        &mut self,
        is_needed: bool,
        added: Vec<Key>,
        removed: &[String],
    ) -> Result<(), Unpatched> {
        let mut keys = self.keys.take().unwrap_or_default();
        let mut gone = Vec::new();
        for digits in removed {
            let digest = digest(digits)?;
            gone.extend(keys.remove(&digest).map(|account| (digest, account)));
        }
        if !is_needed {
            gone.extend(keys.drain());
        }
        for key in added {
            let digest = digest(&key.digest)?;
            self.add(checksum::of_key(&digest, &key.account));
            let replaced = keys.insert(digest, key.account);
            gone.extend(replaced.map(|account| (digest, account)));
        }
        for (digest, account) in &gone {
            self.subtract(checksum::of_key(digest, account));
        }
        self.keys = is_needed.then_some(keys);
        Ok(())
    }

    /// Adds routes, in place of those with the same host name and prefix, and removes others.
    fn replace_routes(&mut self, added: Vec<Rc<Route>>, removed: Vec<Place>) {
        let mut gone: HashMap<String, HashSet<String>> = HashMap::new();
        for place in removed {
            gone.entry(place.host).or_default().insert(place.prefix);
        }
        let mut new: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in added {
            self.add(checksum::of_route(&route));
            let host = route.host.to_ascii_lowercase();
            let prefix = route.prefix.clone();
            gone.entry(host.clone()).or_default().insert(prefix);
            new.entry(host).or_default().push(route);
        }
        for (host, gone) in gone {
            let mut routes = self.routes.remove(&host).unwrap_or_default();
            routes.retain(|route| {
                let is_kept = !gone.contains(&route.prefix);
                if !is_kept {
                    self.subtract(checksum::of_route(route));
                }
                is_kept
            });
            routes.extend(new.remove(&host).unwrap_or_default());
            if !routes.is_empty() {
                routes.sort_by(|left, right| left.prefix.cmp(&right.prefix));
                self.routes.insert(host, routes);
            }
        }
    }
}

fn digest(digits: &str) -> Result<Digest, Unpatched> {
    let mut bytes = [0; DIGEST_BYTES];
    hex::decode_to_slice(digits, &mut bytes).map_err(malformed)?;
    Ok(Digest(bytes))
}
