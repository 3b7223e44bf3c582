//! Tests of the address response computed from the member view.

use std::collections::BTreeMap;

use corianderworks_decision::addresses::{ADDRESSES_MAX, AddressEntry, addresses};
use corianderworks_decision::ids::{DaemonKey, ServiceKey};
use corianderworks_decision::placement::weight;

const SERVICE: ServiceKey = ServiceKey(77);

fn entries(count: u64) -> Vec<AddressEntry> {
    let entry = |n| AddressEntry {
        daemon: DaemonKey(n),
        region: if n % 4 < 2 { "north" } else { "south" }.into(),
        domain: format!("domain-{}", n % 4),
        http_address: ([10, 0, 0, n as u8], 8000).into(),
    };
    (0..count).map(entry).collect()
}

fn caller_hash(n: u64) -> u64 {
    weight(DaemonKey(n), 1)
}

/// Guards against responses that contain a daemon outside the view, contain one twice, or begin
/// with daemons that are not homes and must relay, for several sizes of fleet and home set.
#[test]
fn a_response_contains_live_daemons_once_and_homes_first() {
    for (members, homes) in [(0, 4), (1, 1), (3, 4), (8, 4), (40, 4), (40, 8), (100, 8)] {
        let entries = entries(members);
        // Homes 0, 3, 6, ..; some may be missing from the view, such as a daemon that is leaving.
        let homes: Vec<DaemonKey> = (0..homes).map(|n| DaemonKey(n * 3)).collect();
        for domain in [None, Some("domain-1"), Some("unknown")] {
            let response = addresses(&entries, SERVICE, &homes, domain, caller_hash(members));
            assert_eq!(response.len(), entries.len().min(ADDRESSES_MAX));
            let live_homes = homes
                .iter()
                .filter(|h| entries.iter().any(|e| e.daemon == **h));
            let leading = response.iter().take_while(|a| homes.contains(&a.daemon));
            assert_eq!(leading.count(), live_homes.count());
            let mut daemons: Vec<DaemonKey> = response.iter().map(|a| a.daemon).collect();
            daemons.sort_unstable();
            daemons.dedup();
            assert_eq!(daemons.len(), response.len());
            assert!(response.iter().all(|a| a.weight > 0));
        }
    }
}

/// Guards against daemons in other domains or regions receiving as much traffic as closer ones.
#[test]
fn closer_domains_have_higher_weights() {
    let homes: Vec<DaemonKey> = (0..4).map(DaemonKey).collect();
    let response = addresses(
        &entries(40),
        SERVICE,
        &homes,
        Some("domain-1"),
        caller_hash(5),
    );
    let weight_in = |domain: u64| {
        response
            .iter()
            .find(|a| a.daemon.0 % 4 == domain)
            .map(|a| a.weight)
    };
    assert!(weight_in(1) > weight_in(0), "same domain over same region");
    assert!(
        weight_in(0) > weight_in(2),
        "same region over the other region"
    );
    let others = &response[4..];
    assert!(
        others.iter().all(|a| a.daemon.0 % 4 == 1),
        "members in the same domain fill the remaining entries"
    );
}

/// Guards against directing all callers to the same VM first: the responses to 40 callers must
/// begin with each of the four homes, none of them with more than half.
#[test]
fn callers_begin_with_different_daemons() {
    let homes: Vec<DaemonKey> = (0..4).map(DaemonKey).collect();
    let mut firsts: BTreeMap<DaemonKey, u32> = BTreeMap::new();
    for n in 0..40 {
        let response = addresses(
            &entries(40),
            SERVICE,
            &homes,
            Some("domain-1"),
            caller_hash(n),
        );
        *firsts.entry(response[0].daemon).or_default() += 1;
    }
    assert_eq!(firsts.len(), 4);
    assert!(firsts.values().all(|count| *count <= 20), "{firsts:?}");
}

/// Guards against a response that depends on the order of the members in the view.
#[test]
fn the_member_order_does_not_affect_the_response() {
    let homes: Vec<DaemonKey> = (0..4).map(DaemonKey).collect();
    let mut reversed = entries(40);
    reversed.reverse();
    let expected = addresses(
        &entries(40),
        SERVICE,
        &homes,
        Some("domain-2"),
        caller_hash(9),
    );
    assert_eq!(
        expected,
        addresses(&reversed, SERVICE, &homes, Some("domain-2"), caller_hash(9))
    );
}
