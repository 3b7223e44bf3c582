//! Decoding of JSON values, with errors reported at their position in the text.
//!
//! Functions that return `None` have already reported an error. Their callers continue with the
//! remaining values where possible, so that one run reports all errors in a file.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use jsonc_parser::ast::{Array, Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::tokens::{Token, TokenAndRange};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::parse::Diagnostic;
use crate::suggest::{field_with_other_unit, nearest};

/// Maximum nesting depth of a file. The JSON parser is recursive, so unlimited nesting could
/// overflow the stack.
const NESTING_LIMIT: usize = 32;

/// Maximum length of the name of a customer, plan, service, route, VM, region or domain.
const NAME_LIMIT_BYTES: usize = 64;

/// Text of a file and the errors found in it.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    found: RefCell<Vec<PendingDiagnostic>>,
}

/// An error at a byte offset whose line and column are not yet determined.
#[derive(Debug)]
struct PendingDiagnostic {
    offset: usize,
    message: String,
    nearest: Option<String>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            found: RefCell::default(),
        }
    }

    /// Parses the text as JSON in which comments and trailing commas are allowed.
    pub(crate) fn parse(&self) -> Option<Value<'a>> {
        if let Some(offset) = find_excessive_nesting(self.text) {
            self.report(offset, format!("nested deeper than {NESTING_LIMIT} levels"));
            return None;
        }
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: true,
        };
        let collect = CollectOptions {
            tokens: true,
            ..CollectOptions::default()
        };
        match parse_to_ast(self.text, &collect, &options) {
            Ok(result) => {
                self.check_tokens(result.tokens.as_deref().unwrap_or_default());
                if result.value.is_none() {
                    self.report(0, "the file is empty".to_owned());
                }
                result.value
            }
            Err(error) => {
                let message = lowercase_first(&error.kind().to_string());
                self.report(error.range().start, message);
                None
            }
        }
    }

    /// Reports invalid JSON that the parser accepts: missing commas and strings in single quotes.
    fn check_tokens(&self, tokens: &[TokenAndRange<'_>]) {
        for token in tokens {
            if self.text[token.range.start..].starts_with('\'') {
                let message = "expected a string in double quotes".to_owned();
                self.report(token.range.start, message);
            }
        }
        for (left, right) in tokens.iter().zip(tokens.iter().skip(1)) {
            if ends_value(&left.token) && starts_value(&right.token) {
                self.report(left.range.end, "expected a comma".to_owned());
            }
        }
    }

    pub(crate) fn report(&self, offset: usize, message: String) {
        self.report_with_suggestion(offset, message, None);
    }

    pub(crate) fn report_with_suggestion(
        &self,
        offset: usize,
        message: String,
        nearest: Option<String>,
    ) {
        self.found.borrow_mut().push(PendingDiagnostic {
            offset,
            message,
            nearest,
        });
    }

    /// Returns all errors in the order of their position in the text.
    pub(crate) fn into_diagnostics(self) -> Vec<Diagnostic> {
        let mut found = self.found.take();
        found.sort_by_key(|f| f.offset);
        let (mut line, mut line_start, mut scanned) = (1, 0, 0);
        found
            .into_iter()
            .map(|found| {
                let offset = self.floor_char_boundary(found.offset);
                for (i, _) in self.text[scanned..offset].match_indices('\n') {
                    (line, line_start) = (line + 1, scanned + i + 1);
                }
                scanned = offset;
                Diagnostic {
                    file: self.file.to_owned(),
                    line,
                    column: self.text[line_start..offset].chars().count() + 1,
                    message: found.message,
                    nearest: found.nearest,
                }
            })
            .collect()
    }

    fn floor_char_boundary(&self, offset: usize) -> usize {
        let mut before = (0..=offset).rev();
        before
            .find(|i| self.text.is_char_boundary(*i))
            .unwrap_or_default()
    }

    /// Reads an object with a fixed set of fields and reports unknown and duplicate ones.
    pub(crate) fn fields<'v>(
        &'v self,
        value: &'v Value<'a>,
        subject: &'v str,
        known_fields: &'v [&'v str],
    ) -> Option<Fields<'v, 'a>> {
        let object = self.object(value, subject)?;
        let mut values = BTreeMap::new();
        let mut suggested = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let offset = property.range.start;
            if !known_fields.contains(&name) {
                suggested.extend(self.unknown_field(offset, name, known_fields, subject));
            } else if values.insert(name, &property.value).is_some() {
                self.report(offset, format!("duplicate field `{name}` in {subject}"));
            }
        }
        Some(Fields {
            reader: self,
            subject,
            offset: object.range.start,
            values,
            suggested,
        })
    }

    /// Reports an unknown field and returns the most similar known field.
    fn unknown_field(
        &self,
        offset: usize,
        name: &str,
        known_fields: &[&str],
        subject: &str,
    ) -> Option<String> {
        let (kind, suggestion) = match field_with_other_unit(name, known_fields) {
            Some(field) => ("wrong unit in", Some(field.to_owned())),
            None => ("unknown", nearest(name, known_fields.iter().copied())),
        };
        let name = name.escape_debug();
        let message = format!("{kind} field `{name}` in {subject}");
        self.report_with_suggestion(offset, message, suggestion.clone());
        suggestion
    }

    /// Reads an object whose keys are names; each name may appear once.
    pub(crate) fn named_entries<'v, T, F>(
        &self,
        value: &'v Value<'a>,
        subject: &str,
        mut read: F,
    ) -> Option<BTreeMap<String, T>>
    where
        F: FnMut(&'v str, &'v Value<'a>) -> Option<T>,
    {
        let object = self.object(value, subject)?;
        let mut entries = BTreeMap::new();
        let mut all_valid = true;
        for property in &object.properties {
            let name = property.name.as_str();
            let offset = property.range.start;
            all_valid &= self.check_name(offset, name);
            if entries.contains_key(name) {
                self.report(offset, format!("duplicate name `{name}` in {subject}"));
                all_valid = false;
            }
            // An invalid entry keeps its name, so that references to it are not reported as well.
            entries.insert(name.to_owned(), read(name, &property.value));
        }
        let entries: Option<BTreeMap<String, T>> = entries
            .into_iter()
            .map(|(name, entry)| entry.map(|e| (name, e)))
            .collect();
        entries.filter(|_| all_valid)
    }

    /// Returns whether a name can be used in header fields and paths, and reports it if not.
    pub(crate) fn check_name(&self, offset: usize, name: &str) -> bool {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        let valid = !name.is_empty() && name.len() <= NAME_LIMIT_BYTES && name.bytes().all(allowed);
        if !valid {
            self.report(
                offset,
                format!(
                    "invalid name `{}`: expected 1 to {NAME_LIMIT_BYTES} ASCII letters, digits, `-`, `_` or `.`",
                    name.escape_debug()
                ),
            );
        }
        valid
    }

    pub(crate) fn object<'v>(&self, value: &'v Value<'a>, subject: &str) -> Option<&'v Object<'a>> {
        let object = value.as_object();
        object.or_else(|| self.report_wrong_type(value, subject, "an object"))
    }

    pub(crate) fn array<'v>(&self, value: &'v Value<'a>, subject: &str) -> Option<&'v Array<'a>> {
        let array = value.as_array();
        array.or_else(|| self.report_wrong_type(value, subject, "an array"))
    }

    pub(crate) fn string<'v>(&self, value: &'v Value<'a>, subject: &str) -> Option<&'v str> {
        match value.as_string_lit() {
            Some(text) => Some(text.value.as_ref()),
            None => self.report_wrong_type(value, subject, "a string"),
        }
    }

    pub(crate) fn boolean(&self, value: &Value<'a>, subject: &str) -> Option<bool> {
        match value {
            Value::BooleanLit(flag) => Some(flag.value),
            _ => self.report_wrong_type(value, subject, "`true` or `false`"),
        }
    }

    pub(crate) fn integer<T>(
        &self,
        value: &Value<'a>,
        subject: &str,
        range: RangeInclusive<u64>,
    ) -> Option<T>
    where
        T: TryFrom<u64>,
    {
        let (low, high) = (range.start(), range.end());
        let Value::NumberLit(number) = value else {
            let hint = match value.as_string_lit() {
                Some(text) if text.value.starts_with(|c: char| c.is_ascii_digit()) => {
                    " without quotes and unit"
                }
                _ => "",
            };
            return self.report_wrong_type(value, subject, &format!("a whole number{hint}"));
        };
        let parsed = number.value.parse().ok().filter(|n| range.contains(n));
        let converted = parsed.and_then(|n| T::try_from(n).ok());
        if converted.is_none() {
            self.report(
                value.start(),
                format!(
                    "{subject} is {}: expected a whole number from {low} to {high}",
                    number.value
                ),
            );
        }
        converted
    }

    /// Reads a string that must be one of `keywords` and returns its value.
    pub(crate) fn keyword<T>(
        &self,
        value: &Value<'a>,
        subject: &str,
        keywords: &[(&str, T)],
    ) -> Option<T>
    where
        T: Copy,
    {
        let text = self.string(value, subject)?;
        if let Some((_, keyword)) = keywords.iter().find(|(name, _)| *name == text) {
            return Some(*keyword);
        }
        let names: Vec<String> = keywords
            .iter()
            .map(|(name, _)| format!("`{name}`"))
            .collect();
        let message = format!(
            "{subject} is `{}`: expected {}",
            text.escape_debug(),
            names.join(" or ")
        );
        let suggestion = nearest(text, keywords.iter().map(|(name, _)| *name));
        self.report_with_suggestion(value.start(), message, suggestion);
        None
    }

    fn report_wrong_type<T>(&self, value: &Value<'a>, subject: &str, expected: &str) -> Option<T> {
        let found = match value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "a boolean",
            Value::Object(_) => "an object",
            Value::Array(_) => "an array",
            Value::NullKeyword(_) => "null",
        };
        self.report(
            value.start(),
            format!("{subject} is {found}: expected {expected}"),
        );
        None
    }
}

/// Fields of an object that has been checked for unknown and duplicate fields.
#[derive(Debug)]
pub(crate) struct Fields<'v, 'a> {
    reader: &'v Reader<'a>,
    subject: &'v str,
    offset: usize,
    values: BTreeMap<&'v str, &'v Value<'a>>,
    suggested: Vec<String>,
}

impl<'v, 'a> Fields<'v, 'a> {
    /// Returns the value of a field that may be absent.
    pub(crate) fn optional(&self, name: &str) -> Option<&'v Value<'a>> {
        self.values.get(name).copied()
    }

    /// Returns the value of a field that must be present.
    pub(crate) fn required(&self, name: &str) -> Option<&'v Value<'a>> {
        let value = self.optional(name);
        // A misspelt field has already been reported as unknown.
        if value.is_none() && !self.suggested.iter().any(|s| s == name) {
            let message = format!("missing field `{name}` in {}", self.subject);
            self.reader.report(self.offset, message);
        }
        value
    }

    /// Returns the byte offset of the object in the text.
    pub(crate) fn offset(&self) -> usize {
        self.offset
    }

    /// Reads a field that must be present.
    pub(crate) fn read<T, F>(&self, name: &str, read: F) -> Option<T>
    where
        F: FnOnce(&'v Value<'a>, &str) -> Option<T>,
    {
        read(self.required(name)?, &format!("`{name}`"))
    }

    /// Reads a field that may be absent.
    pub(crate) fn read_or<T, F>(&self, name: &str, default: T, read: F) -> Option<T>
    where
        F: FnOnce(&'v Value<'a>, &str) -> Option<T>,
    {
        match self.optional(name) {
            Some(value) => read(value, &format!("`{name}`")),
            None => Some(default),
        }
    }
}

fn ends_value(token: &Token<'_>) -> bool {
    !matches!(
        token,
        Token::OpenBrace | Token::OpenBracket | Token::Comma | Token::Colon
    )
}

fn starts_value(token: &Token<'_>) -> bool {
    !matches!(
        token,
        Token::CloseBrace | Token::CloseBracket | Token::Comma | Token::Colon
    )
}

/// Returns the byte offset at which the nesting exceeds the limit. Brackets in strings and comments
/// do not count.
fn find_excessive_nesting(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let (mut depth, mut i) = (0_usize, 0);
    while i < bytes.len() {
        match bytes[i] {
            b'"' | b'\'' => i = find_string_end(bytes, i),
            b'/' if bytes.get(i + 1) == Some(&b'/') => i = find_end(bytes, i, b"\n"),
            b'/' if bytes.get(i + 1) == Some(&b'*') => i = find_end(bytes, i + 2, b"*/"),
            b'[' | b'{' => {
                depth += 1;
                if depth > NESTING_LIMIT {
                    return Some(i);
                }
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        i += 1;
    }
    None
}

fn find_string_end(bytes: &[u8], start: usize) -> usize {
    let mut i = start + 1;
    while i < bytes.len() && bytes[i] != bytes[start] && bytes[i] != b'\n' {
        i += if bytes[i] == b'\\' { 2 } else { 1 };
    }
    i
}

fn find_end(bytes: &[u8], from: usize, end: &[u8]) -> usize {
    let rest = bytes.get(from..).unwrap_or_default();
    rest.windows(end.len())
        .position(|w| w == end)
        .map_or(bytes.len(), |p| from + p + end.len() - 1)
}

fn lowercase_first(text: &str) -> String {
    let mut chars = text.chars();
    match chars.next() {
        Some(first) => first.to_lowercase().chain(chars).collect(),
        None => String::new(),
    }
}
