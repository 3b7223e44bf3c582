//! Reconstruction of a request from the logs of several daemons.

use corianderworks::trace::request_trace;
use corianderworks_edge::reason::Reason;

const VM_1_LOG: &str = r#"
{"timestamp":"2026-02-24T22:40:50.000Z","message":"daemon: starting","vm":"vm-1"}
{"timestamp":"2026-02-24T22:40:57.000Z","message":"forward: ended","request":"other","servers":"s1(busy 0, failing 0.02, expected 198 ms) failed:500","reason":"server-failed","status":500,"took_ms":3}
{"timestamp":"2026-02-24T22:40:57.100Z","message":"forward: ended","request":"asked","route":"fees","service":"ledger","servers":"s1(busy 1, failing 0.40, expected 198 ms) failed:500 (reused port 40112) s2(busy 0, failing 0.02, expected 300 ms) not-run:503 (new port 40114, skipped 1) (no budget for another attempt)","reason":"server-failed","status":500,"took_ms":12}
"#;
const COMBINED_LOG: &str = r#"
  7.2 vm-2 {"timestamp":"2026-02-24T22:40:56.900Z","message":"forward: ended","request":"third","servers":"s1(busy 0, failing 0.02, expected 198 ms)","reason":"served","status":200,"took_ms":30}
not a log line
  7.3 vm-2 {"timestamp":"2026-02-24T22:41:20.000Z","message":"forward: ended","request":"late","servers":"s1(busy 0, failing 0.02, expected 198 ms) failed:500","reason":"server-failed","status":500,"took_ms":30}
"#;

fn log_files() -> Vec<(String, String)> {
    let file = |name: &str, text: &str| (name.to_owned(), text.to_owned());
    vec![file("vm-1", VM_1_LOG), file("all", COMBINED_LOG)]
}

#[test]
fn trace_lists_attempts_and_results_of_other_requests() {
    let request_trace = request_trace("asked", &log_files());
    assert_eq!(request_trace.steps.len(), 1);
    assert!(
        request_trace.steps[0].contains("vm-1 forward: ended: server-failed, status 500, 12 ms")
    );
    assert_eq!(
        request_trace.context,
        [
            // Counts the attempts of all daemons within 5 s, but not the one 20 s later.
            "s1: 2 of 3 attempts of all daemons within 5 s were not served",
            "s2: 1 of 1 attempts of all daemons within 5 s were not served",
        ]
    );
    assert_eq!(
        request_trace.cause,
        "a backend server processed it and responded with an error; attempts: 2, the last at s2; \
         the fleet's retry budget for the last 10 s was used up"
    );
}

#[test]
fn request_whose_caller_left_is_not_reported_as_unsent() {
    let line = r#"{"timestamp":"2026-02-24T22:40:57.000Z","message":"forward: caller left","request":"gone","reason":"caller-left","took_ms":852}"#;
    let request_trace = request_trace("gone", &[("vm-1".to_owned(), line.to_owned())]);
    assert_eq!(
        request_trace.cause,
        "the caller closed its connection; its attempts are not in the log"
    );
}

#[test]
fn unknown_id_shows_starts_and_stops_of_daemons() {
    let request_trace = request_trace("lost", &log_files());
    assert!(request_trace.steps.is_empty());
    assert_eq!(
        request_trace.context,
        ["2026-02-24T22:40:50Z vm-1 daemon: starting"]
    );
    assert!(request_trace.cause.starts_with("no line has this id"));
}

/// Guards against a reason that `trace` repeats without telling what it means.
#[test]
fn each_reason_is_explained() {
    for reason in Reason::ALL {
        let name = reason.name();
        let line = format!(
            r#"{{"timestamp":"2026-02-24T22:40:57.000Z","message":"forward: ended","request":"r","servers":"","reason":"{name}","status":503,"took_ms":1}}"#
        );
        let cause = request_trace("r", &[("vm-1".to_owned(), line)]).cause;
        let explanation = reason.explanation();
        assert!(cause.starts_with(&format!("{explanation};")), "{cause}");
        assert!(
            explanation == "served" || explanation.contains(' '),
            "{name}: {explanation}"
        );
    }
}

/// Guards against a trace that shows that a server failed, but not that the daemon already
/// suspected it, since when and why.
#[test]
fn suspicions_of_the_servers_are_shown() {
    let log = r#"
{"timestamp":"2026-02-24T22:40:56.000Z","message":"servers: suspected","server":"s1","service":"ledger","evidence":"failure","source":"peer","failing":"0.71","omitted":0}
{"timestamp":"2026-02-24T22:40:56.500Z","message":"servers: suspected","server":"s2","service":"ledger","evidence":"overdue","source":"own","failing":"0.45","omitted":0}
{"timestamp":"2026-02-24T22:40:57.000Z","message":"forward: ended","request":"asked","servers":"s1(busy 0, failing 0.60, expected 198 ms, idle 3000 ms) failed:500","reason":"server-failed","status":500,"took_ms":3}
{"timestamp":"2026-02-24T22:40:59.000Z","message":"servers: no longer suspected","server":"s1","service":"ledger","evidence":"none","suspected_ms":3000,"failures":4,"omitted":0}
"#;
    let request_trace = request_trace("asked", &[("vm-1".to_owned(), log.to_owned())]);
    assert_eq!(
        request_trace.context,
        [
            "s1: 1 of 1 attempts of all daemons within 5 s were not served",
            "2026-02-24T22:40:56Z servers: suspected: s1 failure (peer), failing 0.71",
            "2026-02-24T22:40:59Z servers: no longer suspected: s1 no evidence for some time, after \
             3000 ms and 4 failures",
        ]
    );
}
