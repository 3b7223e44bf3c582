//! Plot of the measured series with their fitted lines.

use std::path::Path;

use plotters::prelude::*;

use super::{CapacityError, Series};

/// Number of charts in a row.
const COLUMNS: usize = 2;
/// Width and height of one chart, in pixels.
const CHART_SIZE: (u32, u32) = (520, 260);

/// Writes an SVG file with one chart per series.
pub(super) fn draw(all_series: &[Series], path: &Path) -> Result<(), CapacityError> {
    let rows = all_series.len().div_ceil(COLUMNS);
    let size = (CHART_SIZE.0 * COLUMNS as u32, CHART_SIZE.1 * rows as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE).map_err(plot_error)?;
    for (area, series) in root.split_evenly((rows, COLUMNS)).iter().zip(all_series) {
        draw_chart(area, series)?;
    }
    root.present().map_err(plot_error)
}

fn draw_chart<B>(
    area: &DrawingArea<B, plotters::coord::Shift>,
    series: &Series,
) -> Result<(), CapacityError>
where
    B: DrawingBackend,
{
    let points: Vec<(f64, f64)> = series.points.iter().map(|p| (p.0 as f64, p.1)).collect();
    let max_x = points.iter().map(|p| p.0).fold(1.0, f64::max);
    let max_y = points.iter().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(
            format!("{}, {}", series.metric, series.unit),
            ("sans-serif", 15),
        )
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .max_light_lines(1)
        .x_desc("daemons")
        .draw()
        .map_err(plot_error)?;
    let fitted_line =
        [0.0, max_x].map(|x| (x, (series.intercept + series.slope * x).clamp(0.0, max_y)));
    chart
        .draw_series(LineSeries::new(fitted_line, &BLUE))
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
