//! Issue of keys for client accounts. A key is shown once and stored only as a digest.

use agate_model::key::{Digest, Key};
use agate_model::resource::{Edit, Spec};
use agate_wire::api::{KeyIssued, KeyRequest};
use agate_wire::manifest::Manifest;

use crate::api::auth::Operator;
use crate::api::change::{Step, commit_steps, nonce};
use crate::api::request::Request;
use crate::api::response::{Failure, Response};
use crate::context::Context;

/// Prefix of every key, by which scanners recognize leaked keys.
const PREFIX: &str = "agate-";

/// Length of the random part of a key, in bytes.
const SECRET_BYTES: usize = 32;

/// Creates a key and returns it.
///
/// A retry can't show the same key again. Its digest differs, as each request creates a new key, so
/// that a reused idempotency key is refused.
pub async fn issue(
    context: &Context,
    operator: &Operator,
    request: &Request,
    account: &str,
) -> Result<Response, Failure> {
    let key_request: KeyRequest = request.json()?;
    let secret = zeroize::Zeroizing::new(rand::random::<[u8; SECRET_BYTES]>());
    let key = format!("{PREFIX}{}", hex::encode(*secret));
    let spec = Spec::Key(Key {
        id: key_request.id.clone(),
        account: account.to_owned(),
        digest: Digest::of(key.as_bytes()),
        expires: key_request.expires,
    });
    let spec = Spec::try_from(Manifest::from(spec)).map_err(Failure::invalid)?;
    let step = Step {
        edit: Edit::Put(spec),
        expected: Some(0),
    };
    let digest = hex::encode(Digest::of(key.as_bytes()).0);
    let nonce = nonce(operator, request);
    let outcome = commit_steps(context, operator, nonce, digest, &[step]).await?;
    Ok(Response::json(&KeyIssued {
        id: key_request.id,
        account: account.to_owned(),
        key,
        outcome,
    }))
}
