//! Connections of callers, with a responder of the test in place of a forwarder.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;

use agate_edge::response::{Adapter, Responder, Response};
use agate_edge::server::{self, Incoming};
use futures_util::future::LocalBoxFuture;
use support::{is_complete, read_response, request, status};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Panics while it handles a request.
struct Faulty;

impl Responder for Faulty {
    fn respond<'a>(&'a self, _incoming: &'a Incoming) -> LocalBoxFuture<'a, Response> {
        Box::pin(async { panic!("a fault of the program") })
    }
}

// Guards against: a panic while a request is handled ends its connection without a response.
#[actix_rt::test]
async fn a_request_whose_handling_panics_gets_a_response_that_denies_nothing() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = server::bind(any).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Rc::new(Adapter(Faulty));
    actix_rt::spawn(server::serve(listener, handler, std::future::pending()));
    for id in ["r1", "r2"] {
        let mut caller = TcpStream::connect(address).await.expect("connected");
        let text = request("book", id, "body");
        caller.write_all(text.as_bytes()).await.expect("written");
        let response = read_response(&mut caller).await;
        assert!(is_complete(&response), "{response}");
        assert_eq!(status(&response), "500", "{response}");
        let head = response.to_lowercase();
        assert!(head.contains("connection: close"), "{response}");
    }
}
