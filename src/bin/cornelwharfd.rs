//! The daemon on an entry VM.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use clap::Parser;
use cornelwharf::cli::DaemonArgs;
use cornelwharf::clock::Clock;
use cornelwharf::io::daemon;
use cornelwharf::io::log;
use cornelwharf::io::runtime;
use cornelwharf::settings::Settings;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

fn main() -> std::process::ExitCode {
    let args = DaemonArgs::parse();
    let mut settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return refuse(&args, &error),
    };
    args.merge(&mut settings);
    match run(&settings) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("cornelwharfd: {report:#}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn refuse(
    args: &DaemonArgs,
    error: &cornelwharf::settings::SettingsError,
) -> std::process::ExitCode {
    /// The exit code for invalid settings.
    const REFUSED: u8 = 2;
    eprintln!("cornelwharfd: {}: {error}", args.settings.display());
    std::process::ExitCode::from(REFUSED)
}

fn run(settings: &Settings) -> eyre::Result<()> {
    let clock = Clock::start();
    log::start(clock, settings.level)?;
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    runtime::run(async {
        let shell = daemon::start(settings, clock)?;
        daemon::wait(&shell, stop).await;
        Ok(())
    })?
}
