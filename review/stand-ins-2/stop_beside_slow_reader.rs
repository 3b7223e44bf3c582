//! A daemon is stopped while callers that pipeline read a large answer slowly. What it had read and
//! passed on before and after SIGTERM must still be answered: the callers are done within 5 s.

use std::collections::HashSet;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Peer;
use crate::store::Store;
use crate::upstream::{self, configure, is_expected, ok_head};
use crate::{Record, Verdict, fleet};

const HOST: &str = "hulo84.example";
const CALLERS: usize = 4;
/// Largest answer of the site's downloads.
const ANSWER_BYTES: usize = 540_000;
/// The caller reads this much in this interval for this long, and then as fast as it can.
const SLOW_BYTES: usize = 4096;
const SLOW_INTERVAL: Duration = Duration::from_millis(250);
const SLOW: Duration = Duration::from_millis(4_000);
/// Time between two requests that a caller sends before it has seen the end of the connection.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);
const REQUESTS: usize = 10;
/// Time from the large requests to SIGTERM.
const BEFORE_TERM: Duration = Duration::from_millis(600);

/// Ids of the requests that upstreams have run and answered.
type Answered = Arc<Mutex<HashSet<String>>>;

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let directory = fleet::Temporary::new()?;
    let store = Store::start()?;
    let answered = Answered::default();
    for number in 0..3 {
        let (record, answered) = (record.clone(), answered.clone());
        upstream::start(&store, "biblioteca", number, move |stream, id| {
            let _ = serve(stream, id, &record, &answered);
        })?;
    }
    let route = ("/tomo/", "download", 15_000, 2000, "biblioteca");
    configure(&store, HOST, &[route]);
    let mut daemons = fleet::start(2, fleet::MEMORY_MB, store.address, &directory.0)?;
    let front = daemons[0].front;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (record, answered) = (record.clone(), answered.clone());
            thread::spawn(move || {
                let Err(error) = call(front, number, &record, trouble) else {
                    return false;
                };
                record.note(&format!("caller {number}: the connection ended: {error}"));
                // The large request was passed on, and its answer is not complete.
                answered.lock().unwrap().contains(&id(number, 1))
            })
        })
        .collect();
    thread::sleep(BEFORE_TERM);
    daemons[0].signal("TERM")?;
    let term = Instant::now();
    record.note("platform: SIGTERM to the daemon");
    let broken = callers.into_iter().filter_map(|c| c.join().ok());
    let broken = broken.filter(|lost| *lost).count();
    let ended = daemons[0].wait_end(fleet::GRACE.saturating_sub(term.elapsed()));
    let seconds = term.elapsed().as_secs_f64();
    record.note(&format!(
        "platform: daemon has ended: {ended}, {seconds:.2} s after SIGTERM"
    ));
    Ok(Verdict { broken, allowed: 0 })
}

fn id(caller: usize, request: usize) -> String {
    format!("9c41d07b{caller:06x}{request:02x}")
}

fn get(path: &str, id: &str) -> String {
    format!(
        "GET /tomo/{path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 15000\r\n\r\n"
    )
}

/// Fails if the answer to the large request is not complete.
fn call(front: SocketAddr, number: usize, record: &Record, trouble: bool) -> io::Result<()> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut peer = Peer::new(stream);
    peer.send(get("large", &id(number, 1)).as_bytes())?;
    record.note(&format!("caller {number}: sent {}", id(number, 1)));
    let began = Instant::now();
    let is_closing = Arc::new(AtomicBool::new(false));
    let sender = spawn_sender(&peer, number, record, &is_closing)?;
    while trouble && began.elapsed() < SLOW {
        let mut part = [0; SLOW_BYTES];
        let count = peer.stream.read(&mut part)?;
        peer.buffer.extend_from_slice(&part[..count]);
        thread::sleep(SLOW_INTERVAL);
    }
    let slow = peer.buffer.len();
    let mut answers = 0;
    loop {
        let answer = peer.answer();
        if answers == 0 || matches!(answer, Ok(Some(_))) {
            let (head, body) = answer?.ok_or(io::ErrorKind::UnexpectedEof)?;
            answers += 1;
            record.note(&format!(
                "caller {number}: answer {answers} is {}, {} bytes ({slow} bytes read slowly)",
                head.status(),
                body.len()
            ));
            // No request is sent any more once the end of the connection is announced.
            if head.get("connection").is_none_or(|c| c != "close") {
                continue;
            }
        }
        is_closing.store(true, Ordering::Relaxed);
        let _ = sender.join();
        return Ok(());
    }
}

/// Sends further requests until the end of the connection is announced.
fn spawn_sender(
    peer: &Peer,
    number: usize,
    record: &Record,
    is_closing: &Arc<AtomicBool>,
) -> io::Result<thread::JoinHandle<()>> {
    let mut writer = Peer::new(peer.stream.try_clone()?);
    let (record, is_closing) = (record.clone(), is_closing.clone());
    Ok(thread::spawn(move || {
        for request in 2..2 + REQUESTS {
            thread::sleep(REQUEST_INTERVAL);
            let id = id(number, request);
            if is_closing.load(Ordering::Relaxed)
                || writer.send(get("small", &id).as_bytes()).is_err()
            {
                return;
            }
            record.note(&format!("caller {number}: sent {id}"));
        }
    }))
}

fn serve(stream: TcpStream, id: &str, record: &Record, answered: &Answered) -> io::Result<()> {
    let mut peer = Peer::new(stream);
    while let Some(head) = peer.head()? {
        if !is_expected(&mut peer, &head, id) {
            continue;
        }
        let request = head.get("request-id").unwrap_or("-");
        let is_large = head.request().1.ends_with("large");
        let length = if is_large { ANSWER_BYTES } else { 1500 };
        let mut answer = format!("{}Content-Length: {length}\r\n\r\n", ok_head(&head)).into_bytes();
        answer.resize(answer.len() + length, b'a');
        peer.send(&answer)?;
        record.note(&format!("{id}: has run and answered {request}"));
        answered.lock().unwrap().insert(request.to_owned());
    }
    Ok(())
}
