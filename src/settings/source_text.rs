use super::{Finding, GatewaySettings, HostSettings, SettingsFindings};
use crate::intents::IntentSpec;
use crate::{Error, Result};

/// The contents of a file, with its name.
#[derive(Debug, Clone)]
pub struct SourceText {
    /// File name, used in messages.
    pub name: String,
    /// Contents of the file.
    pub text: String,
}

impl SourceText {
    /// Reads a file.
    ///
    /// # Errors
    /// Fails if the file cannot be read.
    pub fn read(path: &std::path::Path) -> Result<Self> {
        let add_path = |error: std::io::Error| {
            Error::Io(std::io::Error::new(error.kind(), format!("{}: {error}", path.display())))
        };
        let text = std::fs::read_to_string(path).map_err(add_path)?;
        Ok(Self { name: path.display().to_string(), text })
    }

    /// Converts a byte offset to a line and a column, both starting at 1.
    pub fn line_and_column(&self, offset: usize) -> (usize, usize) {
        let before = self.text.get(..offset).unwrap_or(&self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |last| last.chars().count()) + 1;
        (line, column)
    }

    /// Combines findings about this text into one error.
    pub fn error(&self, findings: Vec<Finding>) -> Error {
        Error::Settings(SettingsFindings { source: self.clone(), findings })
    }
}

/// Settings of a daemon of either kind.
#[derive(Debug, Clone)]
pub enum DaemonSettings {
    /// The daemon serves the project's own interface.
    Host(Box<HostSettings>),
    /// The daemon serves the routes of the users' platform.
    Gateway(Box<GatewaySettings>),
}

impl TryFrom<&SourceText> for DaemonSettings {
    type Error = Error;

    fn try_from(source: &SourceText) -> Result<Self> {
        if has_kind(source, "gateway") {
            return GatewaySettings::try_from(source)
                .map(|settings| Self::Gateway(Box::new(settings)));
        }
        HostSettings::try_from(source).map(|settings| Self::Host(Box::new(settings)))
    }
}

/// Checks a settings file or an intent, depending on its `kind`, and returns the name of that kind.
///
/// # Errors
/// Returns all findings in one error.
pub fn check_text(source: &SourceText) -> Result<&'static str> {
    if has_kind(source, "intent") {
        return IntentSpec::try_from(source).map(|_| "intent");
    }
    DaemonSettings::try_from(source).map(|settings| match settings {
        DaemonSettings::Host(_) => "host settings",
        DaemonSettings::Gateway(_) => "gateway settings",
    })
}

fn has_kind(source: &SourceText, kind: &str) -> bool {
    let compact: String = source.text.chars().filter(|c| !c.is_whitespace()).collect();
    compact.contains(&format!("\"kind\":\"{kind}\""))
}
