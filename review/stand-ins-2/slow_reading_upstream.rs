//! A daemon is stopped while an upstream reads the body of a request slowly. The daemon must not
//! break the request off, because the upstream is at work and answers within the grace period.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Peer;
use crate::store::Store;
use crate::upstream::{self, configure, is_expected, ok_head};
use crate::{Record, Verdict, fleet};

const HOST: &str = "hulo84.example";
const REQUESTS: usize = 4;
const REQUEST_BYTES: usize = 400_000;
/// The upstream reads this much each half second for this long, and then as fast as it can.
const SLOW_BYTES: usize = 4096;
const SLOW: Duration = Duration::from_millis(4_200);
const DEADLINE_MS: u64 = 15_000;
const TIMEOUT_MS: u64 = 6000;
/// Time from the requests to SIGTERM.
const BEFORE_TERM: Duration = Duration::from_millis(400);

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let directory = fleet::Temporary::new()?;
    let store = Store::start()?;
    for number in 0..2 {
        let record = record.clone();
        upstream::start(&store, "caja", number, move |stream, id| {
            let _ = serve(stream, id, &record, trouble);
        })?;
    }
    configure(
        &store,
        HOST,
        &[("/compra/", "non_idempotent", TIMEOUT_MS, 2000, "caja")],
    );
    let mut daemons = fleet::start(2, fleet::MEMORY_MB, store.address, &directory.0)?;
    let front = daemons[0].front;
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let began = Instant::now();
                let answered = request(front, number, &record);
                let seconds = began.elapsed().as_secs_f64();
                let (text, signed) = match answered {
                    Ok((status, signed)) => {
                        (format!("answered {status}, signature {signed}"), signed)
                    }
                    Err(error) => (format!("not answered: {error}"), false),
                };
                record.note(&format!(
                    "client: request {number} {text}, after {seconds:.2} s"
                ));
                !signed
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
        "platform: the daemon has ended: {ended}, {seconds:.2} s after SIGTERM"
    ));
    for line in daemons[0].log_lines("forward") {
        record.note(&format!("log of the daemon: {line}"));
    }
    Ok(Verdict { broken, allowed: 0 })
}

fn request(front: SocketAddr, number: usize, record: &Record) -> io::Result<(u16, bool)> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let mut peer = Peer::new(stream);
    let id = format!("9c41d07b{number:08x}");
    let head = format!(
        "POST /compra/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {REQUEST_BYTES}\r\n\r\n"
    );
    peer.send(head.as_bytes())?;
    peer.send(&vec![b'r'; REQUEST_BYTES])?;
    record.note(&format!(
        "client: request {number} sent as {id}, {REQUEST_BYTES} bytes"
    ));
    let (head, _) = peer.answer()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((head.status(), head.get("response-signature").is_some()))
}

fn serve(stream: TcpStream, id: &str, record: &Record, trouble: bool) -> io::Result<()> {
    let mut peer = Peer::new(stream);
    while let Some(head) = peer.head()? {
        if !is_expected(&mut peer, &head, id) {
            continue;
        }
        let request = head.get("request-id").unwrap_or("-").to_owned();
        record.note(&format!("{id}: runs {request}, reads its body"));
        let began = Instant::now();
        while trouble && began.elapsed() < SLOW {
            let mut part = [0; SLOW_BYTES];
            let count = peer.stream.read(&mut part)?;
            peer.buffer.extend_from_slice(&part[..count]);
            thread::sleep(Duration::from_millis(500));
        }
        let slow = peer.buffer.len();
        if let Err(error) = peer.body(head.length().unwrap_or(0)) {
            record.note(&format!(
                "{id}: {request} broken off by the daemon while it ran: {error}"
            ));
            return Err(error);
        }
        record.note(&format!(
            "{id}: has read {request} ({slow} bytes slowly), answers"
        ));
        let answer = format!("{}Content-Length: 4\r\n\r\ndone", ok_head(&head));
        peer.send(answer.as_bytes())?;
    }
    Ok(())
}
