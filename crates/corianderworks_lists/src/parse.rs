//! Strict parsing of JSON with comments.
//!
//! Every function reports all errors of its input at once, each with file,
//! line, column and the nearest valid name. Nothing is returned unless the
//! whole input is valid.

use std::fmt;
use std::io;
use std::path::Path;

use serde::Serialize;

use crate::decode::Reader;
use crate::lists::{Customers, Plans};
use crate::settings::Settings;
use crate::{parse_lists, parse_settings};

/// An error at a place in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Name of the file, as given by the operator.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// Valid name that resembles the invalid one most.
    pub nearest: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (file, line, column) = (&self.file, self.line, self.column);
        write!(f, "{file}:{line}:{column}: {}", self.message)?;
        match &self.nearest {
            Some(name) => write!(f, "; did you mean `{name}`?"),
            None => Ok(()),
        }
    }
}

/// All errors of one or more files.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Problem::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// A file to parse.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// Name for error messages.
    pub file: &'a str,
    /// Content.
    pub text: &'a str,
}

/// Parses the settings of a daemon.
///
/// `read_file` returns the content of a PEM file that the settings refer to.
pub fn settings<F>(source: Source<'_>, read_file: F) -> Result<Settings, Problems>
where
    F: Fn(&Path) -> io::Result<String>,
{
    let reader = Reader::new(source.file, source.text);
    let settings = reader
        .parse()
        .and_then(|value| parse_settings::settings(&reader, &value, &read_file));
    finish(settings, reader.into_problems())
}

/// Parses both lists and checks the references between them.
pub fn lists(customers: Source<'_>, plans: Source<'_>) -> Result<(Customers, Plans), Problems> {
    let plans_reader = Reader::new(plans.file, plans.text);
    let plans_value = plans_reader.parse();
    let plan_names = plans_value.as_ref().and_then(parse_lists::plan_names);
    let plans = plans_value
        .as_ref()
        .and_then(|value| parse_lists::plans(&plans_reader, value));

    let customers_reader = Reader::new(customers.file, customers.text);
    let customers = customers_reader
        .parse()
        .and_then(|value| parse_lists::customers(&customers_reader, &value, plan_names.as_ref()));

    let mut problems = customers_reader.into_problems();
    problems.extend(plans_reader.into_problems());
    finish(customers.zip(plans), problems)
}

fn finish<T>(value: Option<T>, problems: Vec<Problem>) -> Result<T, Problems> {
    match value {
        Some(value) if problems.is_empty() => Ok(value),
        _ => Err(Problems(problems)),
    }
}
