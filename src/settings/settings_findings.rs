use super::{Finding, SourceText};
use miette::{Diagnostic, LabeledSpan, SourceCode};

/// All findings about one settings file or intent.
#[derive(Debug, Clone)]
pub struct SettingsFindings {
    /// The text that was read.
    pub source: SourceText,
    /// The findings, in the order of the text.
    pub findings: Vec<Finding>,
}

impl SettingsFindings {
    /// Formats each finding as one line: `file:line:column: message`.
    pub fn lines(&self) -> Vec<String> {
        let format_line = |finding: &Finding| {
            let (line, column) = self.source.line_and_column(finding.offset);
            format!("{}:{line}:{column}: {}", self.source.name, finding.message)
        };
        self.findings.iter().map(format_line).collect()
    }
}

impl std::fmt::Display for SettingsFindings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.lines().join("\n"))
    }
}

impl std::error::Error for SettingsFindings {}

impl Diagnostic for SettingsFindings {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source.text)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = |finding: &Finding| {
            LabeledSpan::new(Some(finding.message.clone()), finding.offset, finding.length.max(1))
        };
        Some(Box::new(self.findings.iter().map(label)))
    }
}
