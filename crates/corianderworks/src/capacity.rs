//! Measurement of the slopes behind the capacity page.
//!
//! Each measurement is a function in `MEASUREMENTS` that takes the number of daemons and
//! returns samples. Samples of the same metric form a series with a fitted line.
#![allow(
    dead_code,
    reason = "the subcommand that calls `run` is not written yet"
)]

mod member;
mod plot;

use std::path::Path;

use comfy_table::Table;
use corianderworks_wire::codec::CodecError;
use serde::Serialize;
use thiserror::Error;

/// Fleet sizes that are measured; the largest is the design scale.
const SIZES: [usize; 4] = [10, 40, 120, 430];
/// Control traffic of a daemon at most, in bytes per second.
const TRAFFIC_MAX_BYTES_S: f64 = 4096.0;
/// Processing of a daemon at most, in percent of a core.
const CPU_MAX_PERCENT: f64 = 2.4;
/// Memory of a daemon at most, in bytes.
const MEMORY_MAX_BYTES: f64 = 64.0 * 1024.0 * 1024.0;

/// A measurement at one fleet size.
type Measure = fn(usize) -> Result<Vec<Sample>, CapacityError>;

/// Every measurement, in the order of the report.
const MEASUREMENTS: &[Measure] = &[
    member::steady,
    member::one_death,
    member::lost_domain,
    member::restart_of_all,
    member::split_and_heal,
];

/// Why the capacity could not be measured.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A message was not encoded or decoded.
    #[error("a message was refused by the codec: {0}")]
    Codec(#[from] CodecError),
    /// The views of the members did not agree in time.
    #[error("{members} members did not agree on `{metric}` within {limit_s} s")]
    NotConverged {
        /// What was measured.
        metric: &'static str,
        /// Fleet size.
        members: usize,
        /// Time allowed, in simulated seconds.
        limit_s: u64,
    },
    /// The report was not written as JSON.
    #[error("the report can't be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The plot was not drawn.
    #[error("the plot can't be drawn: {0}")]
    Plot(String),
}

/// One measured value.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Name of the metric, the same at every size.
    pub metric: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Highest allowed value, where the design states one.
    pub limit: Option<f64>,
    /// Value.
    pub value: f64,
}

/// A metric over the fleet sizes.
#[derive(Debug, Clone, Serialize)]
pub struct Series {
    /// Name of the metric.
    pub metric: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Highest allowed value, where the design states one.
    pub limit: Option<f64>,
    /// Fleet size and value.
    pub points: Vec<(usize, f64)>,
    /// Slope of the line fitted by least squares, per additional daemon.
    pub slope: f64,
    /// Value of the fitted line at no daemons.
    pub intercept: f64,
}

/// Measures every metric at every size, prints a table or JSON, and draws a plot if asked to.
pub fn run(json: bool, svg: Option<&Path>) -> Result<(), CapacityError> {
    let series = measure(&SIZES, MEASUREMENTS)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&series)?);
    } else {
        println!("{}", table(&series));
        println!("{}", member::ASSUMPTIONS);
    }
    match svg {
        Some(path) => plot::draw(&series, path),
        None => Ok(()),
    }
}

fn measure(sizes: &[usize], measurements: &[Measure]) -> Result<Vec<Series>, CapacityError> {
    let mut all: Vec<Series> = Vec::new();
    for measurement in measurements {
        for &members in sizes {
            for sample in measurement(members)? {
                add(&mut all, members, sample);
            }
        }
    }
    for series in &mut all {
        (series.slope, series.intercept) = fit(&series.points);
    }
    Ok(all)
}

fn add(all: &mut Vec<Series>, members: usize, sample: Sample) {
    let point = (members, sample.value);
    match all.iter_mut().find(|s| s.metric == sample.metric) {
        Some(series) => series.points.push(point),
        None => all.push(Series {
            metric: sample.metric,
            unit: sample.unit,
            limit: sample.limit,
            points: vec![point],
            slope: 0.0,
            intercept: 0.0,
        }),
    }
}

/// Slope and intercept of the line with the least squared error.
fn fit(points: &[(usize, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0 as f64).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let (mut products, mut squares) = (0.0, 0.0);
    for &(x, y) in points {
        products += (x as f64 - mean_x) * (y - mean_y);
        squares += (x as f64 - mean_x).powi(2);
    }
    let slope = if squares > 0.0 {
        products / squares
    } else {
        0.0
    };
    (slope, mean_y - slope * mean_x)
}

fn table(series: &[Series]) -> Table {
    let mut table = Table::new();
    let mut head = vec!["metric".to_owned(), "unit".to_owned()];
    head.extend(SIZES.iter().map(|size| format!("{size} daemons")));
    head.extend(["slope per daemon".to_owned(), "limit".to_owned()]);
    table.set_header(head);
    for s in series {
        let mut row = vec![s.metric.to_owned(), s.unit.to_owned()];
        row.extend(s.points.iter().map(|(_, value)| number(*value)));
        row.push(number(s.slope));
        row.push(s.limit.map_or_else(String::new, number));
        table.add_row(row);
    }
    table
}

fn number(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 || v == 0.0 => format!("{value:.2}"),
        _ => format!("{value:.5}"),
    }
}
