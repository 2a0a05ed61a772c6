//! Writes results as tables, JSON files and plots.

use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use crate::sim::BUCKET;
use crate::sim::metric::Outcome;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 640);

/// Results can't be written to a file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be created or written.
    #[error("can't write {path}: {source}")]
    Write {
        /// Path of the file.
        path: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The results can't be encoded as JSON.
    #[error("can't encode results as JSON: {0}")]
    Encode(#[from] serde_json::Error),
    /// The plot can't be drawn or written. Holds the message of the plotting library.
    #[error("can't draw plot: {0}")]
    Draw(String),
}

/// Returns a table with one row for each policy; first-token times are in milliseconds.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut rows = vec![head(outcomes)];
    rows.extend(outcomes.iter().map(row));
    align(&rows)
}

/// Returns the column titles, with three columns for each class.
fn head(outcomes: &[Outcome]) -> Vec<String> {
    let mut cells = vec!["policy".to_owned()];
    for class in outcomes.first().map_or(&[][..], |outcome| &outcome.classes) {
        cells.push(class.id.clone());
        cells.push("p50".to_owned());
        cells.push("p99".to_owned());
    }
    let totals = [
        "goodput", "wasted", "worst", "spend", "/1000", "cheaper", "retries", "recovery",
    ];
    cells.extend(totals.map(str::to_owned));
    cells
}

/// Returns the table row of one policy.
fn row(outcome: &Outcome) -> Vec<String> {
    let mut cells = vec![outcome.policy.to_owned()];
    for class in &outcome.classes {
        cells.push(format!("{:.1}%", 100.0 * class.counts.attainment()));
        cells.push(format!("{:.0}", class.first_token_p50_ms));
        cells.push(format!("{:.0}", class.first_token_p99_ms));
    }
    cells.push(format!("{:.0}", outcome.goodput));
    cells.push(format!("{:.1}%", 100.0 * outcome.wasted));
    cells.push(format!("{:.2}", outcome.worst_account));
    cells.push(format!("{:.1}", outcome.spend));
    cells.push(format!("{:.2}", outcome.spend_per_thousand));
    cells.push(format!("{:.0}%", 100.0 * outcome.cheaper));
    cells.push((outcome.retries + outcome.hedges).to_string());
    cells.push(
        outcome
            .recovery_s
            .map_or("never".to_owned(), |seconds| format!("{seconds} s")),
    );
    cells
}

/// Joins cells into lines, right-aligned in columns.
pub fn align(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column| {
        rows.iter()
            .filter_map(|row| row.get(column))
            .map(String::len)
            .max()
    };
    let widths: Vec<_> = (0..columns)
        .map(|column| width(column).unwrap_or(0))
        .collect();
    let mut text = String::new();
    for row in rows {
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(text, "{cell:>width$}  ");
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
    text
}

/// Writes results to a file as indented JSON.
pub fn write_json(path: &Path, results: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(results)?;
    std::fs::write(path, text).map_err(|source| Error::Write {
        path: path.display().to_string(),
        source,
    })
}

/// Draws the attained requests per second over time as an SVG file, with one line for each policy:
/// all classes in the upper chart and the first class, of the highest tier, in the lower one.
pub fn write_plot(path: &Path, title: &str, outcomes: &[Outcome]) -> Result<(), Error> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(draw_error)?;
    let (upper, lower) = area.split_vertically(PLOT_SIZE.1 / 2);
    let all = |outcome: &Outcome| attained_rate(outcome, usize::MAX);
    let highest_tier = |outcome: &Outcome| attained_rate(outcome, 1);
    draw(
        &upper,
        &format!("{title}: attained requests per second"),
        outcomes,
        &all,
    )?;
    draw(&lower, "of the highest tier", outcomes, &highest_tier)?;
    area.present().map_err(draw_error)
}

/// Returns the attained requests per second of the first `classes` classes, by interval.
fn attained_rate(outcome: &Outcome, classes: usize) -> Vec<f64> {
    let buckets = outcome
        .classes
        .first()
        .map_or(0, |class| class.attained.len());
    let seconds = BUCKET.as_secs_f64();
    let at = |bucket: usize| -> u64 {
        outcome
            .classes
            .iter()
            .take(classes)
            .map(|class| class.attained[bucket])
            .sum()
    };
    (0..buckets)
        .map(|bucket| at(bucket) as f64 / seconds)
        .collect()
}

/// Part of the SVG file on which a chart is drawn.
type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Draws one chart with the series of each outcome.
fn draw(
    area: &Area<'_>,
    title: &str,
    outcomes: &[Outcome],
    series: &dyn Fn(&Outcome) -> Vec<f64>,
) -> Result<(), Error> {
    let lines: Vec<_> = outcomes.iter().map(series).collect();
    let top = lines.iter().flatten().copied().fold(1.0, f64::max) * 1.1;
    let end = lines.first().map_or(0, Vec::len) as f64 * BUCKET.as_secs_f64();
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end, 0.0..top)
        .map_err(draw_error)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .draw()
        .map_err(draw_error)?;
    for (n, (outcome, line)) in outcomes.iter().zip(&lines).enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let point = |(bucket, value): (usize, &f64)| (bucket as f64 * BUCKET.as_secs_f64(), *value);
        let points = line.iter().enumerate().map(point);
        chart
            .draw_series(LineSeries::new(points, color))
            .map_err(draw_error)?
            .label(outcome.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK);
    labels.draw().map_err(draw_error)
}

/// Converts an error of the plotting library.
fn draw_error(err: impl std::fmt::Display) -> Error {
    Error::Draw(err.to_string())
}
