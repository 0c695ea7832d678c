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
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Daemon processes and the process of their stand-ins; all are killed when the fleet is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons.
    pub hosts: Vec<HostProcess>,
    /// Addresses of the stand-ins.
    pub addresses: StandinAddresses,
    options: FleetOptions,
    folder: PathBuf,
    standins: Child,
}

impl Fleet {
    /// Starts stand-ins and daemons, which have no configuration yet.
    ///
    /// # Errors
    /// If a program cannot be started or does not become ready in time.
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
    /// If the fleet cannot be started or does not become ready in time.
    pub fn start_configured(options: FleetOptions) -> Result<Self> {
        let fleet = Self::start(options)?;
        let intent = fleet.options.deployment.intent(&fleet.addresses);
        let version = fleet.confirm(0, &intent)?;
        fleet.wait_ready(version)?;
        Ok(fleet)
    }

    /// Plans and confirms an intent at one host; returns the new configuration version.
    ///
    /// # Errors
    /// If the host refuses it.
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

    /// Sends a request to a host's operators' port and parses the reply.
    ///
    /// # Errors
    /// If there is no reply or it cannot be parsed.
    pub fn request_operator(
        &self,
        host: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<OperatorReply> {
        Ok(serde_json::from_str(&self.operator_text(host, method, path, body)?)?)
    }

    /// Sends a request to a host's operators' port and returns the reply's text.
    ///
    /// # Errors
    /// If there is no reply or it is a refusal.
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

    /// Fetches a host's status.
    ///
    /// # Errors
    /// If there is no reply or it cannot be parsed.
    pub fn status(&self, host: usize) -> Result<HostStatus> {
        Ok(serde_json::from_str(&self.operator_text(host, "GET", "/status", "")?)?)
    }

    /// Waits until every running host has applied configuration `version` and the ledgers of all
    /// engines are rebuilt.
    ///
    /// # Errors
    /// If that takes longer than 20 seconds.
    pub fn wait_ready(&self, version: u64) -> Result<()> {
        let servers = self.options.deployment.standins().engines.len();
        self.wait_until("readiness", || {
            let mut ready = 0;
            for index in self.running() {
                let Ok(status) = self.status(index) else {
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

    /// Waits until `condition` holds; fails after 20 seconds.
    ///
    /// # Errors
    /// [`Error::Refused`], which names `what`, if the condition does not hold in time.
    pub fn wait_until(&self, what: &str, condition: impl Fn() -> bool) -> Result<()> {
        let started_at = Instant::now();
        while !condition() {
            if started_at.elapsed() > READY_TIMEOUT {
                return Err(Error::Refused(format!("{what} was not reached in {READY_TIMEOUT:?}")));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Indices of the running hosts.
    pub fn running(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|index| self.hosts[*index].child.is_some()).collect()
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

    /// Waits for a host's process to exit by itself; returns whether it exited successfully.
    pub fn wait_for_exit(&mut self, host: usize) -> bool {
        match self.hosts[host].child.take() {
            Some(mut child) => child.wait().is_ok_and(|status| status.success()),
            None => false,
        }
    }

    /// Restarts a host as a new incarnation at the same addresses.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn restart(&mut self, host: usize) -> Result<()> {
        self.kill(host);
        let child = self.spawn_host(&self.hosts[host].settings)?;
        self.hosts[host].child = Some(child);
        Ok(())
    }

    /// Switches a fault of a stand-in.
    ///
    /// # Errors
    /// If there is no such target.
    pub fn fault(&self, target: &str, fault: FaultKind, on: bool) -> Result<()> {
        let command = FaultCommand { target: target.to_owned(), fault, on };
        let url = format!("http://{}/fault", self.addresses.control);
        let (status, text) = http_call("POST", &url, &[], &serde_json::to_string(&command)?)?;
        if status == 200 { Ok(()) } else { Err(Error::Refused(text)) }
    }

    /// Fetches the stand-ins' own counters.
    ///
    /// # Errors
    /// If there is no reply or it cannot be parsed.
    pub fn stats(&self) -> Result<StandinStats> {
        let url = format!("http://{}/stats", self.addresses.control);
        let (_, text) = http_call("GET", &url, &[], "")?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Folder that holds the settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn start_hosts(&mut self) -> Result<()> {
        let names = self.options.deployment.hosts();
        let ports = free_ports(names.len() * 3)?;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let seeds: Vec<String> =
            ports.chunks(3).map(|chunk| address(chunk[1]).to_string()).collect();
        for (index, (name, domain)) in names.into_iter().enumerate() {
            let chunk = &ports[index * 3..index * 3 + 3];
            let (callers, peers, operators) =
                (address(chunk[0]), address(chunk[1]), address(chunk[2]));
            let settings = self.folder.join(format!("{name}.json"));
            let chosen_seeds: Vec<&String> = seeds.iter().take(6).collect();
            let text = json!({"kind": "host", "host": name, "domain": domain,
                "callers_listen": callers.to_string(), "peers_listen": peers.to_string(),
                "operators_listen": operators.to_string(),
                "platform": self.addresses.platform.to_string(), "seeds": chosen_seeds,
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
            self.running().into_iter().all(|index| self.status(index).is_ok())
        })
        .inspect_err(|_error| self.report_logs())
    }

    /// Prints the end of each host's log to standard error, so that a failed start shows its cause.
    fn report_logs(&self) {
        for host in &self.hosts {
            eprintln!("{}: {}", host.name, host.log_tail());
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
