//! Commands that query a running daemon over HTTP.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfy_table::{Table, presets};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::alarms::AlarmKind;
use crate::cli;
use crate::commands::{CommandError, print};
use crate::reasons::Reason;
use crate::status_types::{Explanation, Status};

/// Time limit for the complete response of a daemon.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the body of a response, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Characters besides ASCII letters and digits that are not percent-encoded in a query.
const UNRESERVED: &[u8] = b"-._~/";

/// Prints the state of a daemon.
pub async fn status(flags: &cli::Status) -> Result<(), CommandError> {
    let status: Status = get(flags.daemon, "/v1/status").await?;
    print(flags.json, &status, status_text(&status))
}

/// Prints whether a daemon would admit a request, and why.
pub async fn explain(flags: &cli::Explain) -> Result<(), CommandError> {
    let target = format!(
        "/v1/explain?customer={}&method={}&path={}",
        percent_encoded(&flags.customer),
        percent_encoded(flags.method.as_deref().unwrap_or("GET")),
        percent_encoded(&flags.path)
    );
    let explanation: Explanation = get(flags.daemon, &target).await?;
    print(flags.json, &explanation, explanation_text(&explanation))
}

async fn get<T>(daemon: SocketAddr, target: &str) -> Result<T, CommandError>
where
    T: DeserializeOwned,
{
    let unavailable =
        |error: String| CommandError::Unavailable(format!("daemon at {daemon}: {error}"));
    match tokio::time::timeout(TIMEOUT, fetch(daemon, target)).await {
        Ok(Ok(body)) => {
            serde_json::from_slice(&body).map_err(|e| unavailable(format!("invalid response: {e}")))
        }
        Ok(Err(error)) => Err(unavailable(error)),
        Err(_) => Err(unavailable(format!("no response within {TIMEOUT:?}"))),
    }
}

async fn fetch(daemon: SocketAddr, target: &str) -> Result<Bytes, String> {
    let client =
        Client::builder(TokioExecutor::new()).build::<_, Empty<Bytes>>(HttpConnector::new());
    let uri = format!("http://{daemon}{target}");
    let uri: http::Uri = uri.parse().map_err(|e| format!("invalid request: {e}"))?;
    let response = client.get(uri).await.map_err(|e| e.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES);
    let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
    if status != http::StatusCode::OK {
        return Err(format!(
            "status {status}: {}",
            String::from_utf8_lossy(&body)
        ));
    }
    Ok(body)
}

fn percent_encoded(text: &str) -> String {
    let mut percent_encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || UNRESERVED.contains(&byte) {
            percent_encoded.push(char::from(byte));
        } else {
            let _ = write!(percent_encoded, "%{byte:02X}");
        }
    }
    percent_encoded
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header.iter().copied());
    table
}

fn status_text(status: &Status) -> String {
    let mut text = format!(
        "{} in {}/{}: {}, up {} s\n",
        status.name,
        status.region,
        status.domain,
        match (status.draining, status.ready) {
            (true, _) => "draining",
            (false, true) => "ready",
            (false, false) => "not ready",
        },
        status.uptime_s
    );
    text += &match &status.configuration {
        Some(c) => format!(
            "configuration {} by {} at {}: {}\n",
            c.version, c.who, c.when, c.reason
        ),
        None => "no configuration yet\n".to_owned(),
    };
    text += &match (status.platform.reachable, status.platform.last_success_s) {
        (true, _) => "platform reachable\n".to_owned(),
        (false, Some(s)) => format!("platform unreachable, last successful call {s} s ago\n"),
        (false, None) => "platform unreachable since the start of the daemon\n".to_owned(),
    };
    for alarm in &status.alarms {
        let advice = AlarmKind::from_name(&alarm.name).map_or("", AlarmKind::advice);
        text += &format!("ALARM {}: {}\n  {advice}\n", alarm.name, alarm.text);
    }
    let (members_table, services_table, upstreams_table) = (
        members_table(status),
        services_table(status),
        upstreams_table(status),
    );
    format!("{text}\n{members_table}\n\n{services_table}\n\n{upstreams_table}")
}

fn members_table(status: &Status) -> Table {
    let mut table = table(&["member", "domain", "state", "version"]);
    for m in &status.members {
        let domain = format!("{}/{}", m.region, m.domain);
        table.add_row([&m.name, &domain, &m.state, &m.version.to_string()]);
    }
    table
}

fn services_table(status: &Status) -> Table {
    let mut table = table(&["service", "healthy", "floor", "queued", "permits", "homes"]);
    for s in &status.services {
        let permits: Vec<String> = s.permits.iter().map(u32::to_string).collect();
        table.add_row([
            s.name.clone(),
            s.healthy.to_string(),
            s.floor.to_string(),
            s.queued.to_string(),
            permits.join(" "),
            s.homes.join(" "),
        ]);
    }
    table
}

fn upstreams_table(status: &Status) -> Table {
    let mut table = table(&["upstream", "service", "state", "slots in use", "reason"]);
    for s in &status.services {
        for u in &s.upstreams {
            table.add_row([
                u.name.clone(),
                s.name.clone(),
                u.state.clone(),
                format!("{}/{}", u.in_use, u.slots),
                u.reason.clone().unwrap_or_default(),
            ]);
        }
    }
    table
}

fn explanation_text(explanation: &Explanation) -> String {
    let none = || "none".to_owned();
    let mut table = table(&["", ""]);
    let route = match (&explanation.service, &explanation.route) {
        (Some(service), Some(route)) => format!("{service}/{route}"),
        _ => none(),
    };
    let rows = [
        ("configuration", explanation.version.to_string()),
        ("plan", explanation.plan.clone().unwrap_or_else(none)),
        ("route", route),
        ("homes", explanation.homes.join(" ")),
        ("limit homes", explanation.limit_homes.join(" ")),
    ];
    for (name, value) in rows {
        table.add_row([name.to_owned(), value]);
    }
    let mut text = format!("{table}\n");
    for step in &explanation.steps {
        text += &format!("- {step}\n");
    }
    match &explanation.reason {
        None if explanation.admitted => text + "the request would be admitted",
        reason => {
            let reason = reason.as_deref().unwrap_or("unspecified");
            let advice = Reason::from_name(reason).map_or("", Reason::advice);
            format!("{text}the request would be refused: {reason}\n{advice}")
        }
    }
}
