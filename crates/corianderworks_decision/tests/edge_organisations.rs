//! Keys of organisations: who holds them, and what keys that are held twice are worth.

use std::sync::Arc;
use std::time::{Duration, Instant};

use corianderworks_decision::edge::organisations::{
    CallerIdentity, Organisation, OrganisationProblem, Organisations, UnknownKey,
};

const SECRET: [u8; 32] = [7; 32];

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        priority: None,
        limit: None,
    }
}

fn name_of(organisations: &Organisations, key: &str) -> Result<Option<Arc<str>>, UnknownKey> {
    let identity = organisations.identify(Some(key.as_bytes()), false)?;
    Ok(identity.organisation().map(|o| o.name.clone()))
}

#[test]
fn a_key_identifies_its_holder() {
    let mut organisations = Organisations::new(SECRET);
    assert!(
        organisations
            .add(organisation("north"), ["k1", "k2"])
            .is_empty()
    );
    assert!(organisations.add(organisation("south"), ["k3"]).is_empty());
    assert_eq!(name_of(&organisations, "k2"), Ok(Some("north".into())));
    assert_eq!(name_of(&organisations, "k3"), Ok(Some("south".into())));
    for unknown in ["", "k", "k4", "K1"] {
        assert_eq!(name_of(&organisations, unknown), Err(UnknownKey));
    }
    assert_eq!(organisations.identify(None, false), Err(UnknownKey));
}

#[test]
fn a_public_route_needs_no_key_and_still_tells_the_holder_of_one() {
    let mut organisations = Organisations::new(SECRET);
    organisations.add(organisation("north"), ["k1"]);
    let identify = |key| organisations.identify(key, true);
    assert_eq!(identify(None), Ok(CallerIdentity::Anonymous));
    assert_eq!(identify(Some(b"k9")), Ok(CallerIdentity::Anonymous));
    let known = identify(Some(b"k1")).expect("a public route");
    assert_eq!(known.organisation().map(|o| &*o.name), Some("north"));
}

/// A request with a key of two organisations would be charged to either of them.
#[test]
fn a_key_of_two_organisations_identifies_neither() {
    let mut organisations = Organisations::new(SECRET);
    organisations.add(organisation("north"), ["k1", "shared", "k1"]);
    let problems = organisations.add(organisation("south"), ["shared", "k2"]);
    let expected = OrganisationProblem::SharedKey {
        first: "north".into(),
        second: "south".into(),
    };
    assert_eq!(problems, [expected]);
    assert_eq!(name_of(&organisations, "shared"), Err(UnknownKey));
    assert_eq!(name_of(&organisations, "k1"), Ok(Some("north".into())));
    assert_eq!(name_of(&organisations, "k2"), Ok(Some("south".into())));
}

/// A second entry of the same name could add keys to an organisation that isn't meant.
#[test]
fn the_second_entry_of_a_name_is_left_out() {
    let mut organisations = Organisations::new(SECRET);
    organisations.add(organisation("north"), ["k1"]);
    let problems = organisations.add(organisation("north"), ["k2"]);
    let expected = OrganisationProblem::DuplicateName("north".into());
    assert_eq!(problems, [expected]);
    assert_eq!(name_of(&organisations, "k2"), Err(UnknownKey));
    assert_eq!(organisations.len(), 1);
}

/// A key in the output of `Debug` would end up in logs.
#[test]
fn keys_are_not_kept_in_clear_text() {
    let mut organisations = Organisations::new(SECRET);
    organisations.add(organisation("north"), ["very-secret-key"]);
    assert!(!format!("{organisations:?}").contains("very-secret-key"));
}

/// The organisations of the largest planned deployment; prints what a configuration costs.
#[test]
fn nineteen_thousand_organisations_are_told_apart() {
    let started = Instant::now();
    let mut organisations = Organisations::new(SECRET);
    for i in 0..19_000 {
        let keys = [format!("key-{i}-a"), format!("key-{i}-b")];
        organisations.add(organisation(&format!("organisation-{i}")), keys);
    }
    let built_in = started.elapsed();
    let started = Instant::now();
    for i in (0..19_000).step_by(19) {
        let expected = format!("organisation-{i}");
        let name = name_of(&organisations, &format!("key-{i}-b"));
        assert_eq!(name, Ok(Some(expected.as_str().into())));
    }
    let looked_up_in: Duration = started.elapsed();
    println!("19,000 organisations built in {built_in:?}, 1,000 keys found in {looked_up_in:?}");
}
