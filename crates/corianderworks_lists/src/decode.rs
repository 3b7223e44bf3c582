//! Reading of JSON values with their place in the text.
//!
//! Functions that return `None` have reported a problem, so that one run
//! reports every error of a file.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use jsonc_parser::ast::{Array, Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::tokens::{Token, TokenAndRange};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::parse::Problem;
use crate::suggest::{nearest, with_other_unit};

/// Deepest nesting that a file may have. The JSON parser is recursive, so
/// unlimited nesting could overflow the stack.
const NESTING_LIMIT: usize = 32;

/// Longest name of a customer, plan, service, route, VM, region or domain.
const NAME_LIMIT_BYTES: usize = 64;

/// Text of a file together with the problems found in it.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    found: RefCell<Vec<Found>>,
}

/// A problem whose line is not yet known.
#[derive(Debug)]
struct Found {
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

    /// Parses the text; comments and trailing commas are allowed.
    pub(crate) fn parse(&self) -> Option<Value<'a>> {
        if let Some(offset) = first_too_deep(self.text) {
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
                let message = lower_first(&error.kind().to_string());
                self.report(error.range().start, message);
                None
            }
        }
    }

    /// Reports what the JSON parser accepts although it is not JSON: a comma
    /// left out, and strings in single quotes.
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
        self.report_nearest(offset, message, None);
    }

    pub(crate) fn report_nearest(&self, offset: usize, message: String, nearest: Option<String>) {
        self.found.borrow_mut().push(Found {
            offset,
            message,
            nearest,
        });
    }

    /// Returns all problems in the order of the text.
    pub(crate) fn into_problems(self) -> Vec<Problem> {
        let mut found = self.found.take();
        found.sort_by_key(|f| f.offset);
        let (mut line, mut line_start, mut scanned) = (1, 0, 0);
        found
            .into_iter()
            .map(|found| {
                let offset = self.char_boundary(found.offset);
                for (i, _) in self.text[scanned..offset].match_indices('\n') {
                    (line, line_start) = (line + 1, scanned + i + 1);
                }
                scanned = offset;
                Problem {
                    file: self.file.to_owned(),
                    line,
                    column: self.text[line_start..offset].chars().count() + 1,
                    message: found.message,
                    nearest: found.nearest,
                }
            })
            .collect()
    }

    fn char_boundary(&self, offset: usize) -> usize {
        let mut before = (0..=offset).rev();
        before
            .find(|i| self.text.is_char_boundary(*i))
            .unwrap_or_default()
    }

    /// Reads an object with a fixed set of fields.
    pub(crate) fn fields<'v>(
        &'v self,
        value: &'v Value<'a>,
        what: &'v str,
        known: &'v [&'v str],
    ) -> Option<Fields<'v, 'a>> {
        let object = self.object(value, what)?;
        let mut values = BTreeMap::new();
        let mut suggested = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let offset = property.range.start;
            if !known.contains(&name) {
                suggested.extend(self.unknown_field(offset, name, known, what));
            } else if values.insert(name, &property.value).is_some() {
                self.report(offset, format!("duplicate field `{name}` in {what}"));
            }
        }
        Some(Fields {
            reader: self,
            what,
            offset: object.range.start,
            values,
            suggested,
        })
    }

    /// Reports an unknown field and returns the field that was probably meant.
    fn unknown_field(
        &self,
        offset: usize,
        name: &str,
        known: &[&str],
        what: &str,
    ) -> Option<String> {
        let (fault, suggestion) = match with_other_unit(name, known) {
            Some(right) => ("wrong unit in", Some(right.to_owned())),
            None => ("unknown", nearest(name, known.iter().copied())),
        };
        let name = name.escape_debug();
        let message = format!("{fault} field `{name}` in {what}");
        self.report_nearest(offset, message, suggestion.clone());
        suggestion
    }

    /// Reads an object whose keys are names; each name may appear once.
    pub(crate) fn named<'v, T, F>(
        &self,
        value: &'v Value<'a>,
        what: &str,
        mut read: F,
    ) -> Option<BTreeMap<String, T>>
    where
        F: FnMut(&'v str, &'v Value<'a>) -> Option<T>,
    {
        let object = self.object(value, what)?;
        let mut entries = BTreeMap::new();
        let mut complete = true;
        for property in &object.properties {
            let name = property.name.as_str();
            let offset = property.range.start;
            complete &= self.check_name(offset, name);
            if entries.contains_key(name) {
                self.report(offset, format!("duplicate name `{name}` in {what}"));
                complete = false;
            }
            // A failed entry keeps its name, so that it does not also count as
            // missing where other entries refer to it.
            entries.insert(name.to_owned(), read(name, &property.value));
        }
        let entries: Option<BTreeMap<String, T>> = entries
            .into_iter()
            .map(|(name, entry)| entry.map(|e| (name, e)))
            .collect();
        entries.filter(|_| complete)
    }

    /// Reports a name that could not be used in a header field or a path.
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

    pub(crate) fn object<'v>(&self, value: &'v Value<'a>, what: &str) -> Option<&'v Object<'a>> {
        let object = value.as_object();
        object.or_else(|| self.wrong_type(value, what, "an object"))
    }

    pub(crate) fn array<'v>(&self, value: &'v Value<'a>, what: &str) -> Option<&'v Array<'a>> {
        let array = value.as_array();
        array.or_else(|| self.wrong_type(value, what, "an array"))
    }

    pub(crate) fn text<'v>(&self, value: &'v Value<'a>, what: &str) -> Option<&'v str> {
        match value.as_string_lit() {
            Some(text) => Some(text.value.as_ref()),
            None => self.wrong_type(value, what, "a string"),
        }
    }

    pub(crate) fn flag(&self, value: &Value<'a>, what: &str) -> Option<bool> {
        match value {
            Value::BooleanLit(flag) => Some(flag.value),
            _ => self.wrong_type(value, what, "`true` or `false`"),
        }
    }

    pub(crate) fn number<T>(
        &self,
        value: &Value<'a>,
        what: &str,
        range: RangeInclusive<u64>,
    ) -> Option<T>
    where
        T: TryFrom<u64>,
    {
        let (low, high) = (range.start(), range.end());
        let Value::NumberLit(number) = value else {
            let unit = match value.as_string_lit() {
                Some(text) if text.value.starts_with(|c: char| c.is_ascii_digit()) => {
                    " without quotes and unit"
                }
                _ => "",
            };
            return self.wrong_type(value, what, &format!("a whole number{unit}"));
        };
        let parsed = number.value.parse().ok().filter(|n| range.contains(n));
        let converted = parsed.and_then(|n| T::try_from(n).ok());
        if converted.is_none() {
            self.report(
                value.start(),
                format!(
                    "{what} is {}: expected a whole number from {low} to {high}",
                    number.value
                ),
            );
        }
        converted
    }

    /// Reads one of several words.
    pub(crate) fn word<T>(&self, value: &Value<'a>, what: &str, words: &[(&str, T)]) -> Option<T>
    where
        T: Copy,
    {
        let text = self.text(value, what)?;
        if let Some((_, word)) = words.iter().find(|(name, _)| *name == text) {
            return Some(*word);
        }
        let names: Vec<String> = words.iter().map(|(name, _)| format!("`{name}`")).collect();
        let message = format!(
            "{what} is `{}`: expected {}",
            text.escape_debug(),
            names.join(" or ")
        );
        let near = nearest(text, words.iter().map(|(name, _)| *name));
        self.report_nearest(value.start(), message, near);
        None
    }

    fn wrong_type<T>(&self, value: &Value<'a>, what: &str, expected: &str) -> Option<T> {
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
            format!("{what} is {found}: expected {expected}"),
        );
        None
    }
}

/// Fields of an object.
#[derive(Debug)]
pub(crate) struct Fields<'v, 'a> {
    reader: &'v Reader<'a>,
    what: &'v str,
    offset: usize,
    values: BTreeMap<&'v str, &'v Value<'a>>,
    suggested: Vec<String>,
}

impl<'v, 'a> Fields<'v, 'a> {
    /// Returns a field that may be absent.
    pub(crate) fn optional(&self, name: &str) -> Option<&'v Value<'a>> {
        self.values.get(name).copied()
    }

    /// Returns a field that must be present.
    pub(crate) fn required(&self, name: &str) -> Option<&'v Value<'a>> {
        let value = self.optional(name);
        // A misspelt field has been reported already.
        if value.is_none() && !self.suggested.iter().any(|s| s == name) {
            let message = format!("missing field `{name}` in {}", self.what);
            self.reader.report(self.offset, message);
        }
        value
    }

    /// Place of the object in the text.
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

/// Returns the place where the nesting exceeds the limit. Brackets in strings
/// and comments do not count.
fn first_too_deep(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let (mut depth, mut i) = (0_usize, 0);
    while i < bytes.len() {
        match bytes[i] {
            b'"' | b'\'' => i = end_of_string(bytes, i),
            b'/' if bytes.get(i + 1) == Some(&b'/') => i = find(bytes, i, b"\n"),
            b'/' if bytes.get(i + 1) == Some(&b'*') => i = find(bytes, i + 2, b"*/"),
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

fn end_of_string(bytes: &[u8], start: usize) -> usize {
    let mut i = start + 1;
    while i < bytes.len() && bytes[i] != bytes[start] && bytes[i] != b'\n' {
        i += if bytes[i] == b'\\' { 2 } else { 1 };
    }
    i
}

fn find(bytes: &[u8], from: usize, end: &[u8]) -> usize {
    let rest = bytes.get(from..).unwrap_or_default();
    rest.windows(end.len())
        .position(|w| w == end)
        .map_or(bytes.len(), |p| from + p + end.len() - 1)
}

fn lower_first(text: &str) -> String {
    let mut chars = text.chars();
    match chars.next() {
        Some(first) => first.to_lowercase().chain(chars).collect(),
        None => String::new(),
    }
}
