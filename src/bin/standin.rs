//! Small stand-ins for what surrounds the daemons.

use clap::Parser;
use cornelwharf::cli::Stand;
use cornelwharf::cli::Standin;
use cornelwharf::edge;
use cornelwharf::io::runtime;
use cornelwharf::standin::fleet::dialect;
use cornelwharf::standin::site::Site;

fn main() -> eyre::Result<()> {
    let args = Standin::parse();
    match args.stand {
        Stand::All { file } => {
            let text = std::fs::read_to_string(file)?;
            let site = Site::parse(&text)?;
            runtime::run(async {
                site.start()?;
                std::future::pending::<()>().await;
                Ok(())
            })?
        }
        Stand::Edge { file } => {
            edge::run(edge::settings::Settings::load(&file)?, dialect())?;
            Ok(())
        }
    }
}
