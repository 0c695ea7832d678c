use crate::{Error, Result};
use std::collections::HashMap;
use std::time::Duration;

/// One line of a host's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogRecord {
    /// Seconds since 1970, by the host's own clock.
    pub time: f64,
    /// The host that wrote it.
    pub host: String,
    /// What happened.
    pub event: String,
    fields: HashMap<String, String>,
}

impl LogRecord {
    /// A field's text; empty if the line has none of that name.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).map(String::as_str).unwrap_or_default()
    }

    /// A field that holds milliseconds.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.text(name).parse().ok().map(Duration::from_millis)
    }
}

impl TryFrom<&str> for LogRecord {
    type Error = Error;

    /// Reads a line; what stands before its `time=`, as the prefix of a log collector, is ignored.
    fn try_from(line: &str) -> Result<Self> {
        let from = line.find("time=").ok_or_else(|| missing("time"))?;
        let mut fields = read_fields(&line[from..]);
        let mut take = |name: &str| fields.remove(name).ok_or_else(|| missing(name));
        let time = take("time")?;
        let time = time.parse().map_err(|error| Error::Refused(format!("time={time}: {error}")))?;
        Ok(Self { time, host: take("host")?, event: take("event")?, fields })
    }
}

fn missing(name: &str) -> Error {
    Error::Refused(format!("not a log line: it has no {name}="))
}

/// Reads `name=value` pairs; values with blanks stand in quotes.
fn read_fields(text: &str) -> HashMap<String, String> {
    let mut fields = HashMap::new();
    let mut rest = text;
    while let Some((name, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        // Words between the pairs, as of a status with its name, belong to no field.
        let name = name.rsplit(' ').next().unwrap_or(name);
        fields.insert(name.to_owned(), value.to_owned());
        rest = next;
    }
    fields
}
