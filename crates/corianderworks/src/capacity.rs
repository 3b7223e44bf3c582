//! Measurement of how the resource use of a daemon grows with the fleet, for the capacity page.
//!
//! Each function in `MEASUREMENTS` takes the number of daemons and returns samples. The samples of
//! a metric at all fleet sizes form a series, to which a line is fitted.
#![allow(
    dead_code,
    reason = "the subcommand that calls `run` is not written yet"
)]

mod membership;
mod plot;

use std::path::Path;

use comfy_table::Table;
use corianderworks_wire::codec::CodecError;
use serde::Serialize;
use thiserror::Error;

/// Measured fleet sizes; the largest is the one that the design supports.
const SIZES: [usize; 4] = [10, 40, 120, 430];
/// Maximum control traffic of a daemon, in bytes per second.
const TRAFFIC_MAX_BYTES_S: f64 = 4096.0;
/// Maximum CPU time of a daemon, in percent of a core.
const CPU_MAX_PERCENT: f64 = 2.4;
/// Maximum memory of a daemon, in bytes.
const MEMORY_MAX_BYTES: f64 = 64.0 * 1024.0 * 1024.0;

/// Function that runs a measurement at one fleet size.
type Measurement = fn(usize) -> Result<Vec<Sample>, CapacityError>;

/// All measurements, in the order of the report.
const MEASUREMENTS: &[Measurement] = &[
    membership::steady_state,
    membership::member_failure,
    membership::domain_loss,
    membership::full_restart,
    membership::partition_and_heal,
];

/// Why the capacity could not be measured.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A message could not be encoded or decoded.
    #[error("cannot encode or decode a message: {0}")]
    Codec(#[from] CodecError),
    /// The members did not reach the expected membership states in time.
    #[error("{members} members did not converge on `{event}` within {limit_s} s")]
    NotConverged {
        /// Event after which they did not converge.
        event: &'static str,
        /// Number of members of the fleet.
        members: usize,
        /// Time allowed, in simulated seconds.
        limit_s: u64,
    },
    /// The report could not be serialised as JSON.
    #[error("cannot serialise the report as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The plot could not be drawn or written.
    #[error("cannot draw the plot: {0}")]
    Plot(String),
}

/// One measured value of a metric at one fleet size.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Name of the metric, identical at all fleet sizes.
    pub metric: &'static str,
    /// Unit of `value` and `limit`.
    pub unit: &'static str,
    /// Highest allowed value, where the design states one.
    pub limit: Option<f64>,
    /// Measured value.
    pub value: f64,
}

/// Values of a metric at all fleet sizes, with a fitted line.
#[derive(Debug, Clone, Serialize)]
pub struct Series {
    /// Name of the metric.
    pub metric: &'static str,
    /// Unit of the values and of `limit`.
    pub unit: &'static str,
    /// Highest allowed value, where the design states one.
    pub limit: Option<f64>,
    /// Fleet sizes with the values measured there.
    pub points: Vec<(usize, f64)>,
    /// Slope of the line fitted by least squares: increase per additional daemon.
    pub slope: f64,
    /// Value of the fitted line at 0 daemons.
    pub intercept: f64,
}

/// Runs all measurements at all fleet sizes and prints a table or JSON.
///
/// Also writes a plot to `svg` if given.
pub fn run(json: bool, svg: Option<&Path>) -> Result<(), CapacityError> {
    let series = measure(&SIZES, MEASUREMENTS)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&series)?);
    } else {
        println!("{}", table(&series));
        println!("{}", membership::ASSUMPTIONS);
    }
    match svg {
        Some(path) => plot::draw(&series, path),
        None => Ok(()),
    }
}

fn measure(sizes: &[usize], measurements: &[Measurement]) -> Result<Vec<Series>, CapacityError> {
    let mut all_series: Vec<Series> = Vec::new();
    for measurement in measurements {
        for &members in sizes {
            for sample in measurement(members)? {
                add_sample(&mut all_series, members, sample);
            }
        }
    }
    for series in &mut all_series {
        (series.slope, series.intercept) = fit(&series.points);
    }
    Ok(all_series)
}

fn add_sample(all_series: &mut Vec<Series>, members: usize, sample: Sample) {
    let point = (members, sample.value);
    match all_series.iter_mut().find(|s| s.metric == sample.metric) {
        Some(series) => series.points.push(point),
        None => all_series.push(Series {
            metric: sample.metric,
            unit: sample.unit,
            limit: sample.limit,
            points: vec![point],
            slope: 0.0,
            intercept: 0.0,
        }),
    }
}

/// Returns the slope and intercept of the least-squares line.
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
    let mut header = vec!["metric".to_owned(), "unit".to_owned()];
    header.extend(SIZES.iter().map(|size| format!("{size} daemons")));
    header.extend(["slope per daemon".to_owned(), "limit".to_owned()]);
    table.set_header(header);
    for s in series {
        let mut row = vec![s.metric.to_owned(), s.unit.to_owned()];
        row.extend(s.points.iter().map(|(_, value)| format_number(*value)));
        row.push(format_number(s.slope));
        row.push(s.limit.map_or_else(String::new, format_number));
        table.add_row(row);
    }
    table
}

fn format_number(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 || v == 0.0 => format!("{value:.2}"),
        _ => format!("{value:.5}"),
    }
}
