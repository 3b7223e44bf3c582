//! A backend server leaves while the two daemons that watch the store are briefly cut off from it.

mod harness;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const DAEMONS: usize = 4;
const SERVERS: usize = 4;
const CALLERS: usize = 10;
/// Settings of the site: `cert-fee` of tasma-gateway.
const TIMEOUT_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 5_000;
const WORK: Duration = Duration::from_millis(320);
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which the leaving server serves after `DRAIN_TIMEOUT`.
const LITTLE_LONGER: Duration = Duration::from_millis(350);
/// Length of the cut; the pages name cuts of 4 s.
const CUT: Duration = Duration::from_millis(600);
const LEAVES_AFTER: Duration = Duration::from_millis(100);
const ROUNDS: usize = 3;

fn caller(
    number: usize,
    fronts: &[(usize, std::net::SocketAddr)],
    calls: &Calls,
    stop: &AtomicBool,
) {
    let mut clients: Vec<_> = fronts.iter().map(|_| Client::new()).collect();
    for request in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let at = (number + request) % fronts.len();
        let (daemon, front) = fronts[at];
        let id = format!("d{daemon}-c{number:02}-{request:04}");
        let head = request_head("POST", &format!("/fee/x/{id}"), &id, DEADLINE_MS);
        let sent = Instant::now();
        let deadline = Duration::from_millis(DEADLINE_MS);
        let answer = clients[at].call(front, &head, b"one certificate", deadline);
        calls.add(Call {
            id,
            daemon,
            sent,
            ended: Instant::now(),
            answer,
        });
        thread::sleep(Duration::from_millis(60));
    }
}

struct Leave {
    server: String,
    acknowledged: Instant,
}

fn case(record: &Record) -> i32 {
    let store = Store::start();
    let journal = Journal::default();
    let configuration = configuration("/fee/", "non_idempotent", TIMEOUT_MS, 1_500, "cert-ledger");
    store.put("config", "main", Some(&configuration), None);
    let server = |n: usize| {
        let shape = ServerShape {
            service: "cert-ledger",
            zone: "th-central-a",
            slots: 4,
            queue: 16,
            work: WORK,
        };
        Server::start(&format!("i-{n}"), shape, &store, &journal)
    };
    let mut servers: Vec<_> = (0..SERVERS).map(server).collect();
    let heartbeats = start_heartbeats(&store, &servers, Duration::from_millis(1_500));
    let deployment = Deployment::new("th-central-a", DAEMONS, 6);
    let proxies: Vec<_> = (0..DAEMONS).map(|_| Proxy::start(store.address)).collect();
    let daemons: Vec<_> = (0..DAEMONS)
        .map(|n| deployment.start(n, proxies[n].address, true))
        .collect();
    if !wait_until_ready(&daemons, Duration::from_secs(20)) {
        record.say("the daemons did not become ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(6));
    // The daemons that watch the store are those whose connections carry watches.
    let before: Vec<_> = proxies.iter().map(Proxy::watches).collect();
    thread::sleep(Duration::from_secs(3));
    let watchers: Vec<_> = (0..DAEMONS)
        .filter(|n| proxies[*n].watches() >= before[*n] + 2)
        .collect();
    record.say(format!("daemons that watch the store: {watchers:?}"));
    if watchers.len() != 2 {
        return NOT_RUN;
    }
    let calm: Vec<_> = (0..DAEMONS).filter(|n| !watchers.contains(n)).collect();
    let fronts: Vec<_> = calm.iter().map(|n| (*n, daemons[*n].front())).collect();
    let calls = Calls::default();
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (fronts, calls, stop) = (fronts.clone(), calls.clone(), stop.clone());
            thread::spawn(move || caller(number, &fronts, &calls, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let next_id = AtomicUsize::new(SERVERS);
    let mut leaves = Vec::new();
    for _ in 0..ROUNDS {
        let leaving = servers.remove(0);
        let cut_at = Instant::now();
        if trouble() {
            record.say(format!(
                "daemons {watchers:?} cut off from the store for {CUT:?}"
            ));
            watchers.iter().for_each(|n| proxies[*n].set_cut(true));
        }
        thread::sleep(LEAVES_AFTER);
        let acknowledged = heartbeats.leave(&store, &leaving.id);
        record.say(format!(
            "entry of server {} removed from the store",
            leaving.id
        ));
        thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
        if trouble() {
            watchers.iter().for_each(|n| proxies[*n].set_cut(false));
            record.line("the cut has ended");
        }
        thread::sleep((DRAIN_TIMEOUT + LITTLE_LONGER).saturating_sub(acknowledged.elapsed()));
        leaving.end();
        record.line(format!("server {} ended", leaving.id));
        leaves.push(Leave {
            server: leaving.id.clone(),
            acknowledged,
        });
        let new = server(next_id.fetch_add(1, Ordering::SeqCst));
        heartbeats.add(&store, &new, Duration::from_millis(1_500));
        servers.push(new);
        thread::sleep(Duration::from_secs(5));
    }
    stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|t| t.join().expect("the caller ends"));
    let answers: HashMap<_, _> = calls.all().into_iter().map(|c| (c.id.clone(), c)).collect();
    record.journal(&journal);
    let entries = journal.entries();
    let (mut late, mut lost) = (0, 0);
    for leave in &leaves {
        let at_server = entries.iter().filter(|e| e.server == leave.server);
        let mut last = Duration::ZERO;
        for entry in at_server.filter(|e| e.step == Step::Arrived) {
            let after = entry.at.saturating_duration_since(leave.acknowledged);
            last = last.max(after);
            if after <= DRAIN_TIMEOUT {
                continue;
            }
            late += 1;
            let has_ended = |e: &&Entry| e.id == entry.id && e.step == Step::ServerEnded;
            let is_lost = entries.iter().any(|e| has_ended(&e));
            lost += usize::from(is_lost);
            record.line(format!(
                "DRAIN {} reached {} {:.0} ms after the acknowledgement; the server ended: {is_lost}; answer {:?}",
                entry.id, leave.server, ms(after), answers.get(&entry.id).map(|c| &c.answer)
            ));
        }
        record.say(format!(
            "server {}: last request {:.0} ms after the acknowledgement",
            leave.server,
            ms(last)
        ));
    }
    let mut counts: HashMap<String, usize> = HashMap::new();
    for call in answers.values() {
        let text = match &call.answer {
            Answer::Complete(status, _) => status.to_string(),
            other => format!("{other:?}"),
        };
        *counts.entry(text).or_default() += 1;
        record.line(format!(
            "sent {} through daemon {}: {:?}",
            call.id, call.daemon, call.answer
        ));
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    record.say(format!("{} orders by answer: {counts:?}", answers.len()));
    record.say(format!(
        "{late} orders reached a server later than {} ms after its leave; {lost} of them were lost when it ended",
        DRAIN_TIMEOUT.as_millis()
    ));
    if late > 0 { BROKEN } else { HELD }
}

fn main() {
    run(case)
}
