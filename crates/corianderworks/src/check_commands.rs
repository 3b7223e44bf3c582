//! Commands that check the files from which the users' platform starts edge daemons.

use std::fmt;
use std::path::Path;

use corianderworks_edge::daemon::metrics_endpoint;
use corianderworks_platform::deploy::DeployFile;
use corianderworks_platform::settings::{self, Settings};
use serde::Serialize;

use crate::cli::{CheckDeploy, CheckSettings};
use crate::commands::{CommandError, print, read_file};

/// Name of the deploy file in its folder.
const DEPLOY_FILE: &str = "system.toml";

/// Checks a settings file of an edge daemon and prints what the daemon reads from it.
///
/// # Errors
///
/// Fails with the exit code of invalid settings if the file can't be read or is invalid.
pub fn check_settings(flags: &CheckSettings) -> Result<(), CommandError> {
    let settings =
        settings::read(&flags.file).map_err(|error| CommandError::Usage(error.to_string()))?;
    let summary = SettingsSummary::of(&settings);
    print(flags.json, &summary, &summary)
}

/// What an edge daemon reads from its settings.
#[derive(Debug, Serialize)]
struct SettingsSummary {
    vm: String,
    region: String,
    domain: String,
    callers: String,
    ready: String,
    directory: String,
    peer_port: u16,
    store: String,
    seeds: usize,
    first_start: bool,
    capacity_millicores: u32,
    memory_bytes: usize,
    file_descriptors: usize,
    grace_period_ms: u64,
    apply_timeout_ms: u64,
    key_revocation_ms: Option<u64>,
    ranks_requests: bool,
}

impl SettingsSummary {
    fn of(settings: &Settings) -> Self {
        let ms = |time: std::time::Duration| time.as_millis() as u64;
        Self {
            vm: settings.vm.clone(),
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            callers: settings.callers.to_string(),
            ready: settings.ready.to_string(),
            directory: settings.directory.to_string(),
            peer_port: settings.peer_port,
            store: settings.store.to_string(),
            seeds: settings.seeds.len(),
            first_start: settings.first_start,
            capacity_millicores: settings.capacity_millicores,
            memory_bytes: settings.memory_bytes,
            file_descriptors: settings.file_descriptors,
            grace_period_ms: ms(settings.grace_period),
            apply_timeout_ms: ms(settings.apply_timeout),
            key_revocation_ms: settings.key_revocation.map(ms),
            ranks_requests: settings.ranks_requests,
        }
    }
}

impl fmt::Display for SettingsSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            vm, region, domain, ..
        } = self;
        writeln!(f, "VM {vm} in {region}/{domain}")?;
        writeln!(
            f,
            "callers {}, readiness {}, addresses {}, peers on port {}",
            self.callers, self.ready, self.directory, self.peer_port
        )?;
        let start = match self.first_start {
            true => "first start of the fleet",
            false => "joins a fleet",
        };
        writeln!(f, "store {}, {} seeds, {start}", self.store, self.seeds)?;
        writeln!(
            f,
            "{} thousandths of a core, {} bytes of memory, {} descriptors",
            self.capacity_millicores, self.memory_bytes, self.file_descriptors
        )?;
        let revocation = match self.key_revocation_ms {
            Some(ms) => format!("withdrawn keys refused within {ms} ms"),
            None => "no strict revocation".to_owned(),
        };
        let ranks = match self.ranks_requests {
            true => "requests ranked",
            false => "requests not ranked",
        };
        write!(
            f,
            "{} ms to stop, changes in force within {} ms, {revocation}, {ranks}",
            self.grace_period_ms, self.apply_timeout_ms
        )
    }
}

/// Checks the deploy file in a folder.
///
/// # Errors
///
/// Fails with the exit code of an invalid file if the file can't be read or has problems.
pub fn check_deploy(flags: &CheckDeploy) -> Result<(), CommandError> {
    let path = flags.folder.join(DEPLOY_FILE);
    let invalid = |error: String| CommandError::Usage(format!("{}: {error}", path.display()));
    let file = DeployFile::parse(&read_file(&path)?).map_err(|e| invalid(e.to_string()))?;
    // Programs start in the folder that contains the folder of the deploy file.
    let folder = flags
        .folder
        .canonicalize()
        .map_err(|error| CommandError::File {
            action: "read",
            path: flags.folder.clone(),
            error,
        })?;
    let root = folder.parent().unwrap_or(Path::new("/"));
    let problems = file.problems(root, &metrics_endpoint());
    if problems.is_empty() {
        let summary = DeploySummary {
            roles: file.roles.keys().cloned().collect(),
        };
        return print(flags.json, &summary, &summary);
    }
    Err(invalid(problems.join("; ")))
}

/// Roles of a deploy file without problems.
#[derive(Debug, Serialize)]
struct DeploySummary {
    roles: Vec<String>,
}

impl fmt::Display for DeploySummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no problems; roles: {}", self.roles.join(", "))
    }
}
