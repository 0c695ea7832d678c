use crate::bench::free_ports;
use crate::{Error, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// One daemon as a process of its own.
#[derive(Debug)]
pub(super) struct SoakHost {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    process: Option<Child>,
}

impl SoakHost {
    /// Writes its settings and starts it.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Result<Self> {
        let ports = free_ports(4)?;
        let at = |place: usize| SocketAddr::from(([127, 0, 0, 1], ports[place]));
        let settings = folder.join(format!("{name}.json"));
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "{{\"kind\": \"gateway\", \"host\": \"{name}\", \"domain\": \"a\",\n\
             \"callers_listen\": \"{}\", \"ready_listen\": \"{}\", \"peers_listen\": \"{}\",\n\
             \"metrics_listen\": \"{}\", \"store\": \"{store}\", \"seeds\": [{}],\n\
             \"shared_key\": \"a-shared-key-of-the-soak\", \"grace_s\": 8, \"lease_ms\": 3000,\n\
             \"retry_ratio\": 0.2, \"retry_slack\": 500, \"log_level\": \"info\"}}\n",
            at(0),
            at(1),
            at(2),
            at(3),
            seeds.join(", ")
        );
        std::fs::write(&settings, text)?;
        let mut host = Self {
            callers: at(0),
            ready: at(1),
            peers: at(2),
            program: program.to_path_buf(),
            settings,
            process: None,
        };
        host.restart()?;
        Ok(host)
    }

    /// Starts its process, which must have ended.
    pub fn restart(&mut self) -> Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new(&self.program)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Sends a signal to the process that this soak started.
    pub fn signal(&self, name: &str) -> Result<()> {
        let Some(process) = &self.process else {
            return Ok(());
        };
        let status = Command::new("kill").args([name, &process.id().to_string()]).status()?;
        if status.success() { Ok(()) } else { Err(Error::Refused(format!("kill {name} failed"))) }
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.process {
            Some(process) => matches!(process.try_wait(), Ok(Some(_))),
            None => true,
        }
    }
}

impl Drop for SoakHost {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            // It may have ended by itself; then there is nothing to kill.
            drop(process.kill());
            drop(process.wait());
        }
    }
}
