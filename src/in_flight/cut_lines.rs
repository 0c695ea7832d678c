use super::{InFlightTable, InFlightWork};
use crate::keys::TimePoint;

/// Most lines about single works; the rest is only counted.
pub const MAX_CUT_LINES: usize = 100;

/// The log lines about what the exit of the process cuts off at `now`, the oldest first, without time, level and host.
pub fn cut_lines(now: TimePoint, table: &InFlightTable) -> Vec<String> {
    let works = table.oldest(MAX_CUT_LINES);
    let unnamed = table.len().saturating_sub(works.len());
    let lines = works.iter().filter_map(|(begun_at, work)| cut_line(now, *begun_at, work));
    let mut lines: Vec<String> = lines.collect();
    let connections = works.iter().filter(|(_, work)| *work == InFlightWork::Connection).count();
    if connections > 0 {
        lines.push(format!("event=connections_cut count={connections}"));
    }
    if unnamed > 0 {
        lines.push(format!("event=cuts_unnamed count={unnamed}"));
    }
    lines
}

/// The line about one work; connections are only counted, since their requests have lines.
fn cut_line(now: TimePoint, begun_at: TimePoint, work: &InFlightWork) -> Option<String> {
    let age = now.since(begun_at).as_millis();
    let line = match work {
        InFlightWork::Request(progress) => {
            let server = progress.server.as_deref().unwrap_or("-");
            let (id, events, wait) = (&progress.id, progress.events, progress.wait.name());
            format!(
                "event=request_cut request={id} server={server} age_ms={age} events={events} \
                 waits_for={wait}"
            )
        }
        InFlightWork::Connection => return None,
        InFlightWork::Tunnel(server) => format!("event=tunnel_cut address={server} age_ms={age}"),
    };
    Some(line)
}
