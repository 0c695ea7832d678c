//! Prints results in human-readable form.

use std::io::Write;
use std::path::Path;
use tealcleat::Error;
use tealcleat::accounts::AccountRow;
use tealcleat::host::{HostStatus, OperatorReply};
use tealcleat::telemetry::SpanRecord;

/// Prints an error; findings are printed with their location in the text.
pub fn print_error(error: &Error) {
    match error {
        Error::Settings(findings) => {
            for line in findings.lines() {
                eprintln!("[tealcleat error]: {line}");
            }
            eprintln!("{:?}", miette::Report::new(findings.clone()));
        }
        other => eprintln!("[tealcleat error]: {other}"),
    }
}

/// Writes an account, one line for each window, route and outcome, and the number of log lines that it is based on.
///
/// # Errors
/// If `target` cannot be written to, for example because the reader of a pipe has closed it.
pub fn write_account(
    mut target: impl Write,
    rows: &[AccountRow],
    record_count: u64,
    line_count: u64,
) -> std::io::Result<()> {
    writeln!(target, "{:>8}  {:<24}  {:<32}  requests", "from s", "route", "ended")?;
    for row in rows {
        let (window, outcome) = (row.window_start, row.outcome.name());
        writeln!(target, "{window:>8}  {:<24}  {outcome:<32}  {}", row.route, row.requests)?;
    }
    writeln!(target, "{record_count} of {line_count} lines were log lines of hosts")?;
    target.flush()
}

/// Prints a plan or the result of a confirmation.
pub fn print_reply(reply: &OperatorReply, file: &Path) {
    match reply {
        OperatorReply::Plan(plan) => {
            println!("plan from version {} for {}:", plan.base_version, plan.operator);
            for (index, step) in plan.steps.iter().enumerate() {
                println!("  {}. {}", index + 1, step.text);
                if step.weight_store_seconds > 0.0 {
                    println!(
                        "     pulls weights for {:.1} s, starting after {:.1} s",
                        step.weight_store_seconds, step.starts_after_seconds
                    );
                }
                if let Some(wait) = &step.waits_for {
                    println!("     in service once {wait}");
                }
            }
            for warning in &plan.warnings {
                println!("  warning: {warning}");
            }
            println!(
                "confirm with: tealcleat confirm {} --base {} --digest {:x}",
                file.display(),
                plan.base_version,
                plan.digest
            );
        }
        OperatorReply::Confirmed(version) => println!("confirmed as version {version}"),
        OperatorReply::Findings(findings) => {
            for finding in findings {
                eprintln!("[tealcleat error]: {finding}");
            }
        }
        OperatorReply::Stale(changes) => {
            eprintln!("[tealcleat error]: the plan is stale; plan again. Since then:");
            for change in changes {
                eprintln!("  {change}");
            }
        }
        OperatorReply::Unsettled(cause) => {
            eprintln!(
                "[tealcleat error]: not settled ({cause}); check the status before trying again"
            );
        }
    }
}

/// Prints the status of a host.
pub fn print_status(status: &HostStatus) {
    println!(
        "{} in {}: version {}, {}, {} in flight, {} invariants violated",
        status.host,
        status.domain,
        status.config_version,
        if status.ready { "ready" } else { "not ready" },
        status.in_flight,
        status.invariant_violations
    );
    for member in &status.members {
        let domain = if member.same_domain { "same domain" } else { "other domain" };
        println!("  member {} {:?} ({domain})", member.address, member.state);
    }
    for server in &status.servers {
        println!(
            "  owns {} ({}): {}, {} slots used, {} waiting{}",
            server.name,
            server.role,
            if server.ready { "ready" } else { "rebuilding" },
            server.slots_used,
            server.waiting,
            if server.leaving { ", leaving" } else { "" }
        );
    }
}

/// Prints the spans of a trace, one line for each, with start times relative to the first span.
pub fn print_spans(spans: &[SpanRecord]) {
    let Some(first) = spans.first() else {
        println!("no host remembers this trace");
        return;
    };
    for span in spans {
        println!(
            "{:>9.3} ms  {:>9.3} ms  {:<12} {:<12} {}",
            (span.start_micros.saturating_sub(first.start_micros)) as f64 / 1e3,
            span.took_micros as f64 / 1e3,
            span.host,
            span.name,
            span.detail
        );
    }
}
