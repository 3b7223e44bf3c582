//! The store comes back from a copy some seconds old, and the operator changes the configuration then: is it
//! in force on every machine in time?

#[path = "kit.rs"]
#[allow(dead_code)]
mod kit;

use std::path::Path;
use std::process::exit;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use kit::*;

const HOST: &str = "gateway.example";
/// Age of the copy from which the store comes back, and time for which it is away before.
const COPY_AGE: Duration = Duration::from_millis(5_000);
const STORE_AWAY: Duration = Duration::from_millis(1_000);
/// Servers of another service that register between the copy and the drill.
const REGISTERED: usize = 3;
/// Time after which the operator and the servers try again while the store is away.
const WRITERS_RETRY: Duration = Duration::from_millis(100);
/// An unstable core stretches the bound by so much.
const OUTER_BOUND: Duration = Duration::from_millis(5_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);

fn config(version: u64, moved: bool) -> String {
    let service = if moved { "ledger" } else { "orders" };
    let route = |name: &str, service| Route {
        name: name.to_owned(),
        prefix: format!("/{name}/"),
        kind: "non_idempotent",
        service,
        timeout_ms: 2_000 + version,
    };
    let mut routes = vec![route("fee", service), route("list", "orders")];
    if moved {
        routes.push(route("added", "ledger"));
    }
    configuration(version, &["orders", "ledger", "list"], HOST, &routes)
}

fn main() {
    exit(run());
}

/// Returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
fn run() -> i32 {
    let folder_of_case = std::env::args().nth(1).expect("folder of the case");
    let record = Record::create(&Path::new(&folder_of_case).join("record.txt"));
    let folder = Folder::create();
    let store = Store::new(Duration::from_secs(20));
    let deployment = Deployment {
        memory_mb: 160,
        cpu_share: 0.1,
        link_mbps: 200.0,
        descriptors: 4100,
        bounds: ["seedLagS=3", "addressReuseS=2", "touchMs=3000", "ackTimeoutMs=5000", "catchUpS=6", "drainTimeoutMs=2500", "gracePeriodS=6", "lossSlackMs=200", "configApplyMs=2500", "revertSlackMs=250", "outerBoundMs=5000", "retryBudgetRatio=0.2", "budgetWindowS=10", "retryBudgetExtra=196", "recoveryS=15", "ttl_max_s=5", "probesPerS=3", "floorShare=0.7"].map(str::to_owned).to_vec(),
        zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
    };
    let executions: Executions = Arc::new(Mutex::new(Vec::new()));
    for service in ["orders", "ledger"] {
        for zone in ["a", "b", "c"] {
            let id = format!("i-{service}-{zone}");
            let backend = Backend::start(&id, service, zone, Duration::from_millis(20), 500, &record, &executions);
            backend.register(&store, "ready");
        }
    }
    store.put("config", "main", &config(1, false), "null");
    let mut vms = machines(&deployment, 2, &store, &folder.0);
    let seeds = seeds(&vms);
    for vm in &mut vms {
        vm.start(&deployment, &seeds, true);
    }
    if !wait_ready(&vms, Duration::from_secs(30)) {
        record.say("the machines did not become ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(6));
    for vm in &vms {
        let (id, answer) = call(vm.front(), "POST", HOST, "/fee/before", Duration::from_secs(2), b"fee");
        record.line(&format!("{} {id} /fee/ before: {:?}", vm.name, answer.map(|a| a.status())));
    }
    let copy = store.copy();
    record.line(&format!("the copy is made at revision {}", store.revision()));
    let mut registered = Vec::new();
    for number in 0..REGISTERED {
        let server = Backend::start(&format!("i-list-{number}"), "list", "b", Duration::from_millis(20), 100, &record, &executions);
        server.register(&store, "ready");
        registered.push(server);
        std::thread::sleep(COPY_AGE / u32::try_from(REGISTERED).unwrap());
    }
    if has_trouble() {
        record.line(&format!("the store is away, revision {}", store.revision()));
        for vm in &vms {
            vm.link.mode.store(BUSY, Ordering::SeqCst);
        }
        std::thread::sleep(STORE_AWAY);
        store.come_back_from(copy);
        for vm in &vms {
            vm.link.mode.store(SERVES, Ordering::SeqCst);
        }
        record.line(&format!("the store is back, revision {}", store.revision()));
        std::thread::sleep(WRITERS_RETRY);
    }
    // The operator has waited for the store, and the servers write again what they wrote.
    store.put("config", "main", &config(3, true), "null");
    record.line(&format!("r3 acknowledged, revision {:?}", store.revision_of("config", "main")));
    if has_trouble() {
        for server in &registered {
            server.register(&store, "ready");
        }
        record.line(&format!("the servers have written their entries again, revision {}", store.revision()));
    }
    let acknowledged = Instant::now();
    record.say("the configuration r3 is acknowledged: /fee/ goes to ledger, /added/ is new");
    std::thread::sleep(CONFIG_APPLY + OUTER_BOUND + Duration::from_millis(100));
    let (mut checked, mut broken) = (0, 0);
    let mut last_broken = 0.0;
    while acknowledged.elapsed() < Duration::from_secs(25) {
        for vm in &vms {
            for path in ["/fee/after", "/added/after"] {
                let sent = acknowledged.elapsed().as_secs_f64();
                let (id, answer) = call(vm.front(), "POST", HOST, path, Duration::from_secs(2), b"fee");
                let status = answer.map_or(0, |a| a.status());
                let run_by: Vec<_> = executions.lock().unwrap().iter().filter(|e| e.request == id).map(|e| e.service.clone()).collect();
                let is_broken = status == 404 || run_by.iter().any(|s| s == "orders");
                checked += 1;
                if is_broken {
                    broken += 1;
                    last_broken = sent;
                }
                record.line(&format!("{} {id} {path} sent {sent:.2} s after the acknowledgement: status {status}, run by {run_by:?}{}", vm.name, if is_broken { " BROKEN" } else { "" }));
            }
        }
        std::thread::sleep(Duration::from_millis(400));
    }
    for vm in &mut vms {
        let log = vm.log();
        let lines = log.lines().filter(|l| l.contains("store: ") || l.contains("configuration: "));
        for line in lines {
            record.line(&format!("{} log: {line}", vm.name));
        }
        if vm.has_ended() {
            record.say(&format!("{} ended by itself", vm.name));
        }
        vm.kill();
    }
    record.say(&format!("{checked} requests sent later than configApplyMs and outerBoundMs after the acknowledgement, {broken} handled as only an older version allows, the last {last_broken:.1} s after it"));
    if broken > 0 { 1 } else { 0 }
}
