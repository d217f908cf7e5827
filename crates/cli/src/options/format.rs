use bpaf::{Parser, long};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// How a report is printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// For people.
    #[default]
    Table,
    /// For programs.
    Json,
}

/// The text is no format.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("expected table or json")]
pub struct ParseFormatError;

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Table => "table",
            Self::Json => "json",
        })
    }
}

impl FromStr for Format {
    type Err = ParseFormatError;

    fn from_str(s: &str) -> Result<Self, ParseFormatError> {
        [Self::Table, Self::Json]
            .into_iter()
            .find(|format| format.to_string() == s)
            .ok_or(ParseFormatError)
    }
}

pub(super) fn format() -> impl Parser<Format> {
    let formats = |_: &Format| vec![("table", Some("for people")), ("json", Some("for programs"))];
    long("format")
        .help("How the report is printed: table or json")
        .argument::<Format>("FORMAT")
        .complete(formats)
        .fallback(Format::Table)
        .display_fallback()
}
