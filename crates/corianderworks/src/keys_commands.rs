//! Certificates and private keys for the connections between daemons.

use std::path::Path;

use corianderworks_lists::settings::Tls;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::cli::New;
use crate::commands::{CommandError, read_file, write_file};

/// DNS name that the certificate of every daemon contains in addition to the daemon's own name, so
/// that a daemon can connect to an address without knowing the name of the daemon there.
pub const FLEET_NAME: &str = "corianderworks";

/// Name of the file with the certificate of the authority.
const AUTHORITY_FILE: &str = "authority.pem";

/// Name of the file with the private key of the authority. It is needed only to issue certificates.
const AUTHORITY_KEY_FILE: &str = "authority.key.pem";

/// Certificate authority of a fleet, which signs the certificates of its daemons.
#[derive(Debug)]
pub struct Authority {
    certificate_pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority with a new key pair. Returns it with its private key in PEM.
    pub fn new() -> Result<(Self, String), rcgen::Error> {
        let key = KeyPair::generate()?;
        let key_pem = key.serialize_pem();
        let certificate_pem = Self::params()?.self_signed(&key)?.pem();
        Ok((Self::load(certificate_pem, &key_pem)?, key_pem))
    }

    /// Restores an authority from its certificate and private key, both in PEM.
    pub fn load(certificate_pem: String, key_pem: &str) -> Result<Self, rcgen::Error> {
        let issuer = Issuer::new(Self::params()?, KeyPair::from_pem(key_pem)?);
        Ok(Self {
            certificate_pem,
            issuer,
        })
    }

    /// Issues a certificate with a new key pair to a daemon, valid for both server and client
    /// authentication.
    pub fn issue(&self, name: &str) -> Result<Tls, rcgen::Error> {
        let names = vec![name.to_owned(), FLEET_NAME.to_owned()];
        let mut params = CertificateParams::new(names)?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate()?;
        Ok(Tls {
            authority_pem: self.certificate_pem.clone(),
            certificate_pem: params.signed_by(&key, &self.issuer)?.pem(),
            key_pem: key.serialize_pem(),
        })
    }

    /// Returns the parameters of the authority's certificate. They are constant, so that the issuer
    /// can be restored from the private key alone.
    fn params() -> Result<CertificateParams, rcgen::Error> {
        let mut params = CertificateParams::new(Vec::new())?;
        let name = format!("{FLEET_NAME} authority");
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        Ok(params)
    }
}

/// Writes the certificates and private keys of the named daemons, and of the authority if the
/// folder has none.
pub fn new(flags: &New) -> Result<(), CommandError> {
    let folder = &flags.folder;
    if let Some(name) = flags.names.iter().find(|name| !is_host_name(name)) {
        let message = format!("`{name}` is not a name of 1 to 63 ASCII letters, digits and `-`");
        return Err(CommandError::Usage(message));
    }
    std::fs::create_dir_all(folder).map_err(|error| CommandError::File {
        action: "write",
        path: folder.clone(),
        error,
    })?;
    let authority = authority(folder)?;
    for name in &flags.names {
        let tls = authority.issue(name).map_err(failed)?;
        write_file(&folder.join(format!("{name}.pem")), &tls.certificate_pem)?;
        write_key(&folder.join(format!("{name}.key.pem")), &tls.key_pem)?;
    }
    println!(
        "{} daemon keys written to {}; do not copy {AUTHORITY_KEY_FILE} to the VMs",
        flags.names.len(),
        folder.display()
    );
    Ok(())
}

/// Checks that a name is valid both as a file name and as a DNS name in a certificate.
fn is_host_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
    !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed)
}

/// Loads the authority from a folder, or creates it there if its private key is absent.
fn authority(folder: &Path) -> Result<Authority, CommandError> {
    let (certificate, key) = (folder.join(AUTHORITY_FILE), folder.join(AUTHORITY_KEY_FILE));
    if key.exists() {
        return Authority::load(read_file(&certificate)?, &read_file(&key)?).map_err(failed);
    }
    let (authority, key_pem) = Authority::new().map_err(failed)?;
    write_file(&certificate, &authority.certificate_pem)?;
    write_key(&key, &key_pem)?;
    Ok(authority)
}

/// Writes a private key to a file, which is created with mode 0600 so that only its owner can read
/// it.
fn write_key(path: &Path, pem: &str) -> Result<(), CommandError> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mut options = std::fs::OpenOptions::new();
    let file = options.write(true).create(true).truncate(true).mode(0o600);
    file.open(path)
        .and_then(|mut file| file.write_all(pem.as_bytes()))
        .map_err(|error| CommandError::File {
            action: "write",
            path: path.to_owned(),
            error,
        })
}

fn failed(error: rcgen::Error) -> CommandError {
    CommandError::Failed(format!("cannot create keys: {error}"))
}
