//! Commands that check, read and change the lists.

use std::path::Path;

use comfy_table::{Table, presets};
use corianderworks_lists::apply::{Outcome, Request};
use corianderworks_lists::diff::Diff;
use corianderworks_lists::lists::{Customers, Plans};
use corianderworks_lists::manifest::AuditRecord;
use corianderworks_lists::parse::{self, Source};
use corianderworks_lists::settings::Settings;
use serde::Serialize;

use crate::cli::{Apply, Audit, Check, Diff as DiffFlags, Get, History, ListsCmd};
use crate::commands::{CommandError, print, read_file, write_file};
use crate::list_store;
use crate::platform::PlatformClient;

/// Name of the file that lists the customers.
const CUSTOMERS_FILE: &str = "customers.json";

/// Name of the file that lists the services and plans.
const PLANS_FILE: &str = "plans.json";

/// Name of the file that holds the version that the lists in the folder are based on.
const BASE_FILE: &str = "base-version";

/// Maximum number of versions that are searched for matching changes. It covers about a week at 670
/// changes a day and takes up to 5,000 reads from the platform.
const MAX_SCANNED_VERSIONS: u64 = 5_000;

/// Number of changes that `lists history` and `audit` show by default.
const DEFAULT_LIMIT: usize = 20;

/// Runs a `lists` command.
pub async fn run(command: ListsCmd) -> Result<(), CommandError> {
    match command {
        ListsCmd::Check(flags) => check(&flags),
        ListsCmd::Get(flags) => get(&flags).await,
        ListsCmd::Diff(flags) => diff(&flags).await,
        ListsCmd::Apply(flags) => apply(&flags).await,
        ListsCmd::History(flags) => history(&flags).await,
    }
}

/// Reads and checks both lists of a folder. The error contains the problems of both files.
pub fn read_lists(folder: &Path) -> Result<(Customers, Plans), CommandError> {
    let (customers, plans) = (folder.join(CUSTOMERS_FILE), folder.join(PLANS_FILE));
    let (customers_text, plans_text) = (read_file(&customers)?, read_file(&plans)?);
    let lists = parse::lists(
        Source {
            file: &customers.to_string_lossy(),
            text: &customers_text,
        },
        Source {
            file: &plans.to_string_lossy(),
            text: &plans_text,
        },
    )?;
    Ok(lists)
}

/// Reads and checks the settings of a daemon. Paths of PEM files are relative to the settings file.
pub fn read_settings(file: &Path) -> Result<Settings, CommandError> {
    let text = read_file(file)?;
    let source = Source {
        file: &file.to_string_lossy(),
        text: &text,
    };
    let folder = file.parent().unwrap_or(Path::new("."));
    let settings = parse::settings(source, |pem| std::fs::read_to_string(folder.join(pem)))?;
    Ok(settings)
}

#[derive(Debug, Serialize)]
struct Counts {
    customers: usize,
    plans: usize,
    services: usize,
    routes: usize,
    settings: Option<String>,
}

fn check(flags: &Check) -> Result<(), CommandError> {
    let result = check_files(flags);
    if let (true, Err(CommandError::Invalid(problems))) = (flags.json, &result) {
        print(true, &problems.0, "")?;
    }
    result
}

fn check_files(flags: &Check) -> Result<(), CommandError> {
    let lists = read_lists(&flags.folder);
    let settings = flags.settings.as_deref().map(read_settings).transpose();
    let ((customers, plans), settings) = match (lists, settings) {
        (Err(CommandError::Invalid(mut lists)), Err(CommandError::Invalid(settings))) => {
            lists.0.extend(settings.0);
            return Err(lists.into());
        }
        (lists, settings) => (lists?, settings?),
    };
    let counts = Counts {
        customers: customers.customers.len(),
        plans: plans.plans.len(),
        services: plans.services.len(),
        routes: plans.services.values().map(|s| s.routes.len()).sum(),
        settings: settings.map(|s| s.name),
    };
    let mut text = format!(
        "valid: {} customers, {} plans, {} services, {} routes",
        counts.customers, counts.plans, counts.services, counts.routes
    );
    if let Some(name) = &counts.settings {
        text = format!("{text}; settings of `{name}` are valid");
    }
    print(flags.json, &counts, text)
}

async fn get(flags: &Get) -> Result<(), CommandError> {
    let client = PlatformClient::new(flags.platform);
    let snapshot = list_store::snapshot(&client, flags.version).await?;
    let current = match (flags.version, list_store::manifest(&client).await?) {
        // When an older version is applied again, it replaces the version in force, which is
        // therefore its base.
        (Some(_), Some(manifest)) => manifest.version,
        _ => snapshot.version,
    };
    std::fs::create_dir_all(&flags.folder).map_err(|error| CommandError::File {
        action: "write",
        path: flags.folder.clone(),
        error,
    })?;
    write_json(&flags.folder.join(CUSTOMERS_FILE), &snapshot.customers)?;
    write_json(&flags.folder.join(PLANS_FILE), &snapshot.plans)?;
    write_file(&flags.folder.join(BASE_FILE), &format!("{current}\n"))?;
    let value = serde_json::json!({ "version": snapshot.version, "base_version": current });
    let folder = flags.folder.display();
    let text = format!(
        "version {} written to {folder}; a change will replace version {current}",
        snapshot.version
    );
    print(flags.json, &value, text)
}

fn write_json<T>(path: &Path, value: &T) -> Result<(), CommandError>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value)
        .map_err(|e| CommandError::Failed(format!("cannot write JSON: {e}")))?;
    write_file(path, &format!("{text}\n"))
}

async fn diff(flags: &DiffFlags) -> Result<(), CommandError> {
    let client = PlatformClient::new(flags.platform);
    let (customers, plans) = match (&flags.folder, flags.to) {
        (Some(folder), None) => read_lists(folder)?,
        (None, Some(version)) => {
            let snapshot = list_store::snapshot(&client, Some(version)).await?;
            (snapshot.customers, snapshot.plans)
        }
        _ => {
            let message = "specify either a folder or `--to VERSION`";
            return Err(CommandError::Usage(message.to_owned()));
        }
    };
    let old = list_store::snapshot(&client, flags.from).await?;
    let diff = Diff::between((&old.customers, &old.plans), (&customers, &plans));
    let text = if diff.is_empty() {
        format!("no difference from version {}", old.version)
    } else {
        diff.to_string()
    };
    print(flags.json, &diff, text)
}

async fn apply(flags: &Apply) -> Result<(), CommandError> {
    let (customers, plans) = read_lists(&flags.folder)?;
    let base_version = base_version(flags)?;
    let change_id = flags.change_id.clone().unwrap_or_else(new_change_id);
    let request = Request {
        customers,
        plans,
        base_version,
        change_id: change_id.clone(),
        who: flags.who.clone(),
        when: jiff::Timestamp::now(),
        reason: flags.reason.clone(),
    };
    let client = PlatformClient::new(flags.platform);
    let outcome = list_store::commit(&client, request).await;
    if flags.json {
        print(true, &outcome, "")?;
    }
    let text = apply_result(outcome, &change_id, base_version, flags)?;
    if !flags.json {
        println!("{text}");
    }
    Ok(())
}

/// Converts the outcome of `lists apply` to the text to print or to an error. A committed version
/// becomes the base version of the folder.
fn apply_result(
    outcome: Outcome,
    change_id: &str,
    base_version: u64,
    flags: &Apply,
) -> Result<String, CommandError> {
    match outcome {
        Outcome::Applied(applied) => {
            let base = flags.folder.join(BASE_FILE);
            write_file(&base, &format!("{}\n", applied.version))?;
            let committed = format!("version {} is committed", applied.version);
            if applied.diff.is_empty() {
                return Ok(format!(
                    "{committed}; an earlier attempt had already committed it"
                ));
            }
            let headline = applied.diff.headline();
            Ok(format!("{committed}: {headline}\n{}", applied.diff))
        }
        Outcome::Unchanged { version } => Ok(format!("no difference from version {version}")),
        Outcome::Outdated {
            version,
            since_base,
        } => Err(CommandError::Outdated(format!(
            "nothing was changed: version {version} is in force, your lists are based on \
             version {base_version}\n{}\nrun `lists get` with another folder, repeat your \
             edit there and apply it",
            changes_table(&since_base)
        ))),
        Outcome::Failed(error) => Err(CommandError::Unavailable(format!(
            "nothing was changed: {error}"
        ))),
        Outcome::Undetermined(error) => Err(CommandError::Undetermined(format!(
            "the result is unknown: {error}\nrepeat the command with \
             `--base {base_version} --change-id {change_id}`; it is applied at most once"
        ))),
    }
}

fn base_version(flags: &Apply) -> Result<u64, CommandError> {
    if let Some(base) = flags.base {
        return Ok(base);
    }
    let path = flags.folder.join(BASE_FILE);
    let text = read_file(&path)?;
    text.trim().parse().map_err(|_| {
        let path = path.display();
        CommandError::Usage(format!("{path} does not contain a version number"))
    })
}

fn new_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

async fn history(flags: &History) -> Result<(), CommandError> {
    let client = PlatformClient::new(flags.platform);
    let limit = flags.limit.unwrap_or(DEFAULT_LIMIT);
    let records = list_store::history(&client, limit, MAX_SCANNED_VERSIONS, |_| true).await?;
    print(flags.json, &records, changes_table(&records))
}

/// Prints the audit records that match the flags, newest first, each with its differences.
pub async fn audit(flags: &Audit) -> Result<(), CommandError> {
    let client = PlatformClient::new(flags.platform);
    let is_selected = |record: &AuditRecord| {
        let about = |text: &String| record.summary.iter().any(|line| line.contains(text));
        flags.who.as_ref().is_none_or(|who| record.who == *who)
            && flags.about.as_ref().is_none_or(about)
    };
    let limit = flags.limit.unwrap_or(DEFAULT_LIMIT);
    let records = list_store::history(&client, limit, MAX_SCANNED_VERSIONS, is_selected).await?;
    let text: Vec<String> = records.iter().map(record_text).collect();
    print(flags.json, &records, text.join("\n\n"))
}

fn record_text(record: &AuditRecord) -> String {
    format!(
        "version {} (from {}) by {} at {}, change {}\nreason: {}\n  {}",
        record.to_version,
        record.from_version,
        record.who,
        record.when,
        record.change_id,
        record.reason,
        record.summary.join("\n  ")
    )
}

fn changes_table(records: &[AuditRecord]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["version", "when", "who", "change", "reason"]);
    for record in records {
        let headline = record.summary.first().cloned().unwrap_or_default();
        table.add_row([
            record.to_version.to_string(),
            record.when.to_string(),
            record.who.clone(),
            headline,
            record.reason.clone(),
        ]);
    }
    table
}
