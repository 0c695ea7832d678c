//! Writes down when faults begin and end, beside the daemons' logs.

use super::soak_fault::SoakFault;
use crate::{Error, Result};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::SystemTime;

/// The log of a soak's faults, with the daemons' times.
#[derive(Debug)]
pub(super) struct SoakTrace {
    file: File,
}

impl SoakTrace {
    pub fn create(folder: &Path) -> Result<Self> {
        Ok(Self { file: File::create(folder.join("faults.log"))? })
    }

    pub fn note_began(&mut self, fault: SoakFault) -> Result<()> {
        self.note("fault_began", fault)
    }

    pub fn note_ended(&mut self, fault: SoakFault) -> Result<()> {
        self.note("fault_ended", fault)
    }

    pub fn note_restart(&mut self, server: usize) -> Result<()> {
        self.note("server_restarted", server)
    }

    pub fn note_shock(&mut self, what: &str) -> Result<()> {
        self.note("shock", what)
    }

    fn note(&mut self, event: &str, what: impl std::fmt::Debug) -> Result<()> {
        let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let time = time.map_err(|error| Error::Protocol(error.to_string()))?.as_secs_f64();
        writeln!(self.file, "time={time:.3} event={event} what=\"{what:?}\"")?;
        Ok(())
    }
}
