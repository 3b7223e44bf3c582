//! Validation of the two lists.

use std::collections::{BTreeMap, BTreeSet};

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::decode::{Fields, Reader};
use crate::lists::{ALL_ROUTES, Customer, Customers, METHODS, Plan, Plans, Route, Service};
use crate::suggest::nearest;

/// Maximum timeout of a route: ten minutes.
const TIMEOUT_MAX_MS: u64 = 600_000;

/// Maximum number of slots of one backend server. An upstream accepts about 360 connections.
const SLOTS_MAX: u64 = 360;

/// Maximum rate of one customer, above the peak rate of a whole fleet.
const RATE_MAX_PER_S: u64 = 100_000;

/// Maximum number of concurrent requests of one customer.
const CONCURRENCY_MAX: u64 = 10_000;

/// Maximum length of a note, in characters. Notes are distributed to every daemon.
const NOTE_MAX: usize = 200;

/// Maximum length of the path of a route, in bytes.
const PATH_MAX_BYTES: usize = 256;

/// First segments of the paths that a daemon serves itself, which routes cannot use.
const RESERVED_SEGMENTS: [&str; 4] = ["v1", "healthz", "readyz", "metrics"];

/// Returns the names of all plans, including invalid ones, so that references to these are not
/// reported as well.
pub(crate) fn plan_names(value: &Value<'_>) -> Option<BTreeSet<String>> {
    keys_of(value.as_object()?.get_object("plans")?)
}

fn keys_of(object: &jsonc_parser::ast::Object<'_>) -> Option<BTreeSet<String>> {
    let names = object.properties.iter().map(|p| p.name.as_str().to_owned());
    Some(names.collect())
}

/// Reads the list of customers. If the names of the plans are known, each customer must hold one of
/// them.
pub(crate) fn customers<'a>(
    reader: &Reader<'a>,
    value: &Value<'a>,
    plans: Option<&BTreeSet<String>>,
) -> Option<Customers> {
    let fields = reader.fields(value, "the list of customers", &["customers"])?;
    let customers = fields.read("customers", |value, subject| {
        reader.named_entries(value, subject, |name, value| {
            customer(reader, name, value, plans)
        })
    })?;
    Some(Customers { customers })
}

fn customer<'a>(
    reader: &Reader<'a>,
    name: &str,
    value: &Value<'a>,
    plans: Option<&BTreeSet<String>>,
) -> Option<Customer> {
    let subject = format!("customer `{name}`");
    let fields = reader.fields(value, &subject, &["plan", "note"])?;
    let plan = fields.read("plan", |value, subject| {
        let plan = reader.string(value, subject)?;
        if plans.is_some_and(|plans| !plans.contains(plan)) {
            let suggestion = nearest(plan, plans.into_iter().flatten().map(String::as_str));
            let message = format!(
                "customer `{name}` holds unknown plan `{}`",
                plan.escape_debug()
            );
            reader.report_with_suggestion(value.start(), message, suggestion);
            return None;
        }
        Some(plan.to_owned())
    });
    let note = note(reader, &fields);
    Some(Customer {
        plan: plan?,
        note: note?,
    })
}

/// Reads the list of services and plans.
pub(crate) fn plans<'a>(reader: &Reader<'a>, value: &Value<'a>) -> Option<Plans> {
    let fields = reader.fields(value, "the list of plans", &["services", "plans"])?;
    let mut route_index = RouteIndex::default();
    let services = fields.read("services", |value, subject| {
        reader.named_entries(value, subject, |name, value| {
            service(reader, name, value, &mut route_index)
        })
    });
    let routes = fields.optional("services").and_then(route_names);
    let plans = fields.read("plans", |value, subject| {
        reader.named_entries(value, subject, |name, value| {
            plan(reader, name, value, routes.as_ref())
        })
    });
    Some(Plans {
        services: services?,
        plans: plans?,
    })
}

/// Names of all routes by service, including invalid ones.
type RouteNames = BTreeMap<String, BTreeSet<String>>;

fn route_names(services: &Value<'_>) -> Option<RouteNames> {
    let services = services.as_object()?.properties.iter();
    let names = services.map(|property| {
        let object = property.value.as_object();
        let routes = object.and_then(|o| o.get_object("routes"));
        (
            property.name.as_str().to_owned(),
            routes.and_then(keys_of).unwrap_or_default(),
        )
    });
    Some(names.collect())
}

fn service<'a>(
    reader: &Reader<'a>,
    name: &str,
    value: &Value<'a>,
    route_index: &mut RouteIndex,
) -> Option<Service> {
    let subject = format!("service `{name}`");
    let fields = reader.fields(
        value,
        &subject,
        &["slots", "floor_percent", "routes", "note"],
    )?;
    let slots = fields.read("slots", |v, subject| {
        reader.integer(v, subject, 1..=SLOTS_MAX)
    });
    let floor_percent = fields.read("floor_percent", |v, subject| {
        reader.integer(v, subject, 0..=100)
    });
    let routes = fields.read("routes", |value, subject| {
        reader.named_entries(value, subject, |route_name, value| {
            route(reader, &format!("{name}/{route_name}"), value, route_index)
        })
    });
    let note = note(reader, &fields);
    Some(Service {
        slots: slots?,
        floor_percent: floor_percent?,
        routes: routes?,
        note: note?,
    })
}

fn route<'a>(
    reader: &Reader<'a>,
    name: &str,
    value: &Value<'a>,
    route_index: &mut RouteIndex,
) -> Option<Route> {
    let subject = format!("route `{name}`");
    let known_fields = ["methods", "path", "idempotent", "timeout_ms"];
    let fields = reader.fields(value, &subject, &known_fields)?;
    let methods = fields.read("methods", |v, subject| methods(reader, v, subject));
    let path = fields.read("path", |v, subject| path(reader, v, subject));
    let idempotent = fields.read("idempotent", |v, subject| reader.boolean(v, subject));
    let timeout_ms = fields.read("timeout_ms", |v, subject| {
        reader.integer(v, subject, 1..=TIMEOUT_MAX_MS)
    });
    let (methods, path) = (methods?, path?);
    if let Some(other) = route_index.insert(name, &path, &methods) {
        let offset = fields
            .optional("path")
            .map_or(fields.offset(), Ranged::start);
        reader.report(
            offset,
            format!("route `{name}` overlaps route `{other}`: same path `{path}` and method"),
        );
    }
    Some(Route {
        methods,
        path,
        idempotent: idempotent?,
        timeout_ms: timeout_ms?,
    })
}

/// Names of the routes by path and method. A request is routed by its path and method alone, so
/// this pair must be unique across all services.
#[derive(Debug, Default)]
struct RouteIndex(BTreeMap<(String, String), String>);

impl RouteIndex {
    /// Adds a route, or returns the name of another route with the same path and a common method.
    fn insert(&mut self, name: &str, path: &str, methods: &[String]) -> Option<String> {
        let keys: Vec<_> = methods
            .iter()
            .map(|method| (path.to_owned(), method.clone()))
            .collect();
        if let Some(other) = keys.iter().find_map(|key| self.0.get(key)) {
            return Some(other.clone());
        }
        self.0
            .extend(keys.into_iter().map(|key| (key, name.to_owned())));
        None
    }
}

fn methods<'a>(reader: &Reader<'a>, value: &Value<'a>, subject: &str) -> Option<Vec<String>> {
    let keywords = METHODS.map(|m| (m, m));
    let array = reader.array(value, subject)?;
    let mut methods: Vec<String> = Vec::new();
    let mut all_valid = !array.elements.is_empty();
    if !all_valid {
        reader.report(value.start(), format!("{subject} is empty"));
    }
    for element in &array.elements {
        match reader.keyword(element, "a method", &keywords) {
            Some(method) if methods.iter().any(|m| m == method) => {
                reader.report(element.start(), format!("duplicate method `{method}`"));
                all_valid = false;
            }
            Some(method) => methods.push(method.to_owned()),
            None => all_valid = false,
        }
    }
    all_valid.then_some(methods)
}

fn path<'a>(reader: &Reader<'a>, value: &Value<'a>, subject: &str) -> Option<String> {
    let path = reader.string(value, subject)?;
    match path_error(path) {
        None => Some(path.to_owned()),
        Some(error) => {
            let message = format!("{subject} is `{}`: {error}", path.escape_debug());
            reader.report(value.start(), message);
            None
        }
    }
}

fn path_error(path: &str) -> Option<&'static str> {
    let segments = path.strip_prefix('/');
    let first = segments.and_then(|s| s.split('/').next());
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"/-_.~!$&'()*+,;=:@%".contains(&b);
    if segments.is_none() {
        Some("expected a path that begins with `/`")
    } else if path.len() > PATH_MAX_BYTES {
        Some("longer than 256 bytes")
    } else if !path.bytes().all(allowed) {
        Some("expected only characters of a URI path, without query")
    } else if path.contains("//") || (path.len() > 1 && path.ends_with('/')) {
        Some("empty segment; a path matches whole segments without a final `/`")
    } else if path.split('/').any(|s| s == "." || s == "..") {
        Some("segments `.` and `..` never match")
    } else if first.is_some_and(|s| RESERVED_SEGMENTS.contains(&s)) {
        Some("reserved for the daemon itself")
    } else {
        None
    }
}

fn plan<'a>(
    reader: &Reader<'a>,
    name: &str,
    value: &Value<'a>,
    routes: Option<&RouteNames>,
) -> Option<Plan> {
    let subject = format!("plan `{name}`");
    let known_fields = ["priority", "rate_per_s", "concurrency", "uses", "note"];
    let fields = reader.fields(value, &subject, &known_fields)?;
    let priority = fields.read("priority", |v, subject| reader.integer(v, subject, 0..=255));
    let rate_per_s = fields.read("rate_per_s", |v, subject| {
        reader.integer(v, subject, 1..=RATE_MAX_PER_S)
    });
    let concurrency = fields.read("concurrency", |v, subject| {
        reader.integer(v, subject, 1..=CONCURRENCY_MAX)
    });
    let uses = fields.read("uses", |value, subject| {
        check_services(reader, value, name, routes);
        reader.named_entries(value, subject, |service, value| {
            let routes = routes.and_then(|r| r.get(service));
            used_routes(reader, service, value, routes)
        })
    });
    let note = note(reader, &fields);
    Some(Plan {
        priority: priority?,
        rate_per_s: rate_per_s?,
        concurrency: concurrency?,
        uses: uses?,
        note: note?,
    })
}

fn check_services<'a>(
    reader: &Reader<'a>,
    value: &Value<'a>,
    plan: &str,
    routes: Option<&RouteNames>,
) {
    let (Some(routes), Some(object)) = (routes, value.as_object()) else {
        return;
    };
    for property in &object.properties {
        let name = property.name.as_str();
        if !routes.contains_key(name) {
            let suggestion = nearest(name, routes.keys().map(String::as_str));
            let message = format!(
                "plan `{plan}` uses unknown service `{}`",
                name.escape_debug()
            );
            reader.report_with_suggestion(property.range.start, message, suggestion);
        }
    }
}

fn used_routes<'a>(
    reader: &Reader<'a>,
    service: &str,
    value: &Value<'a>,
    known_routes: Option<&BTreeSet<String>>,
) -> Option<Vec<String>> {
    let subject = format!("the list of routes of `{service}`");
    let array = reader.array(value, &subject)?;
    if array.elements.is_empty() {
        reader.report(
            value.start(),
            format!("{subject} is empty: name routes, or `*` for all"),
        );
        return None;
    }
    let mut routes: Vec<String> = Vec::new();
    for element in &array.elements {
        let name = reader.string(element, "a route")?;
        if routes.iter().any(|r| r == name) {
            reader.report(
                element.start(),
                format!("duplicate route `{name}` in {subject}"),
            );
        } else if name == ALL_ROUTES && array.elements.len() > 1 {
            reader.report(element.start(), format!("`*` must be alone in {subject}"));
        } else if name != ALL_ROUTES && known_routes.is_some_and(|routes| !routes.contains(name)) {
            let suggestion = nearest(name, known_routes.into_iter().flatten().map(String::as_str));
            let message = format!("service `{service}` has no route `{}`", name.escape_debug());
            reader.report_with_suggestion(element.start(), message, suggestion);
        }
        routes.push(name.to_owned());
    }
    Some(routes)
}

fn note<'a>(reader: &Reader<'a>, fields: &Fields<'_, 'a>) -> Option<Option<String>> {
    fields.read_or("note", None, |value, subject| {
        let note = reader.string(value, subject)?;
        if note.chars().count() > NOTE_MAX {
            reader.report(
                value.start(),
                format!("{subject} is longer than {NOTE_MAX} characters"),
            );
            return None;
        }
        Some(Some(note.to_owned()))
    })
}
