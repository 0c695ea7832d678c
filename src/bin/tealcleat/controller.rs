//! Runs one command.

use crate::app::{Command, Config};
use crate::output;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use tealcleat::accounts::{CallAccount, LogRecord};
use tealcleat::bench::operator_call;
use tealcleat::host::{ConfirmRequest, HostStatus, OperatorReply};
use tealcleat::settings::{SourceText, check_text};
use tealcleat::telemetry::SpanRecord;
use tealcleat::{Error, Result};

/// How the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// Failed.
    Failed = 1,
    /// Refused, with reasons.
    Refused = 3,
    /// The store did not settle it.
    Unsettled = 4,
}

/// Runs the command of `config`.
pub fn run(config: &Config) -> Result<ExitStatus> {
    match &config.command {
        Command::Check { file } => check(file),
        Command::Plan { file } => {
            let source = SourceText::read(file)?;
            // Checked here first: then findings show the place in the file.
            check_text(&source)?;
            let text = ask(config, "POST", "/plan", &source.text)?;
            answer(config, &text, file)
        }
        Command::Confirm { base, digest, file } => {
            let source = SourceText::read(file)?;
            check_text(&source)?;
            let digest = u64::from_str_radix(digest, 16)
                .map_err(|error| Error::Refused(format!("--digest: {error}")))?;
            let confirm = ConfirmRequest { intent: source.text, base_version: *base, digest };
            let text = ask(config, "POST", "/confirm", &serde_json::to_string(&confirm)?)?;
            answer(config, &text, file)
        }
        Command::Status => show(config, "GET", "/status", |text| {
            output::print_status(&serde_json::from_str::<HostStatus>(text)?);
            Ok(())
        }),
        Command::Config => {
            println!("{}", ask(config, "GET", "/config", "")?);
            Ok(ExitStatus::Done)
        }
        Command::Metrics => {
            print!("{}", ask(config, "GET", "/metrics", "")?);
            Ok(ExitStatus::Done)
        }
        Command::Explain { trace } => show(config, "GET", &format!("/trace/{trace}"), |text| {
            output::print_spans(&serde_json::from_str::<Vec<SpanRecord>>(text)?);
            Ok(())
        }),
        Command::Account { window, files } => account(*window, files),
        Command::Drain => show(config, "POST", "/drain", |text| {
            let status: HostStatus = serde_json::from_str(text)?;
            println!("{} drains; {} requests in flight", status.host, status.in_flight);
            Ok(())
        }),
    }
}

fn check(file: &Path) -> Result<ExitStatus> {
    let source = SourceText::read(file)?;
    let kind = check_text(&source)?;
    println!("{}: valid {kind}", file.display());
    Ok(ExitStatus::Done)
}

/// Reads logs line by line; lines that are none of a host's own are counted and passed over.
fn account(window: u32, files: &[PathBuf]) -> Result<ExitStatus> {
    let mut account = CallAccount::new(window);
    let (mut lines, mut known) = (0_u64, 0_u64);
    for file in files {
        for line in open_log(file)?.lines() {
            lines += 1;
            if let Ok(record) = LogRecord::try_from(line?.as_str()) {
                known += 1;
                account.add_record(&record);
            }
        }
    }
    output::print_account(&account.rows());
    println!("{known} of {lines} lines were log lines of hosts");
    Ok(ExitStatus::Done)
}

fn open_log(file: &Path) -> Result<Box<dyn BufRead>> {
    if file.as_os_str() == "-" {
        return Ok(Box::new(std::io::stdin().lock()));
    }
    let named = |error: std::io::Error| {
        Error::Io(std::io::Error::new(error.kind(), format!("{}: {error}", file.display())))
    };
    Ok(Box::new(BufReader::new(File::open(file).map_err(named)?)))
}

fn ask(config: &Config, method: &str, path: &str, body: &str) -> Result<String> {
    let address = config.at.ok_or_else(|| Error::Refused("--at IP:PORT is missing".to_owned()))?;
    let key = config.key.as_deref().ok_or_else(|| {
        Error::Refused("the operator key is missing: set TEALCLEAT_OPERATOR_KEY".to_owned())
    })?;
    operator_call(address, key, method, path, body)
}

fn show(
    config: &Config,
    method: &str,
    path: &str,
    print: impl FnOnce(&str) -> Result<()>,
) -> Result<ExitStatus> {
    let text = ask(config, method, path, "")?;
    if config.json {
        println!("{text}");
    } else {
        print(&text)?;
    }
    Ok(ExitStatus::Done)
}

fn answer(config: &Config, text: &str, file: &Path) -> Result<ExitStatus> {
    let answer: OperatorReply = serde_json::from_str(text)?;
    if config.json {
        println!("{text}");
    } else {
        output::print_answer(&answer, file);
    }
    Ok(match answer {
        OperatorReply::Plan(_) | OperatorReply::Confirmed(_) => ExitStatus::Done,
        OperatorReply::Findings(_) | OperatorReply::Stale(_) => ExitStatus::Refused,
        OperatorReply::Unsettled(_) => ExitStatus::Unsettled,
    })
}
