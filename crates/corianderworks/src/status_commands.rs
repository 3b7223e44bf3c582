//! Commands that ask a daemon.

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

/// Time for a daemon to respond.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Largest response of a daemon, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Characters that stand for themselves in a query.
const UNRESERVED: &[u8] = b"-._~/";

/// Shows the status of a daemon.
pub async fn status(flags: &cli::Status) -> Result<(), CommandError> {
    let status: Status = get(flags.daemon, "/v1/status").await?;
    print(flags.json, &status, status_text(&status))
}

/// Shows what would happen to a request.
pub async fn explain(flags: &cli::Explain) -> Result<(), CommandError> {
    let target = format!(
        "/v1/explain?customer={}&method={}&path={}",
        escaped(&flags.customer),
        escaped(flags.method.as_deref().unwrap_or("GET")),
        escaped(&flags.path)
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
            serde_json::from_slice(&body).map_err(|e| unavailable(format!("bad response: {e}")))
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

fn escaped(text: &str) -> String {
    let mut escaped = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || UNRESERVED.contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
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
        (false, Some(s)) => format!("platform not reachable for {s} s\n"),
        (false, None) => "platform not reachable since the start\n".to_owned(),
    };
    for alarm in &status.alarms {
        let advice = AlarmKind::from_name(&alarm.name).map_or("", AlarmKind::advice);
        text += &format!("ALARM {}: {}\n  {advice}\n", alarm.name, alarm.text);
    }
    let (members, services, upstreams) = (members(status), services(status), upstreams(status));
    format!("{text}\n{members}\n\n{services}\n\n{upstreams}")
}

fn members(status: &Status) -> Table {
    let mut table = table(&["member", "domain", "state", "version"]);
    for m in &status.members {
        let domain = format!("{}/{}", m.region, m.domain);
        table.add_row([&m.name, &domain, &m.state, &m.version.to_string()]);
    }
    table
}

fn services(status: &Status) -> Table {
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

fn upstreams(status: &Status) -> Table {
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
