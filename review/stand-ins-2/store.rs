//! Store of the platform: objects with revisions, lists and watches.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Peer;

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Spec, status and revision of each object by kind and name.
    by_name: BTreeMap<(String, String), (String, String, u64)>,
    /// Kind, revision and text of each event.
    events: Vec<(String, u64, String)>,
}

fn object(name: &str, (spec, status, revision): &(String, String, u64)) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"createRev\":{revision},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
    )
}

/// Store that never fails and answers at once.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new((Mutex::new(Objects::default()), Condvar::new()));
        let store = Self { address, shared };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) -> u64 {
        let mut objects = self.shared.0.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let value = (spec.to_owned(), status.to_owned(), revision);
        let event = format!("{{\"deleted\":false,\"object\":{}}}", object(name, &value));
        objects
            .by_name
            .insert((kind.to_owned(), name.to_owned()), value);
        objects.events.push((kind.to_owned(), revision, event));
        self.shared.1.notify_all();
        revision
    }

    fn list(&self, kind: &str) -> String {
        let objects = self.shared.0.lock().unwrap();
        let of_kind = objects.by_name.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<_> = of_kind
            .map(|((_, name), value)| object(name, value))
            .collect();
        let (items, revision) = (items.join(","), objects.revision);
        format!("{{\"items\":[{items}],\"morePages\":false,\"currentRev\":{revision}}}")
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut objects = self.shared.0.lock().unwrap();
        loop {
            let new = objects
                .events
                .iter()
                .filter(|(k, r, _)| k == kind && *r > after);
            let events: Vec<_> = new.map(|(_, _, text)| text.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), objects.revision);
                return format!("{{\"events\":[{events}],\"currentRev\":{revision}}}");
            }
            objects = self.shared.1.wait_timeout(objects, left).unwrap().0;
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut peer = Peer::new(stream);
        while let Ok(Some(head)) = peer.head() {
            let Ok(body) = peer.body(head.length().unwrap_or(0)) else {
                return;
            };
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, text) = self.respond(head.request(), &body);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if peer.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, (method, target): (&str, &str), body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let rest = path.strip_prefix("/v1/objects/").unwrap_or("");
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let mut found = pairs.filter(|(n, _)| *n == name);
            found.next().and_then(|(_, v)| v.parse::<u64>().ok())
        };
        match (method, parameter("watch")) {
            ("GET", Some(after)) => {
                let wait = Duration::from_millis(parameter("waitMs").unwrap_or(0));
                (200, self.watch(kind, after, wait))
            }
            ("GET", None) => (200, self.list(kind)),
            ("POST" | "PUT", _) => {
                let spec = body.split_once("\"spec\":").map_or("null", |(_, s)| s);
                let spec = spec.strip_suffix('}').unwrap_or(spec);
                let named = body.split_once("\"name\":\"").map_or("", |(_, n)| n);
                let named = named.split('"').next().unwrap_or("");
                let name = if name.is_empty() { named } else { name };
                let key = (kind.to_owned(), name.to_owned());
                let known = self.shared.0.lock().unwrap().by_name.contains_key(&key);
                match (method, known) {
                    ("POST", true) => return (409, "{}".into()),
                    ("PUT", false) => return (404, "{}".into()),
                    _ => {}
                }
                let revision = self.put(kind, name, spec, "null");
                (
                    200,
                    object(name, &(spec.to_owned(), "null".to_owned(), revision)),
                )
            }
            _ => (404, "{}".into()),
        }
    }
}
