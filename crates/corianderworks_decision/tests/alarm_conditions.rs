//! Conditions that operators are alerted to: how long each must last, and when it ends.

use std::collections::BTreeSet;
use std::time::Duration;

use corianderworks_decision::alarm_conditions::{
    AlarmConditions, ObservedMember, Pause, VmDifference,
};

fn at_s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn member(name: &str, version: u64, is_alive: bool) -> ObservedMember<'_> {
    ObservedMember {
        name,
        version,
        is_alive,
    }
}

/// Guards against an alarm for each change of configuration, and against a member that never gets
/// one unnoticed.
#[test]
fn member_that_stays_behind_is_reported_after_the_bound() {
    let mut conditions = AlarmConditions::default();
    let listed = BTreeSet::new();
    let members = [member("slow", 1, true), member("dead", 1, false)];
    for second in 0..=6 {
        conditions.observe_members(members, 2, &listed, at_s(second));
        assert!(conditions.lagging_members(at_s(second)).is_empty());
    }
    assert_eq!(conditions.lagging_members(at_s(7)), ["slow".into()]);
    // It gets the version, and the next one comes.
    conditions.observe_members([member("slow", 2, true)], 2, &listed, at_s(8));
    conditions.observe_members([member("slow", 2, true)], 3, &listed, at_s(9));
    assert!(conditions.lagging_members(at_s(15)).is_empty());
    assert_eq!(conditions.lagging_members(at_s(16)), ["slow".into()]);
}

#[test]
fn lasting_difference_from_the_vm_list_is_reported_both_ways() {
    let mut conditions = AlarmConditions::default();
    let members = [member("new", 1, true), member("gone", 1, false)];
    let listed = BTreeSet::from(["gone"]);
    conditions.observe_members(members, 1, &BTreeSet::new(), at_s(0));
    conditions.observe_members(members, 1, &listed, at_s(10));
    assert!(conditions.vm_differences(at_s(70)).is_empty());
    let differences = [
        (VmDifference::NotListed, "new".into()),
        (VmDifference::NoAnswer, "gone".into()),
    ];
    assert_eq!(conditions.vm_differences(at_s(71)), differences);
    conditions.observe_members(members, 1, &BTreeSet::from(["new"]), at_s(72));
    assert!(conditions.vm_differences(at_s(200)).is_empty());
}

#[test]
fn pause_of_the_process_is_shown_for_some_minutes() {
    let mut conditions = AlarmConditions::default();
    for ms in (0..3_000).step_by(500) {
        conditions.tick(Duration::from_millis(ms));
    }
    assert_eq!(conditions.recent_pause(at_s(3)), None);
    conditions.tick(at_s(5));
    let pause = Pause {
        length: Duration::from_millis(2_500),
        ended_at: at_s(5),
    };
    assert_eq!(conditions.recent_pause(at_s(300)), Some(pause));
    assert_eq!(conditions.recent_pause(at_s(305)), None);
}

#[test]
fn shutdown_that_waits_for_requests_is_reported_after_a_minute() {
    let mut conditions = AlarmConditions::default();
    conditions.observe_drain(false, at_s(0));
    for second in 10..100 {
        conditions.observe_drain(true, at_s(second));
    }
    assert_eq!(conditions.slow_drain(at_s(70)), None);
    assert_eq!(conditions.slow_drain(at_s(71)), Some(at_s(61)));
}
