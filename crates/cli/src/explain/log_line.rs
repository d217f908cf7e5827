use serde_json::{Map, Value};

/// The fields that every line has, in their own places.
const COMMON: [&str; 5] = ["ts", "host", "msg", "level", "data_centre"];

/// One line of the log of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, as text that sorts by time (RFC 3339 in UTC).
    pub at: Box<str>,
    /// The host that wrote it.
    pub host: Box<str>,
    /// What happened.
    pub message: Box<str>,
    /// The values that decided, by name.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; none when it is no line of a host.
    pub fn parse(line: &str) -> Option<Self> {
        let mut fields: Map<String, Value> = serde_json::from_str(line).ok()?;
        let text = |name: &str| Some(Box::from(fields.get(name)?.as_str()?));
        let (at, host, message) = (text("ts")?, text("host")?, text("msg")?);
        for name in COMMON {
            fields.remove(name);
        }
        Some(Self { at, host, message, fields })
    }

    /// Returns a field that is a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }
}
