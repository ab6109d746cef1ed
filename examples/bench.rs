//! The load generator: `cargo run --release --example bench -- SCENARIO`.

use std::process::ExitCode;

use clap::Parser;
use cornelwharf::bench;
use cornelwharf::cli::BenchArgs;
use cornelwharf::io::runtime;

fn main() -> eyre::Result<ExitCode> {
    let args = BenchArgs::parse();
    let report = runtime::run(bench::run(&args))??;
    if report.is_correct() {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("bench: wrong answers or untrue outcomes");
    Ok(ExitCode::FAILURE)
}
