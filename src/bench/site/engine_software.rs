/// The software that a stand-in engine runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSoftware {
    /// Its version.
    pub version: String,
    /// Name of the instance that runs it, as in its entry in the store.
    pub instance: String,
    /// How often the software was replaced.
    replacements: u32,
}

impl EngineSoftware {
    /// The version that all engines run unless it is replaced.
    const FIRST_VERSION: &str = "v1";

    /// The software of the engine `id` before any replacement.
    pub(super) fn first(id: &str) -> Self {
        let version = Self::FIRST_VERSION.to_owned();
        Self { version, instance: id.to_owned(), replacements: 0 }
    }

    /// Replaces the software of the engine `id`.
    pub(super) fn replace(&mut self, id: &str, version: &str) {
        self.replacements += 1;
        self.instance = format!("{id}.{}", self.replacements);
        version.clone_into(&mut self.version);
    }

    /// The line that an event of the engine carries; empty if its software was never replaced.
    pub(super) fn event_line(&self) -> String {
        if self.replacements == 0 { String::new() } else { format!(": {}\n", self.version) }
    }
}
