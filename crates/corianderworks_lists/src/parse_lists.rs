//! Strict reading of the two lists.

use std::collections::{BTreeMap, BTreeSet};

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::decode::{Fields, Reader};
use crate::lists::{ALL_ROUTES, Customer, Customers, METHODS, Plan, Plans, Route, Service};
use crate::suggest::nearest;

/// Longest request that a route may allow: ten minutes.
const TIMEOUT_MAX_MS: u64 = 600_000;

/// Most slots of one backend server. An upstream accepts about 360 connections.
const SLOTS_MAX: u64 = 360;

/// Highest rate of one customer, above the peak of a whole fleet.
const RATE_MAX_PER_S: u64 = 100_000;

/// Most requests of one customer at once.
const CONCURRENCY_MAX: u64 = 10_000;

/// Longest note, in characters. Notes are shipped to every daemon.
const NOTE_MAX: usize = 200;

/// Longest path of a route, in bytes.
const PATH_MAX_BYTES: usize = 256;

/// First segments of the paths that a daemon serves itself.
const RESERVED_SEGMENTS: [&str; 4] = ["v1", "healthz", "readyz", "metrics"];

/// Returns the names of the plans, valid or not.
pub(crate) fn plan_names(value: &Value<'_>) -> Option<BTreeSet<String>> {
    names_of(value.as_object()?.get_object("plans")?)
}

fn names_of(object: &jsonc_parser::ast::Object<'_>) -> Option<BTreeSet<String>> {
    let names = object.properties.iter().map(|p| p.name.as_str().to_owned());
    Some(names.collect())
}

/// Reads the customers. With `plans`, each customer must hold one of these.
pub(crate) fn customers<'a>(
    reader: &Reader<'a>,
    value: &Value<'a>,
    plans: Option<&BTreeSet<String>>,
) -> Option<Customers> {
    let fields = reader.fields(value, "the list of customers", &["customers"])?;
    let customers = fields.read("customers", |value, what| {
        reader.named(value, what, |name, value| {
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
    let what = format!("customer `{name}`");
    let fields = reader.fields(value, &what, &["plan", "note"])?;
    let plan = fields.read("plan", |value, what| {
        let plan = reader.text(value, what)?;
        if plans.is_some_and(|plans| !plans.contains(plan)) {
            let near = nearest(plan, plans.into_iter().flatten().map(String::as_str));
            let message = format!(
                "customer `{name}` holds unknown plan `{}`",
                plan.escape_debug()
            );
            reader.report_nearest(value.start(), message, near);
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

/// Reads the services and plans.
pub(crate) fn plans<'a>(reader: &Reader<'a>, value: &Value<'a>) -> Option<Plans> {
    let fields = reader.fields(value, "the list of plans", &["services", "plans"])?;
    let mut paths = Paths::default();
    let services = fields.read("services", |value, what| {
        reader.named(value, what, |name, value| {
            service(reader, name, value, &mut paths)
        })
    });
    let routes = fields.optional("services").and_then(route_names);
    let plans = fields.read("plans", |value, what| {
        reader.named(value, what, |name, value| {
            plan(reader, name, value, routes.as_ref())
        })
    });
    Some(Plans {
        services: services?,
        plans: plans?,
    })
}

/// Names of the routes by service, valid or not.
type RouteNames = BTreeMap<String, BTreeSet<String>>;

fn route_names(services: &Value<'_>) -> Option<RouteNames> {
    let services = services.as_object()?.properties.iter();
    let names = services.map(|property| {
        let object = property.value.as_object();
        let routes = object.and_then(|o| o.get_object("routes"));
        (
            property.name.as_str().to_owned(),
            routes.and_then(names_of).unwrap_or_default(),
        )
    });
    Some(names.collect())
}

fn service<'a>(
    reader: &Reader<'a>,
    name: &str,
    value: &Value<'a>,
    paths: &mut Paths,
) -> Option<Service> {
    let what = format!("service `{name}`");
    let fields = reader.fields(value, &what, &["slots", "floor_percent", "routes", "note"])?;
    let slots = fields.read("slots", |v, what| reader.number(v, what, 1..=SLOTS_MAX));
    let floor_percent = fields.read("floor_percent", |v, what| reader.number(v, what, 0..=100));
    let routes = fields.read("routes", |value, what| {
        reader.named(value, what, |route_name, value| {
            route(reader, &format!("{name}/{route_name}"), value, paths)
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
    paths: &mut Paths,
) -> Option<Route> {
    let what = format!("route `{name}`");
    let known = ["methods", "path", "idempotent", "timeout_ms"];
    let fields = reader.fields(value, &what, &known)?;
    let methods = fields.read("methods", |v, what| methods(reader, v, what));
    let path = fields.read("path", |v, what| path(reader, v, what));
    let idempotent = fields.read("idempotent", |v, what| reader.flag(v, what));
    let timeout_ms = fields.read("timeout_ms", |v, what| {
        reader.number(v, what, 1..=TIMEOUT_MAX_MS)
    });
    let (methods, path) = (methods?, path?);
    if let Some(other) = paths.insert(name, &path, &methods) {
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

/// Routes by path and method. A request is routed by its path and method alone,
/// so these must be unique over all services.
#[derive(Debug, Default)]
struct Paths(BTreeMap<(String, String), String>);

impl Paths {
    /// Adds a route, or returns the route that has its path and a method already.
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

fn methods<'a>(reader: &Reader<'a>, value: &Value<'a>, what: &str) -> Option<Vec<String>> {
    let words = METHODS.map(|m| (m, m));
    let array = reader.array(value, what)?;
    let mut methods: Vec<String> = Vec::new();
    let mut complete = !array.elements.is_empty();
    if !complete {
        reader.report(value.start(), format!("{what} is empty"));
    }
    for element in &array.elements {
        match reader.word(element, "a method", &words) {
            Some(method) if methods.iter().any(|m| m == method) => {
                reader.report(element.start(), format!("duplicate method `{method}`"));
                complete = false;
            }
            Some(method) => methods.push(method.to_owned()),
            None => complete = false,
        }
    }
    complete.then_some(methods)
}

fn path<'a>(reader: &Reader<'a>, value: &Value<'a>, what: &str) -> Option<String> {
    let path = reader.text(value, what)?;
    match path_error(path) {
        None => Some(path.to_owned()),
        Some(error) => {
            let message = format!("{what} is `{}`: {error}", path.escape_debug());
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
    let what = format!("plan `{name}`");
    let known = ["priority", "rate_per_s", "concurrency", "uses", "note"];
    let fields = reader.fields(value, &what, &known)?;
    let priority = fields.read("priority", |v, what| reader.number(v, what, 0..=255));
    let rate_per_s = fields.read("rate_per_s", |v, what| {
        reader.number(v, what, 1..=RATE_MAX_PER_S)
    });
    let concurrency = fields.read("concurrency", |v, what| {
        reader.number(v, what, 1..=CONCURRENCY_MAX)
    });
    let uses = fields.read("uses", |value, what| {
        check_services(reader, value, name, routes);
        reader.named(value, what, |service, value| {
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
            let near = nearest(name, routes.keys().map(String::as_str));
            let message = format!(
                "plan `{plan}` uses unknown service `{}`",
                name.escape_debug()
            );
            reader.report_nearest(property.range.start, message, near);
        }
    }
}

fn used_routes<'a>(
    reader: &Reader<'a>,
    service: &str,
    value: &Value<'a>,
    known: Option<&BTreeSet<String>>,
) -> Option<Vec<String>> {
    let what = format!("the list of routes of `{service}`");
    let array = reader.array(value, &what)?;
    if array.elements.is_empty() {
        reader.report(
            value.start(),
            format!("{what} is empty: name routes, or `*` for all"),
        );
        return None;
    }
    let mut routes: Vec<String> = Vec::new();
    for element in &array.elements {
        let name = reader.text(element, "a route")?;
        if routes.iter().any(|r| r == name) {
            reader.report(
                element.start(),
                format!("duplicate route `{name}` in {what}"),
            );
        } else if name == ALL_ROUTES && array.elements.len() > 1 {
            reader.report(element.start(), format!("`*` must be alone in {what}"));
        } else if name != ALL_ROUTES && known.is_some_and(|known| !known.contains(name)) {
            let near = nearest(name, known.into_iter().flatten().map(String::as_str));
            let message = format!("service `{service}` has no route `{}`", name.escape_debug());
            reader.report_nearest(element.start(), message, near);
        }
        routes.push(name.to_owned());
    }
    Some(routes)
}

fn note<'a>(reader: &Reader<'a>, fields: &Fields<'_, 'a>) -> Option<Option<String>> {
    fields.read_or("note", None, |value, what| {
        let note = reader.text(value, what)?;
        if note.chars().count() > NOTE_MAX {
            reader.report(
                value.start(),
                format!("{what} is longer than {NOTE_MAX} characters"),
            );
            return None;
        }
        Some(Some(note.to_owned()))
    })
}
