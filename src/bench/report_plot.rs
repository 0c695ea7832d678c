use super::LoadSummary;
use crate::{Error, Result};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (960, 420);
const BAR_WIDTH: f64 = 0.25;

/// Reads one share from a summary.
type ShareOf = fn(&LoadSummary) -> f64;

/// Draws the three goodput shares of each policy as bars into an SVG file.
///
/// # Errors
/// If the file cannot be written.
pub fn plot_comparison(path: &Path, title: &str, rows: &[LoadSummary]) -> Result<()> {
    draw(path, title, rows).map_err(|error| Error::Refused(format!("plot: {error}")))
}

fn draw(
    path: &Path,
    title: &str,
    rows: &[LoadSummary],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let count = rows.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..count, 0.0..1.0)?;
    let name_at = |x: &f64| {
        let index = x.floor();
        let centred = (x - index - 0.5).abs() < 0.01;
        let row = rows.get(index as usize).filter(|_| centred);
        row.map_or(String::new(), |row| row.policy.clone())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(rows.len() * 2 + 1)
        .x_label_formatter(&name_at)
        .y_desc("share of offered")
        .draw()?;
    let series: [(&str, RGBColor, ShareOf); 3] = [
        ("all", BLUE, |row| row.goodput_share),
        ("long", RED, |row| row.goodput_long_share),
        ("by work", GREEN, |row| row.goodput_by_work),
    ];
    for (series_index, (name, colour, value)) in series.into_iter().enumerate() {
        let bars = rows.iter().enumerate().map(|(index, row)| {
            let left = index as f64 + 0.12 + series_index as f64 * BAR_WIDTH;
            Rectangle::new([(left, 0.0), (left + BAR_WIDTH, value(row))], colour.mix(0.7).filled())
        });
        chart.draw_series(bars)?.label(name).legend(move |(x, y)| {
            Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.mix(0.7).filled())
        });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
