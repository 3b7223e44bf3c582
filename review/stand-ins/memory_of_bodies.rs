//! Callers upload request bodies that the configuration allows, to VMs of the smallest size.

mod harness;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// Settings of the site: the smallest `front` machines, and `drawing-fetch`.
const MEMORY_MB: u64 = 160;
const TIMEOUT_MS: u64 = 4_000;
const DEADLINE_MS: u64 = 8_000;
/// Below the site's longest work of 4,600 ms and the route's timeout.
const LONG_WORK_MS: u64 = 3_900;
const ORDER_WORK_MS: u64 = 320;
/// Below `maxBodyBytes` of 67,108,864.
const BODY_BYTES: usize = 66_000_000;
const USUAL_BODY_BYTES: usize = 24_000;
const ROUNDS: usize = 3;
const DAEMONS: usize = 2;
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn configuration_with_orders() -> String {
    let uploads = configuration("/draw/", "idempotent", TIMEOUT_MS, 2_000, "drawing-library");
    let order = "{\"name\":\"r-2\",\"pathPrefix\":\"/fee/\",\"kind\":\"non_idempotent\",\
                 \"timeoutMs\":3000,\"targetLatencyMs\":1500,\"priority\":1,\
                 \"service\":\"drawing-library\",\"maxAttempts\":2},";
    uploads.replace("\"paths\":[", &format!("\"paths\":[{order}"))
}

/// What the platform does on a VM: it kills a process that exceeds the memory, and starts it again.
struct Machine {
    daemon: Mutex<Daemon>,
    kills: Mutex<Vec<Instant>>,
    largest_mb: Mutex<u64>,
}

fn watch_memory(
    machine: &Machine,
    deployment: &Deployment,
    store: std::net::SocketAddr,
    record: &Record,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
        let (number, process_id, memory_mb) = {
            let daemon = machine.daemon.lock().unwrap();
            (daemon.number, daemon.process_id, daemon.memory_mb())
        };
        let mut largest_mb = machine.largest_mb.lock().unwrap();
        *largest_mb = memory_mb.max(*largest_mb);
        drop(largest_mb);
        if memory_mb <= MEMORY_MB {
            continue;
        }
        kill_child(process_id);
        machine.kills.lock().unwrap().push(Instant::now());
        record.say(format!(
            "daemon {number} killed: it has {memory_mb} MB of {MEMORY_MB} MB"
        ));
        thread::sleep(RESTART_DELAY);
        *machine.daemon.lock().unwrap() = deployment.start(number, store, false);
    }
}

fn order(front: std::net::SocketAddr, id: &str, daemon: usize, calls: &Calls) {
    let head = request_head("POST", &format!("/fee/{ORDER_WORK_MS}/{id}"), id, 5_000);
    let sent = Instant::now();
    let answer = Client::new().call(front, &head, b"one certificate", Duration::from_secs(5));
    calls.add(Call {
        id: id.into(),
        daemon,
        sent,
        ended: Instant::now(),
        answer,
    });
}

fn case(record: &Record) -> i32 {
    let store = Store::start();
    let journal = Journal::default();
    store.put("config", "main", Some(&configuration_with_orders()), None);
    let servers: Vec<_> = (0..6)
        .map(|n| {
            let shape = ServerShape {
                service: "drawing-library",
                zone: "th-central-a",
                slots: 4,
                queue: 16,
                work: Duration::from_millis(780),
            };
            Server::start(&format!("i-{n}"), shape, &store, &journal)
        })
        .collect();
    let _heartbeats = start_heartbeats(&store, &servers, Duration::from_millis(1_500));
    let mut deployment = Deployment::new("th-central-a", DAEMONS, 6);
    deployment.memory_mb = MEMORY_MB;
    let deployment = Arc::new(deployment);
    let stop = Arc::new(AtomicBool::new(false));
    let machines: Vec<_> = (0..DAEMONS)
        .map(|n| {
            Arc::new(Machine {
                daemon: Mutex::new(deployment.start(n, store.address, true)),
                kills: Mutex::default(),
                largest_mb: Mutex::default(),
            })
        })
        .collect();
    let ready = |limit| {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if machines.iter().all(|m| m.daemon.lock().unwrap().is_ready()) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    };
    if !ready(Duration::from_secs(20)) {
        record.say("the daemons did not become ready");
        return NOT_RUN;
    }
    let watchers: Vec<_> = machines
        .iter()
        .map(|machine| {
            let (machine, deployment) = (machine.clone(), deployment.clone());
            let (record, stop, address) = (record.clone(), stop.clone(), store.address);
            thread::spawn(move || watch_memory(&machine, &deployment, address, &record, &stop))
        })
        .collect();
    let calls = Calls::default();
    let body_bytes = if trouble() {
        BODY_BYTES
    } else {
        USUAL_BODY_BYTES
    };
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_secs(4));
        if !ready(Duration::from_secs(10)) {
            return NOT_RUN;
        }
        let mut threads = Vec::new();
        for (number, machine) in machines.iter().enumerate() {
            let front = machine.daemon.lock().unwrap().front();
            let (upload_calls, order_calls, record) =
                (calls.clone(), calls.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let id = format!("u{number}-{round}");
                let head = request_head(
                    "PUT",
                    &format!("/draw/{LONG_WORK_MS}/{id}"),
                    &id,
                    DEADLINE_MS,
                );
                record.say(format!(
                    "upload {id} of {body_bytes} bytes through daemon {number}"
                ));
                let sent = Instant::now();
                let body = vec![b'd'; body_bytes];
                let limit = Duration::from_millis(DEADLINE_MS);
                let answer = Client::new().call(front, &head, &body, limit);
                upload_calls.add(Call {
                    id,
                    daemon: number,
                    sent,
                    ended: Instant::now(),
                    answer,
                });
            }));
            threads.push(thread::spawn(move || {
                let mut orders = Vec::new();
                for n in 0..45 {
                    let (id, calls) = (format!("o{number}-{round}-{n:02}"), order_calls.clone());
                    orders.push(thread::spawn(move || order(front, &id, number, &calls)));
                    thread::sleep(Duration::from_millis(90));
                }
                orders
                    .into_iter()
                    .for_each(|o| o.join().expect("the order ends"));
            }));
        }
        threads
            .into_iter()
            .for_each(|t| t.join().expect("the caller ends"));
    }
    stop.store(true, Ordering::SeqCst);
    watchers
        .into_iter()
        .for_each(|w| w.join().expect("the watcher ends"));
    record.journal(&journal);
    let mut lost = 0;
    for call in calls.all() {
        let was_read = journal.entries().iter().any(|e| e.id == call.id);
        if call.answer == Answer::Closed && was_read {
            lost += 1;
        }
        record.line(format!(
            "{} through daemon {}: {:?}",
            call.id, call.daemon, call.answer
        ));
    }
    let mut often = 0;
    for (number, machine) in machines.iter().enumerate() {
        let kills = machine.kills.lock().unwrap().len();
        often += usize::from(kills >= 3);
        record.say(format!(
            "daemon {number}: {} MB at most, killed {kills} times",
            machine.largest_mb.lock().unwrap()
        ));
    }
    record.say(format!(
        "{lost} requests that a server had got ended with a closed connection"
    ));
    // The rule: on a tenth of the machines, two at least, three ends in the day.
    if often >= 2 { BROKEN } else { HELD }
}

fn main() {
    run(case)
}
