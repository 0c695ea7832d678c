use super::bounded_writer::BoundedWriter;
use crate::Result;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Before the process ends, lines on their way are given this long.
const FAREWELL: Duration = Duration::from_millis(30);

/// Waits for the last lines to be written.
pub fn flush_logs() {
    std::thread::sleep(FAREWELL);
}

/// Starts logs on standard output: one line of key=value pairs an event, bounded in volume, and
/// written by a thread of its own so that a slow reader never holds up the daemon.
///
/// # Errors
/// If logs were started before.
pub fn start_logs(host: &str, level: log::LevelFilter) -> Result<()> {
    let host = host.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!(
                "time={:.3} level={level} host={host} {message}",
                since.as_secs_f64()
            ));
        })
        .level(log::LevelFilter::Warn)
        // The crate's own level is the global one, which a reload may change.
        .level_for("tealcleat", log::LevelFilter::Trace)
        .chain(Box::new(BoundedWriter::start()) as Box<dyn std::io::Write + Send>)
        .apply()
        .map_err(|error| crate::Error::Refused(format!("logs: {error}")))?;
    log::set_max_level(level);
    Ok(())
}
