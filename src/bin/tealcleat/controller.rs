//! Runs the chosen command.

use crate::app::{Command, Config};
use crate::output;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, ErrorKind};
use std::path::{Path, PathBuf};
use tealcleat::accounts::{CallAccount, LogRecord};
use tealcleat::bench::operator_call;
use tealcleat::host::{ConfirmRequest, HostStatus, OperatorReply};
use tealcleat::settings::{SourceText, check_text};
use tealcleat::telemetry::SpanRecord;
use tealcleat::{Error, Result};

/// Exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command failed.
    Failed = 1,
    /// The intent or plan was refused, with reasons.
    Refused = 3,
    /// It is unknown whether the store has applied the confirmed change.
    Unsettled = 4,
}

/// Runs the command of `config`.
pub fn run(config: &Config) -> Result<ExitStatus> {
    match &config.command {
        Command::Check { file } => check(file),
        Command::Plan { file } => {
            let source = SourceText::read(file)?;
            // Checks the intent locally first, so that findings show their location in the file.
            check_text(&source)?;
            let text = send_request(config, "POST", "/plan", &source.text)?;
            report_reply(config, &text, file)
        }
        Command::Confirm { base, digest, file } => {
            let source = SourceText::read(file)?;
            check_text(&source)?;
            let digest = u64::from_str_radix(digest, 16)
                .map_err(|error| Error::Refused(format!("--digest: {error}")))?;
            let request = ConfirmRequest { intent: source.text, base_version: *base, digest };
            let text = send_request(config, "POST", "/confirm", &serde_json::to_string(&request)?)?;
            report_reply(config, &text, file)
        }
        Command::Status => request_and_print(config, "GET", "/status", |text| {
            output::print_status(&serde_json::from_str::<HostStatus>(text)?);
            Ok(())
        }),
        Command::Config => {
            println!("{}", send_request(config, "GET", "/config", "")?);
            Ok(ExitStatus::Done)
        }
        Command::Metrics => {
            print!("{}", send_request(config, "GET", "/metrics", "")?);
            Ok(ExitStatus::Done)
        }
        Command::Explain { trace } => {
            request_and_print(config, "GET", &format!("/trace/{trace}"), |text| {
                output::print_spans(&serde_json::from_str::<Vec<SpanRecord>>(text)?);
                Ok(())
            })
        }
        Command::Account { window, files } => account(*window, files),
        Command::Drain => request_and_print(config, "POST", "/drain", |text| {
            let status: HostStatus = serde_json::from_str(text)?;
            println!("{} is draining; {} requests in flight", status.host, status.in_flight);
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

/// Reads logs line by line; lines that no host wrote are skipped, but counted.
fn account(window: u32, files: &[PathBuf]) -> Result<ExitStatus> {
    let mut account = CallAccount::new(window);
    let (mut line_count, mut record_count) = (0_u64, 0_u64);
    for file in files {
        for line in open_log(file)?.lines() {
            line_count += 1;
            if let Ok(record) = LogRecord::try_from(line?.as_str()) {
                record_count += 1;
                account.add_record(&record);
            }
        }
    }
    let target = BufWriter::new(std::io::stdout().lock());
    match output::write_account(target, &account.rows(), record_count, line_count) {
        // The reader of the output, such as `head`, has all that it needs.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(ExitStatus::Done),
        written => Ok(written.map(|()| ExitStatus::Done)?),
    }
}

fn open_log(file: &Path) -> Result<Box<dyn BufRead>> {
    if file.as_os_str() == "-" {
        return Ok(Box::new(std::io::stdin().lock()));
    }
    let add_path = |error: std::io::Error| {
        Error::Io(std::io::Error::new(error.kind(), format!("{}: {error}", file.display())))
    };
    Ok(Box::new(BufReader::new(File::open(file).map_err(add_path)?)))
}

fn send_request(config: &Config, method: &str, path: &str, body: &str) -> Result<String> {
    let address = config.at.ok_or_else(|| Error::Refused("--at IP:PORT is missing".to_owned()))?;
    let key = config.key.as_deref().ok_or_else(|| {
        Error::Refused("the operator key is missing: set TEALCLEAT_OPERATOR_KEY".to_owned())
    })?;
    operator_call(address, key, method, path, body)
}

fn request_and_print(
    config: &Config,
    method: &str,
    path: &str,
    print: impl FnOnce(&str) -> Result<()>,
) -> Result<ExitStatus> {
    let text = send_request(config, method, path, "")?;
    if config.json {
        println!("{text}");
    } else {
        print(&text)?;
    }
    Ok(ExitStatus::Done)
}

fn report_reply(config: &Config, text: &str, file: &Path) -> Result<ExitStatus> {
    let reply: OperatorReply = serde_json::from_str(text)?;
    if config.json {
        println!("{text}");
    } else {
        output::print_reply(&reply, file);
    }
    Ok(match reply {
        OperatorReply::Plan(_) | OperatorReply::Confirmed(_) => ExitStatus::Done,
        OperatorReply::Findings(_) | OperatorReply::Stale(_) => ExitStatus::Refused,
        OperatorReply::Unsettled(_) => ExitStatus::Unsettled,
    })
}
