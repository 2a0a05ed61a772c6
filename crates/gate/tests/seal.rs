//! Calls to control processes, sealed with the cluster key.

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
const OTHER: &str = "fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210";

fn secret(text: &str) -> Secret {
    Secret::from_hex(text).expect("a key")
}

/// A control process that accepts any seal and answers with its own.
async fn control(key: &'static str) -> (SocketAddr, ServerHandle) {
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
fn an_answer_with_the_cluster_key_is_taken() {
    run(async {
        let (address, _server) = control(KEY).await;
        let rpc = Rpc::new("host-1".to_owned(), Some(secret(KEY)));
        let response = rpc
            .sync(address, Request::default())
            .await
            .expect("an answer");
        assert_eq!(response.version, 7);
    });
}

#[test]
fn an_answer_with_another_key_is_refused() {
    run(async {
        let (address, _server) = control(OTHER).await;
        let rpc = Rpc::new("host-1".to_owned(), Some(secret(KEY)));
        let refused = rpc.sync(address, Request::default()).await;
        assert!(matches!(refused, Err(Error::Seal(_))), "{refused:?}");
    });
}
