//! Choice of homes and owners from a view of the members.

use corianderworks_decision::ids::{DaemonKey, ServiceKey, UpstreamKey};
use corianderworks_decision::placement::{Candidate, Owners, homes, owners, select_across_domains};

use crate::{Cell, Fault};

const SERVICE: ServiceKey = ServiceKey(9);
const UPSTREAMS: u64 = 12;

pub fn select(faults: &[Fault]) -> Cell {
    drive(faults, false)
}

pub fn reassign(faults: &[Fault]) -> Cell {
    drive(faults, true)
}

/// Removes what the faults take away and compares the placement before and after.
fn drive(faults: &[Fault], compare: bool) -> Cell {
    let mut members: Vec<Candidate> = (0..40)
        .map(|i| Candidate {
            daemon: DaemonKey::of(&format!("daemon-{i}")),
            domain: ["a", "b", "c", "d"][i % 4].into(),
        })
        .collect();
    for fault in faults {
        let before = place(&members);
        let gone = homes(&members, SERVICE, UPSTREAMS as usize)[0];
        let domain = domain_of(&members, gone).to_owned();
        match fault {
            Fault::VmGone => members.retain(|member| member.daemon != gone),
            Fault::DomainGone => members.retain(|member| member.domain != domain),
            _ => return Cell::NotApplicable("pure function of the view"),
        }
        let after = place(&members);
        if let Some(violation) = check(&members, &after) {
            return Cell::Violation(violation);
        }
        let one_gone = *fault == Fault::VmGone;
        if compare && one_gone && moved(gone, &before, &after) {
            return Cell::Violation("an upstream moved that lost no owner".into());
        }
    }
    Cell::Done
}

fn place(members: &[Candidate]) -> Vec<Owners> {
    let home_keys = homes(members, SERVICE, UPSTREAMS as usize);
    let is_home = |member: &&Candidate| home_keys.contains(&member.daemon);
    let home_set: Vec<Candidate> = members.iter().filter(is_home).cloned().collect();
    (0..UPSTREAMS)
        .filter_map(|upstream| owners(&home_set, UpstreamKey(upstream), 3))
        .collect()
}

fn domain_of(members: &[Candidate], daemon: DaemonKey) -> &str {
    let found = members.iter().find(|member| member.daemon == daemon);
    found.map_or("", |member| &member.domain)
}

fn check(members: &[Candidate], placed: &[Owners]) -> Option<String> {
    let domains = select_across_domains(members, 0, members.len());
    if placed.len() != UPSTREAMS as usize && !domains.is_empty() {
        return Some("an upstream has no owner".into());
    }
    placed.iter().find_map(|owners| {
        let (first, second) = (owners.first, owners.second?);
        let same = domain_of(members, first) == domain_of(members, second);
        let several = members.iter().any(|m| m.domain != members[0].domain);
        if owners.first_slots + owners.second_slots != 3 {
            Some("slots were lost or doubled".into())
        } else if domain_of(members, first).is_empty() || domain_of(members, second).is_empty() {
            Some("an owner is gone".into())
        } else {
            (same && several).then(|| "both owners share a failure domain".into())
        }
    })
}

/// Tells whether an upstream changed a surviving owner for a home that was there before.
fn moved(gone: DaemonKey, before: &[Owners], after: &[Owners]) -> bool {
    let old: Vec<DaemonKey> = before
        .iter()
        .flat_map(|o| [Some(o.first), o.second])
        .flatten()
        .collect();
    before.iter().zip(after).any(|(before, after)| {
        let untouched = before.share(gone).is_none();
        let newcomer = [Some(after.first), after.second]
            .into_iter()
            .flatten()
            .any(|d| !old.contains(&d));
        untouched && !newcomer && before != after
    })
}
