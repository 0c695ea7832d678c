//! Records when faults begin and end, in a file next to the daemons' logs.

use super::soak_fault::SoakFault;
use crate::{Error, Result};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::SystemTime;

/// The log of injected faults. Its timestamps use the same clock as the daemons' logs.
#[derive(Debug)]
pub(super) struct FaultLog {
    file: File,
}

impl FaultLog {
    pub fn create(folder: &Path) -> Result<Self> {
        Ok(Self { file: File::create(folder.join("faults.log"))? })
    }

    pub fn record_start(&mut self, fault: SoakFault) -> Result<()> {
        self.record("fault_began", fault)
    }

    pub fn record_end(&mut self, fault: SoakFault) -> Result<()> {
        self.record("fault_ended", fault)
    }

    pub fn record_restart(&mut self, server: usize) -> Result<()> {
        self.record("server_restarted", server)
    }

    pub fn record_disruption(&mut self, what: &str) -> Result<()> {
        self.record("shock", what)
    }

    fn record(&mut self, event: &str, what: impl std::fmt::Debug) -> Result<()> {
        let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let time = time.map_err(|error| Error::Protocol(error.to_string()))?.as_secs_f64();
        writeln!(self.file, "time={time:.3} event={event} what=\"{what:?}\"")?;
        Ok(())
    }
}
