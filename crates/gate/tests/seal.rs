//! Calls to control processes that are sealed with the cluster key.

mod support;

use std::net::SocketAddr;
use std::time::SystemTime;

use agate_gate::sync::{Error, Rpc, Steer as _};
use agate_member::seal::{self, Sealed};
use agate_member::secret::Secret;
use agate_wire::sync::{METHOD, Request, Response};
use jsonrpsee::RpcModule;
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use support::run;

const KEY: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
const OTHER_KEY: &str = "fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210";

fn secret(text: &str) -> Secret {
    Secret::from_hex(text).expect("a key")
}

/// Starts a control process that accepts any seal and seals its responses with `key`.
async fn start_steer(key: &'static str) -> (SocketAddr, ServerHandle) {
    let server = ServerBuilder::default()
        .build("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = server.local_addr().expect("a bound socket");
    let mut module = RpcModule::new(());
    module
        .register_method(METHOD, move |params, (), _| {
            let request: Sealed = params.one()?;
            let response = Response {
                version: 7,
                ..Response::default()
            };
            let body = serde_json::to_string(&response).expect("JSON");
            let now = SystemTime::now();
            Ok::<_, ErrorObjectOwned>(seal::response(
                &secret(key),
                METHOD,
                &request,
                "host-2",
                now,
                body,
            ))
        })
        .expect("a method");
    (address, server.start(module))
}

#[test]
fn a_response_sealed_with_the_cluster_key_is_accepted() {
    run(async {
        let (address, _server) = start_steer(KEY).await;
        let rpc = Rpc::new("host-1".to_owned(), Some(secret(KEY)));
        let response = rpc
            .sync(address, Request::default())
            .await
            .expect("a response");
        assert_eq!(response.version, 7);
    });
}

#[test]
fn a_response_sealed_with_another_key_is_refused() {
    run(async {
        let (address, _server) = start_steer(OTHER_KEY).await;
        let rpc = Rpc::new("host-1".to_owned(), Some(secret(KEY)));
        let result = rpc.sync(address, Request::default()).await;
        assert!(matches!(result, Err(Error::Seal(_))), "{result:?}");
    });
}
