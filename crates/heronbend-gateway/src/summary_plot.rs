//! A plot of a [`Day`]: how long each step took, with what made late ones late, and the calls to the
//! store, both over time.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::fleet_summary::cause;
use crate::fleet_summary::Cause;
use crate::fleet_summary::Day;

/// Size of the picture, in pixels.
const SIZE: (u32, u32) = (1000, 700);
/// Height of its upper half, in pixels.
const UPPER: u32 = 400;
const POINT: u32 = 4;
const LABEL_AREA: u32 = 46;

fn colour(cause: Cause) -> RGBColor {
    match cause {
        Cause::HandIn => RGBColor(200, 120, 0),
        Cause::Owner => RGBColor(180, 0, 0),
        Cause::Texts => RGBColor(0, 90, 180),
        Cause::Listing => RGBColor(130, 0, 150),
        Cause::End => RGBColor(0, 130, 60),
    }
}

/// Writes the plot of a day to an SVG file; steps over `limit` seconds are late.
pub fn write(day: &Day, limit: f64, path: &Path) -> Result<(), Box<dyn Error>> {
    let picture = SVGBackend::new(path, SIZE).into_drawing_area();
    picture.fill(&WHITE)?;
    let (upper, lower) = picture.split_vertically(UPPER);
    let last_step = day.steps.iter().map(|step| step.handed_in + step.total());
    let last_call = day.calls_by_time.keys().map(|second| *second as f64);
    let end = last_step.chain(last_call).fold(1.0, f64::max);
    let first_call = day.calls_by_time.keys().next().map_or(0.0, |second| *second as f64);
    let begin = first_call.min(0.0);

    let slowest = day.steps.iter().map(crate::steps::Step::total).fold(limit, f64::max);
    let mut steps = ChartBuilder::on(&upper)
        .caption("seconds of each step, by when it was handed in", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(begin..end, 0.0..slowest * 1.1)?;
    steps.configure_mesh().x_desc("s").y_desc("s").draw()?;
    steps.draw_series(LineSeries::new([(begin, limit), (end, limit)], &BLACK))?;
    steps.draw_series(day.steps.iter().map(|step| {
        let is_late = step.total() > limit;
        let fill = if is_late { colour(cause(step)) } else { RGBColor(150, 150, 150) };
        Circle::new((step.handed_in, step.total()), POINT, fill.filled())
    }))?;

    let most = day.calls_by_time.values().copied().max().unwrap_or(1) as f64;
    let mut calls = ChartBuilder::on(&lower)
        .caption("calls to the store, by when daemons told of them", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(begin..end, 0.0..most * 1.1)?;
    calls.configure_mesh().x_desc("s").y_desc("calls in a second").draw()?;
    calls.draw_series(day.calls_by_time.iter().map(|(second, count)| {
        let from = (*second as f64, 0.0);
        let to = (*second as f64 + 1.0, *count as f64);
        Rectangle::new([from, to], RGBColor(0, 90, 180).filled())
    }))?;
    upper.present()?;
    lower.present()?;
    Ok(())
}
