use super::free_ports;
use crate::{Error, Result};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Names the file that holds for how long a daemon was suspended, in nanoseconds of eight bytes.
const HELD_TIME_FILE: &str = "TEALCLEAT_HELD_TIME";
/// Names the address from which a daemon's connections come, if its environment has a library that reads it.
const SOURCE_ADDRESS: &str = "TEALCLEAT_SOURCE";

/// How a daemon on the platform's stand-ins is started.
#[derive(Debug, Clone, Copy)]
pub struct ProcessPlan<'a> {
    /// The built program.
    pub program: &'a Path,
    /// Where its settings and log go.
    pub folder: &'a Path,
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Address of the machine that it is on.
    pub machine: IpAddr,
    /// Where it reaches the store.
    pub store: SocketAddr,
    /// Where it reaches other daemons.
    pub seeds: &'a [SocketAddr],
    /// Where they reach it, if not where it listens.
    pub advertised: Option<SocketAddr>,
    /// How long a key that was taken away may be served, if that is bounded.
    pub revocation: Option<Duration>,
    /// Variables of its environment.
    pub environment: &'a [(String, String)],
}

/// One daemon as a process of its own.
#[derive(Debug)]
pub struct GatewayProcess {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether callers may come.
    pub ready: SocketAddr,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Where it listens for them.
    pub peers_listen: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    environment: Vec<(String, String)>,
    process: Option<Child>,
    suspended_at: Option<Instant>,
    held_nanos: u64,
}

impl GatewayProcess {
    /// Writes its settings and starts it.
    ///
    /// # Errors
    /// If there are no ports, its files cannot be written or it cannot be started.
    pub fn start(plan: &ProcessPlan<'_>) -> Result<Self> {
        let ports = free_ports(4)?;
        let at = |place: usize| SocketAddr::new(plan.machine, ports[place]);
        let settings = plan.folder.join(format!("{}.json", plan.name));
        let seeds: Vec<String> = plan.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let revocation = plan
            .revocation
            .map(|bound| format!("\"revocation_ms\": {}, ", bound.as_millis()))
            .unwrap_or_default();
        let advertise = plan
            .advertised
            .map(|address| format!("\"peers_advertise\": \"{address}\", "))
            .unwrap_or_default();
        let text = format!(
            "{{\"kind\": \"gateway\", \"host\": \"{}\", \"domain\": \"{}\",\n\
             \"callers_listen\": \"{}\", \"ready_listen\": \"{}\", \"peers_listen\": \"{}\",\n\
             \"metrics_listen\": \"{}\", \"store\": \"{}\", \"seeds\": [{}],\n\
             \"shared_key\": \"a-shared-key-of-the-soak\", \"grace_s\": 8, \"lease_ms\": 3000,\n\
             {revocation}{advertise}\"retry_ratio\": 0.2, \"retry_slack\": 500, \"log_level\": \"info\"}}\n",
            plan.name,
            plan.domain,
            at(0),
            at(1),
            at(2),
            at(3),
            plan.store,
            seeds.join(", ")
        );
        std::fs::write(&settings, text)?;
        let mut host = Self {
            callers: at(0),
            ready: at(1),
            peers: plan.advertised.unwrap_or(at(2)),
            peers_listen: at(2),
            program: plan.program.to_path_buf(),
            settings,
            environment: plan.environment.to_vec(),
            process: None,
            suspended_at: None,
            held_nanos: 0,
        };
        host.restart()?;
        Ok(host)
    }

    /// Starts its process, which must have ended.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        self.suspended_at = None;
        self.held_nanos = 0;
        self.write_held()?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new(&self.program)
            .arg(&self.settings)
            .env(HELD_TIME_FILE, self.held_file())
            .env(SOURCE_ADDRESS, self.callers.ip().to_string())
            .envs(self.environment.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Sends a signal to this process.
    ///
    /// # Errors
    /// If that fails.
    pub fn signal(&self, name: &str) -> Result<()> {
        let Some(process) = &self.process else {
            return Ok(());
        };
        let status = Command::new("kill").args([name, &process.id().to_string()]).status()?;
        if status.success() { Ok(()) } else { Err(Error::Refused(format!("kill {name} failed"))) }
    }

    /// Stops its process as a machine does that is suspended: its steady clock stands still meanwhile, if its
    /// environment has a clock that reads the file of held times.
    ///
    /// # Errors
    /// If it cannot be signalled.
    pub fn suspend(&mut self) -> Result<()> {
        self.signal("-STOP")?;
        self.suspended_at = Some(Instant::now());
        Ok(())
    }

    /// Lets a stopped process go on.
    ///
    /// # Errors
    /// If it cannot be signalled.
    pub fn resume(&mut self) -> Result<()> {
        if let Some(at) = self.suspended_at.take() {
            self.held_nanos += u64::try_from(at.elapsed().as_nanos()).unwrap_or(u64::MAX);
            self.write_held()?;
        }
        self.signal("-CONT")
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.process {
            Some(process) => matches!(process.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// What it has logged, over all of its lives.
    ///
    /// # Errors
    /// If its log cannot be read.
    pub fn log(&self) -> Result<String> {
        Ok(std::fs::read_to_string(self.settings.with_extension("log"))?)
    }

    fn held_file(&self) -> PathBuf {
        self.settings.with_extension("held")
    }

    fn write_held(&self) -> Result<()> {
        use std::os::unix::fs::FileExt;
        let file = std::fs::OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.held_file())?;
        // In place: the process has mapped the file.
        Ok(file.write_all_at(&self.held_nanos.to_ne_bytes(), 0)?)
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            // It may have ended by itself; then there is nothing to kill.
            drop(process.kill());
            drop(process.wait());
        }
    }
}
