//! The command-line client for operators and owners of endpoints.

use std::process::ExitCode;

use clap::Parser;
use cornelwharf::cli::ControlArgs;

fn main() -> ExitCode {
    let args = ControlArgs::parse();
    match args.run(std::io::stdin(), &mut std::io::stdout()) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("cornelwharf: {error}");
            error.exit().into()
        }
    }
}
