use super::free_ports::free_ports;
use super::{
    FaultCommand, FaultKind, FleetOptions, HostProcess, StandinAddresses, StandinStats, http_call,
    operator_call,
};
use crate::host::{ConfirmRequest, HostStatus, OperatorReply};
use crate::{Error, Result};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const SHARED_KEY: &str = "bench-shared-key-0123456789";
const OPERATOR_KEY: &str = "bench-operator-key-0123456789";
const READY_LIMIT: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(30);

/// Daemons and stand-ins, each a process of its own, stopped when dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons.
    pub hosts: Vec<HostProcess>,
    /// Where the stand-ins listen.
    pub addresses: StandinAddresses,
    options: FleetOptions,
    folder: PathBuf,
    standins: Child,
}

impl Fleet {
    /// Starts stand-ins and daemons; nothing is configured yet.
    ///
    /// # Errors
    /// If a program cannot be started or does not get ready.
    pub fn start(options: FleetOptions) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!(
            "tealcleat-{}-{:08x}",
            std::process::id(),
            rand::random::<u32>()
        ));
        std::fs::create_dir_all(&folder)?;
        let plan = folder.join("standins.json");
        std::fs::write(&plan, serde_json::to_string(&options.deployment.standins())?)?;
        let mut standins = Command::new(options.programs.join("tealcleat-standins"))
            .arg(&plan)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let addresses = StandinAddresses::read_from(&mut standins)?;
        let mut fleet = Self { hosts: Vec::new(), addresses, options, folder, standins };
        fleet.start_hosts()?;
        Ok(fleet)
    }

    /// Starts a fleet and confirms the deployment's intent.
    ///
    /// # Errors
    /// If it does not get ready.
    pub fn start_configured(options: FleetOptions) -> Result<Self> {
        let fleet = Self::start(options)?;
        let intent = fleet.options.deployment.intent(&fleet.addresses);
        let version = fleet.confirm(0, &intent)?;
        fleet.wait_ready(version)?;
        Ok(fleet)
    }

    /// Plans and confirms an intent at one host; returns the new version.
    ///
    /// # Errors
    /// If it was refused.
    pub fn confirm(&self, host: usize, intent: &str) -> Result<u64> {
        let plan = match self.request_operator(host, "POST", "/plan", intent)? {
            OperatorReply::Plan(plan) => plan,
            other => return Err(Error::Refused(format!("{other:?}"))),
        };
        let request = ConfirmRequest {
            intent: intent.to_owned(),
            base_version: plan.base_version,
            digest: plan.digest,
        };
        let text = serde_json::to_string(&request)?;
        match self.request_operator(host, "POST", "/confirm", &text)? {
            OperatorReply::Confirmed(version) => Ok(version),
            other => Err(Error::Refused(format!("{other:?}"))),
        }
    }

    /// Asks a host's operators' port for one of its answers.
    ///
    /// # Errors
    /// If there was no such answer.
    pub fn request_operator(
        &self,
        host: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<OperatorReply> {
        Ok(serde_json::from_str(&self.operator_text(host, method, path, body)?)?)
    }

    /// Asks a host's operators' port for text.
    ///
    /// # Errors
    /// If there was no answer.
    pub fn operator_text(
        &self,
        host: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<String> {
        operator_call(self.hosts[host].operators, OPERATOR_KEY, method, path, body)
    }

    /// The operator key of the fleet.
    pub fn operator_key(&self) -> &'static str {
        OPERATOR_KEY
    }

    /// A host's status.
    ///
    /// # Errors
    /// If there was no answer.
    pub fn status(&self, host: usize) -> Result<HostStatus> {
        Ok(serde_json::from_str(&self.operator_text(host, "GET", "/status", "")?)?)
    }

    /// Waits until every running host has `version` in force and every book is rebuilt.
    ///
    /// # Errors
    /// If that takes too long.
    pub fn wait_ready(&self, version: u64) -> Result<()> {
        let servers = self.options.deployment.standins().engines.len();
        self.wait_until("readiness", || {
            let mut ready = 0;
            for place in self.running() {
                let Ok(status) = self.status(place) else {
                    return false;
                };
                if status.config_version < version {
                    return false;
                }
                ready += status.servers.iter().filter(|server| server.ready).count();
            }
            ready == servers
        })
    }

    /// Waits until `done` holds, or fails after 20 seconds.
    ///
    /// # Errors
    /// [`Error::Refused`] naming `what` if it never holds.
    pub fn wait_until(&self, what: &str, done: impl Fn() -> bool) -> Result<()> {
        let began = Instant::now();
        while !done() {
            if began.elapsed() > READY_LIMIT {
                return Err(Error::Refused(format!("{what} was not reached in {READY_LIMIT:?}")));
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Places of the hosts that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|place| self.hosts[*place].child.is_some()).collect()
    }

    /// Kills a host's process.
    pub fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.hosts[host].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Process id of a running host.
    pub fn process_id(&self, host: usize) -> Option<u32> {
        self.hosts[host].child.as_ref().map(Child::id)
    }

    /// Waits for a host's process to end by itself; true if it ended well.
    pub fn wait_for_exit(&mut self, host: usize) -> bool {
        match self.hosts[host].child.take() {
            Some(mut child) => child.wait().is_ok_and(|status| status.success()),
            None => false,
        }
    }

    /// Starts a host again, as a new incarnation at the old addresses.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn restart(&mut self, host: usize) -> Result<()> {
        self.kill(host);
        let child = self.spawn_host(&self.hosts[host].settings)?;
        self.hosts[host].child = Some(child);
        Ok(())
    }

    /// Switches a fault at the stand-ins.
    ///
    /// # Errors
    /// If there is no such target.
    pub fn fault(&self, target: &str, fault: FaultKind, on: bool) -> Result<()> {
        let command = FaultCommand { target: target.to_owned(), fault, on };
        let url = format!("http://{}/fault", self.addresses.control);
        let (status, text) = http_call("POST", &url, &[], &serde_json::to_string(&command)?)?;
        if status == 200 { Ok(()) } else { Err(Error::Refused(text)) }
    }

    /// What really happened at the stand-ins.
    ///
    /// # Errors
    /// If there was no answer.
    pub fn stats(&self) -> Result<StandinStats> {
        let url = format!("http://{}/stats", self.addresses.control);
        let (_, text) = http_call("GET", &url, &[], "")?;
        Ok(serde_json::from_str(&text)?)
    }

    /// The folder with settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn start_hosts(&mut self) -> Result<()> {
        let names = self.options.deployment.hosts();
        let ports = free_ports(names.len() * 3)?;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let seeds: Vec<String> =
            ports.chunks(3).map(|chunk| address(chunk[1]).to_string()).collect();
        for (place, (name, domain)) in names.into_iter().enumerate() {
            let chunk = &ports[place * 3..place * 3 + 3];
            let (callers, peers, operators) =
                (address(chunk[0]), address(chunk[1]), address(chunk[2]));
            let settings = self.folder.join(format!("{name}.json"));
            let near: Vec<&String> = seeds.iter().take(6).collect();
            let text = json!({"kind": "host", "host": name, "domain": domain,
                "callers_listen": callers.to_string(), "peers_listen": peers.to_string(),
                "operators_listen": operators.to_string(),
                "platform": self.addresses.platform.to_string(), "seeds": near,
                "shared_key": SHARED_KEY, "operator_key": OPERATOR_KEY,
                "policy": self.options.policy.name(), "log_level": self.options.log_level});
            std::fs::write(&settings, text.to_string())?;
            let child = Some(self.spawn_host(&settings)?);
            self.hosts.push(HostProcess {
                name,
                domain,
                callers,
                peers,
                operators,
                settings,
                child,
            });
        }
        self.wait_until("the start of all hosts", || {
            self.running().into_iter().all(|place| self.status(place).is_ok())
        })
        .inspect_err(|_error| self.report_logs())
    }

    /// Writes what each host logged last to standard error: a failed start must name its cause.
    fn report_logs(&self) {
        for host in &self.hosts {
            eprintln!("{}: {}", host.name, host.last_lines());
        }
    }

    fn spawn_host(&self, settings: &Path) -> Result<Child> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))?;
        let child = Command::new(self.options.programs.join("tealcleatd"))
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(child)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
        let _ = self.standins.kill();
        let _ = self.standins.wait();
        if std::env::var_os("TEALCLEAT_KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
