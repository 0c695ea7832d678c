use super::Finding;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use std::str::FromStr;

/// Reads the fields of one JSON object and collects what is wrong with them.
///
/// Each read names a key; [`Self::finish`] then reports keys that nobody asked for, with the
/// nearest one that was asked for.
#[derive(Debug)]
pub struct FieldReader<'a, 'f> {
    object: &'a Object<'a>,
    asked: Vec<&'static str>,
    findings: &'f mut Vec<Finding>,
}

impl<'a, 'f> FieldReader<'a, 'f> {
    /// Begins to read `object`.
    pub fn new(object: &'a Object<'a>, findings: &'f mut Vec<Finding>) -> Self {
        Self { object, asked: Vec::new(), findings }
    }

    /// Records a finding about a key's value, or about the object if the key is missing.
    pub fn find(&mut self, key: &str, message: String) {
        let (offset, length) = match self.property(key).map(|property| property.value.range()) {
            Some(range) => (range.start, range.end - range.start),
            None => (self.object.range.start, 1),
        };
        self.findings.push(Finding { message, offset, length });
    }

    /// A string that must be there and not be empty.
    pub fn string(&mut self, key: &'static str) -> String {
        match self.optional_string(key) {
            Some(text) if !text.is_empty() => text,
            Some(_) => {
                self.find(key, format!("{key} must not be empty"));
                String::new()
            }
            None => {
                self.missing(key);
                String::new()
            }
        }
    }

    /// A string that may be left out.
    pub fn optional_string(&mut self, key: &'static str) -> Option<String> {
        match self.value(key)? {
            Value::StringLit(text) => Some(text.value.to_string()),
            _ => {
                self.find(key, format!("{key} must be a string"));
                Some(" ".to_owned())
            }
        }
    }

    /// A string that parses, such as an address; must be there.
    pub fn parsed<T: FromStr>(&mut self, key: &'static str, what: &str, fallback: T) -> T {
        if self.property(key).is_none() {
            self.missing(key);
        }
        self.optional_parsed(key, what).unwrap_or(fallback)
    }

    /// A string that parses; may be left out.
    pub fn optional_parsed<T: FromStr>(&mut self, key: &'static str, what: &str) -> Option<T> {
        let text = self.optional_string(key)?;
        let wrong = |_error| self.find(key, format!("{key} must be {what}, not {text:?}"));
        text.parse().map_err(wrong).ok()
    }

    /// A whole number within bounds; `default` if it may be left out.
    pub fn number(
        &mut self,
        key: &'static str,
        bounds: std::ops::RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        let low = *bounds.start();
        let Some(value) = self.value(key) else {
            if default.is_none() {
                self.missing(key);
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
                self.find(key, message);
                low
            }
        }
    }

    /// A whole number within bounds that may be left out.
    pub fn optional_number(
        &mut self,
        key: &'static str,
        bounds: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        self.property(key).is_some().then(|| self.number(key, bounds, None)).or_else(|| {
            self.asked.push(key);
            None
        })
    }

    /// A number within bounds; `default` if left out.
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
                self.find(key, message);
                default
            }
        }
    }

    /// True or false; `default` if left out.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        match self.value(key) {
            None => default,
            Some(Value::BooleanLit(flag)) => flag.value,
            Some(_) => {
                self.find(key, format!("{key} must be true or false"));
                default
            }
        }
    }

    /// A list of strings; empty if left out.
    pub fn strings(&mut self, key: &'static str) -> Vec<String> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Value::Array(list) = value else {
            self.find(key, format!("{key} must be a list of strings"));
            return Vec::new();
        };
        let mut strings = Vec::new();
        for element in &list.elements {
            match element {
                Value::StringLit(text) => strings.push(text.value.to_string()),
                other => self.find_at(other, format!("{key} must hold only strings")),
            }
        }
        strings
    }

    /// A list of strings that parse.
    pub fn parsed_list<T: FromStr>(&mut self, key: &'static str, what: &str) -> Vec<T> {
        let texts = self.strings(key);
        let mut values = Vec::new();
        for text in texts {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(_) => self.find(key, format!("{key} must hold {what}, not {text:?}")),
            }
        }
        values
    }

    /// A list of objects, each read by `read`; empty if left out.
    pub fn objects<T>(
        &mut self,
        key: &'static str,
        mut read: impl FnMut(&mut FieldReader<'a, '_>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Value::Array(list) = value else {
            self.find(key, format!("{key} must be a list of objects"));
            return Vec::new();
        };
        let mut items = Vec::new();
        for element in &list.elements {
            if let Value::Object(object) = element {
                let mut reader = FieldReader::new(object, self.findings);
                items.push(read(&mut reader));
                reader.finish();
            } else {
                self.find_at(element, format!("{key} must hold only objects"));
            }
        }
        items
    }

    /// Reports keys that were not asked for, and keys that stand twice.
    pub fn finish(self) {
        for (place, property) in self.object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let range = property.name.range();
            let length = range.end - range.start;
            if self.object.properties[..place].iter().any(|other| other.name.as_str() == name) {
                let message = format!("{name} stands twice");
                self.findings.push(Finding { message, offset: range.start, length });
            }
            if self.asked.contains(&name) {
                continue;
            }
            let nearest = self.asked.iter().max_by(|left, right| {
                strsim::jaro_winkler(name, left).total_cmp(&strsim::jaro_winkler(name, right))
            });
            let hint = nearest.map_or(String::new(), |near| format!("; did you mean {near:?}?"));
            let message = format!("unknown key {name:?}{hint}");
            self.findings.push(Finding { message, offset: range.start, length });
        }
    }

    fn value(&mut self, key: &'static str) -> Option<&'a Value<'a>> {
        self.asked.push(key);
        self.property(key).map(|property| &property.value)
    }

    /// A key whose value is `null` counts as left out.
    fn property(&self, key: &str) -> Option<&'a ObjectProp<'a>> {
        let stated = |property: &&ObjectProp<'a>| {
            property.name.as_str() == key && !matches!(property.value, Value::NullKeyword(_))
        };
        self.object.properties.iter().find(stated)
    }

    fn missing(&mut self, key: &str) {
        let offset = self.object.range.start;
        self.findings.push(Finding { message: format!("{key} is missing"), offset, length: 1 });
    }

    fn find_at(&mut self, value: &Value<'_>, message: String) {
        let range = value.range();
        self.findings.push(Finding {
            message,
            offset: range.start,
            length: range.end - range.start,
        });
    }
}

/// Parses `source` and reads its outermost object with `read`.
///
/// # Errors
/// All findings together.
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
    let stated = reader.string("kind");
    if !stated.is_empty() && stated != kind {
        reader.find("kind", format!("kind must be {kind:?}, not {stated:?}"));
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
