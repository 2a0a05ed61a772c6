//! Certificates towards callers.

use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;
use std::sync::Arc;

use rustls::ServerConfig;
use rustls::crypto::ring;

use crate::settings::Tls;

/// Why a certificate can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file can't be read, or is not PEM.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What happened.
        source: io::Error,
    },
    /// The key file has no private key.
    #[error("{0}: no private key")]
    NoKey(String),
    /// Certificate and key do not fit together, or are malformed.
    #[error("certificate refused: {0}")]
    Refused(#[from] rustls::Error),
}

/// Reads certificate and key.
pub fn load(settings: &Tls) -> Result<ServerConfig, Error> {
    let mut chain = open(&settings.certificate)?;
    let certificates: Result<Vec<_>, _> = rustls_pemfile::certs(&mut chain).collect();
    let certificates = certificates.map_err(|source| file(&settings.certificate, source))?;
    let mut key = open(&settings.key)?;
    let key = rustls_pemfile::private_key(&mut key)
        .map_err(|source| file(&settings.key, source))?
        .ok_or_else(|| Error::NoKey(settings.key.display().to_string()))?;
    let provider = Arc::new(ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(certificates, key)?;
    Ok(config)
}

fn open(path: &Path) -> Result<BufReader<File>, Error> {
    let opened = File::open(path).map_err(|source| file(path, source))?;
    Ok(BufReader::new(opened))
}

fn file(path: &Path, source: io::Error) -> Error {
    Error::File {
        path: path.display().to_string(),
        source,
    }
}
