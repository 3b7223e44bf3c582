//! Listeners and registrations of upstreams, and the configuration of the operator.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, Peer};
use crate::store::Store;

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// Starts an upstream of a service, which is registered in the store and writes there every 1.5 s.
/// `serve` gets each connection.
pub fn start<F>(store: &Store, service: &str, number: usize, serve: F) -> io::Result<()>
where
    F: Fn(TcpStream, &str) + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let id = format!("i-{service}-{number}");
    let (serve, own_id) = (Arc::new(serve), id.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (serve, id) = (serve.clone(), own_id.clone());
            thread::spawn(move || serve(stream, &id));
        }
    });
    let born = unix_ms();
    let zone = ["a", "b", "c"][number % 3];
    let spec = format!(
        "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
         \"zone\":\"{zone}\",\"slots\":6}},\"born\":{born}}}"
    );
    let (store, name) = (store.clone(), id);
    let sequence = AtomicU64::new(1);
    let beat = move || {
        let sequence = sequence.fetch_add(1, Ordering::Relaxed);
        let status = format!(
            "{{\"state\":\"ready\",\"sequence\":{sequence},\"coldRemainingMs\":0,\"born\":{born}}}"
        );
        store.put("servers", &name, &spec, &status);
    };
    beat();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(1500));
            beat();
        }
    });
    Ok(())
}

/// Whether a request expects this upstream. If not, it is answered with 421.
pub fn is_expected(peer: &mut Peer, head: &Head, id: &str) -> bool {
    if head
        .get("expected-instance")
        .is_none_or(|expected| expected == id)
    {
        return true;
    }
    let answer = format!(
        "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nRequest-Id: {}\r\n\
         Content-Length: 0\r\n\r\n",
        head.get("request-id").unwrap_or("")
    );
    let _ = peer.send(answer.as_bytes());
    false
}

/// Head of a successful answer without its framing.
pub fn ok_head(request: &Head) -> String {
    let id = request.get("request-id").unwrap_or("");
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: 3e1b.07.{id}\r\n")
}

/// Route of the configuration: path prefix, kind, time limit, aim and service.
pub type Route<'a> = (&'a str, &'a str, u64, u64, &'a str);

/// Writes the configuration with one host.
pub fn configure(store: &Store, host: &str, routes: &[Route<'_>]) {
    let mut names: Vec<_> = routes.iter().map(|r| r.4).collect();
    names.sort_unstable();
    names.dedup();
    let services: Vec<_> = names
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthCheckPath\":\"/health\",\"maxConnections\":360,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    let paths: Vec<_> = routes
        .iter()
        .map(|(prefix, kind, timeout_ms, target_ms, service)| {
            format!(
                "{{\"name\":\"r{}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
                 \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\"priority\":1,\
                 \"service\":\"{service}\",\"maxAttempts\":2}}",
                prefix.replace('/', "-")
            )
        })
        .collect();
    let spec = format!(
        "{{\"version\":\"r7\",\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"hosts\":[{{\"host\":\"{host}\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    );
    store.put("config", "main", &spec, "null");
}
