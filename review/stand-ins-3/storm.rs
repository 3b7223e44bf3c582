//! Configurations in quick succession: is the last one in force on every machine in time?

#[path = "kit.rs"]
#[allow(dead_code)]
mod kit;

use std::path::Path;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use kit::*;

const HOST: &str = "gateway.example";
/// Routes that the configuration grew by.
const ROUTES: usize = 1_400;
/// One each [`GAP`] for 1.5 s, and one that moves a route.
const CHANGES: u64 = 26;
const GAP: Duration = Duration::from_millis(60);
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
    let other = |n: usize| Route {
        name: format!("route-of-a-customer-{n:05}"),
        prefix: format!("/customer-{n:05}/of-the-association/"),
        kind: "idempotent",
        service: "orders",
        timeout_ms: 1_500,
    };
    routes.extend((0..ROUTES).map(other));
    configuration(version, &["orders", "ledger"], HOST, &routes)
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
        link_mbps: 10.0,
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
    record.say(&format!("configuration of {} bytes", config(1, false).len()));
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
    let changes = if has_trouble() { CHANGES } else { 1 };
    for number in 1..=changes {
        let version = 1 + number * 2;
        store.put("config", "main", &config(version, number == changes), "null");
        record.line(&format!("r{version} acknowledged"));
        if number < changes {
            std::thread::sleep(GAP);
        }
    }
    let acknowledged = Instant::now();
    record.say("the last configuration is acknowledged: /fee/ goes to ledger, /added/ is new");
    std::thread::sleep(CONFIG_APPLY + Duration::from_millis(100));
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
    record.say(&format!("{checked} requests sent later than configApplyMs after the acknowledgement, {broken} handled as only an older version allows, the last {last_broken:.1} s after it"));
    if broken > 0 { 1 } else { 0 }
}
