//! Selection of homes and upstream owners from a view of the members.

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

/// Removes the members lost to each fault and checks the placement afterwards. With `compare`, it
/// also checks that the loss of a VM doesn't move unaffected upstreams.
fn drive(faults: &[Fault], compare: bool) -> Cell {
    let mut members: Vec<Candidate> = (0..40)
        .map(|i| Candidate {
            daemon: DaemonKey::of(&format!("daemon-{i}")),
            domain: ["a", "b", "c", "d"][i % 4].into(),
        })
        .collect();
    for fault in faults {
        let before = assign_owners(&members);
        let lost = homes(&members, SERVICE, UPSTREAMS as usize)[0];
        let domain = domain_of(&members, lost).to_owned();
        match fault {
            Fault::VmLost => members.retain(|member| member.daemon != lost),
            Fault::DomainLost => members.retain(|member| member.domain != domain),
            _ => return Cell::NotApplicable("pure function of the view"),
        }
        let after = assign_owners(&members);
        if let Some(violation) = check(&members, &after) {
            return Cell::Violation(violation);
        }
        let single_vm_lost = *fault == Fault::VmLost;
        if compare && single_vm_lost && moved_needlessly(lost, &before, &after) {
            return Cell::Violation("an upstream moved that lost no owner".into());
        }
    }
    Cell::Done
}

fn assign_owners(members: &[Candidate]) -> Vec<Owners> {
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
        let same_domain = domain_of(members, first) == domain_of(members, second);
        let several_domains = members.iter().any(|m| m.domain != members[0].domain);
        if owners.first_slots + owners.second_slots != 3 {
            Some("slots were lost or doubled".into())
        } else if domain_of(members, first).is_empty() || domain_of(members, second).is_empty() {
            Some("an owner no longer exists".into())
        } else {
            (same_domain && several_domains).then(|| "both owners share a failure domain".into())
        }
    })
}

/// Whether an upstream that `lost` didn't own got other owners, all of which owned some upstream
/// before.
fn moved_needlessly(lost: DaemonKey, before: &[Owners], after: &[Owners]) -> bool {
    let previous_owners: Vec<DaemonKey> = before
        .iter()
        .flat_map(|o| [Some(o.first), o.second])
        .flatten()
        .collect();
    before.iter().zip(after).any(|(before, after)| {
        let unaffected = before.share(lost).is_none();
        let has_new_owner = [Some(after.first), after.second]
            .into_iter()
            .flatten()
            .any(|d| !previous_owners.contains(&d));
        unaffected && !has_new_owner && before != after
    })
}
