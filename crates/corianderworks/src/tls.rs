//! Keys of a fleet: one authority, one certificate per daemon.

use corianderworks_lists::settings::Tls;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use thiserror::Error;

use crate::peer::CERTIFICATE_NAME;

/// Why keys can't be made.
#[derive(Debug, Error)]
#[error("keys can't be made: {0}")]
pub struct KeyError(#[from] rcgen::Error);

/// Authority that vouches for the daemons of one fleet.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate_pem: String,
}

impl Authority {
    /// Creates an authority with a new key.
    pub fn new() -> Result<Self, KeyError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params
            .distinguished_name
            .push(DnType::CommonName, "corianderworks fleet authority");
        let certificate_pem = params.self_signed(&key)?.pem();
        Ok(Self {
            issuer: Issuer::new(params, key),
            certificate_pem,
        })
    }

    /// Issues the certificate and key of a daemon.
    pub fn issue(&self, daemon: &str) -> Result<Tls, KeyError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![CERTIFICATE_NAME.to_owned()])?;
        params.distinguished_name.push(DnType::CommonName, daemon);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(Tls {
            authority_pem: self.certificate_pem.clone(),
            certificate_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
        })
    }
}
