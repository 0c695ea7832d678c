use super::free_ports;
use crate::resource_plan::MachineLimits;
use crate::retries::RetryBounds;
use crate::settings::LoadFeatures;
use crate::{Error, Result};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Environment variable with the path of a file that holds how long a daemon was suspended: nanoseconds, in eight
/// bytes.
const SUSPENDED_TIME_VARIABLE: &str = "TEALCLEAT_HELD_TIME";
/// Environment variable with the source address of a daemon's connections. It takes effect only if the daemon's
/// environment loads a library that reads it.
const SOURCE_ADDRESS_VARIABLE: &str = "TEALCLEAT_SOURCE";
/// Environment variable with the path of a file that holds how new connections to servers end, if the machine lost its
/// path to them. It takes effect only if the daemon's environment loads a library that reads it.
const SERVER_CUT_VARIABLE: &str = "TEALCLEAT_SERVER_CUT";

/// How a daemon that uses stand-ins of the platform is started.
#[derive(Debug, Clone, Copy)]
pub struct ProcessPlan<'a> {
    /// Path of the built program.
    pub program: &'a Path,
    /// Folder for its settings and log.
    pub folder: &'a Path,
    /// Host name.
    pub name: &'a str,
    /// Failure domain of the host.
    pub domain: &'a str,
    /// Address of the machine that it runs on.
    pub machine: IpAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Peer addresses of other daemons that it contacts first.
    pub seeds: &'a [SocketAddr],
    /// Address that peers connect to, if it differs from the one that the daemon listens on.
    pub advertised: Option<SocketAddr>,
    /// Longest time for which a revoked key may still be served, if that is bounded.
    pub revocation: Option<Duration>,
    /// How long after SIGTERM the platform kills it.
    pub grace: Duration,
    /// Bounds on retries; `None` leaves room for all.
    pub retries: Option<RetryBounds>,
    /// Decisions under load that are switched on.
    pub features: LoadFeatures,
    /// What its machine allows it, if that is to be enforced and told.
    pub limits: Option<MachineLimits>,
    /// Additional environment variables.
    pub environment: &'a [(String, String)],
}

/// The grace period of the users' deployments.
pub const DEFAULT_GRACE: Duration = Duration::from_secs(8);

/// Bounds on retries that no test reaches.
const AMPLE_RETRIES: RetryBounds =
    RetryBounds { ratio: 0.2, slack: 500.0, window: Duration::from_secs(10), domains: 3 };

/// How new connections to servers end at a machine without a path to them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionCut {
    /// They hang.
    Hang,
    /// They are refused.
    Refuse,
}

/// One daemon in a separate process.
#[derive(Debug)]
pub struct GatewayProcess {
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the readiness check, at which the platform asks whether to send callers.
    pub ready: SocketAddr,
    /// Address that peers connect to.
    pub peers: SocketAddr,
    /// Address that it listens on for peers.
    pub peers_listen: SocketAddr,
    /// Address on which it serves metrics.
    pub metrics: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    limits: Option<MachineLimits>,
    environment: Vec<(String, String)>,
    process: Option<Child>,
    suspended_at: Option<Instant>,
    suspended_nanos: u64,
}

impl GatewayProcess {
    /// Writes the daemon's settings and starts it.
    ///
    /// # Errors
    /// If no ports are free, its files cannot be written or it cannot be started.
    pub fn start(plan: &ProcessPlan<'_>) -> Result<Self> {
        let ports = free_ports(4)?;
        let address = |index: usize| SocketAddr::new(plan.machine, ports[index]);
        let settings = plan.folder.join(format!("{}.json", plan.name));
        let seeds: Vec<String> = plan.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let revocation = plan
            .revocation
            .map(|bound| format!("\"revocation_ms\": {}, ", bound.as_millis()))
            .unwrap_or_default();
        let advertise = plan
            .advertised
            .map(|advertised| format!("\"peers_advertise\": \"{advertised}\", "))
            .unwrap_or_default();
        let features: String = plan
            .features
            .settings()
            .iter()
            .map(|(name, is_on)| format!("\"{name}\": {is_on}, "))
            .collect();
        let machine = plan
            .limits
            .map(|limits| {
                format!("\"memory_mb\": {}, \"max_fds\": {},\n", limits.memory_mb, limits.max_fds)
            })
            .unwrap_or_default();
        let grace = plan.grace.as_secs_f64();
        let retries = plan.retries.unwrap_or(AMPLE_RETRIES);
        let (ratio, slack, window) = (retries.ratio, retries.slack, retries.window.as_secs_f64());
        let text = format!(
            "{{\"kind\": \"gateway\", \"host\": \"{}\", \"domain\": \"{}\",\n\
             \"callers_listen\": \"{}\", \"ready_listen\": \"{}\", \"peers_listen\": \"{}\",\n\
             \"metrics_listen\": \"{}\", \"store\": \"{}\", \"seeds\": [{}],\n\
             \"bootstrap\": true, \"shared_key\": \"a-shared-key-of-the-soak\", \"grace_s\": {grace}, \"lease_ms\": 3000,\n\
             {machine}{revocation}{advertise}{features}\"retry_ratio\": {ratio}, \"retry_slack\": {slack}, \"retry_window_s\": {window},\n\
             \"log_level\": \"info\"}}\n",
            plan.name,
            plan.domain,
            address(0),
            address(1),
            address(2),
            address(3),
            plan.store,
            seeds.join(", ")
        );
        std::fs::write(&settings, text)?;
        let mut gateway = Self {
            callers: address(0),
            ready: address(1),
            peers: plan.advertised.unwrap_or(address(2)),
            peers_listen: address(2),
            metrics: address(3),
            program: plan.program.to_path_buf(),
            settings,
            limits: plan.limits,
            environment: plan.environment.to_vec(),
            process: None,
            suspended_at: None,
            suspended_nanos: 0,
        };
        gateway.restart()?;
        Ok(gateway)
    }

    /// Starts the process again; the previous one must have ended.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        self.suspended_at = None;
        self.suspended_nanos = 0;
        self.write_suspended_time()?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = self
            .command()
            .env(SUSPENDED_TIME_VARIABLE, self.suspended_time_file())
            .env(SOURCE_ADDRESS_VARIABLE, self.callers.ip().to_string())
            .env(SERVER_CUT_VARIABLE, self.server_cut_file())
            .envs(self.environment.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// The command that starts the program, through a shell where that has to lower a limit first.
    fn command(&self) -> Command {
        let Some(MachineLimits { max_fds, .. }) = self.limits else {
            let mut command = Command::new(&self.program);
            command.arg(&self.settings);
            return command;
        };
        let mut command = Command::new("sh");
        command.args(["-c", "ulimit -n \"$1\" && exec \"$2\" \"$3\"", "sh"]);
        command.arg(max_fds.to_string()).arg(&self.program).arg(&self.settings);
        command
    }

    /// The id of the process, if it was started.
    pub fn id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, if it was started.
    ///
    /// # Errors
    /// If the signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        let Some(process) = &self.process else {
            return Ok(());
        };
        let status = Command::new("kill").args([name, &process.id().to_string()]).status()?;
        if status.success() { Ok(()) } else { Err(Error::Refused(format!("kill {name} failed"))) }
    }

    /// Stops the process, as if its machine were suspended. Its monotonic clock stands still meanwhile, if its
    /// environment loads a clock that reads the file of suspended time.
    ///
    /// # Errors
    /// If it cannot be signalled.
    pub fn suspend(&mut self) -> Result<()> {
        self.signal("-STOP")?;
        self.suspended_at = Some(Instant::now());
        Ok(())
    }

    /// Continues a suspended process.
    ///
    /// # Errors
    /// If it cannot be signalled.
    pub fn resume(&mut self) -> Result<()> {
        if let Some(suspended_at) = self.suspended_at.take() {
            self.suspended_nanos +=
                u64::try_from(suspended_at.elapsed().as_nanos()).unwrap_or(u64::MAX);
            self.write_suspended_time()?;
        }
        self.signal("-CONT")
    }

    /// Sets how new connections to servers end; `None` if they work.
    ///
    /// # Errors
    /// If the file that the process reads cannot be written.
    pub fn set_server_cut(&self, cut: Option<ConnectionCut>) -> Result<()> {
        let kind: &[u8] = match cut {
            None => b"-",
            Some(ConnectionCut::Hang) => b"h",
            Some(ConnectionCut::Refuse) => b"r",
        };
        Ok(std::fs::write(self.server_cut_file(), kind)?)
    }

    fn server_cut_file(&self) -> PathBuf {
        self.settings.with_extension("cut")
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.process {
            Some(process) => matches!(process.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// The daemon's log, of all its incarnations.
    ///
    /// # Errors
    /// If its log cannot be read.
    pub fn log(&self) -> Result<String> {
        Ok(std::fs::read_to_string(self.settings.with_extension("log"))?)
    }

    fn suspended_time_file(&self) -> PathBuf {
        self.settings.with_extension("held")
    }

    fn write_suspended_time(&self) -> Result<()> {
        use std::os::unix::fs::FileExt;
        let file = std::fs::OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.suspended_time_file())?;
        // Written in place, because the process has mapped the file.
        Ok(file.write_all_at(&self.suspended_nanos.to_ne_bytes(), 0)?)
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            // The process may have ended by itself; then there is nothing to kill.
            drop(process.kill());
            drop(process.wait());
        }
    }
}
