use super::Finding;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use std::str::FromStr;

/// Reads the fields of a JSON object and collects findings about them.
///
/// Each read registers its key as known. [`Self::finish`] reports all other keys as unknown and
/// suggests the most similar known key.
#[derive(Debug)]
pub struct FieldReader<'a, 'f> {
    object: &'a Object<'a>,
    known_keys: Vec<&'static str>,
    findings: &'f mut Vec<Finding>,
}

impl<'a, 'f> FieldReader<'a, 'f> {
    /// Creates a reader of `object` that appends to `findings`.
    pub fn new(object: &'a Object<'a>, findings: &'f mut Vec<Finding>) -> Self {
        Self { object, known_keys: Vec::new(), findings }
    }

    /// Reports a finding at the value of `key`, or at the start of the object if the key is missing.
    pub fn report(&mut self, key: &str, message: String) {
        let (offset, length) = match self.property(key).map(|property| property.value.range()) {
            Some(range) => (range.start, range.end - range.start),
            None => (self.object.range.start, 1),
        };
        self.findings.push(Finding { message, offset, length });
    }

    /// Reads a required string that must not be empty.
    pub fn string(&mut self, key: &'static str) -> String {
        match self.optional_string(key) {
            Some(text) if !text.is_empty() => text,
            Some(_) => {
                self.report(key, format!("{key} must not be empty"));
                String::new()
            }
            None => {
                self.report_missing(key);
                String::new()
            }
        }
    }

    /// Reads an optional string.
    pub fn optional_string(&mut self, key: &'static str) -> Option<String> {
        match self.value(key)? {
            Value::StringLit(text) => Some(text.value.to_string()),
            _ => {
                self.report(key, format!("{key} must be a string"));
                Some(" ".to_owned())
            }
        }
    }

    /// Reads a required string and parses it, such as an address; `expected` describes its format.
    pub fn parsed<T: FromStr>(&mut self, key: &'static str, expected: &str, fallback: T) -> T {
        if self.property(key).is_none() {
            self.report_missing(key);
        }
        self.optional_parsed(key, expected).unwrap_or(fallback)
    }

    /// Reads an optional string and parses it; `expected` describes its format.
    pub fn optional_parsed<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Option<T> {
        let text = self.optional_string(key)?;
        let report = |_error| self.report(key, format!("{key} must be {expected}, not {text:?}"));
        text.parse().map_err(report).ok()
    }

    /// Reads a whole number within `bounds`; it is required unless there is a `default`.
    pub fn number(
        &mut self,
        key: &'static str,
        bounds: std::ops::RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        let low = *bounds.start();
        let Some(value) = self.value(key) else {
            if default.is_none() {
                self.report_missing(key);
            }
            return default.unwrap_or(low);
        };
        let number = match value {
            Value::NumberLit(number) => number.value.parse::<u64>().ok(),
            _ => None,
        };
        match number {
            Some(number) if bounds.contains(&number) => number,
            _ => {
                let message =
                    format!("{key} must be a whole number from {low} to {}", bounds.end());
                self.report(key, message);
                low
            }
        }
    }

    /// Reads an optional whole number within `bounds`.
    pub fn optional_number(
        &mut self,
        key: &'static str,
        bounds: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        self.property(key).is_some().then(|| self.number(key, bounds, None)).or_else(|| {
            self.known_keys.push(key);
            None
        })
    }

    /// Reads an optional number within `bounds`.
    pub fn decimal(
        &mut self,
        key: &'static str,
        bounds: std::ops::RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        let Some(value) = self.value(key) else {
            return default;
        };
        let number = match value {
            Value::NumberLit(number) => number.value.parse::<f64>().ok(),
            _ => None,
        };
        match number {
            Some(number) if bounds.contains(&number) => number,
            _ => {
                let message =
                    format!("{key} must be a number from {} to {}", bounds.start(), bounds.end());
                self.report(key, message);
                default
            }
        }
    }

    /// Reads an optional boolean.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        match self.value(key) {
            None => default,
            Some(Value::BooleanLit(flag)) => flag.value,
            Some(_) => {
                self.report(key, format!("{key} must be true or false"));
                default
            }
        }
    }

    /// Reads a list of strings; a missing key yields an empty list.
    pub fn strings(&mut self, key: &'static str) -> Vec<String> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Value::Array(list) = value else {
            self.report(key, format!("{key} must be a list of strings"));
            return Vec::new();
        };
        let mut strings = Vec::new();
        for element in &list.elements {
            match element {
                Value::StringLit(text) => strings.push(text.value.to_string()),
                other => self.report_at(other, format!("{key} must hold only strings")),
            }
        }
        strings
    }

    /// Reads a list of strings and parses each; `expected` describes their format.
    pub fn parsed_list<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Vec<T> {
        let texts = self.strings(key);
        let mut values = Vec::new();
        for text in texts {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(_) => self.report(key, format!("{key} must hold {expected}, not {text:?}")),
            }
        }
        values
    }

    /// Reads a list of objects, each with `read`; a missing key yields an empty list.
    pub fn objects<T>(
        &mut self,
        key: &'static str,
        mut read: impl FnMut(&mut FieldReader<'a, '_>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Value::Array(list) = value else {
            self.report(key, format!("{key} must be a list of objects"));
            return Vec::new();
        };
        let mut items = Vec::new();
        for element in &list.elements {
            if let Value::Object(object) = element {
                let mut reader = FieldReader::new(object, self.findings);
                items.push(read(&mut reader));
                reader.finish();
            } else {
                self.report_at(element, format!("{key} must hold only objects"));
            }
        }
        items
    }

    /// Reports unknown keys and duplicate keys.
    pub fn finish(self) {
        for (index, property) in self.object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let range = property.name.range();
            let length = range.end - range.start;
            if self.object.properties[..index].iter().any(|other| other.name.as_str() == name) {
                let message = format!("{name} is given more than once");
                self.findings.push(Finding { message, offset: range.start, length });
            }
            if self.known_keys.contains(&name) {
                continue;
            }
            let nearest = self.known_keys.iter().max_by(|left, right| {
                strsim::jaro_winkler(name, left).total_cmp(&strsim::jaro_winkler(name, right))
            });
            let hint = nearest.map_or(String::new(), |known| format!("; did you mean {known:?}?"));
            let message = format!("unknown key {name:?}{hint}");
            self.findings.push(Finding { message, offset: range.start, length });
        }
    }

    fn value(&mut self, key: &'static str) -> Option<&'a Value<'a>> {
        self.known_keys.push(key);
        self.property(key).map(|property| &property.value)
    }

    /// Finds the property of `key`; one whose value is `null` counts as missing.
    fn property(&self, key: &str) -> Option<&'a ObjectProp<'a>> {
        let is_present = |property: &&ObjectProp<'a>| {
            property.name.as_str() == key && !matches!(property.value, Value::NullKeyword(_))
        };
        self.object.properties.iter().find(is_present)
    }

    fn report_missing(&mut self, key: &str) {
        let offset = self.object.range.start;
        self.findings.push(Finding { message: format!("{key} is missing"), offset, length: 1 });
    }

    fn report_at(&mut self, value: &Value<'_>, message: String) {
        let range = value.range();
        self.findings.push(Finding {
            message,
            offset: range.start,
            length: range.end - range.start,
        });
    }
}

/// Parses `source` and reads its top-level object with `read`.
///
/// # Errors
/// Returns all findings in one error.
pub(super) fn read_object<T>(
    source: &super::SourceText,
    kind: &str,
    read: impl FnOnce(&mut FieldReader<'_, '_>) -> T,
) -> crate::Result<T> {
    let mut findings = Vec::new();
    let parsed = jsonc_parser::parse_to_ast(
        &source.text,
        &jsonc_parser::CollectOptions::default(),
        &jsonc_parser::ParseOptions::default(),
    );
    let value = match parsed {
        Ok(result) => result.value,
        Err(error) => {
            let range = error.range();
            let message = error.kind().to_string();
            let finding = Finding { message, offset: range.start, length: range.end - range.start };
            return Err(source.error(vec![finding]));
        }
    };
    let Some(Value::Object(object)) = &value else {
        let message = "the text must be one JSON object".to_owned();
        return Err(source.error(vec![Finding { message, offset: 0, length: 1 }]));
    };
    let mut reader = FieldReader::new(object, &mut findings);
    let actual = reader.string("kind");
    if !actual.is_empty() && actual != kind {
        reader.report("kind", format!("kind must be {kind:?}, not {actual:?}"));
    }
    let item = read(&mut reader);
    reader.finish();
    if findings.is_empty() {
        Ok(item)
    } else {
        findings.sort_by_key(|finding| finding.offset);
        Err(source.error(findings))
    }
}
