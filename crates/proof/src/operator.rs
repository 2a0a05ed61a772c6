//! Client of the resource API.

use std::net::SocketAddr;

use agate_wire::api::{Apply, Item, KeyIssued, KeyRequest, Listing, Outcome, Status, Usage, Watch};
use agate_wire::change::Edit;
use agate_wire::manifest::Manifest;
use awc::http::Method;

use crate::http::{Request, Response};

/// Credential of the first admin.
pub const CREDENTIAL: &str = "proof-operator-credential";

/// An operator at the resource API of one host.
#[derive(Clone, Copy, Debug)]
pub struct Operator {
    /// Address of the resource API.
    pub address: SocketAddr,
}

impl Operator {
    /// A request with the operator's credential.
    pub fn request(&self, method: Method, path: &str) -> Request {
        let credential = format!("Bearer {CREDENTIAL}");
        Request::new(method, self.address, path).header("authorization", credential)
    }

    /// Declares resources together; the answer may be an error.
    pub async fn try_apply(
        &self,
        idempotency_key: &str,
        manifests: &[Manifest],
    ) -> Result<Response, String> {
        let items = manifests.iter().map(|it| Item {
            edit: Edit::Put {
                manifest: it.clone(),
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

    /// Declares resources together.
    pub async fn apply(&self, manifests: &[Manifest]) -> Outcome {
        let key = format!("apply-{:?}", std::time::Instant::now());
        let response = self.try_apply(&key, manifests).await;
        success(response).json()
    }

    /// Makes a key.
    pub async fn grant(&self, account: &str, id: &str) -> KeyIssued {
        let request = self.request(Method::POST, &format!("/api/v1/keys/{account}"));
        let key = KeyRequest {
            id: id.to_owned(),
            expires: None,
        };
        success(request.json(&key).send().await).json()
    }

    /// Withdraws a key.
    pub async fn withdraw(&self, id: &str) -> Outcome {
        let request = self.request(Method::DELETE, &format!("/api/v1/keys/{id}"));
        success(request.send().await).json()
    }

    /// State of the system as this host sees it.
    pub async fn status(&self) -> Result<Status, String> {
        let request = self.request(Method::GET, "/api/v1/status");
        let response = request.send().await?;
        serde_json::from_slice(&response.body).map_err(|err| err.to_string())
    }

    /// Usage of one window.
    pub async fn usage(&self, window: u64) -> Usage {
        let request = self.request(Method::GET, &format!("/api/v1/usage?window={window}"));
        success(request.send().await).json()
    }

    /// Changes above a version.
    pub async fn changes(&self, from: u64) -> Watch {
        let path = format!("/api/v1/watch?from={from}&wait=0");
        success(self.request(Method::GET, &path).send().await).json()
    }

    /// All resources of a kind.
    pub async fn list(&self, kind: &str) -> Listing {
        let request = self.request(Method::GET, &format!("/api/v1/resources?kind={kind}"));
        success(request.send().await).json()
    }
}

fn success(response: Result<Response, String>) -> Response {
    let response = response.expect("resource API answers");
    let text = String::from_utf8_lossy(&response.body);
    assert!(
        (200..300).contains(&response.status),
        "status {}: {text}",
        response.status
    );
    response
}
