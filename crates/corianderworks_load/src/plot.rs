//! SVG plot of latency and outcomes over the time of a run.

use std::error::Error;

use plotters::prelude::*;

use crate::outcome::Outcome;
use crate::report::{LoadReport, json_name};

/// Width and height of the whole plot.
const SIZE_PX: (u32, u32) = (960, 640);
/// Ratio of the upper end of the y axis to the highest value.
const Y_AXIS_HEADROOM: f64 = 1.1;
const OUTCOME_COLOURS: [(Outcome, RGBColor); 6] = [
    (Outcome::Answered, RGBColor(0, 114, 178)),
    (Outcome::NotRun, RGBColor(230, 159, 0)),
    (Outcome::Unknown, RGBColor(204, 121, 167)),
    (Outcome::ErrorStatus, RGBColor(213, 94, 0)),
    (Outcome::Unsent, RGBColor(120, 120, 120)),
    (Outcome::Wrong, RGBColor(200, 0, 0)),
];

/// Error of the plotting library, as text.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw the plot: {0}")]
pub struct PlotError(String);

/// Name, colour and (x, y) points of a data series.
type Series = (String, RGBColor, Vec<(f64, f64)>);

/// Draws the latency quantiles and the outcome rates of each interval as an SVG document.
pub fn svg(report: &LoadReport) -> Result<String, PlotError> {
    let mut text = String::new();
    draw(report, &mut text).map_err(|error| PlotError(error.to_string()))?;
    Ok(text)
}

fn draw(report: &LoadReport, text: &mut String) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::with_string(text, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE_PX.1 / 2);
    draw_chart(
        &upper,
        "latency of answered requests (ms)",
        &latencies(report),
    )?;
    draw_chart(&lower, "requests per second by outcome", &outcomes(report))?;
    area.present()?;
    Ok(())
}

fn latencies(report: &LoadReport) -> Vec<Series> {
    let points = |quantile: fn(&crate::recorder::LatencyQuantiles) -> u64| {
        let with_latency = report.intervals.iter().filter(|i| i.latency.count > 0);
        with_latency
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

fn outcomes(report: &LoadReport) -> Vec<Series> {
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
    OUTCOME_COLOURS
        .into_iter()
        .filter(|(outcome, _)| report.count(*outcome) > 0)
        .map(|(outcome, colour)| (json_name(&outcome), colour, points(outcome)))
        .collect()
}

fn draw_chart(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    caption: &str,
    all_series: &[Series],
) -> Result<(), Box<dyn Error>> {
    let points = || all_series.iter().flat_map(|(_, _, points)| points);
    let max_x = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let max_y = points().map(|(_, y)| *y).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y * Y_AXIS_HEADROOM)?;
    chart.configure_mesh().x_desc("time (s)").draw()?;
    for (name, colour, points) in all_series {
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
