//! The platform: fills the settings of the entry hosts from the template of the deploy file, and starts and stops their
//! processes.

use crate::util::{connect, free_port};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// One entry host.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

/// Where the hosts of a deployment are, and its store.
pub struct Deployment<'a> {
    pub root: &'a Path,
    pub folder: &'a Path,
    pub zones: &'a [&'a str],
    /// Address and control port of each host.
    pub control: &'a [(String, u16)],
    pub store: SocketAddr,
}

/// The program, from the deploy file.
fn program(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).expect("deploy file");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("run");
    line.split('"').nth(1).expect("program").to_owned()
}

/// Tells run.sh which process was started, so that it can end it if this process is ended itself.
fn note_started(pid: u32) {
    let Some(path) = std::env::var_os("RIG_PIDS") else { return };
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{pid}");
    }
}

/// Cuts out a part of the template that stands for something the deployment does not have.
fn cut_section(text: &str, name: &str) -> String {
    let (begin, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    match (text.find(&begin), text.find(&end)) {
        (Some(from), Some(to)) => format!("{}{}", &text[..from], &text[to + end.len()..]),
        _ => text.to_owned(),
    }
}

impl Host {
    /// Writes the settings of the host number `index`, with the bounds of ndiaye-hive.
    pub fn new(deployment: &Deployment, index: usize) -> Self {
        let (ip, control) = &deployment.control[index];
        let zone = deployment.zones[index % deployment.zones.len()];
        let name = format!("front-{zone}-{}", index + 1);
        let (front, ready) = (free_port(ip), free_port(ip));
        let seeds: Vec<String> = deployment
            .control
            .iter()
            .take(3)
            .map(|(ip, port)| format!("\"{ip}:{port}\""))
            .collect();
        let template = deployment.root.join("deploy/gateway.json");
        let mut text = std::fs::read_to_string(template).expect("template");
        for section in ["bounds.strict_revoke", "bounds.quota_window_s"] {
            text = cut_section(&text, section);
        }
        let zones: Vec<String> =
            deployment.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        text = text.replace("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", &zones.join(", "));
        for (gap, value) in [
            ("{{node|json}}", format!("\"{name}\"")),
            ("{{zone|json}}", format!("\"{zone}\"")),
            ("{{listen.front|json}}", format!("\"{ip}:{front}\"")),
            ("{{listen.ready|json}}", format!("\"{ip}:{ready}\"")),
            ("{{listen.control|json}}", format!("\"{ip}:{control}\"")),
            ("{{ip}}", ip.clone()),
            ("{{provider.address|json}}", format!("\"{}\"", deployment.store)),
            ("{{seeds|json}}", format!("[{}]", seeds.join(", "))),
            ("{{bounds.grace_s|json}}", "8".to_owned()),
            ("{{bounds.retry_ratio|json}}", "0.2".to_owned()),
            ("{{bounds.retry_slack|json}}", "54".to_owned()),
            ("{{bounds.retry_window_s|json}}", "10".to_owned()),
            ("{{bounds.lease_ms|json}}", "3000".to_owned()),
        ] {
            text = text.replace(gap, &value);
        }
        assert!(!text.contains("{{"), "a gap of the template was not filled: {text}");
        let settings = deployment.folder.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("settings");
        Self {
            callers: format!("{ip}:{front}").parse().expect("address"),
            ready: format!("{ip}:{ready}").parse().expect("address"),
            name,
            settings,
            root: deployment.root.to_owned(),
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let mut command = Command::new(self.root.join(program(&self.root)));
        command.current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("TEALCLEAT_NODE_FILE", &self.settings);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("log");
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        let child = command.spawn().expect("start");
        note_started(child.id());
        self.child = Some(child);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = self.child.as_ref().map_or(0, Child::id).to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn is_ready(&self) -> bool {
        let Some(mut wire) = connect(self.ready, Duration::from_millis(900)) else { return false };
        wire.send(b"GET /tealcleat/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
        wire.head().is_some_and(|head| head.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
