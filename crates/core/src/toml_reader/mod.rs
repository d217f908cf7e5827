//! Reads and validates TOML tables. Collects all errors instead of stopping at the first, and treats unknown
//! keys as errors.

mod field_error;
mod field_errors;

pub use field_error::FieldError;
pub use field_errors::FieldErrors;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use toml::{Table, Value};

/// Reads one table; readers of nested tables append to the same list of errors.
///
/// The methods that read a key return `None` after they reported an error.
pub struct TomlReader<'a> {
    table: &'a Table,
    /// The full key of this table from the root; empty for the root.
    path: Box<str>,
    errors: &'a RefCell<Vec<FieldError>>,
    /// The keys that were read; all others are reported as unknown.
    known: RefCell<BTreeSet<Box<str>>>,
}

/// Reads a document with `read` and returns its value if there was no error.
///
/// # Errors
///
/// Returns all errors found, or the first syntax error of the document.
pub fn read_document<T>(
    text: &str,
    read: impl FnOnce(&TomlReader<'_>) -> Option<T>,
) -> Result<T, FieldErrors> {
    let table: Table = text.parse().map_err(|e: toml::de::Error| {
        FieldErrors(vec![FieldError::syntax(e.to_string().trim_end())])
    })?;
    let errors = RefCell::new(Vec::new());
    let reader = TomlReader::new(&table, "".into(), &errors);
    let value = read(&reader);
    reader.report_unknown_keys();
    match (value, errors.into_inner()) {
        (Some(value), errors) if errors.is_empty() => Ok(value),
        (_, errors) => Err(FieldErrors(errors)),
    }
}

impl<'a> TomlReader<'a> {
    fn new(table: &'a Table, path: Box<str>, errors: &'a RefCell<Vec<FieldError>>) -> Self {
        Self { table, path, errors, known: RefCell::default() }
    }

    /// Returns the full key from the root for a key of this table.
    pub fn key(&self, key: &str) -> Box<str> {
        if self.path.is_empty() { key.into() } else { format!("{}.{key}", self.path).into() }
    }

    /// Reports a value that is not allowed.
    pub fn reject(&self, key: &str, value: impl Display, allowed: impl Display) {
        self.errors.borrow_mut().push(FieldError::new(&self.key(key), value, allowed));
    }

    /// Reads and parses a string. Reports a missing key.
    pub fn text<T: FromStr<Err: Display>>(&self, key: &str) -> Option<T> {
        self.require(key, "a text").and_then(|v| self.parse_text(key, v))
    }

    /// Reads and parses a string, or returns `default` if the key is missing.
    pub fn text_or<T: FromStr<Err: Display>>(&self, key: &str, default: T) -> Option<T> {
        match self.get(key) {
            None => Some(default),
            Some(v) => self.parse_text(key, v),
        }
    }

    /// Reads and parses a string; a missing key is read as `Some(None)`.
    pub fn optional_text<T: FromStr<Err: Display>>(&self, key: &str) -> Option<Option<T>> {
        match self.get(key) {
            None => Some(None),
            Some(v) => self.parse_text(key, v).map(Some),
        }
    }

    /// Reads and parses an array of strings; a missing key is read as an empty array.
    pub fn texts<T: FromStr<Err: Display>>(&self, key: &str) -> Option<Vec<T>> {
        let Some(value) = self.get(key) else { return Some(Vec::new()) };
        let Some(items) = value.as_array() else {
            self.reject(key, value, "a list of texts");
            return None;
        };
        let parsed: Vec<T> = items.iter().filter_map(|v| self.parse_text(key, v)).collect();
        (parsed.len() == items.len()).then_some(parsed)
    }

    /// Reads an integer within `range`. Reports a missing key.
    pub fn number(&self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.require(key, &allowed)?;
        self.check_number(key, value, range, &allowed)
    }

    /// Reads an integer within `range`, or returns `default` if the key is missing.
    pub fn number_or(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        match self.get(key) {
            None => Some(default),
            Some(value) => self.check_number(key, value, range, &allowed),
        }
    }

    /// Reads a finite integer or float of at least 0. Reports a missing key.
    pub fn non_negative(&self, key: &str) -> Option<f64> {
        let allowed = "a number of at least 0";
        let value = self.require(key, allowed)?;
        let number = value.as_float().or_else(|| value.as_integer().map(|n| n as f64));
        let checked = number.filter(|n| n.is_finite() && *n >= 0.0);
        if checked.is_none() {
            self.reject(key, value, allowed);
        }
        checked
    }

    /// Reads a boolean, or returns `default` if the key is missing.
    pub fn flag_or(&self, key: &str, default: bool) -> Option<bool> {
        let Some(value) = self.get(key) else { return Some(default) };
        let flag = value.as_bool();
        if flag.is_none() {
            self.reject(key, value, "true or false");
        }
        flag
    }

    /// Reads an array of tables with `read`; a missing key is read as an empty array.
    ///
    /// Returns `None` if any of the tables could not be read.
    pub fn tables<T>(
        &self,
        key: &str,
        read: impl Fn(&TomlReader<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(value) = self.get(key) else { return Some(Vec::new()) };
        let Some(items) = value.as_array().filter(|a| a.iter().all(Value::is_table)) else {
            self.reject(key, value.type_str(), "a list of tables");
            return None;
        };
        let tables = items.iter().filter_map(Value::as_table).enumerate();
        let parsed: Vec<T> = tables
            .filter_map(|(i, table)| {
                self.read_table(table, format!("{}[{i}]", self.key(key)).into(), &read)
            })
            .collect();
        (parsed.len() == items.len()).then_some(parsed)
    }

    /// Reads a table with `read`; a missing key is read as an empty table.
    pub fn table<T>(&self, key: &str, read: impl Fn(&TomlReader<'_>) -> Option<T>) -> Option<T> {
        let empty = Table::new();
        let table = match self.get(key) {
            None => &empty,
            Some(Value::Table(table)) => table,
            Some(value) => {
                self.reject(key, value.type_str(), "a table");
                return None;
            }
        };
        self.read_table(table, self.key(key), &read)
    }

    /// Reads a table with `read`; a missing key is read as `Some(None)`.
    pub fn optional_table<T>(
        &self,
        key: &str,
        read: impl Fn(&TomlReader<'_>) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.get(key) {
            None => Some(None),
            Some(_) => self.table(key, read).map(Some),
        }
    }

    /// Reads a finite integer or float of at least 0, or returns `default` if the key is missing.
    pub fn non_negative_or(&self, key: &str, default: f64) -> Option<f64> {
        let Some(value) = self.get(key) else { return Some(default) };
        let number = value.as_float().or_else(|| value.as_integer().map(|n| n as f64));
        let checked = number.filter(|n| n.is_finite() && *n >= 0.0);
        if checked.is_none() {
            self.reject(key, value, "a number from 0 on");
        }
        checked
    }

    fn read_table<T>(
        &self,
        table: &Table,
        path: Box<str>,
        read: &impl Fn(&TomlReader<'_>) -> Option<T>,
    ) -> Option<T> {
        let reader = TomlReader::new(table, path, self.errors);
        let value = read(&reader);
        reader.report_unknown_keys();
        value
    }

    fn get(&self, key: &str) -> Option<&'a Value> {
        self.known.borrow_mut().insert(key.into());
        self.table.get(key)
    }

    fn require(&self, key: &str, allowed: &str) -> Option<&'a Value> {
        let value = self.get(key);
        if value.is_none() {
            self.errors.borrow_mut().push(FieldError::missing(&self.key(key), allowed));
        }
        value
    }

    fn parse_text<T: FromStr<Err: Display>>(&self, key: &str, value: &Value) -> Option<T> {
        let Some(text) = value.as_str() else {
            self.reject(key, value, "a text");
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(e) => {
                self.reject(key, format!("{text:?}"), e);
                None
            }
        }
    }

    fn check_number(
        &self,
        key: &str,
        value: &Value,
        range: RangeInclusive<u64>,
        allowed: &str,
    ) -> Option<u64> {
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok());
        let checked = number.filter(|n| range.contains(n));
        if checked.is_none() {
            self.reject(key, value, allowed);
        }
        checked
    }

    fn report_unknown_keys(&self) {
        let known = self.known.borrow();
        let listed = known.iter().map(AsRef::as_ref).collect::<Vec<&str>>().join(", ");
        for key in self.table.keys().filter(|k| !known.contains(k.as_str())) {
            self.errors.borrow_mut().push(FieldError::unknown(&self.key(key), &listed));
        }
    }
}
