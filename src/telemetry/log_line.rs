use super::bounded_writer::BoundedWriter;
use crate::Result;
use std::time::{SystemTime, UNIX_EPOCH};

/// Starts logging to standard output: each event is one line of key=value pairs.
///
/// The rate of lines is limited, and a thread of its own writes them, so that a slow reader never blocks
/// the daemon.
///
/// # Errors
/// Fails if logging has already been started.
pub fn start_logs(host: &str, level: log::LevelFilter) -> Result<()> {
    let host = host.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!(
                "time={:.3} level={level} host={host} {message}",
                unix_time.as_secs_f64()
            ));
        })
        .level(log::LevelFilter::Warn)
        // The global maximum set below, which a reload may change, decides about the lines of this crate.
        .level_for("tealcleat", log::LevelFilter::Trace)
        .chain(Box::new(BoundedWriter::start()) as Box<dyn std::io::Write + Send>)
        .apply()
        .map_err(|error| crate::Error::Refused(format!("logs: {error}")))?;
    log::set_max_level(level);
    Ok(())
}
