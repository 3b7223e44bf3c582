//! A planned stop while a caller pipelines requests of the usual length without a break.

mod harness;

use std::collections::HashMap;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// Settings of the site: `drawing-fetch` of tasma-gateway.
const TIMEOUT_MS: u64 = 4_000;
const DEADLINE_MS: u64 = 8_000;
const GRACE_S: u32 = 6;
const WORK: Duration = Duration::from_millis(770);
const SERVERS: usize = 9;
/// Time between two requests of the caller.
const INTERVAL: Duration = Duration::from_millis(25);
const BEFORE_STOP: Duration = Duration::from_secs(3);
/// Time after the stop for which the caller goes on: three times the 2 s of an address response.
const AFTER_STOP: Duration = Duration::from_millis(5_900);

struct Reader {
    answered: HashMap<String, (u16, Instant)>,
    /// Id of the last answer if it closed the connection.
    closed_by: Option<String>,
    ended: Instant,
}

fn read_answers(mut wire: Wire) -> Reader {
    let _ = wire
        .stream
        .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let (mut answered, mut closed_by) = (HashMap::new(), None);
    while let Ok(message) = wire.read_message() {
        let id = message.header("request-id").unwrap_or("").to_owned();
        answered.insert(id.clone(), (message.status(), Instant::now()));
        if message.header("connection") == Some("close") {
            closed_by = Some(id);
        }
    }
    Reader {
        answered,
        closed_by,
        ended: Instant::now(),
    }
}

fn case(record: &Record) -> i32 {
    let store = Store::start();
    let journal = Journal::default();
    let configuration = configuration("/draw/", "idempotent", TIMEOUT_MS, 2_000, "drawing-library");
    store.put("config", "main", Some(&configuration), None);
    let servers: Vec<_> = (0..SERVERS)
        .map(|n| {
            let shape = ServerShape {
                service: "drawing-library",
                zone: "th-central-a",
                slots: 4,
                queue: 16,
                work: WORK,
            };
            Server::start(&format!("i-{n}"), shape, &store, &journal)
        })
        .collect();
    let _heartbeats = start_heartbeats(&store, &servers, Duration::from_millis(1_500));
    let deployment = Deployment::new("th-central-a", 2, GRACE_S);
    let daemons: Vec<_> = (0..2)
        .map(|n| deployment.start(n, store.address, true))
        .collect();
    if !wait_until_ready(&daemons, Duration::from_secs(20)) {
        record.say("the daemons did not become ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(4));
    let stream = TcpStream::connect(daemons[0].front()).expect("a connection");
    let reading = Wire::new(stream.try_clone().expect("a clone"));
    let reader = thread::spawn(move || read_answers(reading));
    let mut wire = Wire::new(stream);
    let begin = Instant::now();
    let mut stop_at = None;
    let mut sent = Vec::new();
    for number in 0.. {
        if stop_at.is_none() && begin.elapsed() >= BEFORE_STOP {
            stop_at = Some(Instant::now());
            if trouble() {
                record.say("SIGTERM to daemon 0");
                daemons[0].signal("TERM");
            }
        }
        if stop_at.is_some_and(|at| at.elapsed() >= AFTER_STOP) || reader.is_finished() {
            break;
        }
        let id = format!("p{number:04}");
        let head = request_head("GET", &format!("/draw/x/{id}"), &id, DEADLINE_MS);
        if wire.write(format!("{head}\r\n").as_bytes()).is_err() {
            break;
        }
        sent.push((id, Instant::now()));
        thread::sleep(INTERVAL.saturating_sub(sent.last().map_or(INTERVAL, |s| s.1.elapsed())));
    }
    // All answers are there after this time, if the connection is still open.
    thread::sleep(Duration::from_secs(2));
    let _ = wire.stream.shutdown(std::net::Shutdown::Both);
    let reader = reader.join().expect("the reader ends");
    let stop_at = stop_at.expect("the stop was reached");
    record.journal(&journal);
    let entries = journal.entries();
    let after_stop = |at: Instant| {
        let before = ms(stop_at.saturating_duration_since(at));
        ms(at.saturating_duration_since(stop_at)) - before
    };
    let (mut served, mut lost, mut excused, mut not_read) = (0, 0, 0, 0);
    for (id, sent_at) in &sent {
        let steps: Vec<_> = entries
            .iter()
            .filter(|e| e.id == *id)
            .map(|e| e.step)
            .collect();
        let text = format!(
            "{id} sent at stop + {:.0} ms, server {steps:?}",
            after_stop(*sent_at)
        );
        if let Some((status, at)) = reader.answered.get(id) {
            served += usize::from(*status == 200);
            record.line(format!(
                "{text}: {status} at stop + {:.0} ms",
                after_stop(*at)
            ));
            continue;
        }
        if !steps.contains(&Step::Arrived) || reader.closed_by.is_some() {
            not_read += 1;
            record.line(format!(
                "{text}: not passed on, or behind a response that closes"
            ));
            continue;
        }
        // Excused if its server is at work at the end, and it was sent at most 3 s after SIGTERM.
        let is_excused = steps.contains(&Step::DroppedAtWork) && after_stop(*sent_at) <= 3_000.0;
        let in_time = ms(reader.ended.saturating_duration_since(*sent_at)) < TIMEOUT_MS as f64;
        if is_excused || !in_time {
            excused += 1;
            record.line(format!("{text}: no answer, excused"));
            continue;
        }
        lost += 1;
        record.line(format!(
            "LOST {text}: connection ended at stop + {:.0} ms",
            after_stop(reader.ended)
        ));
    }
    record.say(format!(
        "{} requests: {served} served, {lost} passed on and ended without an answer, \
         {excused} excused, {not_read} not read or not passed on",
        sent.len()
    ));
    record.say(format!(
        "the last answer that announced the close: {:?}; the connection ended at stop + {:.0} ms",
        reader.closed_by,
        after_stop(reader.ended)
    ));
    if lost > 0 { BROKEN } else { HELD }
}

fn main() {
    run(case)
}
