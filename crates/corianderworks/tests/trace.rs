//! The story of a request from the logs of several daemons.

use corianderworks::trace::story;

const FIRST: &str = r#"
{"timestamp":"2026-02-24T22:40:50.000Z","message":"daemon: starting","vm":"vm-1"}
{"timestamp":"2026-02-24T22:40:57.000Z","message":"forward: ended","request":"other","servers":"s1(busy 0, failing 0.02, expected 198 ms) failed:500","reason":"server-failed","status":500,"took_ms":3}
{"timestamp":"2026-02-24T22:40:57.100Z","message":"forward: ended","request":"asked","route":"fees","service":"ledger","servers":"s1(busy 1, failing 0.40, expected 198 ms) failed:500 s2(busy 0, failing 0.02, expected 300 ms) not-run:503 (no budget for another attempt)","reason":"server-failed","status":500,"took_ms":12}
"#;
const SECOND: &str = r#"
  7.2 vm-2 {"timestamp":"2026-02-24T22:40:56.900Z","message":"forward: ended","request":"third","servers":"s1(busy 0, failing 0.02, expected 198 ms)","reason":"served","status":200,"took_ms":30}
not a log line
  7.3 vm-2 {"timestamp":"2026-02-24T22:41:20.000Z","message":"forward: ended","request":"late","servers":"s1(busy 0, failing 0.02, expected 198 ms) failed:500","reason":"server-failed","status":500,"took_ms":30}
"#;

fn files() -> Vec<(String, String)> {
    let file = |name: &str, text: &str| (name.to_owned(), text.to_owned());
    vec![file("vm-1", FIRST), file("all", SECOND)]
}

#[test]
fn a_request_is_told_with_its_attempts_and_what_others_saw() {
    let story = story("asked", &files());
    assert_eq!(story.steps.len(), 1);
    assert!(story.steps[0].contains("vm-1 forward: ended: server-failed, status 500, 12 ms"));
    assert_eq!(
        story.context,
        [
            // Attempts of all daemons within 5 s, not the one 20 s later.
            "s1: 2 of 3 attempts of all daemons within 5 s were not served",
            "s2: 1 of 1 attempts of all daemons within 5 s were not served",
        ]
    );
    assert_eq!(
        story.cause,
        "a backend server ran it and answered with a failure; attempts: 2, the last at s2; \
         the fleet's repeats of the last 10 s were spent"
    );
}

#[test]
fn a_caller_that_left_is_not_said_to_have_been_sent_nowhere() {
    let line = r#"{"timestamp":"2026-02-24T22:40:57.000Z","message":"forward: caller left","request":"gone","reason":"caller-left","took_ms":852}"#;
    let story = story("gone", &[("vm-1".to_owned(), line.to_owned())]);
    assert_eq!(
        story.cause,
        "the caller closed its connection; its attempts are not in the log"
    );
}

#[test]
fn an_id_without_lines_points_to_starts_and_stops() {
    let story = story("lost", &files());
    assert!(story.steps.is_empty());
    assert_eq!(
        story.context,
        ["2026-02-24T22:40:50Z vm-1 daemon: starting"]
    );
    assert!(story.cause.starts_with("no line has this id"));
}
