//! Plot of the measured series with their fitted lines.

use std::path::Path;

use plotters::prelude::*;

use super::{CapacityError, Series};

/// Charts side by side.
const COLUMNS: usize = 2;
/// Size of one chart in pixels.
const CHART: (u32, u32) = (520, 260);

/// Draws one chart per series.
pub(super) fn draw(all: &[Series], path: &Path) -> Result<(), CapacityError> {
    let rows = all.len().div_ceil(COLUMNS);
    let size = (CHART.0 * COLUMNS as u32, CHART.1 * rows as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE).map_err(plot_error)?;
    for (area, series) in root.split_evenly((rows, COLUMNS)).iter().zip(all) {
        chart(area, series)?;
    }
    root.present().map_err(plot_error)
}

fn chart<B>(
    area: &DrawingArea<B, plotters::coord::Shift>,
    series: &Series,
) -> Result<(), CapacityError>
where
    B: DrawingBackend,
{
    let points: Vec<(f64, f64)> = series.points.iter().map(|p| (p.0 as f64, p.1)).collect();
    let right = points.iter().map(|p| p.0).fold(1.0, f64::max);
    let top = points.iter().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(
            format!("{}, {}", series.metric, series.unit),
            ("sans-serif", 15),
        )
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right * 1.05, 0.0..top)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .max_light_lines(1)
        .x_desc("daemons")
        .draw()
        .map_err(plot_error)?;
    let line = [0.0, right].map(|x| (x, (series.intercept + series.slope * x).clamp(0.0, top)));
    chart
        .draw_series(LineSeries::new(line, &BLUE))
        .map_err(plot_error)?;
    chart
        .draw_series(points.iter().map(|p| Circle::new(*p, 3, BLACK.filled())))
        .map_err(plot_error)?;
    Ok(())
}

fn plot_error<E>(error: E) -> CapacityError
where
    E: std::fmt::Display,
{
    CapacityError::Plot(error.to_string())
}
