//! Client of the resource API.

use std::net::SocketAddr;

use agate_wire::api::{Apply, Item, KeyIssued, KeyRequest, Listing, Outcome, Status, Usage, Watch};
use agate_wire::change::Edit;
use agate_wire::manifest::Manifest;
use awc::http::Method;

use crate::http::{Request, Response};

/// Credential of the operator whose digest the settings name for bootstrapping.
pub const CREDENTIAL: &str = "proof-operator-credential";

/// A client of the resource API of one host, with the rights of an admin.
#[derive(Clone, Copy, Debug)]
pub struct Operator {
    /// Address of the resource API.
    pub address: SocketAddr,
}

impl Operator {
    /// Returns a request that carries the operator's credential.
    pub fn request(&self, method: Method, path: &str) -> Request {
        let credential = format!("Bearer {CREDENTIAL}");
        Request::new(method, self.address, path).header("authorization", credential)
    }

    /// Declares resources in one atomic change; returns error responses to the caller.
    pub async fn try_apply(
        &self,
        idempotency_key: &str,
        manifests: &[Manifest],
    ) -> Result<Response, String> {
        let items = manifests.iter().map(|manifest| Item {
            edit: Edit::Put {
                manifest: manifest.clone(),
            },
            expected: None,
        });
        let apply = Apply {
            items: items.collect(),
            dry_run: false,
        };
        let request = self.request(Method::POST, "/api/v1/apply");
        let request = request.header("idempotency-key", idempotency_key);
        request.json(&apply).send().await
    }

    /// Declares resources in one atomic change; panics unless it is accepted.
    pub async fn apply(&self, manifests: &[Manifest]) -> Outcome {
        let key = format!("apply-{:?}", std::time::Instant::now());
        let response = self.try_apply(&key, manifests).await;
        expect_success(response).json()
    }

    /// Grants a key without expiry to an account and returns it with its secret.
    pub async fn grant(&self, account: &str, id: &str) -> KeyIssued {
        let request = self.request(Method::POST, &format!("/api/v1/keys/{account}"));
        let key = KeyRequest {
            id: id.to_owned(),
            expires: None,
        };
        expect_success(request.json(&key).send().await).json()
    }

    /// Withdraws the key with this id.
    pub async fn withdraw(&self, id: &str) -> Outcome {
        let request = self.request(Method::DELETE, &format!("/api/v1/keys/{id}"));
        expect_success(request.send().await).json()
    }

    /// Returns the state of the system as this host sees it; the error says why there was no
    /// response that decodes.
    pub async fn status(&self) -> Result<Status, String> {
        let request = self.request(Method::GET, "/api/v1/status");
        let response = request.send().await?;
        serde_json::from_slice(&response.body).map_err(|err| err.to_string())
    }

    /// Returns the usage of all accounts in one window.
    pub async fn usage(&self, window: u64) -> Usage {
        let request = self.request(Method::GET, &format!("/api/v1/usage?window={window}"));
        expect_success(request.send().await).json()
    }

    /// Returns the changes above the version `from`, without waiting for new ones.
    pub async fn changes(&self, from: u64) -> Watch {
        let path = format!("/api/v1/watch?from={from}&wait=0");
        expect_success(self.request(Method::GET, &path).send().await).json()
    }

    /// Returns all resources of a kind.
    pub async fn list(&self, kind: &str) -> Listing {
        let request = self.request(Method::GET, &format!("/api/v1/resources?kind={kind}"));
        expect_success(request.send().await).json()
    }
}

/// Returns the response; panics if there is none or its status is not 2xx.
fn expect_success(response: Result<Response, String>) -> Response {
    let response = response.expect("resource API responds");
    let text = String::from_utf8_lossy(&response.body);
    assert!(
        (200..300).contains(&response.status),
        "resource API responds with status {}, expected 2xx: {text}",
        response.status
    );
    response
}
