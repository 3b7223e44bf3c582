//! Some answers of half of the upstreams are spoiled: they begin before a long request is in, have
//! no length, and their connection is reset in the middle. A caller must not get a success with
//! half of the body.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Peer};
use crate::store::Store;
use crate::upstream::{self, configure, is_expected, ok_head};
use crate::{Record, Verdict, fleet};

const HOST: &str = "hulo84.example";
const UPSTREAMS: usize = 14;
const CALLERS: usize = 16;
/// Time for which the callers send requests.
const TRAFFIC: Duration = Duration::from_secs(17);
/// Parts of that time in which answers are spoiled.
const SPOILED_FROM: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(10)];
const SPOILED_FOR: Duration = Duration::from_millis(5_500);
/// Half of the upstreams spoil one in this many of their answers in that time.
const SPOILED_INTERVAL: usize = 20;
/// An eighth of `maxBodyBytes`, more than the kernel buffers between daemon and upstream hold.
const REQUEST_BYTES: usize = 8 * 1024 * 1024;
const ANSWER_BYTES: usize = 4000;
const WORK: Duration = Duration::from_millis(100);

/// Answers of the faulty upstreams in the times in which some are spoiled.
struct Faults {
    began: Instant,
    answers: AtomicUsize,
}

impl Faults {
    /// Whether a faulty upstream spoils its next answer.
    fn spoils_next(&self) -> bool {
        let at = self.began.elapsed();
        let is_in_time = |from: &Duration| (*from..*from + SPOILED_FOR).contains(&at);
        if !SPOILED_FROM.iter().any(is_in_time) {
            return false;
        }
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        number % SPOILED_INTERVAL == SPOILED_INTERVAL - 1
    }
}

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let directory = fleet::Temporary::new()?;
    let store = Store::start()?;
    let faults = Arc::new(Faults {
        began: Instant::now(),
        answers: AtomicUsize::new(0),
    });
    for number in 0..UPSTREAMS {
        let (record, faults) = (record.clone(), faults.clone());
        let is_faulty = trouble && number % 2 == 0;
        upstream::start(&store, "tellimus", number, move |stream, id| {
            let _ = serve(stream, id, &record, &|| is_faulty && faults.spoils_next());
        })?;
    }
    let route = ("/puka111/", "non_idempotent", 2000, 600, "tellimus");
    configure(&store, HOST, &[route]);
    let daemons = fleet::start(2, fleet::MEMORY_MB, store.address, &directory.0)?;
    let until = Instant::now() + TRAFFIC;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, front) = (record.clone(), daemons[caller % daemons.len()].front);
            thread::spawn(move || {
                let numbers = (caller * 10_000..).take_while(|_| Instant::now() < until);
                numbers.filter(|n| is_mixed(front, *n, &record)).count()
            })
        })
        .collect();
    let broken = callers.into_iter().filter_map(|c| c.join().ok()).sum();
    let answers = faults.answers.load(Ordering::Relaxed);
    record.note(&format!(
        "faulty upstreams: {answers} answers in time, {} spoiled",
        answers / SPOILED_INTERVAL
    ));
    Ok(Verdict { broken, allowed: 0 })
}

/// Sends a request and returns whether its answer is a success without the whole body.
fn is_mixed(front: SocketAddr, number: usize, record: &Record) -> bool {
    let id = format!("9c41d07b{number:08x}");
    match request(front, &id) {
        Ok((head, body)) => {
            let signed = head.get("response-signature").is_some();
            let (status, length) = (head.status(), body.len());
            record.note(&format!(
                "client: {id} answered {status}, {length} bytes, looks complete, signature {signed}"
            ));
            status / 100 == 2 && length != ANSWER_BYTES
        }
        Err(error) => {
            record.note(&format!("client: {id} has no whole answer: {error}"));
            false
        }
    }
}

fn request(front: SocketAddr, id: &str) -> io::Result<(Head, Vec<u8>)> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut peer = Peer::new(stream);
    let head = format!(
        "POST /puka111/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 4000\r\nContent-Length: {REQUEST_BYTES}\r\n\r\n"
    );
    peer.send(head.as_bytes())?;
    peer.send(&vec![b'r'; REQUEST_BYTES])?;
    let answer = peer.answer()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

fn serve(
    stream: TcpStream,
    id: &str,
    record: &Record,
    spoils_next: &dyn Fn() -> bool,
) -> io::Result<()> {
    let mut peer = Peer::new(stream);
    while let Some(head) = peer.head()? {
        if !is_expected(&mut peer, &head, id) {
            return Ok(());
        }
        let request = head.get("request-id").unwrap_or("-").to_owned();
        if spoils_next() {
            thread::sleep(WORK);
            // Ends with unread bytes of the request, so the kernel resets the connection.
            let sent = ANSWER_BYTES / 2;
            record.note(&format!(
                "{id}: runs {request}, sends {sent} of {ANSWER_BYTES} bytes without a length, breaks off"
            ));
            let mut answer = format!("{}\r\n", ok_head(&head)).into_bytes();
            answer.resize(answer.len() + sent, b'a');
            return peer.send(&answer);
        }
        peer.body(head.length().unwrap_or(0))?;
        thread::sleep(WORK);
        record.note(&format!(
            "{id}: runs {request}, answers {ANSWER_BYTES} bytes"
        ));
        // Some answers without a length end in order, also without the disruption.
        let is_framed = !request.ends_with('7');
        let framing = format!("Content-Length: {ANSWER_BYTES}\r\n");
        let framing = if is_framed { &framing } else { "" };
        let mut answer = format!("{}{framing}\r\n", ok_head(&head)).into_bytes();
        answer.resize(answer.len() + ANSWER_BYTES, b'a');
        peer.send(&answer)?;
        if !is_framed {
            return peer.stream.shutdown(Shutdown::Write);
        }
    }
    Ok(())
}
