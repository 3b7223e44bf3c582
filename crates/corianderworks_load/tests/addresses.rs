//! Tests of parsing address responses and choosing addresses.

use std::net::SocketAddr;

use corianderworks_load::address::{AddressError, AddressResponse, DaemonAddress};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const VALID: &str = r#"{"addresses":[{"name":"d","address":"127.0.0.1:80","domain":"a",
    "weight":100,"new":1}],"keep_s":30,"key_prefix":"cw-d1.7-"}"#;

/// Guards against the use of a malformed response, and against the rejection of a response with an
/// unknown field, which a later daemon may add.
#[test]
fn responses_are_validated() {
    let parsed = AddressResponse::parse(VALID.as_bytes()).unwrap();
    assert_eq!((parsed.ttl().as_secs(), parsed.addresses.len()), (30, 1));
    let cases = [
        ("\"keep_s\":30", "\"keep_s\":-1", "malformed"),
        ("127.0.0.1:80", "127.0.0.1", "malformed"),
        ("\"weight\":100,", "", "malformed"),
        ("cw-d1.7-", "", "prefix"),
        ("cw-d1.7-", "a b", "prefix"),
        ("cw-d1.7-", "a\\r\\nb", "prefix"),
    ];
    for (from, to, expected) in cases {
        let malformed = VALID.replace(from, to);
        let error = AddressResponse::parse(malformed.as_bytes())
            .unwrap_err()
            .to_string();
        assert!(error.contains(expected), "{malformed}: {error}");
    }
    let empty = r#"{"addresses":[],"keep_s":30,"key_prefix":"x"}"#;
    assert!(matches!(
        AddressResponse::parse(empty.as_bytes()),
        Err(AddressError::Empty)
    ));
    for (keep_s, clamped) in [(0, 1), (u64::MAX, 3_600)] {
        let response = VALID.replace("\"keep_s\":30", &format!("\"keep_s\":{keep_s}"));
        assert_eq!(
            AddressResponse::parse(response.as_bytes()).unwrap().keep_s,
            clamped
        );
    }
}

/// Generates the same cases in every run, so that the result is reproducible.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(512)
    }
}

fn any_addresses() -> impl Strategy<Value = AddressResponse> {
    let address = (any::<u32>(), any::<u16>(), ".{0,8}", any::<u32>()).prop_map(
        |(ip, port, text, weight)| DaemonAddress {
            name: text.clone(),
            address: SocketAddr::from((ip.to_be_bytes(), port)),
            domain: text,
            weight,
        },
    );
    let list = prop::collection::vec(address, 1..9);
    (list, 1..3_600_u64, "[!-~]{1,40}").prop_map(|(addresses, keep_s, key_prefix)| {
        AddressResponse {
            addresses,
            keep_s,
            key_prefix: Some(key_prefix),
        }
    })
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against a valid response that callers reject or change.
    #[test]
    fn valid_responses_are_parsed_unchanged(addresses in any_addresses()) {
        let body = serde_json::to_vec(&addresses).unwrap();
        prop_assert_eq!(AddressResponse::parse(&body).unwrap(), addresses);
    }

    /// Guards against a panic or an unusable key prefix when bytes of a response are corrupted.
    #[test]
    fn corrupted_responses_never_give_an_unusable_result(
        addresses in any_addresses(),
        corruption in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut body = serde_json::to_vec(&addresses).unwrap();
        for (index, byte) in corruption {
            let index = index.index(body.len());
            body[index] = byte;
        }
        if let Ok(parsed) = AddressResponse::parse(&body) {
            prop_assert!(!parsed.addresses.is_empty());
            prop_assert!((1..=3_600).contains(&parsed.keep_s));
            let prefix = parsed.key_prefix.as_deref().unwrap_or("none");
            let header = http::HeaderValue::from_str(prefix);
            prop_assert!(header.is_ok_and(|h| !h.is_empty()));
        }
    }

    /// Guards against choosing an address that is not in the list, and against choosing an avoided
    /// address although another one is available.
    #[test]
    fn avoided_address_is_chosen_only_without_alternative(addresses in any_addresses(), seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let avoided = addresses.addresses[0].address;
        let chosen = addresses.choose(&mut random, |a| a == avoided).unwrap();
        let others = addresses.addresses.iter().any(|a| a.address != avoided);
        prop_assert!(addresses.addresses.iter().any(|a| a.address == chosen));
        prop_assert_eq!(chosen == avoided, !others);
    }
}

/// Guards against weights that do not affect the choice.
#[test]
fn choice_follows_weights() {
    let response = VALID.replace("\"weight\":100", "\"weight\":3");
    let mut addresses = AddressResponse::parse(response.as_bytes()).unwrap();
    let mut second = addresses.addresses[0].clone();
    second.address = "127.0.0.1:81".parse().unwrap();
    second.weight = 1;
    addresses.addresses.push(second.clone());
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let chosen =
        (0..4_000).filter(|_| addresses.choose(&mut random, |_| false) == Some(second.address));
    let count = chosen.count();
    assert!((900..1_100).contains(&count), "{count} of 4000");
}
