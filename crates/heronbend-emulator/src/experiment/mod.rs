//! Experiments: arms against a baseline, in one process and one run.

use clap::Args;

/// Flags of `experiment`.
#[derive(Args)]
pub struct ExperimentArguments {
    /// Which; `list` says what each answers.
    name: String,
}

/// Runs an experiment.
pub fn run(arguments: &ExperimentArguments) -> anyhow::Result<()> {
    anyhow::bail!("there is no experiment {:?}", arguments.name)
}
