use crate::{Error, Result};
use std::collections::HashMap;
use std::time::Duration;

/// A line of a host's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogRecord {
    /// Seconds since 1970 by the host's clock.
    pub time: f64,
    /// Host that wrote the line.
    pub host: String,
    /// Name of the event.
    pub event: String,
    fields: HashMap<String, String>,
}

impl LogRecord {
    /// Returns the text of a field; empty if the line has no such field.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).map(String::as_str).unwrap_or_default()
    }

    /// Returns the value of a field that holds milliseconds.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.text(name).parse().ok().map(Duration::from_millis)
    }
}

impl TryFrom<&str> for LogRecord {
    type Error = Error;

    /// Parses a line. Text before its `time=`, such as the prefix of a log collector, is ignored.
    fn try_from(line: &str) -> Result<Self> {
        let start = line.find("time=").ok_or_else(|| missing("time"))?;
        let mut fields = read_fields(&line[start..]);
        let mut take_field = |name: &str| fields.remove(name).ok_or_else(|| missing(name));
        let time = take_field("time")?;
        let time = time.parse().map_err(|error| Error::Refused(format!("time={time}: {error}")))?;
        Ok(Self { time, host: take_field("host")?, event: take_field("event")?, fields })
    }
}

fn missing(name: &str) -> Error {
    Error::Refused(format!("not a log line: it has no {name}="))
}

/// Parses `name=value` pairs; values that contain blanks are quoted.
fn read_fields(text: &str) -> HashMap<String, String> {
    let mut fields = HashMap::new();
    let mut rest = text;
    while let Some((name, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        // Words between pairs, such as `Bad Gateway` after `status=502`, belong to no field.
        let name = name.rsplit(' ').next().unwrap_or(name);
        fields.insert(name.to_owned(), value.to_owned());
        rest = next;
    }
    fields
}
