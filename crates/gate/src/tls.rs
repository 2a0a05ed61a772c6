//! Loads the certificate for callers.

use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;
use std::sync::Arc;

use rustls::ServerConfig;
use rustls::crypto::ring;

use crate::settings::Tls;

/// Reason why a certificate can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file can't be read, or is malformed PEM.
    #[error("can't read PEM file {path}: {source}")]
    File {
        /// Path of the file, as in the settings.
        path: String,
        /// Error of the system or of the PEM parser.
        source: io::Error,
    },
    /// The key file at this path contains no private key.
    #[error("no private key in PEM file {0}")]
    NoKey(String),
    /// Certificate and key don't match, or are malformed.
    #[error("can't use certificate and private key: {0}")]
    Refused(#[from] rustls::Error),
}

/// Reads certificate chain and private key and builds the TLS configuration. Clients are not asked
/// for certificates.
pub fn load(settings: &Tls) -> Result<ServerConfig, Error> {
    let mut chain = open(&settings.certificate)?;
    let certificates: Result<Vec<_>, _> = rustls_pemfile::certs(&mut chain).collect();
    let certificates = certificates.map_err(|source| file_error(&settings.certificate, source))?;
    let mut key = open(&settings.key)?;
    let key = rustls_pemfile::private_key(&mut key)
        .map_err(|source| file_error(&settings.key, source))?
        .ok_or_else(|| Error::NoKey(settings.key.display().to_string()))?;
    let provider = Arc::new(ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(certificates, key)?;
    Ok(config)
}

fn open(path: &Path) -> Result<BufReader<File>, Error> {
    let file = File::open(path).map_err(|source| file_error(path, source))?;
    Ok(BufReader::new(file))
}

fn file_error(path: &Path, source: io::Error) -> Error {
    Error::File {
        path: path.display().to_string(),
        source,
    }
}
