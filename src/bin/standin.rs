//! Small stand-ins for the daemons' dependencies, for trials and benchmarks.

use clap::Parser;
use cornelwharf::cli::StandinArgs;
use cornelwharf::cli::StandinCommand;
use cornelwharf::edge;
use cornelwharf::io::runtime;
use cornelwharf::standin::fleet::dialect;
use cornelwharf::standin::site::Site;

fn main() -> eyre::Result<()> {
    let args = StandinArgs::parse();
    match args.command {
        StandinCommand::All { file } => {
            let text = std::fs::read_to_string(file)?;
            let site = Site::parse(&text)?;
            runtime::run(async {
                site.start()?;
                std::future::pending::<()>().await;
                Ok(())
            })?
        }
        StandinCommand::Edge { file } => {
            edge::run(edge::settings::Settings::load(&file)?, dialect())?;
            Ok(())
        }
    }
}
