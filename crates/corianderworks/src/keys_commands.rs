//! Keys for the connections between daemons.

use std::path::Path;

use corianderworks_lists::settings::Tls;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::cli::New;
use crate::commands::{CommandError, read_file, write_file};

/// Name that the certificate of every daemon carries besides its own, so that a
/// daemon can connect to an address whose daemon it does not know by name.
pub const FLEET_NAME: &str = "corianderworks";

/// File with the authority's certificate.
const AUTHORITY_FILE: &str = "authority.pem";

/// File with the authority's private key; only the issuer of keys needs it.
const AUTHORITY_KEY_FILE: &str = "authority.key.pem";

/// Certificate authority of a fleet.
#[derive(Debug)]
pub struct Authority {
    certificate_pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority and returns it with its private key.
    pub fn new() -> Result<(Self, String), rcgen::Error> {
        let key = KeyPair::generate()?;
        let key_pem = key.serialize_pem();
        let certificate_pem = Self::params()?.self_signed(&key)?.pem();
        Ok((Self::load(certificate_pem, &key_pem)?, key_pem))
    }

    /// Restores an authority from its certificate and private key.
    pub fn load(certificate_pem: String, key_pem: &str) -> Result<Self, rcgen::Error> {
        let issuer = Issuer::new(Self::params()?, KeyPair::from_pem(key_pem)?);
        Ok(Self {
            certificate_pem,
            issuer,
        })
    }

    /// Issues the keys of a daemon, valid as server and as client.
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

    /// The same for every run, so that the issuer can be restored from its key.
    fn params() -> Result<CertificateParams, rcgen::Error> {
        let mut params = CertificateParams::new(Vec::new())?;
        let name = format!("{FLEET_NAME} authority");
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        Ok(params)
    }
}

/// Writes the keys of some daemons, and the authority if there is none.
pub fn new(flags: &New) -> Result<(), CommandError> {
    let folder = &flags.folder;
    if let Some(name) = flags.names.iter().find(|name| !is_host_name(name)) {
        let message = format!("`{name}` is not a name of ASCII letters, digits and `-`");
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
        "{} daemon keys written to {}; keep {AUTHORITY_KEY_FILE} off the VMs",
        flags.names.len(),
        folder.display()
    );
    Ok(())
}

/// Names become file names and the names in certificates.
fn is_host_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
    !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed)
}

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

/// Writes a private key, readable by its owner only.
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
