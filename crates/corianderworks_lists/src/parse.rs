//! Strict parsing of JSON with comments.

use std::fmt;

use serde::de::DeserializeOwned;

use crate::lists::{Customers, Plans};
use crate::settings::Settings;

/// An error at a place in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
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
        let Self {
            file,
            line,
            column,
            message,
            ..
        } = self;
        write!(f, "{file}:{line}:{column}: {message}")?;
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

/// Parses the settings of a daemon.
pub fn settings(file: &str, text: &str) -> Result<Settings, Problems> {
    parse(file, text)
}

/// Parses the list of customers without a check of the plans that it names.
pub fn customers(file: &str, text: &str) -> Result<Customers, Problems> {
    parse(file, text)
}

/// Parses the list of plans.
pub fn plans(file: &str, text: &str) -> Result<Plans, Problems> {
    parse(file, text)
}

fn parse<T>(file: &str, text: &str) -> Result<T, Problems>
where
    T: DeserializeOwned,
{
    let problem = |message: String| {
        Problems(vec![Problem {
            file: file.to_owned(),
            line: 1,
            column: 1,
            message,
            nearest: None,
        }])
    };
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|e| problem(e.to_string()))?
        .unwrap_or_default();
    serde_json::from_value(value).map_err(|e| problem(e.to_string()))
}
