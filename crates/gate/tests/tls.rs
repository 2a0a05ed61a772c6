//! TLS for callers, reload of the certificate, and the handshake timeout.

mod support;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use agate_gate::activity::Phase;
use rustls::crypto::ring;
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use support::{Deployment, Endpoint, run, service, settings, text};
use tempfile::TempDir;

type Stream = StreamOwned<ClientConnection, TcpStream>;

fn data_path(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

/// Copies certificate and key `name` to the paths in the gate's settings.
fn install(directory: &TempDir, name: &str) {
    let copy = |from: String, to: &str| {
        std::fs::copy(data_path(&from), directory.path().join(to)).expect("a copy");
    };
    copy(format!("{name}.pem"), "certificate.pem");
    copy(format!("{name}.key.pem"), "key.pem");
}

/// Connects as a caller that trusts no certificate but `name`.
fn connect(address: SocketAddr, name: &str) -> Stream {
    let pem = std::fs::read(data_path(&format!("{name}.pem"))).expect("a certificate");
    let mut roots = RootCertStore::empty();
    for certificate in rustls_pemfile::certs(&mut pem.as_slice()) {
        roots
            .add(certificate.expect("PEM"))
            .expect("a trust anchor");
    }
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .expect("protocol versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = "gate.test".try_into().expect("a name");
    let connection = ClientConnection::new(Arc::new(config), name).expect("a connection");
    let socket = TcpStream::connect(address).expect("the gate listens");
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("an open socket");
    StreamOwned::new(connection, socket)
}

fn get(stream: &mut Stream) -> std::io::Result<String> {
    stream.write_all(b"GET /prices/1 HTTP/1.1\r\nhost: gate.test\r\n\r\n")?;
    read(stream)
}

/// Reads a response with the body `price`.
fn read(stream: &mut Stream) -> std::io::Result<String> {
    let mut buffer = [0; 4096];
    let mut received = Vec::new();
    while !received.ends_with(b"price") {
        match stream.read(&mut buffer)? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            count => received.extend_from_slice(&buffer[..count]),
        }
    }
    Ok(String::from_utf8(received).expect("text"))
}

async fn blocking<T: Send + 'static>(action: impl FnOnce() -> T + Send + 'static) -> T {
    actix_rt::task::spawn_blocking(action)
        .await
        .expect("no panic")
}

#[test]
fn a_reloaded_certificate_serves_new_connections_and_keeps_open_ones() {
    run(async {
        let directory = TempDir::new().expect("a directory");
        install(&directory, "one");
        let upstream = Endpoint::start(|_| async { text(200, "price") }).await;
        let mut settings = settings();
        settings.tls = Some(agate_gate::settings::Tls {
            certificate: directory.path().join("certificate.pem"),
            key: directory.path().join("key.pem"),
        });
        let deployment = Deployment::with(settings, vec![service("s1", upstream.address)]).await;
        let address = deployment.program.address();
        let (first, reply) = blocking(move || {
            let mut stream = connect(address, "one");
            let reply = get(&mut stream);
            (stream, reply)
        })
        .await;
        assert!(reply.expect("a response").starts_with("HTTP/1.1 200"));

        install(&directory, "two");
        deployment.program.reload().await.expect("a certificate");
        let (old_trust, new_trust, open) = blocking(move || {
            let mut first = first;
            let old_trust = get(&mut connect(address, "one"));
            let new_trust = get(&mut connect(address, "two"));
            (old_trust, new_trust, get(&mut first))
        })
        .await;
        assert!(old_trust.is_err());
        assert!(new_trust.expect("a response").starts_with("HTTP/1.1 200"));
        assert!(open.expect("a response").starts_with("HTTP/1.1 200"));

        std::fs::write(directory.path().join("key.pem"), "broken").expect("a file");
        assert!(deployment.program.reload().await.is_err());
        let unchanged = blocking(move || get(&mut connect(address, "two"))).await;
        assert!(unchanged.expect("a response").starts_with("HTTP/1.1 200"));
    });
}

// Guards against: a TLS connection is cut under a request, or not closed between two, when the gate closes.
#[test]
fn a_tls_connection_is_closed_between_two_requests_when_the_gate_closes() {
    run(async {
        let directory = TempDir::new().expect("a directory");
        install(&directory, "one");
        let upstream = Endpoint::start(|_| async { text(200, "price") }).await;
        let mut settings = settings();
        settings.keep_addresses = Duration::from_millis(50);
        settings.tls = Some(agate_gate::settings::Tls {
            certificate: directory.path().join("certificate.pem"),
            key: directory.path().join("key.pem"),
        });
        let deployment = Deployment::with(settings, vec![service("s1", upstream.address)]).await;
        let address = deployment.program.address();
        let (idle, sending) = blocking(move || {
            let mut idle = connect(address, "one");
            get(&mut idle).expect("a response");
            let mut sending = connect(address, "one");
            get(&mut sending).expect("a response");
            sending.write_all(b"GET /pri").expect("written");
            (idle, sending)
        })
        .await;
        let closing = actix_rt::spawn(deployment.program.close());
        support::until(|| deployment.gate.activity.phase() == Phase::Closing).await;
        let (end, reply) = blocking(move || {
            let (mut idle, mut sending) = (idle, sending);
            let end = idle.read(&mut [0]);
            std::thread::sleep(Duration::from_millis(300));
            sending
                .write_all(b"ces/1 HTTP/1.1\r\nhost: gate.test\r\n\r\n")
                .expect("written");
            (end, read(&mut sending))
        })
        .await;
        assert_eq!(end.expect("an announced end"), 0);
        let reply = reply.expect("a response");
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
        assert!(closing.await.expect("the shutdown ends").is_none());
    });
}

#[test]
fn a_connection_without_a_tls_handshake_is_closed_after_the_head_timeout() {
    run(async {
        let directory = TempDir::new().expect("a directory");
        install(&directory, "one");
        let mut settings = settings();
        settings.limits.head_timeout = Duration::from_millis(200);
        settings.tls = Some(agate_gate::settings::Tls {
            certificate: directory.path().join("certificate.pem"),
            key: directory.path().join("key.pem"),
        });
        let deployment = Deployment::with(settings, vec![]).await;
        let address = deployment.program.address();
        let bytes_read = blocking(move || {
            let mut silent = TcpStream::connect(address).expect("the gate listens");
            silent
                .set_read_timeout(Some(Duration::from_secs(10)))
                .expect("an open socket");
            silent.read(&mut [0; 16]).expect("a closed connection")
        })
        .await;
        assert_eq!(bytes_read, 0);
        support::until(|| deployment.gate.connections.get() == 0).await;
    });
}
