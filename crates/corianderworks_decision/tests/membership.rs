//! Membership and failure detection in a simulated fleet that exchanges encoded datagrams.

mod fleet;

use std::time::Duration;

use corianderworks_decision::ids::Incarnation;
use corianderworks_decision::membership::{
    Action, Event, Gossip, Header, LABEL_MAX_BYTES, MemberMessage, MemberState, Membership, Ping,
    REMOVAL_TIMEOUT, SUSPICION_TIMEOUT, Update,
};
use fleet::{DOMAINS, Fleet, address, key, record};

/// Guards against joiners that never learn of members other than their seeds.
#[test]
fn members_with_one_common_seed_discover_each_other() {
    let mut fleet = Fleet::new(20, 1);
    fleet.run(5_000);
    fleet.assert_all_alive();
}

/// Guards against a dead member that is detected by only some members or is still probed, and
/// therefore keeps receiving work.
#[test]
fn a_dead_member_is_detected_by_all_members() {
    let mut fleet = Fleet::converged(40, 2);
    fleet.running[7] = false;
    fleet.run(10_000);
    fleet.assert_states(0..40, 7..8, MemberState::Dead);
    assert!(fleet.nodes[0].probe_set().iter().all(|d| *d != key(7)));
}

/// Guards against declaring a live member dead when one path fails in one direction or both.
#[test]
fn a_member_reachable_by_others_stays_alive() {
    type IsPartitioned = fn(usize, usize) -> bool;
    let partitions: [(&str, IsPartitioned); 4] = [
        ("2 to 5 dropped", |from, to| (from, to) == (2, 5)),
        ("5 to 2 dropped", |from, to| (from, to) == (5, 2)),
        ("2 and 5 in both directions", |f, t| {
            f + t == 7 && f.abs_diff(t) == 3
        }),
        ("2 reaches only 0 to 7", |f, t| f == 2 && t > 7),
    ];
    for (name, is_partitioned) in partitions {
        let mut fleet = Fleet::converged(12, 3);
        fleet.is_partitioned = Box::new(is_partitioned);
        fleet.run(60_000);
        assert_eq!(fleet.deaths(2).len() + fleet.deaths(5).len(), 0, "{name}");
        // Indirect probes reach the target in these cases, so it is not even suspected.
        if name != "2 reaches only 0 to 7" {
            let suspicion = |(_, _, a): &(_, _, Action)| {
                matches!(
                    a,
                    Action::Changed {
                        to: MemberState::Suspect,
                        ..
                    }
                )
            };
            assert!(!fleet.actions.iter().any(suspicion), "{name}");
        }
    }
}

/// Guards against a member that can send but not receive, or the reverse, counting as alive.
#[test]
fn a_member_partitioned_in_one_direction_is_declared_dead_and_recovers() {
    for can_send in [true, false] {
        let mut fleet = Fleet::converged(20, 4);
        fleet.is_partitioned = Box::new(move |from, to| if can_send { to == 3 } else { from == 3 });
        fleet.run(15_000);
        fleet.assert_states((0..20).filter(|i| *i != 3), 3..4, MemberState::Dead);
        fleet.is_partitioned = Box::new(|_, _| false);
        fleet.run(90_000);
        fleet.assert_all_alive();
    }
}

/// Guards against a member that declares all others dead when it resumes from a pause. The pauses
/// start at different steps of a probe and of a suspicion.
#[test]
fn a_member_resuming_from_a_pause_declares_nobody_dead() {
    for (before_ms, pause_ms) in [
        (0, 600),
        (100, 1_500),
        (300, 3_500),
        (500, 20_000),
        (950, 60_000),
    ] {
        let mut fleet = Fleet::converged(20, 5);
        fleet.run(before_ms);
        fleet.running[4] = false;
        fleet.run(pause_ms);
        fleet.actions.clear();
        fleet.running[4] = true;
        fleet.run(10_000);
        let declared_dead = fleet.actions.iter().find(|(_, i, action)| {
            *i == 4
                && matches!(
                    action,
                    Action::Changed {
                        to: MemberState::Dead,
                        ..
                    }
                )
        });
        assert_eq!(declared_dead, None, "pause of {pause_ms} ms");
        let resumed =
            |(_, i, a): &(_, usize, Action)| *i == 4 && matches!(a, Action::Resumed { .. });
        assert!(fleet.actions.iter().any(resumed));
        fleet.assert_all_alive();
    }
}

/// Guards against a restarted daemon that is mistaken for its old run, or an old run whose
/// resources are not released.
#[test]
fn a_restart_replaces_and_ends_the_old_run() {
    let mut fleet = Fleet::converged(20, 6);
    fleet.nodes[9] = Membership::new(record(9, 2_000), 99).with_seeds(vec![address(1)]);
    fleet.run(5_000);
    fleet.assert_all_alive();
    let old_run = record(9, 1_000).run;
    for i in (0..20).filter(|i| *i != 9) {
        let member = fleet.nodes[i].member(key(9)).expect("member is known");
        assert_eq!(member.record.run.incarnation, Incarnation(2_000));
        let run_ended = fleet
            .actions
            .iter()
            .filter(|(_, at, a)| *at == i && *a == Action::RunEnded(old_run));
        assert_eq!(run_ended.count(), 1);
    }
}

/// Guards against a run that all members reject because its clock went backwards, and that is
/// never notified of it.
#[test]
fn a_restart_with_an_older_incarnation_is_superseded() {
    let mut fleet = Fleet::converged(8, 7);
    fleet.nodes[3] = Membership::new(record(3, 500), 99).with_seeds(vec![address(1)]);
    fleet.run(3_000);
    let reported = Action::Superseded(record(3, 1_000).run);
    assert!(
        fleet
            .actions
            .iter()
            .any(|(_, i, a)| *i == 3 && *a == reported)
    );
}

/// Guards against a planned leave that causes a suspicion or is reverted by one.
#[test]
fn a_planned_leave_never_passes_through_suspicion() {
    let mut fleet = Fleet::converged(20, 8);
    fleet.handle_event(6, Event::Leave);
    fleet.run(2_500);
    fleet.assert_states(0..20, 6..7, MemberState::Leaving);
    assert!(
        fleet.nodes[0]
            .candidates()
            .iter()
            .all(|c| c.daemon != key(6))
    );
    fleet.run(10_000);
    fleet.handle_event(6, Event::Left);
    fleet.run(3_000);
    fleet.running[6] = false;
    fleet.run(20_000);
    fleet.assert_states(0..20, 6..7, MemberState::Left);
    let unexpected = fleet.actions.iter().find(|(_, _, action)| {
        matches!(action, Action::Changed { run, to: MemberState::Suspect | MemberState::Dead, .. }
            if run.daemon == key(6))
    });
    assert_eq!(unexpected, None);
}

/// Guards against resolving a contradiction between the VM list and gossip wrongly.
#[test]
fn the_vm_list_decides_removal_and_gossip_decides_liveness() {
    let mut fleet = Fleet::converged(10, 9);
    let all = fleet.vm_list(0..10);
    fleet.apply_vm_list(0, &fleet.vm_list(0..9));
    assert_eq!(
        fleet.state(0, 9),
        Some(MemberState::Alive),
        "never listed but answers probes"
    );
    fleet.apply_vm_list(0, &all);
    fleet.apply_vm_list(0, &[]);
    assert_eq!(fleet.state(0, 9), Some(MemberState::Alive), "empty list");

    fleet.apply_vm_list(0, &fleet.vm_list(0..9));
    assert_eq!(
        fleet.state(0, 9),
        Some(MemberState::Dead),
        "removed from the VM list"
    );
    let run_ended = Action::RunEnded(record(9, 1_000).run);
    assert!(
        fleet
            .actions
            .iter()
            .any(|(_, i, a)| *i == 0 && *a == run_ended)
    );
    fleet.run(20_000);
    assert_eq!(
        fleet.state(0, 9),
        Some(MemberState::Dead),
        "answers probes but its VM is not listed"
    );
    fleet.apply_vm_list(0, &all);
    fleet.run(90_000);
    assert_eq!(fleet.state(0, 9), Some(MemberState::Alive), "listed again");

    let mut leaving = all.clone();
    leaving[5].leaving = true;
    fleet.apply_vm_list(0, &leaving);
    assert_eq!(
        fleet.state(0, 5),
        Some(MemberState::Leaving),
        "listed as leaving"
    );
    fleet.run(5_000);
    fleet.assert_states(0..10, 5..6, MemberState::Leaving);
    let reported = fleet
        .actions
        .iter()
        .filter(|(_, i, a)| *i == 5 && *a == Action::ListedLeaving);
    assert_eq!(
        reported.count(),
        1,
        "the leaving member learns it from gossip, once"
    );
}

/// Guards against releasing the resources of a live but unreachable member: a death that the VM
/// list doesn't confirm must not end the run.
#[test]
fn only_the_vm_list_or_a_newer_run_ends_a_run() {
    let mut fleet = Fleet::converged(12, 10);
    for i in 0..12 {
        fleet.apply_vm_list(i, &fleet.vm_list(0..12));
    }
    fleet.running[2] = false;
    fleet.run((REMOVAL_TIMEOUT + SUSPICION_TIMEOUT * 4).as_millis() as u64);
    let run_ended = |(_, _, a): &(_, _, Action)| matches!(a, Action::RunEnded(_));
    assert!(!fleet.actions.iter().any(run_ended));
    fleet.apply_vm_list(0, &fleet.vm_list((0..12).filter(|i| *i != 2)));
    assert!(
        fleet.actions.iter().any(run_ended),
        "the member is kept while its VM is listed"
    );
    fleet.run(1_000);
    assert_eq!(fleet.state(0, 2), None, "removed once its VM is not listed");
}

/// Guards against survivors that declare each other dead when a whole failure domain is lost.
#[test]
fn losing_a_domain_marks_only_its_members_dead() {
    let mut fleet = Fleet::converged(70, 11);
    let lost = |i: &usize| i % DOMAINS == 2;
    (0..70).filter(lost).for_each(|i| fleet.running[i] = false);
    fleet.run(15_000);
    fleet.assert_states(0..70, (0..70).filter(lost), MemberState::Dead);
    fleet.assert_states(0..70, (0..70).filter(|i| !lost(i)), MemberState::Alive);
}

/// Guards against members that are only in the VM list and are never contacted, and against
/// sides of a healed partition that keep each other dead, also if the partition lasted longer
/// than dead members are kept.
#[test]
fn partitioned_regions_without_seeds_converge_again() {
    for minutes in [1, 12] {
        let mut fleet = Fleet::new(28, 12);
        for i in 0..28 {
            fleet.nodes[i] = Membership::new(record(i, 1_000), i as u64);
            fleet.apply_vm_list(i, &fleet.vm_list(0..28));
        }
        fleet.run(10_000);
        fleet.assert_all_alive();
        let north = |i: usize| i % DOMAINS < 4;
        fleet.is_partitioned = Box::new(move |from, to| north(from) != north(to));
        fleet.run(minutes * 60_000);
        for side in [true, false] {
            let same_side = move |i: &usize| north(*i) == side;
            fleet.assert_states(
                (0..28).filter(same_side),
                (0..28).filter(same_side),
                MemberState::Alive,
            );
            let other_side = move |i: &usize| north(*i) != side;
            fleet.assert_states(
                (0..28).filter(same_side),
                (0..28).filter(other_side),
                MemberState::Dead,
            );
        }
        fleet.is_partitioned = Box::new(|_, _| false);
        fleet.run(90_000);
        fleet.assert_all_alive();
    }
}

/// Guards against declaring live members dead under packet loss, duplication and reordering, for
/// several random seeds.
#[test]
fn lossy_links_cause_no_false_deaths() {
    for seed in 100..110 {
        let mut fleet = Fleet::converged(16, seed);
        fleet.loss_probability = 0.05;
        fleet.duplication_probability = 0.1;
        fleet.max_jitter_ms = 150;
        fleet.run(120_000);
        let deaths: usize = (0..16).map(|i| fleet.deaths(i).len()).sum();
        assert_eq!(deaths, 0, "seed {seed}");
        fleet.running[3] = false;
        fleet.run(15_000);
        fleet.assert_states(0..16, 3..4, MemberState::Dead);
    }
}

/// Guards against members that few others probe, whose death would be detected late.
#[test]
fn every_member_is_probed_by_several_others() {
    let fleet = Fleet::converged(60, 13);
    for i in 0..60 {
        let probers = (0..60).filter(|j| fleet.nodes[*j].probe_set().contains(&key(i)));
        let count = probers.count();
        assert!(count >= 4, "{i} is probed by {count}");
    }
}

/// Guards against a new configuration version that is not announced beyond its first holder.
#[test]
fn a_newer_version_reaches_all_members_within_seconds() {
    let mut fleet = Fleet::converged(40, 14);
    fleet.handle_event(0, Event::ConfigVersion(5));
    let start = fleet.now;
    while fleet.now < start + Duration::from_secs(6) {
        fleet.run(100);
        let notified: Vec<usize> = fleet
            .actions
            .iter()
            .filter_map(|(_, i, action)| match action {
                Action::NewerVersion { version: 5, .. } => Some(*i),
                _ => None,
            })
            .collect();
        fleet.actions.clear();
        notified
            .into_iter()
            .for_each(|i| fleet.handle_event(i, Event::ConfigVersion(5)));
    }
    assert!(
        fleet
            .nodes
            .iter()
            .all(|m| m.local_record().config_version == 5)
    );
}

/// Guards against an endless message loop between two members that reject each other's records
/// and answer each message with another. It showed in a run without refutation that didn't end.
#[test]
fn members_that_reject_each_others_records_do_not_loop() {
    let mut fleet = Fleet::new(2, 15);
    for i in 0..2 {
        let mut invalid = record(i, 1_000);
        invalid.domain = "x".repeat(LABEL_MAX_BYTES + 1);
        fleet.nodes[i] = Membership::new(invalid, i as u64).with_seeds(vec![address(1 - i)]);
    }
    fleet.run(10_000);
    assert!(
        fleet.datagrams_sent <= 100,
        "{} messages in 10 s",
        fleet.datagrams_sent
    );
}

/// Guards against a suspicion from before a pause that expires as soon as the daemon resumes.
#[test]
fn a_suspicion_timeout_restarts_after_a_pause() {
    let mut fleet = Fleet::converged(2, 16);
    fleet.running[1] = false;
    while fleet.state(0, 1) != Some(MemberState::Suspect) {
        fleet.run(100);
    }
    fleet.running[0] = false;
    fleet.run(5_000);
    fleet.running = vec![true, true];
    fleet.run(2_000);
    assert_eq!(fleet.deaths(1).len(), 0);
    fleet.assert_all_alive();
}

/// Guards against daemons that know only each other and no longer contact their seeds. In the
/// capacity measurement of a full restart, 2 of 120 daemons stayed isolated this way.
#[test]
fn isolated_groups_merge_through_their_seeds() {
    let mut fleet = Fleet::new(12, 17);
    fleet.is_partitioned = Box::new(|from, to| (from < 2) != (to < 2));
    for i in 0..12 {
        let seeds = vec![address(0), address(i ^ 1)];
        fleet.nodes[i] = Membership::new(record(i, 1_000), i as u64).with_seeds(seeds);
    }
    fleet.run(10_000);
    assert_eq!(fleet.state(2, 3), Some(MemberState::Alive));
    assert_eq!(fleet.state(2, 4), None, "2 and 3 are isolated");
    fleet.is_partitioned = Box::new(|_, _| false);
    fleet.run(90_000);
    fleet.assert_all_alive();
}

fn gossip(of: usize, state: MemberState, refutation: u32) -> Event {
    let mut update = Update {
        state,
        record: record(of, 1_000),
    };
    update.record.refutation = refutation;
    let header = Header {
        sender: record(1, 1_000).run,
        config_version: 0,
        updates: vec![update],
    };
    let message = MemberMessage::Gossip(Gossip { sync: None, header });
    Event::Message {
        from: address(1),
        message,
    }
}

/// Guards against resolving a pair of contradicting updates about one run wrongly.
#[test]
fn newer_updates_replace_older_ones_and_a_leave_is_final() {
    use MemberState::{Alive, Dead, Leaving, Left, Suspect};
    let table = [
        ((Alive, 0), (Suspect, 0), Suspect),
        ((Suspect, 0), (Alive, 0), Suspect),
        ((Suspect, 0), (Alive, 1), Alive),
        ((Alive, 1), (Suspect, 0), Alive),
        ((Alive, 1), (Dead, 0), Alive),
        ((Suspect, 0), (Leaving, 0), Leaving),
        ((Leaving, 0), (Suspect, 0), Leaving),
        ((Leaving, 0), (Alive, 1), Leaving),
        ((Leaving, 0), (Left, 0), Left),
        ((Left, 0), (Alive, 5), Left),
        ((Dead, 0), (Alive, 0), Dead),
        ((Dead, 0), (Alive, 1), Alive),
        ((Dead, 0), (Leaving, 1), Leaving),
    ];
    for (first, second, expected) in table {
        let mut fleet = Fleet::new(3, 18);
        fleet.handle_event(0, gossip(2, Alive, 0));
        fleet.handle_event(0, gossip(2, first.0, first.1));
        fleet.handle_event(0, gossip(2, second.0, second.1));
        assert_eq!(
            fleet.state(0, 2),
            Some(expected),
            "{first:?}, then {second:?}"
        );
    }
}

/// Guards against a member declared dead that probes others but never learns of its death, which
/// it has to refute.
#[test]
fn a_dead_member_that_probes_receives_its_record() {
    let mut fleet = Fleet::new(3, 19);
    fleet.handle_event(0, gossip(2, MemberState::Alive, 0));
    fleet.handle_event(0, gossip(2, MemberState::Dead, 0));
    let header = Header {
        sender: record(2, 1_000).run,
        config_version: 0,
        updates: Vec::new(),
    };
    let message = MemberMessage::Ping(Ping {
        sequence: 1,
        header,
    });
    let from = address(2);
    let actions = fleet.nodes[0].handle(fleet.now, Event::Message { from, message });
    let reported = actions.iter().any(|action| match action {
        Action::Send { to, message } => {
            let updates = &message.header().updates;
            *to == from && updates.iter().any(|u| u.state == MemberState::Dead)
        }
        _ => false,
    });
    assert!(reported);
}

/// Guards against a leave that reaches some members later than the 3 s allowed by the drain
/// target.
#[test]
fn a_leave_is_known_everywhere_within_3_s() {
    let mut fleet = Fleet::converged(200, 20);
    for leaver in [3, 77, 150] {
        fleet.handle_event(leaver, Event::Leave);
        fleet.run(3_000);
        fleet.assert_states(0..200, leaver..leaver + 1, MemberState::Leaving);
    }
}

/// Guards against datagrams over 1,200 bytes when all labels and numbers have their maximum
/// length. The simulated network checks the size of each datagram.
#[test]
fn the_longest_records_fit_a_datagram() {
    let mut fleet = Fleet::new(30, 21);
    for i in 0..30 {
        let mut long = record(i, u64::MAX - 1);
        long.region = "r".repeat(LABEL_MAX_BYTES);
        long.domain = "d".repeat(LABEL_MAX_BYTES);
        long.config_version = u64::MAX;
        fleet.nodes[i] = Membership::new(long, i as u64).with_seeds(vec![address(0)]);
    }
    fleet.run(30_000);
    fleet.assert_all_alive();
}
