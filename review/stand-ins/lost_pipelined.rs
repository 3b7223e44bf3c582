//! A planned stop while callers pipeline: a slow request is followed by quick ones.

mod harness;

use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// Settings of the site: `drawing-fetch` of tasma-gateway.
const TIMEOUT_MS: u64 = 4_000;
const DEADLINE_MS: u64 = 8_000;
const GRACE_S: u32 = 6;
const USUAL_WORK: Duration = Duration::from_millis(770);
/// Below the site's longest work of 4,900 ms and the route's timeout.
const LONG_WORK_MS: u64 = 3_900;
/// Time between SIGTERM and the requests. Callers keep an address response for 2 s and longer.
const SENT_AFTER: Duration = Duration::from_millis(1_900);
const CALLERS: usize = 8;
const FOLLOWERS: usize = 2;

struct Pipelined {
    id: String,
    is_first: bool,
    sent: Instant,
    ended: Instant,
    answer: Answer,
}

/// Sends a long request and quick ones behind it on a connection that was used before.
fn pipeline(mut wire: Wire, caller: usize, record: &Record) -> Vec<Pipelined> {
    let mut requests = Vec::new();
    let mut bytes = Vec::new();
    for number in 0..=FOLLOWERS {
        let id = format!("c{caller:02}-{number}");
        let work_ms = if number == 0 {
            LONG_WORK_MS
        } else {
            USUAL_WORK.as_millis() as u64
        };
        let head = request_head("GET", &format!("/draw/{work_ms}/{id}"), &id, DEADLINE_MS);
        bytes.extend_from_slice(format!("{head}\r\n").as_bytes());
        requests.push(id);
    }
    let sent = Instant::now();
    record.line(format!("caller {caller} sends {}", requests.join(" ")));
    let _ = wire.write(&bytes);
    let _ = wire
        .stream
        .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let mut is_open = true;
    let mut results = Vec::new();
    for (number, id) in requests.into_iter().enumerate() {
        let answer = match is_open.then(|| wire.read_message()) {
            Some(Ok(message)) => {
                // Requests behind a response that closes the connection count as not read.
                is_open = message.header("connection") != Some("close");
                Answer::Complete(message.status(), String::new())
            }
            Some(Err(error)) => {
                is_open = false;
                match error.kind() {
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Answer::TimedOut,
                    _ => Answer::Closed,
                }
            }
            None if matches!(
                results.last(),
                Some(Pipelined {
                    answer: Answer::Closed,
                    ..
                })
            ) =>
            {
                Answer::Closed
            }
            None => Answer::NotConnected,
        };
        record.line(format!("caller {caller}: {id} {answer:?}"));
        let is_first = number == 0;
        results.push(Pipelined {
            id,
            is_first,
            sent,
            ended: Instant::now(),
            answer,
        });
    }
    results
}

fn case(record: &Record) -> i32 {
    let store = Store::start();
    let journal = Journal::default();
    let configuration = configuration("/draw/", "idempotent", TIMEOUT_MS, 2_000, "drawing-library");
    store.put("config", "main", Some(&configuration), None);
    let servers: Vec<_> = (0..6)
        .map(|n| {
            let shape = ServerShape {
                service: "drawing-library",
                zone: "th-central-a",
                slots: 4,
                queue: 16,
                work: USUAL_WORK,
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
    let front = daemons[0].front();
    // Each caller has used its connection before the stop.
    let mut wires = Vec::new();
    for caller in 0..CALLERS {
        let mut wire = Wire::new(TcpStream::connect(front).expect("a connection"));
        let id = format!("c{caller:02}-w");
        let head = request_head("GET", &format!("/draw/50/{id}"), &id, DEADLINE_MS);
        wire.write(format!("{head}\r\n").as_bytes())
            .expect("a request is sent");
        if wire.read_message().map_or(0, |m| m.status()) != 200 {
            record.say("a request before the stop was not served");
            return NOT_RUN;
        }
        wires.push(wire);
    }
    thread::sleep(Duration::from_millis(500));
    let stop_at = Instant::now();
    if trouble() {
        record.say("SIGTERM to daemon 0");
        daemons[0].signal("TERM");
    }
    thread::sleep(SENT_AFTER);
    let threads: Vec<_> = wires
        .into_iter()
        .enumerate()
        .map(|(caller, wire)| {
            let record = record.clone();
            thread::spawn(move || pipeline(wire, caller, &record))
        })
        .collect();
    let results: Vec<_> = threads
        .into_iter()
        .flat_map(|t| t.join().expect("the caller ends"))
        .collect();
    // The servers notice closed connections at their next poll.
    thread::sleep(Duration::from_millis(300));
    let mut steps: HashMap<String, Vec<(Step, Instant)>> = HashMap::new();
    for entry in journal.entries() {
        let at = ms(entry.at.saturating_duration_since(stop_at));
        record.line(format!(
            "server {}: {} {:?} at stop + {at:.0} ms",
            entry.server, entry.id, entry.step
        ));
        steps
            .entry(entry.id)
            .or_default()
            .push((entry.step, entry.at));
    }
    let (mut served, mut excused, mut lost) = (0, 0, 0);
    for result in &results {
        let waited = result.ended - result.sent;
        let history = steps.get(&result.id).cloned().unwrap_or_default();
        // A request at which a server still works in the last sixth of the grace period is excused.
        let last_step = history.last().map(|(step, _)| *step);
        let was_answered = last_step == Some(Step::Answered);
        let in_time = ms(waited) < TIMEOUT_MS as f64;
        match result.answer {
            Answer::Complete(200, _) => served += 1,
            Answer::Closed if was_answered && !result.is_first && in_time => {
                lost += 1;
                record.line(format!(
                    "LOST {}: passed on, answered by its server, connection ended {:.0} ms after it was sent, {:.0} ms after SIGTERM",
                    result.id, ms(waited), ms(result.ended - stop_at)
                ));
            }
            _ => {
                excused += 1;
                let role = if result.is_first { "first" } else { "follower" };
                record.line(format!(
                    "not counted: {} ({role}) {:?}",
                    result.id, result.answer
                ));
            }
        }
    }
    record.say(format!(
        "{} requests: {served} served, {lost} passed on and ended without an answer, {excused} excused",
        results.len()
    ));
    if !trouble() && served != results.len() {
        record.say("not all requests were served without the stop");
    }
    if lost > 0 { BROKEN } else { HELD }
}

fn main() {
    run(case)
}
