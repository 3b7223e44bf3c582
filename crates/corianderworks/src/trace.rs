//! Tells what happened to a request, from the logs of many daemons.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use jiff::Timestamp;
use serde::Serialize;
use serde_json::Value;

use crate::cli::Trace;
use crate::commands::{CommandError, print, read_file};

/// Time around the request within which other lines say something about it. Evidence about
/// a backend server fades within about this time.
const CONTEXT: Duration = Duration::from_secs(5);

/// A log line.
#[derive(Debug, Clone)]
struct Line {
    vm: String,
    at: Timestamp,
    fields: Value,
}

impl Line {
    /// Reads a line; a word before the JSON text names the VM.
    fn read(text: &str, file: &str) -> Option<Self> {
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

    fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or_default()
    }

    fn is_near(&self, at: Timestamp) -> bool {
        at.duration_since(self.at).unsigned_abs() <= CONTEXT
    }

    /// Attempts of the request of this line: server and how it ended.
    fn attempts(&self) -> Vec<(&str, &str)> {
        let mut attempts = Vec::new();
        let mut rest = self.text("servers");
        while let Some((before, after)) = rest.split_once("(busy ") {
            let server = before.rsplit(' ').next().unwrap_or(before);
            let (_, end) = after.split_once(')').unwrap_or((after, ""));
            let next = end.find("(busy ").map_or(end.len(), |at| {
                // The word before the next parenthesis is the next server.
                end[..at].rfind(' ').unwrap_or(0)
            });
            attempts.push((server, end[..next].trim()));
            rest = &end[next..];
        }
        attempts
    }
}

/// What the logs say about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Story {
    /// Id of the request.
    pub request: String,
    /// What happened, in order of the times in the logs, whose clocks may differ.
    pub steps: Vec<String>,
    /// What else the daemons saw within 5 s that bears on it.
    pub context: Vec<String>,
    /// Why it ended as it did.
    pub cause: String,
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for step in &self.steps {
            writeln!(f, "  {step}")?;
        }
        for line in &self.context {
            writeln!(f, "  around it: {line}")?;
        }
        write!(f, "cause: {}", self.cause)
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails if a file can't be read.
pub fn run(flags: &Trace) -> Result<(), CommandError> {
    let files: Vec<_> = flags
        .file
        .iter()
        .map(|path| Ok((name(path), read_file(path)?)))
        .collect::<Result<_, CommandError>>()?;
    let story = story(&flags.request, &files);
    print(flags.json, &story, &story)
}

fn name(path: &Path) -> String {
    path.file_stem()
        .map_or_else(String::new, |s| s.to_string_lossy().into_owned())
}

/// Builds the story of a request from the names and texts of log files.
pub fn story(request: &str, files: &[(String, String)]) -> Story {
    let lines = files.iter().flat_map(|(file, text)| {
        text.lines()
            .filter_map(|line| Line::read(line, file))
            .collect::<Vec<_>>()
    });
    let mut lines: Vec<_> = lines.collect();
    lines.sort_by_key(|line| line.at);
    let own: Vec<_> = lines
        .iter()
        .filter(|l| l.text("request") == request)
        .collect();
    let steps = own.iter().map(|line| step(line)).collect();
    let Some(last) = own.last() else {
        return Story {
            request: request.to_owned(),
            steps,
            context: lives(&lines, None),
            cause: "no line has this id: the daemon ended before it could answer, the line was \
                    left out (`omitted`), or the request went to no daemon of these logs"
                .to_owned(),
        };
    };
    let mut context = servers_seen(&lines, last);
    context.extend(lives(&lines, Some(last)));
    Story {
        request: request.to_owned(),
        steps,
        context,
        cause: cause(last),
    }
}

fn step(line: &Line) -> String {
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

/// Says how the servers of the request served others at that time.
fn servers_seen(lines: &[Line], own: &Line) -> Vec<String> {
    let near: Vec<_> = lines.iter().filter(|l| l.is_near(own.at)).collect();
    let mut seen = Vec::new();
    let mut servers: Vec<_> = own.attempts().into_iter().map(|(s, _)| s).collect();
    servers.dedup();
    for server in servers {
        let attempts = near.iter().flat_map(|l| l.attempts());
        let ends: Vec<_> = attempts.filter(|(s, _)| *s == server).collect();
        let bad = ends.iter().filter(|(_, end)| !end.is_empty()).count();
        let all = ends.len();
        seen.push(format!(
            "{server}: {bad} of {all} attempts of all daemons within 5 s were not served"
        ));
        let changes = near.iter().filter(|l| l.text("server") == server);
        let of_this_vm = changes.filter(|l| l.vm == own.vm);
        seen.extend(of_this_vm.map(|l| {
            let what = [l.text("what"), l.text("change")].concat();
            format!("{} {}: {server} {what}", l.at, l.text("message"))
        }));
    }
    seen
}

/// Starts and stops near a line, or all if there is none.
fn lives(lines: &[Line], own: Option<&&Line>) -> Vec<String> {
    let messages = ["daemon: starting", "daemon: stopping", "daemon: stopped"];
    let bears = |l: &&Line| own.is_none_or(|own| l.vm == own.vm && l.is_near(own.at));
    lines
        .iter()
        .filter(|l| messages.contains(&l.text("message")))
        .filter(bears)
        .map(|l| format!("{} {} {}", l.at, l.vm, l.text("message")))
        .collect()
}

fn cause(line: &Line) -> String {
    let attempts = line.attempts();
    let ran = match attempts.last() {
        // The line is written when the work is dropped, without its attempts.
        None if line.text("reason") == "caller-left" => {
            "its attempts are not in the log".to_owned()
        }
        None => "it was sent to no backend server".to_owned(),
        Some((server, _)) => format!("attempts: {}, the last at {server}", attempts.len()),
    };
    let why = match line.text("reason") {
        "served" => "served",
        "server-failed" => "a backend server ran it and answered with a failure",
        "no-configuration" => "the daemon knew no configuration yet",
        "no-route" => "no route matches",
        "no-server" => "the service has no backend server that accepts requests",
        "no-capacity" => "no backend server could finish in the time left",
        "servers-full" => "backend servers refused it as full",
        "unreachable" => "no backend server could be connected",
        "stopping" => "the daemon was stopping",
        "no-response" => "it was sent and its response is missing or broken",
        "timed-out" => "the deadline or the route's timeout passed while a server worked",
        "caller-left" => "the caller closed its connection",
        other => other,
    };
    let mut text = format!("{why}; {ran}");
    if line.text("servers").contains("no budget") {
        text.push_str("; the fleet's repeats of the last 10 s were spent");
    }
    text
}
