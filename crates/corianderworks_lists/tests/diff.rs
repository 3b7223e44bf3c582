//! Text of the differences that operators read.

use std::path::Path;

use corianderworks_lists::diff::Diff;
use corianderworks_lists::lists::{Customer, Customers, Plans};
use corianderworks_lists::parse::{Source, lists};

fn sample() -> (Customers, Plans) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/ee-north");
    let read = |file: &str| std::fs::read_to_string(folder.join(file)).unwrap();
    let (customers, plans) = (read("customers.json"), read("plans.json"));
    let source = |text| Source { file: "list", text };
    lists(source(&customers), source(&plans)).unwrap()
}

/// Guards against a kind of change that is missing from the text of the differences.
#[test]
fn every_kind_of_change_is_shown() {
    let (old_customers, old_plans) = sample();
    let (mut customers, mut plans) = (old_customers.clone(), old_plans.clone());
    customers.customers.remove("keila-town");
    customers.customers.get_mut("tallinn-city").unwrap().plan = "emergency".to_owned();
    let town = Customer {
        plan: "public".to_owned(),
        note: Some("trial".to_owned()),
    };
    customers.customers.insert("saue-town".to_owned(), town);
    let carrier = plans.plans.get_mut("carrier").unwrap();
    carrier.rate_per_s = 40;
    carrier
        .uses
        .insert("stock".to_owned(), vec!["levels".to_owned()]);
    carrier.uses.remove("delivery-history");
    let stock = plans.services.get_mut("stock").unwrap();
    stock.slots = 3;
    stock.note = Some("new VMs".to_owned());
    stock.routes.get_mut("levels").unwrap().timeout_ms = 700;
    let count = stock.routes.remove("count").unwrap();
    stock.routes.insert("recount".to_owned(), count);
    plans.services.remove("delivery-history");
    let diff = Diff::between((&old_customers, &old_plans), (&customers, &plans));
    insta::assert_snapshot!(format!("{}\n{diff}", diff.headline()));
    let same = Diff::between((&customers, &plans), (&customers, &plans));
    assert!(same.is_empty(), "{same}");
}

/// Guards against a manifest that becomes large because it contains the summary of a bulk change.
#[test]
fn summary_of_a_bulk_change_is_short() {
    let (old, plans) = sample();
    let customer = |i: u32| (format!("c-{i}"), old.customers["tallinn-city"].clone());
    let customers = Customers {
        customers: (0..19_000).map(customer).collect(),
    };
    let summary = Diff::between((&old, &plans), (&customers, &plans)).summary();
    assert_eq!(summary[0], "19009 customers");
    assert_eq!(summary.last().unwrap(), "and 18991 more");
    assert_eq!(summary.len(), 20);
}
