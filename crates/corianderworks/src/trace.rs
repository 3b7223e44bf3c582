//! Reconstructs what happened to a request from the logs of several daemons.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use corianderworks_edge::reason::Reason;
use jiff::Timestamp;
use serde::Serialize;
use serde_json::Value;

use crate::cli::Trace;
use crate::commands::{CommandError, print, read_file};

/// Maximum time between the last log line of the request and another line that is reported as its
/// context. The evidence that daemons keep about a backend server decays within about this time.
const CONTEXT_WINDOW: Duration = Duration::from_secs(5);

/// JSON log line of a daemon.
#[derive(Debug, Clone)]
struct LogLine {
    vm: String,
    at: Timestamp,
    fields: Value,
}

impl LogLine {
    /// Parses a line of a log file. The word before the JSON text is the name of the VM; without
    /// one, `file` is used. Returns `None` for text that is not a log line.
    fn parse(text: &str, file: &str) -> Option<Self> {
        let (prefix, json) = text.split_at(text.find('{')?);
        let fields: Value = serde_json::from_str(json).ok()?;
        let at = fields["timestamp"].as_str()?.parse().ok()?;
        let vm = prefix.split_whitespace().next_back().unwrap_or(file);
        Some(Self {
            vm: vm.to_owned(),
            at,
            fields,
        })
    }

    /// Returns a field of the line; empty if it is absent or not a string.
    fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or_default()
    }

    fn is_in_context(&self, at: Timestamp) -> bool {
        at.duration_since(self.at).unsigned_abs() <= CONTEXT_WINDOW
    }

    /// Returns the server and the end of each attempt of the request; the end of an attempt that
    /// was served is empty.
    fn attempts(&self) -> Vec<(&str, &str)> {
        let mut attempts = Vec::new();
        let mut rest = self.text("servers");
        while let Some((before, after)) = rest.split_once("(busy ") {
            let server = before.rsplit(' ').next().unwrap_or(before);
            let (_, end) = after.split_once(')').unwrap_or((after, ""));
            let next = end.find("(busy ").map_or(end.len(), |at| {
                // The last word before the next parenthesis names the next server.
                end[..at].rfind(' ').unwrap_or(0)
            });
            attempts.push((server, end[..next].trim()));
            rest = &end[next..];
        }
        attempts
    }
}

/// Events of one request and their context, collected from the logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RequestTrace {
    /// Id of the request, as passed on the command line.
    pub request: String,
    /// One entry for each log line of the request, sorted by timestamp. The clocks of the VMs may
    /// differ, so the order of lines from different VMs is approximate. Empty if no line has the
    /// id.
    pub steps: Vec<String>,
    /// Related events within 5 s of the last line of the request: results of all attempts at the
    /// same servers, and state changes, starts and stops of the daemon. If no line has the id, all
    /// starts and stops of the daemons in the logs.
    pub context: Vec<String>,
    /// Why the request ended as it did, with its number of attempts.
    pub cause: String,
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for step in &self.steps {
            writeln!(f, "  {step}")?;
        }
        for line in &self.context {
            writeln!(f, "  context: {line}")?;
        }
        write!(f, "cause: {}", self.cause)
    }
}

/// Runs the `trace` command.
///
/// # Errors
///
/// Fails if a file can't be read.
pub fn run(flags: &Trace) -> Result<(), CommandError> {
    let files: Vec<_> = flags
        .file
        .iter()
        .map(|path| Ok((vm_name(path), read_file(path)?)))
        .collect::<Result<_, CommandError>>()?;
    let request_trace = request_trace(&flags.request, &files);
    print(flags.json, &request_trace, &request_trace)
}

/// Returns the name of a log file without its extension, which serves as the name of the VM.
fn vm_name(path: &Path) -> String {
    path.file_stem()
        .map_or_else(String::new, |s| s.to_string_lossy().into_owned())
}

/// Collects the events of a request from the names and contents of log files.
pub fn request_trace(request: &str, files: &[(String, String)]) -> RequestTrace {
    let lines = files.iter().flat_map(|(file, text)| {
        text.lines()
            .filter_map(|line| LogLine::parse(line, file))
            .collect::<Vec<_>>()
    });
    let mut lines: Vec<_> = lines.collect();
    lines.sort_by_key(|line| line.at);
    let matching: Vec<_> = lines
        .iter()
        .filter(|l| l.text("request") == request)
        .collect();
    let steps = matching.iter().map(|line| step(line)).collect();
    let Some(last) = matching.last() else {
        return RequestTrace {
            request: request.to_owned(),
            steps,
            context: lifecycle_events(&lines, None),
            cause: "no line has this id: the daemon ended before it could respond, the line was \
                    suppressed (`omitted`), or the request reached none of the daemons whose logs \
                    were given"
                .to_owned(),
        };
    };
    let mut context = server_context(&lines, last);
    context.extend(lifecycle_events(&lines, Some(last)));
    RequestTrace {
        request: request.to_owned(),
        steps,
        context,
        cause: cause(last),
    }
}

fn step(line: &LogLine) -> String {
    let took_ms = line.fields["took_ms"].as_u64().unwrap_or_default();
    let (at, vm, message) = (line.at, &line.vm, line.text("message"));
    let mut text = format!("{at} {vm} {message}: {}", line.text("reason"));
    if let Some(status) = line.fields["status"].as_u64() {
        text.push_str(&format!(", status {status}"));
    }
    text.push_str(&format!(", {took_ms} ms"));
    for field in ["route", "service", "servers"] {
        if !line.text(field).is_empty() {
            text.push_str(&format!(", {field} {}", line.text(field)));
        }
    }
    text
}

/// Returns how many attempts of all daemons at the servers of the request were not served around
/// its time, and how this daemon's view of the servers changed.
fn server_context(lines: &[LogLine], matching: &LogLine) -> Vec<String> {
    let nearby: Vec<_> = lines
        .iter()
        .filter(|l| l.is_in_context(matching.at))
        .collect();
    let mut descriptions = Vec::new();
    let mut servers: Vec<_> = matching.attempts().into_iter().map(|(s, _)| s).collect();
    servers.dedup();
    for server in servers {
        let attempts = nearby.iter().flat_map(|l| l.attempts());
        let server_attempts: Vec<_> = attempts.filter(|(s, _)| *s == server).collect();
        let unserved = server_attempts
            .iter()
            .filter(|(_, end)| !end.is_empty())
            .count();
        let total = server_attempts.len();
        descriptions.push(format!(
            "{server}: {unserved} of {total} attempts of all daemons within 5 s were not served"
        ));
        let changes = nearby.iter().filter(|l| l.text("server") == server);
        let of_this_vm = changes.filter(|l| l.vm == matching.vm);
        descriptions.extend(
            of_this_vm.map(|l| format!("{} {}: {server} {}", l.at, l.text("message"), change(l))),
        );
    }
    descriptions
}

/// Describes what a line about a server says has changed.
fn change(line: &LogLine) -> String {
    let (evidence, source) = (line.text("evidence"), line.text("source"));
    match line.text("message") {
        "servers: suspected" => {
            format!("{evidence} ({source}), failing {}", line.text("failing"))
        }
        "servers: no longer suspected" => {
            let number = |field: &str| line.fields[field].as_u64().unwrap_or_default();
            let (ms, failures) = (number("suspected_ms"), number("failures"));
            let because = match evidence {
                "none" => "no evidence for some time".to_owned(),
                evidence => format!("{evidence} ({source})"),
            };
            format!("{because}, after {ms} ms and {failures} failures")
        }
        _ => [line.text("what"), line.text("change")].concat(),
    }
}

/// Returns the starts and stops of the line's daemon around its time, or those of all daemons if
/// there is no line.
fn lifecycle_events(lines: &[LogLine], matching: Option<&&LogLine>) -> Vec<String> {
    let messages = ["daemon: starting", "daemon: stopping", "daemon: stopped"];
    let is_relevant = |l: &&LogLine| {
        matching.is_none_or(|matching| l.vm == matching.vm && l.is_in_context(matching.at))
    };
    lines
        .iter()
        .filter(|l| messages.contains(&l.text("message")))
        .filter(is_relevant)
        .map(|l| format!("{} {} {}", l.at, l.vm, l.text("message")))
        .collect()
}

fn cause(line: &LogLine) -> String {
    let attempts = line.attempts();
    let attempts_text = match attempts.last() {
        // Older daemons log this line without the attempts.
        None if line.text("reason") == "caller-left" && line.fields["servers"].is_null() => {
            "its attempts are not in the log".to_owned()
        }
        None => "it was sent to no backend server".to_owned(),
        Some((server, _)) => format!("attempts: {}, the last at {server}", attempts.len()),
    };
    let reason_name = line.text("reason");
    let reason_text = Reason::from_name(reason_name).map_or(reason_name, |r| r.explanation());
    let mut text = format!("{reason_text}; {attempts_text}");
    if line.text("servers").contains("no budget") {
        text.push_str("; the fleet's retry budget for the last 10 s was used up");
    }
    text
}
