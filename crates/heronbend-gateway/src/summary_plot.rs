//! Plots a [`FleetSummary`] over time: the duration of each step, coloured by the cause of its
//! delay, and the rate of calls to the store.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::fleet_summary::cause;
use crate::fleet_summary::Cause;
use crate::fleet_summary::FleetSummary;

/// Size of the image, in pixels.
const SIZE: (u32, u32) = (1000, 700);
/// Height of the step chart, in pixels.
const STEP_CHART_HEIGHT: u32 = 400;
const POINT_RADIUS: u32 = 4;
const LABEL_AREA: u32 = 46;

fn colour(cause: Cause) -> RGBColor {
    match cause {
        Cause::Submission => RGBColor(200, 120, 0),
        Cause::OwnerLost => RGBColor(180, 0, 0),
        Cause::Generation => RGBColor(0, 90, 180),
        Cause::Commit => RGBColor(130, 0, 150),
        Cause::Completion => RGBColor(0, 130, 60),
    }
}

/// Writes the plot to an SVG file at `path`. Steps over `limit` seconds count as late.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn write(summary: &FleetSummary, limit: f64, path: &Path) -> Result<(), Box<dyn Error>> {
    let image = SVGBackend::new(path, SIZE).into_drawing_area();
    image.fill(&WHITE)?;
    let (step_area, call_area) = image.split_vertically(STEP_CHART_HEIGHT);
    let last_step = summary.steps.iter().map(|step| step.submitted_at + step.total());
    let last_call = summary.calls_by_time.keys().map(|second| *second as f64);
    let end = last_step.chain(last_call).fold(1.0, f64::max);
    let first_call = summary.calls_by_time.keys().next().map_or(0.0, |second| *second as f64);
    let start = first_call.min(0.0);

    let max_duration = summary.steps.iter().map(crate::steps::Step::total).fold(limit, f64::max);
    let mut step_chart = ChartBuilder::on(&step_area)
        .caption("seconds of each step, by when it was handed in", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(start..end, 0.0..max_duration * 1.1)?;
    step_chart.configure_mesh().x_desc("s").y_desc("s").draw()?;
    step_chart.draw_series(LineSeries::new([(start, limit), (end, limit)], &BLACK))?;
    step_chart.draw_series(summary.steps.iter().map(|step| {
        let is_late = step.total() > limit;
        let fill = if is_late { colour(cause(step)) } else { RGBColor(150, 150, 150) };
        Circle::new((step.submitted_at, step.total()), POINT_RADIUS, fill.filled())
    }))?;

    let max_calls = summary.calls_by_time.values().copied().max().unwrap_or(1) as f64;
    let mut call_chart = ChartBuilder::on(&call_area)
        .caption("calls to the store, by when daemons told of them", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(start..end, 0.0..max_calls * 1.1)?;
    call_chart.configure_mesh().x_desc("s").y_desc("calls in a second").draw()?;
    call_chart.draw_series(summary.calls_by_time.iter().map(|(second, count)| {
        let from = (*second as f64, 0.0);
        let to = (*second as f64 + 1.0, *count as f64);
        Rectangle::new([from, to], RGBColor(0, 90, 180).filled())
    }))?;
    step_area.present()?;
    call_area.present()?;
    Ok(())
}
