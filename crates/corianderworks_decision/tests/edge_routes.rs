//! Route selection, traffic splitting and configuration versions.

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::edge::routes::{
    CallerLimits, ConfigVersion, Configuration, Idempotency, Route, WeightedService,
    replace_if_newer,
};

fn route(name: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        path_prefix: prefix.to_owned(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_secs(4),
        latency_objective: Duration::from_secs(1),
        priority: 1,
        attempts_max: 2,
        is_public: false,
        split: split
            .iter()
            .map(|(service, weight)| WeightedService {
                service: Arc::from(*service),
                weight: *weight,
            })
            .collect(),
    }
}

fn configuration(version: u64) -> Configuration {
    let routes = vec![
        route("short", "/a/", &[("one", 1)]),
        route("long", "/a/b/", &[("two", 1)]),
    ];
    let hosts = [("Shop.example".to_owned(), routes)];
    Configuration::new(ConfigVersion(version), CallerLimits::default(), hosts, [])
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let configuration = configuration(1);
    let name = |host, path| configuration.route(host, path).map(|r| r.name.to_string());
    for (host, path, expected) in [
        ("shop.example", "/a/x", Some("short")),
        ("shop.example", "/a/b/x", Some("long")),
        ("SHOP.example:8080", "/a/b/", Some("long")),
        ("shop.example", "/a/b", Some("short")),
        ("shop.example", "/a", None),
        ("other.example", "/a/x", None),
    ] {
        assert_eq!(name(host, path).as_deref(), expected, "{host}{path}");
    }
}

#[test]
fn traffic_is_split_by_weight() {
    let route = route("r", "/", &[("one", 90), ("two", 10), ("none", 0)]);
    let at = |point| route.select_service(point).map(|s| s.to_string());
    assert_eq!(at(0.0).as_deref(), Some("one"));
    assert_eq!(at(0.899).as_deref(), Some("one"));
    assert_eq!(at(0.901).as_deref(), Some("two"));
    assert_eq!(at(0.999_999).as_deref(), Some("two"));
}

#[test]
fn an_older_version_never_replaces_a_newer_one() {
    let mut current = None;
    assert!(replace_if_newer(&mut current, Arc::new(configuration(9))));
    assert!(!replace_if_newer(&mut current, Arc::new(configuration(9))));
    assert!(!replace_if_newer(&mut current, Arc::new(configuration(2))));
    assert!(replace_if_newer(&mut current, Arc::new(configuration(10))));
}
