//! Callers send bodies within the limits of the configuration. The platform kills a daemon that takes
//! more memory than its machine has. Callers whose requests run meanwhile must get their answers.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::fleet::{self, Daemon};
use crate::http::Peer;
use crate::store::Store;
use crate::upstream::{self, configure, is_expected, ok_head};
use crate::{Record, Verdict};

const HOST: &str = "hulo84.example";
const CALLERS: usize = 8;
/// Memory of the smallest machines of the site, in megabytes.
const MEMORY_MB: u32 = 160;
/// Bytes of a megabyte; the larger reading of the word, so that the limit is the higher one.
const BYTES_PER_MB: u64 = 1024 * 1024;
/// Number and size of the bodies that are sent at the same time, in this order. The daemon holds up
/// to 80 MB of bodies at a time.
const BURSTS: [(usize, usize); 6] = [
    (40, 1_900_000),
    (70, 1_100_000),
    (2, 39_500_000),
    (16, 4_900_000),
    (4, 19_000_000),
    (2, 39_500_000),
];
const ROUNDS: usize = 10;
/// Time after which no further bodies are sent.
const BURSTS_MAX: Duration = Duration::from_secs(75);
/// Time for which an upstream works on a body, and on the requests of the other callers.
const BODY_WORK: Duration = Duration::from_millis(400);
const WORK: Duration = Duration::from_millis(900);

pub fn play(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let directory = fleet::Temporary::new()?;
    let store = Store::start()?;
    for service in ["avisos", "tablero"] {
        for number in 0..4 {
            let record = record.clone();
            upstream::start(&store, service, number, move |stream, id| {
                let _ = serve(stream, id, &record);
            })?;
        }
    }
    let routes = [
        ("/tablero/", "idempotent", 3000, 2000, "tablero"),
        ("/aviso/", "non_idempotent", 4000, 2000, "avisos"),
    ];
    configure(&store, HOST, &routes);
    let mut daemons = fleet::start(1, MEMORY_MB, store.address, &directory.0)?;
    let daemon = Arc::new(Mutex::new(daemons.remove(0)));
    let front = daemon.lock().unwrap().front;
    let is_done = Arc::new(AtomicBool::new(false));
    let platform = spawn_platform(&daemon, &is_done, record);
    let lost = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (record, is_done, lost) = (record.clone(), is_done.clone(), lost.clone());
            thread::spawn(move || call(front, number, &record, &is_done, &lost))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    for round in 0..ROUNDS {
        for (count, bytes) in BURSTS {
            let is_running = !daemon.lock().unwrap().has_ended();
            if trouble && is_running && began.elapsed() < BURSTS_MAX {
                burst(front, round, count, bytes, record);
            }
        }
    }
    thread::sleep(Duration::from_secs(2));
    is_done.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let _ = platform.join();
    let broken = lost.load(Ordering::Relaxed);
    Ok(Verdict { broken, allowed: 3 })
}

/// Peak of the resident memory of a process in bytes.
fn peak_bytes(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Kills the daemon when it has taken more memory than its machine has.
fn spawn_platform(
    daemon: &Arc<Mutex<Daemon>>,
    is_done: &Arc<AtomicBool>,
    record: &Record,
) -> JoinHandle<()> {
    let (daemon, is_done, record) = (daemon.clone(), is_done.clone(), record.clone());
    thread::spawn(move || {
        let id = daemon.lock().unwrap().id();
        let mut peak = 0;
        while !is_done.load(Ordering::Relaxed) {
            peak = peak_bytes(id).unwrap_or(peak);
            if peak > u64::from(MEMORY_MB) * BYTES_PER_MB {
                record.note(&format!(
                    "platform: the daemon took {peak} bytes, it is killed"
                ));
                let _ = daemon.lock().unwrap().signal("KILL");
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
        record.note(&format!("platform: the daemon took {peak} bytes at most"));
    })
}

/// Sends requests on a kept connection, one after the other. Counts those that were passed on and
/// not answered.
fn call(
    front: SocketAddr,
    number: usize,
    record: &Record,
    is_done: &AtomicBool,
    lost: &AtomicUsize,
) {
    let exchange = |peer: &mut Peer, id: &str| -> io::Result<u16> {
        let request = format!(
            "GET /tablero/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\r\n"
        );
        peer.send(request.as_bytes())?;
        let answer = peer.answer()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(answer.0.status())
    };
    let Ok(stream) = TcpStream::connect(front) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    let mut peer = Peer::new(stream);
    for request in 0.. {
        if is_done.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("9c41d07b{number:04x}{request:04x}");
        match exchange(&mut peer, &id) {
            Ok(status) => record.note(&format!("caller {number}: {id} answered {status}")),
            Err(error) => {
                record.note(&format!("caller {number}: {id} not answered: {error}"));
                lost.fetch_add(usize::from(request > 0), Ordering::Relaxed);
                return;
            }
        }
    }
}

fn burst(front: SocketAddr, round: usize, count: usize, bytes: usize, record: &Record) {
    let senders: Vec<_> = (0..count)
        .map(|number| thread::spawn(move || send_body(front, round, number, bytes)))
        .collect();
    let statuses = senders.into_iter().map(|s| s.join().ok()?.ok());
    let served = statuses.filter(|status| *status == Some(200)).count();
    record.note(&format!(
        "clients: sent {count} bodies of {bytes} bytes, {served} answered 200"
    ));
}

fn send_body(front: SocketAddr, round: usize, number: usize, bytes: usize) -> io::Result<u16> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(9)))?;
    let mut peer = Peer::new(stream);
    let head = format!(
        "POST /aviso/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: 7fff{round:04x}{number:08x}\r\n\
         Deadline-Ms: 8000\r\nContent-Length: {bytes}\r\n\r\n"
    );
    peer.send(head.as_bytes())?;
    let part = vec![b'b'; 50_000 + 101 * number];
    let mut left = bytes;
    while left > 0 {
        let count = left.min(part.len());
        peer.send(&part[..count])?;
        left -= count;
    }
    Ok(peer.head()?.map_or(0, |h| h.status()))
}

fn serve(stream: TcpStream, id: &str, record: &Record) -> io::Result<()> {
    let mut peer = Peer::new(stream);
    while let Some(head) = peer.head()? {
        if !is_expected(&mut peer, &head, id) {
            continue;
        }
        let request = head.get("request-id").unwrap_or("-");
        let length = head.length().unwrap_or(0);
        peer.body(length)?;
        if length == 0 {
            record.note(&format!("{id}: runs {request}"));
        }
        thread::sleep(if length > 0 { BODY_WORK } else { WORK });
        let answer = format!("{}Content-Length: 4\r\n\r\ndone", ok_head(&head));
        peer.send(answer.as_bytes())?;
    }
    Ok(())
}
