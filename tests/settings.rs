//! Parses each settings file in `tests/data/settings`; its first line, a comment, is the expected
//! outcome.

use std::path::Path;

use cornelwharf::settings::Settings;

fn outcome(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let Some(expected) = text.lines().next().and_then(|line| line.strip_prefix("# ")) else {
        return Err(format!("{}: no outcome in the first line", path.display()).into());
    };
    let got = match Settings::parse(&text) {
        Ok(settings) => format!("ok: {} in {}", settings.vm, settings.domain),
        Err(error) => error.to_string(),
    };
    let first = got.lines().next().unwrap_or_default();
    if first == expected {
        return Ok(());
    }
    Err(format!("expected {expected:?}, got {got:?}").into())
}

datatest_stable::harness! {
    { test = outcome, root = "tests/data/settings", pattern = r"\.yaml$" },
}
