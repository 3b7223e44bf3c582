//! Upstreams pause for 3.5 s in the middle of large answers. Meanwhile two callers send bodies of
//! the largest allowed size, and the daemon has memory for one of them. It must not cut the answers,
//! whose callers read all the time.

use std::collections::HashSet;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::{Head, Peer};
use crate::store::Store;
use crate::upstream::{self, configure, is_expected, ok_head};
use crate::{Record, Verdict, fleet};

const HOST: &str = "hulo84.example";
const CALLERS: usize = 6;
/// Memory of the smallest machines of the site, in megabytes.
const MEMORY_MB: u32 = 160;
/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 67_108_864;
const ANSWER_BYTES: usize = 1_500_000;
/// Bytes of a large answer before the pause.
const BEFORE_PAUSE_BYTES: usize = 1_300_000;
const PAUSE: Duration = Duration::from_millis(3_500);
/// Time from the large requests to the two bodies, and the work on the first one.
const BODIES_AFTER: [Duration; 2] = [Duration::from_millis(800), Duration::from_millis(2_600)];
const BODY_WORK: Duration = Duration::from_millis(3_000);

/// Ids of the requests that upstreams have run and answered.
type Answered = Arc<Mutex<HashSet<String>>>;

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let directory = fleet::Temporary::new()?;
    let store = Store::start()?;
    let answered = Answered::default();
    for service in ["avisos", "comercio"] {
        for number in 0..3 {
            let (record, answered) = (record.clone(), answered.clone());
            upstream::start(&store, service, number, move |stream, id| {
                let _ = serve(stream, id, &record, &answered);
            })?;
        }
    }
    let routes = [
        ("/archivo/", "idempotent", 12_000, 12_000, "comercio"),
        ("/aviso/", "non_idempotent", 4_000, 2_000, "avisos"),
    ];
    configure(&store, HOST, &routes);
    let mut daemons = fleet::start(1, MEMORY_MB, store.address, &directory.0)?;
    let front = daemons[0].front;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| spawn_caller(front, number, record, &answered))
        .collect();
    let count = if trouble { 2 } else { 1 };
    let bodies: Vec<_> = (0..count)
        .map(|number| spawn_body(front, number, record))
        .collect();
    for body in bodies {
        let _ = body.join();
    }
    let broken = callers.into_iter().filter_map(|c| c.join().ok());
    let broken = broken.filter(|lost| *lost).count();
    record.note(&format!("the daemon has ended: {}", daemons[0].has_ended()));
    Ok(Verdict { broken, allowed: 3 })
}

fn id(caller: usize, request: usize) -> String {
    format!("9c41d07b{caller:06x}{request:02x}")
}

/// Returns whether the request behind the large one was passed on, and nothing came back.
fn spawn_caller(
    front: SocketAddr,
    number: usize,
    record: &Record,
    answered: &Answered,
) -> JoinHandle<bool> {
    let (record, answered) = (record.clone(), answered.clone());
    thread::spawn(move || {
        let Err(error) = call(front, number, &record) else {
            return false;
        };
        record.note(&format!("caller {number}: the connection ended: {error}"));
        answered.lock().unwrap().contains(&id(number, 3))
    })
}

fn get(path: &str, id: &str) -> String {
    format!(
        "GET /archivo/{path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 25000\r\n\r\n"
    )
}

/// Fails if an answer on the kept connection is missing.
fn call(front: SocketAddr, number: usize, record: &Record) -> io::Result<()> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(25)))?;
    let mut peer = Peer::new(stream);
    let ids = [1, 2, 3].map(|n| id(number, n));
    peer.send(get("small", &ids[0]).as_bytes())?;
    let first = peer.answer()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    note(record, number, &ids[0], &first);
    let both = format!("{}{}", get("large", &ids[1]), get("small", &ids[2]));
    peer.send(both.as_bytes())?;
    record.note(&format!("caller {number}: sent {} and {}", ids[1], ids[2]));
    for id in &ids[1..] {
        let answer = peer.answer()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        note(record, number, id, &answer);
    }
    Ok(())
}

fn note(record: &Record, number: usize, id: &str, (head, body): &(Head, Vec<u8>)) {
    let (status, length) = (head.status(), body.len());
    record.note(&format!(
        "caller {number}: {id} answered {status}, {length} bytes"
    ));
}

fn spawn_body(front: SocketAddr, number: usize, record: &Record) -> JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(BODIES_AFTER[number]);
        record.note(&format!(
            "client: sends body {number} of {BODY_BYTES} bytes"
        ));
        let seen = match send_body(front, number) {
            Ok(status) => format!("answered {status}"),
            Err(error) => format!("the connection ended: {error}"),
        };
        record.note(&format!("client: body {number}: {seen}"));
    })
}

fn send_body(front: SocketAddr, number: usize) -> io::Result<u16> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut peer = Peer::new(stream);
    let head = format!(
        "POST /aviso/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: 9c41d07bffff{number:04x}\r\n\
         Deadline-Ms: 8000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    peer.send(head.as_bytes())?;
    // A refusal may arrive before the body is out.
    let _ = peer.send(&vec![b'b'; BODY_BYTES]);
    Ok(peer.head()?.map_or(0, |h| h.status()))
}

fn serve(stream: TcpStream, id: &str, record: &Record, answered: &Answered) -> io::Result<()> {
    let mut peer = Peer::new(stream);
    while let Some(head) = peer.head()? {
        if !is_expected(&mut peer, &head, id) {
            continue;
        }
        let request = head.get("request-id").unwrap_or("-");
        record.note(&format!("{id}: runs {request}"));
        let body = head.length().unwrap_or(0);
        if body > 0 {
            peer.body(body)?;
            thread::sleep(BODY_WORK);
        }
        let is_large = head.request().1.ends_with("large");
        let length = if is_large { ANSWER_BYTES } else { 1500 };
        let mut answer = format!("{}Content-Length: {length}\r\n\r\n", ok_head(&head)).into_bytes();
        answer.resize(answer.len() + length, b'a');
        if is_large {
            let rest = answer.split_off(BEFORE_PAUSE_BYTES);
            peer.send(&answer)?;
            thread::sleep(PAUSE);
            answer = rest;
        }
        if let Err(error) = peer.send(&answer) {
            record.note(&format!(
                "{id}: {request} broken off by the daemon: {error}"
            ));
            return Err(error);
        }
        record.note(&format!("{id}: has answered {request}"));
        answered.lock().unwrap().insert(request.to_owned());
    }
    Ok(())
}
