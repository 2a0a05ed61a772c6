//! Keys of client accounts: made here, shown once, stored as digests.

use agate_model::key::{Digest, Key};
use agate_model::resource::{Edit, Spec};
use agate_wire::api::{KeyIssued, KeyRequest};
use agate_wire::manifest::Manifest;

use crate::api::answer::{Answer, Failure};
use crate::api::auth::Caller;
use crate::api::change::{Step, commit_steps, nonce};
use crate::api::request::Request;
use crate::context::Context;

/// Begin of every key, by which scanners recognise leaked ones.
const PREFIX: &str = "agate-";

/// Random part of a key, in bytes.
const SECRET_BYTES: usize = 32;

/// Makes a key. A repeated request cannot show the key again, so it is refused.
pub async fn issue(
    context: &Context,
    caller: &Caller,
    request: &Request,
    account: &str,
) -> Result<Answer, Failure> {
    let wanted: KeyRequest = request.json()?;
    let secret = zeroize::Zeroizing::new(rand::random::<[u8; SECRET_BYTES]>());
    let key = format!("{PREFIX}{}", hex::encode(*secret));
    let spec = Spec::Key(Key {
        id: wanted.id.clone(),
        account: account.to_owned(),
        digest: Digest::of(key.as_bytes()),
        expires: wanted.expires,
    });
    let spec = Spec::try_from(Manifest::from(spec)).map_err(Failure::invalid)?;
    let step = Step {
        edit: Edit::Put(spec),
        expected: Some(0),
    };
    let digest = hex::encode(Digest::of(key.as_bytes()).0);
    let nonce = nonce(caller, request);
    let outcome = commit_steps(context, caller, nonce, digest, &[step]).await?;
    Ok(Answer::json(&KeyIssued {
        id: wanted.id,
        account: account.to_owned(),
        key,
        outcome,
    }))
}
