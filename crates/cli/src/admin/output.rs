//! Prints reports.

use serde::Serialize;
use std::io::{self, Write};

use crate::options::Format;

/// Prints a report as a table or as JSON.
pub(super) fn print_report<T: Serialize>(
    report: &T,
    format: Format,
    table: impl FnOnce(&T) -> String,
) -> io::Result<()> {
    let text = match format {
        Format::Table => table(report),
        Format::Json => serde_json::to_string_pretty(report)? + "\n",
    };
    print_text(&text)
}

/// Prints a text as it is.
pub(super) fn print_text(text: &str) -> io::Result<()> {
    io::stdout().lock().write_all(text.as_bytes())
}
