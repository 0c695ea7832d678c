//! Reads settings files and intents, which are JSON with comments, into validated types and reports all
//! findings with their locations.

mod field_reader;
mod finding;
mod gateway_settings;
mod host_settings;
mod intent_reader;
mod load_features;
mod settings_findings;
mod source_text;

pub use field_reader::FieldReader;
pub use finding::Finding;
pub use gateway_settings::{GatewayBounds, GatewaySettings};
pub use host_settings::HostSettings;
pub use load_features::LoadFeatures;
pub use settings_findings::SettingsFindings;
pub use source_text::{DaemonSettings, SourceText, check_text};
