use super::{Finding, GatewaySettings, HostSettings, SettingsFindings};
use crate::intents::IntentSpec;
use crate::{Error, Result};

/// A text with the name of the file that it came from.
#[derive(Debug, Clone)]
pub struct SourceText {
    /// File name, for messages.
    pub name: String,
    /// Contents.
    pub text: String,
}

impl SourceText {
    /// Reads a file.
    ///
    /// # Errors
    /// If the file cannot be read.
    pub fn read(path: &std::path::Path) -> Result<Self> {
        let named = |error: std::io::Error| {
            Error::Io(std::io::Error::new(error.kind(), format!("{}: {error}", path.display())))
        };
        let text = std::fs::read_to_string(path).map_err(named)?;
        Ok(Self { name: path.display().to_string(), text })
    }

    /// Line and column of a byte offset, both from 1.
    pub fn place(&self, offset: usize) -> (usize, usize) {
        let before = self.text.get(..offset).unwrap_or(&self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |last| last.chars().count()) + 1;
        (line, column)
    }

    /// Findings about this text, as one error.
    pub fn error(&self, findings: Vec<Finding>) -> Error {
        Error::Settings(SettingsFindings { source: self.clone(), findings })
    }
}

/// Settings of a daemon, of either kind.
#[derive(Debug, Clone)]
pub enum DaemonSettings {
    /// It serves the project's own interface.
    Host(Box<HostSettings>),
    /// It serves the routes of the users' platform.
    Gateway(Box<GatewaySettings>),
}

impl TryFrom<&SourceText> for DaemonSettings {
    type Error = Error;

    fn try_from(source: &SourceText) -> Result<Self> {
        if states_kind(source, "gateway") {
            return GatewaySettings::try_from(source).map(|read| Self::Gateway(Box::new(read)));
        }
        HostSettings::try_from(source).map(|read| Self::Host(Box::new(read)))
    }
}

/// Checks a settings file or an intent, whichever its `kind` says, and names what it is.
///
/// # Errors
/// All findings together.
pub fn check_text(source: &SourceText) -> Result<&'static str> {
    if states_kind(source, "intent") {
        return IntentSpec::try_from(source).map(|_| "intent");
    }
    DaemonSettings::try_from(source).map(|settings| match settings {
        DaemonSettings::Host(_) => "host settings",
        DaemonSettings::Gateway(_) => "gateway settings",
    })
}

fn states_kind(source: &SourceText, kind: &str) -> bool {
    let stripped: String = source.text.chars().filter(|c| !c.is_whitespace()).collect();
    stripped.contains(&format!("\"kind\":\"{kind}\""))
}
