//! The command line of operators and owners.

use std::process::ExitCode;

use clap::Parser;
use cornelwharf::cli::Control;

fn main() -> ExitCode {
    let control = Control::parse();
    match control.run(std::io::stdin(), &mut std::io::stdout()) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("cornelwharf: {error}");
            error.exit().into()
        }
    }
}
