//! Callers read an answer slowly for 12 s, within the idle time-out and their deadline. The answer
//! and that to the next request of the connection must reach them.

use std::collections::HashSet;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Peer};
use crate::store::Store;
use crate::upstream::{self, configure, is_expected, ok_head};
use crate::{Record, Verdict, fleet};

const HOST: &str = "hulo84.example";
const CALLERS: usize = 6;
/// Largest answer of the site's downloads.
const ANSWER_BYTES: usize = 540_000;
/// The caller reads this much each second for this long, and then as fast as it can.
const SLOW_BYTES: usize = 4096;
const SLOW_S: usize = 12;
const DEADLINE: Duration = Duration::from_secs(15);

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
    configure(
        &store,
        HOST,
        &[("/tomo/", "download", 15_000, 2000, "biblioteca")],
    );
    let daemons = fleet::start(2, fleet::MEMORY_MB, store.address, &directory.0)?;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (record, front) = (record.clone(), daemons[0].front);
            let answered = answered.clone();
            thread::spawn(move || {
                let Err(error) = call(front, number, &record, trouble) else {
                    return false;
                };
                record.note(&format!("caller {number}: the connection ended: {error}"));
                // The request behind the large one was passed on, and nothing came back.
                answered.lock().unwrap().contains(&id(number, 3))
            })
        })
        .collect();
    let broken = callers.into_iter().filter_map(|c| c.join().ok());
    let broken = broken.filter(|lost| *lost).count();
    for line in daemons[0].log_lines("caller") {
        record.note(&format!("log of the daemon: {line}"));
    }
    Ok(Verdict { broken, allowed: 3 })
}

fn id(caller: usize, request: usize) -> String {
    format!("9c41d07b{caller:06x}{request:02x}")
}

fn get(path: &str, id: &str) -> String {
    format!(
        "GET /tomo/{path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    )
}

/// Fails if an answer on the kept connection is missing.
fn call(front: SocketAddr, number: usize, record: &Record, trouble: bool) -> io::Result<()> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let mut peer = Peer::new(stream);
    let ids = [1, 2, 3].map(|n| id(number, n));
    peer.send(get("small", &ids[0]).as_bytes())?;
    let first = peer.answer()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    note(record, number, &ids[0], &first);
    let began = Instant::now();
    peer.send(format!("{}{}", get("large", &ids[1]), get("small", &ids[2])).as_bytes())?;
    record.note(&format!("caller {number}: sent {} and {}", ids[1], ids[2]));
    if trouble {
        for _ in 0..SLOW_S {
            let mut part = [0; SLOW_BYTES];
            let count = peer.stream.read(&mut part)?;
            peer.buffer.extend_from_slice(&part[..count]);
            thread::sleep(Duration::from_secs(1));
        }
        let read = peer.buffer.len();
        record.note(&format!(
            "caller {number}: has read {read} bytes slowly, reads on"
        ));
    }
    for id in &ids[1..] {
        let answer = peer.answer()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        note(record, number, id, &answer);
    }
    let seconds = began.elapsed().as_secs_f64();
    record.note(&format!(
        "caller {number}: both answers complete after {seconds:.1} s"
    ));
    Ok(())
}

fn note(record: &Record, number: usize, id: &str, (head, body): &(Head, Vec<u8>)) {
    let (status, length) = (head.status(), body.len());
    record.note(&format!(
        "caller {number}: {id} answered {status}, {length} bytes"
    ));
}

fn serve(stream: TcpStream, id: &str, record: &Record, answered: &Answered) -> io::Result<()> {
    let mut peer = Peer::new(stream);
    while let Some(head) = peer.head()? {
        if !is_expected(&mut peer, &head, id) {
            continue;
        }
        let request = head.get("request-id").unwrap_or("-");
        record.note(&format!("{id}: runs {request}"));
        let length = match head.request().1.ends_with("large") {
            true => ANSWER_BYTES,
            false => 1500,
        };
        let mut answer = format!("{}Content-Length: {length}\r\n\r\n", ok_head(&head)).into_bytes();
        answer.resize(answer.len() + length, b'a');
        peer.send(&answer)?;
        record.note(&format!("{id}: has answered {request}"));
        answered.lock().unwrap().insert(request.to_owned());
    }
    Ok(())
}
