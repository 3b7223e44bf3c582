//! Parts that the scripts share: a stand-in of the platform's store, backend servers, callers and
//! the processes under test. Standard library only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Record of the run, written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record file");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line that is also shown on standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// HTTP message: first line, headers in lower case, body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }
}

/// Reads the head of a message. `None` at the end of the connection or after an error.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let headers = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            return Some(Message { first_line, headers, body: Vec::new() });
        }
        if !fill(stream, buffer) {
            return None;
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut part = [0; 65536];
    match stream.read(&mut part) {
        Ok(0) | Err(_) => false,
        Ok(n) => {
            buffer.extend_from_slice(&part[..n]);
            true
        }
    }
}

/// Reads a message with a body that has a length or is sent in chunks.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut message = read_head(stream, buffer)?;
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let line_end = loop {
                if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
                    break end;
                }
                if !fill(stream, buffer) {
                    return None;
                }
            };
            let line = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
            let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            buffer.drain(..line_end + 2);
            while buffer.len() < size + 2 {
                if !fill(stream, buffer) {
                    return None;
                }
            }
            message.body.extend_from_slice(&buffer[..size]);
            buffer.drain(..size + 2);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !fill(stream, buffer) {
            return None;
        }
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}

/// Returns the text of the value of a member of a JSON object, without decoding it.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    let (mut start, mut key): (usize, Option<&str>) = (0, None);
    let mut string_start = 0;
    let mut last_string = "";
    for (at, byte) in bytes.iter().enumerate() {
        if escaped {
            escaped = false;
            continue;
        }
        match byte {
            b'\\' if in_string => escaped = true,
            b'"' => {
                in_string = !in_string;
                match in_string {
                    true => string_start = at + 1,
                    false => last_string = &text[string_start..at],
                }
            }
            _ if in_string => {}
            b'{' | b'[' => depth += 1,
            b':' if depth == 1 => {
                key = Some(last_string);
                start = at + 1;
            }
            b'}' | b']' | b',' => {
                if (*byte == b',' && depth == 1) || (*byte != b',' && depth == 1) {
                    if key == Some(name) {
                        return Some(text[start..at].trim());
                    }
                    key = None;
                }
                if *byte != b',' {
                    depth -= 1;
                }
            }
            _ => {}
        }
    }
    None
}

fn unquoted(text: &str) -> String {
    text.trim_matches('"').to_owned()
}

#[derive(Clone)]
struct Object {
    revision: u64,
    create_revision: u64,
    spec: Arc<str>,
    status: Arc<str>,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"createRev\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.revision, self.create_revision, self.spec, self.status
        )
    }
}

struct Event {
    revision: u64,
    at: Instant,
    kind: String,
    json: Arc<str>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Events up to this revision are gone.
    forgotten: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

impl StoreState {
    fn change(&mut self, kind: &str, name: &str, json: String, history: Duration) {
        let event = Event {
            revision: self.revision,
            at: Instant::now(),
            kind: kind.to_owned(),
            json: json.into(),
        };
        let _ = name;
        self.events.push(event);
        let keep_from = self.events.iter().position(|e| e.at.elapsed() < history);
        let gone: Vec<_> = self.events.drain(..keep_from.unwrap_or(0)).collect();
        if let Some(last) = gone.last() {
            self.forgotten = last.revision;
        }
    }

    fn forget(&mut self, history: Duration) {
        let keep_from = self.events.iter().position(|e| e.at.elapsed() < history);
        let count = keep_from.unwrap_or(self.events.len());
        if let Some(last) = self.events.drain(..count).last() {
            self.forgotten = last.revision;
        }
    }
}

/// How the store treats a machine.
pub const SERVES: u8 = 0;
/// 503 to every call; nothing is done.
pub const BUSY: u8 = 1;
/// No answer, and nothing is done.
pub const SILENT: u8 = 2;

/// Link of one machine to the store.
pub struct Link {
    pub address: SocketAddr,
    pub mode: AtomicU8,
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    /// Sends bytes at the rate of the link, which all connections of the machine share.
    fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> bool {
        for part in bytes.chunks(4096) {
            if self.bytes_per_s > 0.0 {
                let wait_until = {
                    let mut free_at = self.free_at.lock().unwrap();
                    let start = (*free_at).max(Instant::now());
                    *free_at = start + Duration::from_secs_f64(part.len() as f64 / self.bytes_per_s);
                    *free_at
                };
                let wait = wait_until.saturating_duration_since(Instant::now());
                if wait > Duration::from_millis(2) {
                    std::thread::sleep(wait);
                }
            }
            if stream.write_all(part).is_err() {
                return false;
            }
        }
        true
    }
}

/// Stand-in of the platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    history: Duration,
    pub calls: Arc<AtomicUsize>,
    /// Value of the header `Store-Era`.
    era: Arc<AtomicU64>,
}

/// Copy of a store, from which it can come back.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

impl Store {
    /// Copies what the store holds now.
    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Replaces what the store holds by a copy. Its revisions are given out again, and a watch from one
    /// that it doesn't have gets 410.
    pub fn come_back_from(&self, copy: Copy) {
        let mut state = self.state.0.lock().unwrap();
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.events.clear();
        state.forgotten = copy.revision;
        self.era.fetch_add(1, Ordering::SeqCst);
    }

    pub fn revision(&self) -> u64 {
        self.state.0.lock().unwrap().revision
    }

    /// Returns the revision of an object, if there is one.
    pub fn revision_of(&self, kind: &str, name: &str) -> Option<u64> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|o| o.revision)
    }

    pub fn new(history: Duration) -> Self {
        let state = StoreState { revision: 100, forgotten: 0, ..StoreState::default() };
        Self { state: Arc::new((Mutex::new(state), Condvar::new())), history, calls: Arc::default(), era: Arc::new(AtomicU64::new(1)) }
    }

    /// Opens an address for one machine. `bytes_per_s` is the rate of its link; 0 is no limit.
    pub fn link(&self, bytes_per_s: f64) -> Arc<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let link = Arc::new(Link {
            address: listener.local_addr().unwrap(),
            mode: AtomicU8::new(SERVES),
            bytes_per_s,
            free_at: Mutex::new(Instant::now()),
        });
        let (store, served) = (self.clone(), link.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, link) = (store.clone(), served.clone());
                std::thread::spawn(move || store.serve(stream, &link));
            }
        });
        link
    }

    fn serve(&self, mut stream: TcpStream, link: &Link) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let (status, body) = match link.mode.load(Ordering::Relaxed) {
                BUSY => (503, "null".to_owned()),
                SILENT => {
                    std::thread::sleep(Duration::from_secs(20));
                    return;
                }
                _ => self.answer(&request, link),
            };
            if link.mode.load(Ordering::Relaxed) == SILENT {
                std::thread::sleep(Duration::from_secs(20));
                return;
            }
            std::thread::sleep(Duration::from_millis(4));
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n",
                self.era.load(Ordering::SeqCst),
                body.len()
            );
            if !link.send(&mut stream, head.as_bytes()) || !link.send(&mut stream, body.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, link: &Link) -> (u16, String) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameter = |name: &str| {
            query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let mut parts = path.trim_start_matches("/v1/objects/").splitn(3, '/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), name) {
            ("GET", None) => match parameter("watch").and_then(|v| v.parse().ok()) {
                Some(after) => {
                    let wait_ms = parameter("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                    self.watch(&kind, after, Duration::from_millis(wait_ms), link)
                }
                None => self.list(&kind, &parameter("after").unwrap_or_default()),
            },
            ("GET", Some(name)) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(object) => (200, object.json(&name)),
                    None => (404, "null".to_owned()),
                }
            }
            ("POST", None) => {
                let metadata = member(&body, "metadata").unwrap_or("{}");
                let name = unquoted(member(metadata, "name").unwrap_or("\"\""));
                let spec = member(&body, "spec").unwrap_or("null").to_owned();
                if self.state.0.lock().unwrap().objects.contains_key(&(kind.clone(), name.clone())) {
                    return (409, "null".to_owned());
                }
                self.put(&kind, &name, &spec, "null");
                (200, format!("{{\"metadata\":{{\"name\":\"{name}\"}}}}"))
            }
            ("PUT", Some(name)) => {
                let key = (kind.clone(), name.clone());
                let known = self.state.0.lock().unwrap().objects.get(&key).cloned();
                let Some(known) = known else { return (404, "null".to_owned()) };
                let revision = member(&body, "metadata").and_then(|m| member(m, "revision")).and_then(|r| r.parse().ok());
                if revision.is_some_and(|r: u64| r != known.revision) {
                    return (409, known.json(&name));
                }
                let value = member(&body, if is_status { "status" } else { "spec" }).unwrap_or("null");
                match is_status {
                    true => self.put(&kind, &name, &known.spec, value),
                    false => self.put(&kind, &name, value, &known.status),
                }
                (200, format!("{{\"metadata\":{{\"name\":\"{name}\"}}}}"))
            }
            ("DELETE", Some(name)) => match self.remove(&kind, &name) {
                true => (200, "null".to_owned()),
                false => (404, "null".to_owned()),
            },
            _ => (400, "null".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        let of_kind = state.objects.iter().filter(|((k, n), _)| k == kind && (after.is_empty() || n.as_str() > after));
        for ((_, name), object) in of_kind {
            if items.len() >= 500 || (bytes > 0 && bytes > 1_000_000) {
                more = true;
                break;
            }
            let json = object.json(name);
            bytes += json.len();
            items.push(json);
        }
        (200, format!("{{\"items\":[{}],\"morePages\":{more},\"currentRev\":{}}}", items.join(","), state.revision))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, link: &Link) -> (u16, String) {
        let (lock, changed) = &*self.state;
        let deadline = Instant::now() + wait;
        let mut state = lock.lock().unwrap();
        loop {
            state.forget(self.history);
            if after < state.forgotten || after > state.revision {
                return (410, "null".to_owned());
            }
            if link.mode.load(Ordering::Relaxed) == BUSY {
                return (503, "null".to_owned());
            }
            let events: Vec<_> = state.events.iter().filter(|e| e.kind == kind && e.revision > after).map(|e| e.json.clone()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                drop(state);
                let mut body = String::from("{\"events\":[");
                for (at, event) in events.iter().enumerate() {
                    if at > 0 {
                        body.push(',');
                    }
                    body.push_str(event);
                }
                body.push_str(&format!("],\"currentRev\":{revision}}}"));
                return (200, body);
            }
            state = changed.wait_timeout(state, left.min(Duration::from_millis(50))).unwrap().0;
        }
    }

    /// Creates or replaces an object, as the operator or a backend server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let create_revision = state.objects.get(&key).map_or(revision, |o| o.create_revision);
        let object = Object { revision, create_revision, spec: spec.into(), status: status.into() };
        let json = format!("{{\"deleted\":false,\"object\":{}}}", object.json(name));
        state.objects.insert(key, object);
        state.change(kind, name, json, self.history);
        changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let Some(mut object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else { return false };
        state.revision += 1;
        object.revision = state.revision;
        let json = format!("{{\"deleted\":true,\"object\":{}}}", object.json(name));
        state.change(kind, name, json, self.history);
        changed.notify_all();
        true
    }
}

/// Execution of a request at a backend server.
#[derive(Debug, Clone)]
pub struct Execution {
    pub at: f64,
    pub server: String,
    pub service: String,
    pub request: String,
    pub target: String,
}

pub type Executions = Arc<Mutex<Vec<Execution>>>;

/// Backend server that runs every request at once and echoes its id.
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub born: u64,
}

impl Backend {
    pub fn start(id: &str, service: &str, zone: &str, work: Duration, body: usize, record: &Record, executions: &Executions) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let backend = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: 4,
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
        };
        let (id, service, record, executions) = (id.to_owned(), service.to_owned(), record.clone(), executions.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, service, record, executions) = (id.clone(), service.clone(), record.clone(), executions.clone());
                std::thread::spawn(move || serve_backend(stream, &id, &service, work, body, &record, &executions));
            }
        });
        backend
    }

    /// Writes the entry of the server into the store.
    pub fn register(&self, store: &Store, state: &str) {
        let spec = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}}}}",
            self.address, self.born, self.service, self.zone, self.slots
        );
        let status = format!("{{\"born\":{},\"state\":\"{state}\",\"sequence\":1,\"coldRemainingMs\":0}}", self.born);
        store.put("servers", &self.id, &spec, &status);
    }
}

fn serve_backend(mut stream: TcpStream, id: &str, service: &str, work: Duration, body: usize, record: &Record, executions: &Executions) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        let request_id = request.header("request-id").unwrap_or("").to_owned();
        if request.header("expected-instance").is_some_and(|e| e != id) {
            let answer = format!("HTTP/1.1 421 X\r\nRequest-Id: {request_id}\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let execution = Execution {
            at: record.now(),
            server: id.to_owned(),
            service: service.to_owned(),
            request: request_id.clone(),
            target: request.target().to_owned(),
        };
        executions.lock().unwrap().push(execution);
        std::thread::sleep(work);
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: s.{request_id}\r\nKeep-Alive: timeout=10\r\nContent-Length: {body}\r\n\r\n"
        )
        .into_bytes();
        if request.method() != "HEAD" {
            answer.extend(std::iter::repeat_n(b'x', body));
        }
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", unix_ms() as u32, NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Sends one request on a new connection and returns its id and the answer, if there is one.
pub fn call(address: SocketAddr, method: &str, host: &str, path: &str, deadline: Duration, body: &[u8]) -> (String, Option<Message>) {
    let id = new_id();
    let answer = (|| {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(deadline)).ok()?;
        let mut request = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n", deadline.as_millis());
        if method == "POST" {
            request.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        request.push_str("\r\n");
        stream.write_all(request.as_bytes()).ok()?;
        stream.write_all(body).ok()?;
        read_message(&mut stream, &mut Vec::new())
    })();
    (id, answer)
}

/// Settings of the machines of a deployment.
#[derive(Clone)]
pub struct Deployment {
    pub memory_mb: u32,
    pub cpu_share: f64,
    pub link_mbps: f64,
    pub descriptors: u32,
    /// Entries of `bounds`.
    pub bounds: Vec<String>,
    pub zones: Vec<String>,
}

/// One machine with its daemon process.
pub struct Vm {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub link: Arc<Link>,
    pub process: Option<Child>,
    folder: PathBuf,
    pub starts: usize,
}

impl Vm {
    pub fn front(&self) -> SocketAddr {
        format!("{}:8641", self.ip).parse().unwrap()
    }

    pub fn ready_address(&self) -> SocketAddr {
        format!("{}:8640", self.ip).parse().unwrap()
    }

    pub fn start(&mut self, deployment: &Deployment, seeds: &[String], bootstrap: bool) {
        let settings = self.folder.join(format!("{}.toml", self.name));
        let quoted = |list: &[String]| list.iter().map(|t| format!("\"{t}\"")).collect::<Vec<_>>().join(",");
        let zones: Vec<_> = deployment.zones.iter().map(|z| format!("{z} = \"r1\"")).collect();
        let ip = &self.ip;
        let text = format!(
            "nodeName = \"{}\"\nrole = \"edge\"\nmachineClass = \"front\"\nserves = [\"front\",\"control_plane\",\"directory\"]\n\
             ip = \"{ip}\"\nzone = \"{}\"\nregion = \"r1\"\ninternalPortRange = [7620,7635]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             toleranceCounted = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeatIntervalMs = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"platform\"]\nbounds = [{}]\n\
             [zones]\n{}\n[listen]\nfront = \"{ip}:8641\"\nready = \"{ip}:8640\"\ncontrol = \"{ip}:8649\"\ndirectory = \"{ip}:8644\"\n\
             [limits]\ncpuShare = {:?}\ncores = 1\nmemoryMb = {}\nfileDescriptors = {}\nlinkMbps = {:?}\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [platform]\naddress = \"{}\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            self.name, self.zone, quoted(seeds), quoted(&deployment.bounds), zones.join("\n"),
            deployment.cpu_share, deployment.memory_mb, deployment.descriptors, deployment.link_mbps, self.link.address
        );
        std::fs::write(&settings, text).expect("settings");
        let log = |kind: &str| {
            let path = self.folder.join(format!("{}.{kind}", self.name));
            Stdio::from(File::options().create(true).append(true).open(path).expect("log"))
        };
        let (program, arguments) = run_command();
        let child = Command::new(program)
            .args(arguments)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CORIANDERWORKS_BOOT", &settings)
            .stdout(log("out"))
            .stderr(log("err"))
            .spawn()
            .expect("the program of the deploy file");
        self.process = Some(child);
        self.starts += 1;
    }

    pub fn id(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.id().to_string()]).status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|p| matches!(p.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let (_, answer) = call(self.ready_address(), "GET", "platform", "/v1/readiness", Duration::from_secs(1), b"");
        answer.is_some_and(|a| a.status() == 200)
    }

    /// Returns a value of `/proc/PID/status` in KB.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with(field)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join(format!("{}.out", self.name))).unwrap_or_default()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the program and the arguments of the role in the deploy file.
fn run_command() -> (String, Vec<String>) {
    let text = std::fs::read_to_string("deploy/system.toml").expect("started in the repository");
    let line = text.lines().find(|l| l.trim_start().starts_with("run")).expect("run");
    let command = line.split('"').nth(1).expect("command");
    let mut words = command.split(' ').map(str::to_owned);
    (words.next().unwrap(), words.collect())
}

/// Creates the machines, `per_zone` in each zone, on a free loopback network.
pub fn machines(deployment: &Deployment, per_zone: usize, store: &Store, folder: &Path) -> Vec<Vm> {
    let network = free_network();
    let mut vms = Vec::new();
    for number in 0..per_zone {
        for (zone_number, zone) in deployment.zones.iter().enumerate() {
            let ip = format!("127.{network}.{zone_number}.{}", number + 1);
            vms.push(Vm {
                name: format!("front-{zone}-{}", number + 1),
                ip,
                zone: zone.clone(),
                link: store.link(deployment.link_mbps * 1e6 / 8.0),
                process: None,
                folder: folder.to_owned(),
                starts: 0,
            });
        }
    }
    vms
}

fn free_network() -> u8 {
    let first = 100 + (unix_ms() % 100) as u8;
    (0..100_u8)
        .map(|n| 100 + (first - 100 + n) % 100)
        .find(|n| {
            let is_free = |port: u16| TcpListener::bind(format!("127.{n}.0.1:{port}")).is_ok();
            is_free(8641) && is_free(9464)
        })
        .expect("a free loopback network")
}

pub fn seeds(vms: &[Vm]) -> Vec<String> {
    vms.iter().take(3).map(|v| format!("{}:8649", v.ip)).collect()
}

/// Waits until all machines are ready. Returns whether they are.
pub fn wait_ready(vms: &[Vm], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if vms.iter().all(Vm::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Whether the disruption of the case takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-3-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Configuration of the operator.
pub struct Route<'a> {
    pub name: String,
    pub prefix: String,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
}

pub fn configuration(version: u64, services: &[&str], host: &str, routes: &[Route<'_>]) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|s| format!("{{\"name\":\"{s}\",\"healthCheckPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    let paths: Vec<_> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{}\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\"timeoutMs\":{},\"targetLatencyMs\":600,\"priority\":1,\"service\":\"{}\",\"maxAttempts\":2}}",
                r.name, r.prefix, r.kind, r.timeout_ms, r.service
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"hosts\":[{{\"host\":\"{host}\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    )
}

/// Set when the script is about to end, for threads that run until then.
pub static ENDING: AtomicBool = AtomicBool::new(false);
