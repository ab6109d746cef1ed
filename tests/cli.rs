//! Runs `cornelwharf` once for each file in `tests/data/cli`, which gives the arguments, standard
//! input, expected exit code and expected output. No case opens a socket.

use std::path::Path;

use clap::Parser;
use cornelwharf::cli::ControlArgs;
use serde::Deserialize;

/// One run of the program and its expected result.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    args: Vec<String>,
    #[serde(default)]
    input: String,
    exit: u8,
    /// The first lines printed to standard output, or to standard error if the command fails.
    prints: Vec<String>,
}

fn outcome(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_saphyr::from_str(&std::fs::read_to_string(path)?)?;
    let (exit, text) = run(&case);
    let lines: Vec<&str> = text.lines().take(case.prints.len()).collect();
    if exit == case.exit && lines == case.prints {
        return Ok(());
    }
    Err(format!("expected {case:?}, got {exit} and {text:?}").into())
}

fn run(case: &Case) -> (u8, String) {
    let args = std::iter::once("cornelwharf").chain(case.args.iter().map(String::as_str));
    let control = match ControlArgs::try_parse_from(args) {
        Ok(control) => control,
        Err(error) => return (error.exit_code() as u8, error.to_string()),
    };
    let mut out = Vec::new();
    match control.run(case.input.as_bytes(), &mut out) {
        Ok(exit) => (exit as u8, String::from_utf8_lossy(&out).into_owned()),
        Err(error) => (error.exit() as u8, error.to_string()),
    }
}

datatest_stable::harness! {
    { test = outcome, root = "tests/data/cli", pattern = r"\.yaml$" },
}
