//! Experiment results: tables, ratios to the baseline with their range over seeds, and plots.

use std::path::Path;

use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;

/// Maximum recorded latency, in microseconds; longer ones are clamped.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// Creates a histogram of latencies in microseconds, with three significant digits.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("valid bounds")
}

/// A metric of an arm, with one value per seed.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// Name of the metric, with its unit.
    pub name: &'static str,
    /// Values in the order of the seeds.
    pub values: Vec<f64>,
}

/// A variant under comparison.
#[derive(Debug, Clone, Serialize)]
pub struct Arm {
    /// Name of the arm.
    pub name: String,
    /// Metrics of the arm.
    pub figures: Vec<Figure>,
}

/// A condition that must hold for the experiment to pass.
#[derive(Debug, Clone, Serialize)]
pub struct Target {
    /// Description of the condition.
    pub demand: String,
    /// Whether the condition holds.
    pub met: bool,
}

/// Results of an experiment.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Description of the workload.
    pub workload: String,
    /// Name of the arm that ratios refer to.
    pub baseline: String,
    /// Random seeds of the runs.
    pub seeds: Vec<u64>,
    /// Arms, including the baseline.
    pub arms: Vec<Arm>,
    /// Targets of the experiment.
    pub targets: Vec<Target>,
}

impl Arm {
    /// Creates an arm from one list of metrics per seed.
    pub fn new(name: &str, runs: &[Vec<(&'static str, f64)>]) -> Self {
        let names = runs.first().map(|run| run.iter().map(|(name, _)| *name).collect::<Vec<_>>());
        let figures = names
            .unwrap_or_default()
            .into_iter()
            .enumerate()
            .map(|(index, name)| Figure {
                name,
                values: runs.iter().map(|run| run[index].1).collect(),
            })
            .collect();
        Self { name: name.to_owned(), figures }
    }

    /// Mean of a metric over the seeds; NaN if there is no such metric.
    pub fn mean(&self, name: &str) -> f64 {
        let figure = self.figures.iter().find(|figure| figure.name == name);
        figure.map_or(f64::NAN, |figure| mean(&figure.values))
    }
}

impl Report {
    /// Returns the arm with a name; panics if there is none.
    pub fn arm(&self, name: &str) -> &Arm {
        let found = self.arms.iter().find(|arm| arm.name == name);
        found.unwrap_or_else(|| panic!("there is no arm {name}"))
    }

    /// Adds a target.
    pub fn add_target(&mut self, demand: &str, met: bool) {
        self.targets.push(Target { demand: demand.to_owned(), met });
    }

    /// Prints each arm's means and their ratios to the baseline, with the range over the seeds.
    pub fn print(&self) {
        println!("experiment {}; seeds {:?}; {}", self.experiment, self.seeds, self.workload);
        let baseline = self.arm(&self.baseline);
        for arm in &self.arms {
            let suffix = if arm.name == self.baseline { " (baseline)" } else { "" };
            println!("  {}{suffix}", arm.name);
            for (figure, base) in arm.figures.iter().zip(&baseline.figures) {
                let ratios: Vec<f64> = figure
                    .values
                    .iter()
                    .zip(&base.values)
                    .filter(|(_, base)| **base != 0.0)
                    .map(|(value, base)| value / base)
                    .collect();
                let spread = match ratios.as_slice() {
                    [] => String::new(),
                    ratios => {
                        let low = ratios.iter().copied().fold(f64::INFINITY, f64::min);
                        let high = ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
                        format!("  x{:.3} ({low:.3} to {high:.3})", mean(ratios))
                    }
                };
                println!("    {:<28} {:>14.4}{spread}", figure.name, mean(&figure.values));
            }
        }
        for target in &self.targets {
            let state = if target.met { "met" } else { "NOT MET" };
            println!("  target: {}: {state}", target.demand);
        }
    }

    /// Writes an SVG bar chart of each arm's first metric.
    pub fn plot(&self, path: &Path) -> anyhow::Result<()> {
        let root =
            SVGBackend::new(path, (900, 60 + 50 * self.arms.len() as u32)).into_drawing_area();
        root.fill(&WHITE)?;
        let figure = |arm: &Arm| arm.figures.first().map_or(0.0, |figure| mean(&figure.values));
        let largest = self.arms.iter().map(figure).fold(f64::MIN_POSITIVE, f64::max);
        let label = self.arms.first().and_then(|arm| arm.figures.first());
        let title = format!("{}: {}", self.experiment, label.map_or("", |figure| figure.name));
        let style = ("sans-serif", 16).into_font().color(&BLACK);
        root.draw(&Text::new(title, (10, 15), style.clone()))?;
        for (index, arm) in self.arms.iter().enumerate() {
            let top = 45 + 50 * index as i32;
            let value = figure(arm);
            let width = (value / largest * 500.0) as i32;
            let colour = if arm.name == self.baseline { &RED } else { &BLUE };
            let bar = [(300, top), (300 + width, top + 30)];
            root.draw(&Rectangle::new(bar, colour.mix(0.6).filled()))?;
            root.draw(&Text::new(arm.name.clone(), (10, top + 8), style.clone()))?;
            root.draw(&Text::new(format!("{value:.3}"), (310 + width, top + 8), style.clone()))?;
        }
        root.present()?;
        Ok(())
    }

    /// Fails when a target was not met.
    pub fn check(&self) -> anyhow::Result<()> {
        let failed: Vec<_> = self.targets.iter().filter(|target| !target.met).collect();
        anyhow::ensure!(failed.is_empty(), "{} targets were not met", failed.len());
        Ok(())
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
