//! Plots of a run.

use std::error::Error;

use plotters::prelude::*;

use crate::outcome::Outcome;
use crate::report::{LoadReport, label};

const SIZE: (u32, u32) = (960, 640);
/// Room above the highest value of an axis.
const HEADROOM: f64 = 1.1;
const OUTCOMES: [(Outcome, RGBColor); 6] = [
    (Outcome::Answered, RGBColor(0, 114, 178)),
    (Outcome::NotRun, RGBColor(230, 159, 0)),
    (Outcome::Unknown, RGBColor(204, 121, 167)),
    (Outcome::ErrorStatus, RGBColor(213, 94, 0)),
    (Outcome::Unsent, RGBColor(120, 120, 120)),
    (Outcome::Wrong, RGBColor(200, 0, 0)),
];

/// Plot that could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw the plot: {0}")]
pub struct PlotError(String);

type Line = (String, RGBColor, Vec<(f64, f64)>);

/// SVG with latency and outcomes over time.
pub fn svg(report: &LoadReport) -> Result<String, PlotError> {
    let mut text = String::new();
    draw(report, &mut text).map_err(|error| PlotError(error.to_string()))?;
    Ok(text)
}

fn draw(report: &LoadReport, text: &mut String) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE.1 / 2);
    draw_chart(
        &upper,
        "latency of answered requests (ms)",
        &latencies(report),
    )?;
    draw_chart(&lower, "requests per second by outcome", &outcomes(report))?;
    area.present()?;
    Ok(())
}

fn latencies(report: &LoadReport) -> Vec<Line> {
    let points = |quantile: fn(&crate::recorder::Latency) -> u64| {
        let shown = report.intervals.iter().filter(|i| i.latency.count > 0);
        shown
            .map(|i| (seconds(i.at_ms), quantile(&i.latency) as f64 / 1_000.0))
            .collect()
    };
    vec![
        (
            "p50".to_owned(),
            RGBColor(0, 114, 178),
            points(|l| l.p50_us),
        ),
        ("p99".to_owned(), RGBColor(213, 94, 0), points(|l| l.p99_us)),
    ]
}

fn outcomes(report: &LoadReport) -> Vec<Line> {
    let length_s = match report.intervals.as_slice() {
        [first, second, ..] => seconds(second.at_ms - first.at_ms),
        _ => seconds(report.duration_ms),
    };
    let points = |outcome| {
        let rate = |count: Option<&u64>| *count.unwrap_or(&0) as f64 / length_s.max(0.001);
        let intervals = report.intervals.iter();
        intervals
            .map(|i| (seconds(i.at_ms), rate(i.outcomes.get(&outcome))))
            .collect()
    };
    OUTCOMES
        .into_iter()
        .filter(|(outcome, _)| report.count(*outcome) > 0)
        .map(|(outcome, colour)| (label(&outcome), colour, points(outcome)))
        .collect()
}

fn draw_chart(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    caption: &str,
    lines: &[Line],
) -> Result<(), Box<dyn Error>> {
    let points = || lines.iter().flat_map(|(_, _, points)| points);
    let last = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let highest = points().map(|(_, y)| *y).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last, 0.0..highest * HEADROOM)?;
    chart.configure_mesh().x_desc("time (s)").draw()?;
    for (name, colour, points) in lines {
        let colour = *colour;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE).border_style(BLACK).draw()?;
    Ok(())
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
