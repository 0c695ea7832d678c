//! Parses the command line and runs the daemon until it is stopped.

use bpaf::Bpaf;
use std::path::PathBuf;
use std::time::Duration;
use tealcleat::gateway::{GatewayHost, start_gateway};
use tealcleat::host::{Daemon, start_daemon};
use tealcleat::settings::{DaemonSettings, GatewaySettings, HostSettings, SourceText};
use tealcleat::telemetry::{flush_logs, start_logs};
use tealcleat::{Error, Result};
use tokio::signal::unix::{SignalKind, signal};

const WORKER_THREADS: usize = 2;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The settings file may change without a signal, so it is polled; reading it takes a few microseconds.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Environment variable in which the users' platform names the settings file.
const SETTINGS_VARIABLE: &str = "TEALCLEAT_NODE_FILE";

/// The entry-host daemon of tealcleat
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, descr("The entry-host daemon of tealcleat"))]
pub struct Config {
    /// Settings of this host: JSON with comments; see examples/. Without it, the file that the
    /// environment variable TEALCLEAT_NODE_FILE names
    #[bpaf(positional("SETTINGS"))]
    pub settings: Option<PathBuf>,
}

/// Parses the command line; exits the process if it is invalid.
pub fn read_arguments() -> Config {
    config().run()
}

/// Runs the daemon until a signal or an operator stops it, then drains.
pub fn run(config: &Config) -> Result<()> {
    let path = match &config.settings {
        Some(path) => path.clone(),
        None => std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from).ok_or_else(|| {
            Error::Refused(format!("name a settings file, or set {SETTINGS_VARIABLE}"))
        })?,
    };
    let source = SourceText::read(&path)?;
    let result = match DaemonSettings::try_from(&source)? {
        DaemonSettings::Host(settings) => run_host(*settings),
        DaemonSettings::Gateway(settings) => {
            run_gateway(*settings, SettingsFile { path, text: source.text })
        }
    };
    flush_logs();
    result
}

fn run_host(settings: HostSettings) -> Result<()> {
    start_logs(&settings.host, settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let result = runtime.block_on(async {
        let daemon = start_daemon(settings).await?;
        wait_for_stop(&daemon).await?;
        daemon.host.begin_drain();
        daemon.host.finish_drain().await;
        Ok(())
    });
    // A pending watch request to the store may take long and must not delay the exit.
    runtime.shutdown_background();
    result
}

/// Runs a gateway on a single thread, because its hosts have a quarter of a core.
fn run_gateway(settings: GatewaySettings, file: SettingsFile) -> Result<()> {
    start_logs(&settings.host, settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut hangup = signal(SignalKind::hangup())?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let gateway = start_gateway(settings).await?;
        let mut file = file;
        let mut settings_poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
        loop {
            tokio::select! {
                _ = hangup.recv() => file.reload(&gateway.host),
                _ = settings_poll.tick() => file.reload(&gateway.host),
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
            }
        }
        gateway.host.stop_gracefully().await;
        Ok(())
    })
}

/// The settings file, with its text as last read.
struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Applies the settings file if it has changed; an invalid file leaves the settings unchanged.
    fn reload(&mut self, host: &GatewayHost) {
        let source = match SourceText::read(&self.path) {
            Ok(source) => source,
            Err(error) => {
                log::warn!("event=settings_unreadable cause=\"{error}\"");
                return;
            }
        };
        if source.text == self.text {
            return;
        }
        self.text.clone_from(&source.text);
        match GatewaySettings::try_from(&source) {
            Ok(newer) => host.reload(&newer),
            Err(Error::Settings(findings)) => {
                for line in findings.lines() {
                    log::error!("event=settings_wrong finding=\"{line}\"");
                }
            }
            Err(error) => log::error!("event=settings_wrong cause=\"{error}\""),
        }
    }
}

async fn wait_for_stop(daemon: &Daemon) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let draining = async {
        while !daemon.host.is_draining() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = draining => {}
    }
    Ok(())
}
