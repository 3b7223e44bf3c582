//! Strict parsing of JSON with comments.
//!
//! Every function reports all errors in its input at once, each with file, line, column and the
//! most similar valid name. A value is returned only if the whole input is valid.

use std::fmt;
use std::io;
use std::path::Path;

use serde::Serialize;

use crate::decode::Reader;
use crate::lists::{Customers, Plans};
use crate::settings::Settings;
use crate::{parse_lists, parse_settings};

/// An error at a position in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// Name of the file, as given by the operator.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Description of the error, without its position and the suggested name.
    pub message: String,
    /// Valid name that is most similar to the invalid one, `None` if none is similar enough.
    pub nearest: Option<String>,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (file, line, column) = (&self.file, self.line, self.column);
        write!(f, "{file}:{line}:{column}: {}", self.message)?;
        match &self.nearest {
            Some(name) => write!(f, "; did you mean `{name}`?"),
            None => Ok(()),
        }
    }
}

/// All errors in one or more files, displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Diagnostic::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Text of a file to parse.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// Name of the file in error messages.
    pub file: &'a str,
    /// Content of the file.
    pub text: &'a str,
}

/// Parses the settings of a daemon.
///
/// `read_file` returns the content of a PEM file that the settings name. A read that fails is
/// reported at the field with the path.
pub fn settings<F>(source: Source<'_>, read_file: F) -> Result<Settings, Diagnostics>
where
    F: Fn(&Path) -> io::Result<String>,
{
    let reader = Reader::new(source.file, source.text);
    let settings = reader
        .parse()
        .and_then(|value| parse_settings::settings(&reader, &value, &read_file));
    into_result(settings, reader.into_diagnostics())
}

/// Parses both lists and checks the references between them: the plans of customers and the
/// services and routes of plans.
pub fn lists(customers: Source<'_>, plans: Source<'_>) -> Result<(Customers, Plans), Diagnostics> {
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

    let mut diagnostics = customers_reader.into_diagnostics();
    diagnostics.extend(plans_reader.into_diagnostics());
    into_result(customers.zip(plans), diagnostics)
}

fn into_result<T>(value: Option<T>, diagnostics: Vec<Diagnostic>) -> Result<T, Diagnostics> {
    match value {
        Some(value) if diagnostics.is_empty() => Ok(value),
        _ => Err(Diagnostics(diagnostics)),
    }
}
