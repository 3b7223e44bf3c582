//! Differences between two list versions.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::lists::{Customers, Plan, Plans, Service};

/// Maximum number of lines of a summary, including the headline. The summary is part of the
/// manifest, which every daemon reads.
const SUMMARY_LINES_MAX: usize = 20;

/// Kind of the entry that a change affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A customer, named as in the list of customers.
    Customer,
    /// A plan, named as in the list of plans.
    Plan,
    /// A service without its routes, named as in the list of plans.
    Service,
    /// A route, named `service/route`.
    Route,
}

/// Effect of a change on an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The entry exists only in the second version. Contains its fields as text.
    Added(String),
    /// The entry exists only in the first version.
    Removed,
    /// A field of the entry has another value.
    Changed {
        /// Name of the field.
        field: String,
        /// Value in the first version, `null` if absent.
        from: Value,
        /// Value in the second version, `null` if absent.
        to: Value,
    },
}

/// One difference between two versions. An entry with several changed fields has one per field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Kind of the entry.
    pub subject: Subject,
    /// Name of the entry.
    pub name: String,
    /// Effect of the change on the entry.
    pub effect: Effect,
}

/// All differences between two versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Default)]
pub struct Diff {
    /// Differences in the order of subject, name and field.
    pub changes: Vec<Change>,
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Customer => "customer",
            Self::Plan => "plan",
            Self::Service => "service",
            Self::Route => "route",
        })
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`: ", self.subject, self.name)?;
        match &self.effect {
            Effect::Added(fields) => write!(f, "added with {fields}"),
            Effect::Removed => f.write_str("removed"),
            Effect::Changed { field, from, to } => {
                write!(f, "{field} {} -> {}", format_value(from), format_value(to))
            }
        }
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.changes.iter().map(Change::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl Diff {
    /// Compares two versions, each given by its two lists.
    pub fn between(old: (&Customers, &Plans), new: (&Customers, &Plans)) -> Self {
        let mut diff = Self::default();
        diff.compare_entries(Subject::Customer, &old.0.customers, &new.0.customers);
        diff.compare_entries(Subject::Plan, &flat_plans(old.1), &flat_plans(new.1));
        diff.compare_entries(
            Subject::Service,
            &flat_services(old.1),
            &flat_services(new.1),
        );
        diff.compare_entries(
            Subject::Route,
            &routes_by_full_name(old.1),
            &routes_by_full_name(new.1),
        );
        diff
    }

    /// Returns whether the two versions are equal.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the numbers of changed entries by subject, such as `1 customer, 2 routes`.
    pub fn headline(&self) -> String {
        let mut names: BTreeMap<Subject, BTreeSet<&str>> = BTreeMap::new();
        for change in &self.changes {
            let names = names.entry(change.subject).or_default();
            names.insert(&change.name);
        }
        let counts: Vec<String> = names
            .into_iter()
            .map(|(subject, names)| match names.len() {
                1 => format!("1 {subject}"),
                n => format!("{n} {subject}s"),
            })
            .collect();
        if counts.is_empty() {
            return "no change".to_owned();
        }
        counts.join(", ")
    }

    /// Returns the headline and the first differences, one line each, and the number of omitted ones.
    pub fn summary(&self) -> Vec<String> {
        let max_changes = SUMMARY_LINES_MAX - 2;
        let mut lines = vec![self.headline()];
        lines.extend(self.changes.iter().take(max_changes).map(Change::to_string));
        if self.changes.len() > max_changes {
            lines.push(format!("and {} more", self.changes.len() - max_changes));
        }
        lines
    }

    fn compare_entries<T>(
        &mut self,
        subject: Subject,
        old: &BTreeMap<String, T>,
        new: &BTreeMap<String, T>,
    ) where
        T: Serialize + PartialEq,
    {
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        for name in names {
            let effects = match (old.get(name), new.get(name)) {
                (Some(old), Some(new)) if old == new => Vec::new(),
                (Some(old), Some(new)) => changed_fields(&fields_of(old), &fields_of(new)),
                (None, Some(new)) => vec![Effect::Added(format_fields(&fields_of(new)))],
                _ => vec![Effect::Removed],
            };
            self.changes
                .extend(effects.into_iter().map(|effect| Change {
                    subject,
                    name: name.clone(),
                    effect,
                }));
        }
    }
}

/// A plan with one field per service that it uses, so that these are compared one by one.
#[derive(Serialize, PartialEq)]
struct FlatPlan<'a> {
    priority: u8,
    rate_per_s: u32,
    concurrency: u32,
    #[serde(flatten)]
    uses: BTreeMap<String, &'a [String]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    note: Option<&'a str>,
}

/// A service without its routes, which are compared as entries of their own.
#[derive(Serialize, PartialEq)]
struct FlatService<'a> {
    slots: u32,
    floor_percent: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    note: Option<&'a str>,
}

fn flat_plans(plans: &Plans) -> BTreeMap<String, FlatPlan<'_>> {
    fn flatten_plan(plan: &Plan) -> FlatPlan<'_> {
        FlatPlan {
            priority: plan.priority,
            rate_per_s: plan.rate_per_s,
            concurrency: plan.concurrency,
            uses: plan
                .uses
                .iter()
                .map(|(service, routes)| (format!("uses of `{service}`"), routes.as_slice()))
                .collect(),
            note: plan.note.as_deref(),
        }
    }
    let plans = plans.plans.iter();
    plans
        .map(|(name, plan)| (name.clone(), flatten_plan(plan)))
        .collect()
}

fn flat_services(plans: &Plans) -> BTreeMap<String, FlatService<'_>> {
    fn flatten_service(service: &Service) -> FlatService<'_> {
        FlatService {
            slots: service.slots,
            floor_percent: service.floor_percent,
            note: service.note.as_deref(),
        }
    }
    let services = plans.services.iter();
    services
        .map(|(name, service)| (name.clone(), flatten_service(service)))
        .collect()
}

fn routes_by_full_name(plans: &Plans) -> BTreeMap<String, &crate::lists::Route> {
    let routes = plans.services.iter().flat_map(|(service, entry)| {
        let routes = entry.routes.iter();
        routes.map(move |(name, route)| (format!("{service}/{name}"), route))
    });
    routes.collect()
}

fn fields_of<T>(entry: &T) -> BTreeMap<String, Value>
where
    T: Serialize,
{
    match serde_json::to_value(entry) {
        Ok(Value::Object(fields)) => fields.into_iter().collect(),
        _ => BTreeMap::new(),
    }
}

fn changed_fields(old: &BTreeMap<String, Value>, new: &BTreeMap<String, Value>) -> Vec<Effect> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let value =
        |fields: &BTreeMap<String, Value>, name| fields.get(name).cloned().unwrap_or(Value::Null);
    names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| Effect::Changed {
            field: name.clone(),
            from: value(old, name),
            to: value(new, name),
        })
        .collect()
}

fn format_fields(fields: &BTreeMap<String, Value>) -> String {
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{name} {}", format_value(value)))
        .collect();
    fields.join(", ")
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::Array(values) => values
            .iter()
            .map(format_value)
            .collect::<Vec<_>>()
            .join("+"),
        Value::String(text) => format!("`{text}`"),
        other => other.to_string(),
    }
}
