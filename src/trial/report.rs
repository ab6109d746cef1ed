//! What the trial tells, and the checks that it makes.

use std::io;
use std::io::Write;

use crate::clock::Clock;
use crate::clock::Millis;

/// A promise, and whether it held.
#[derive(Debug)]
struct Check {
    promise: &'static str,
    held: bool,
}

/// What the trial tells, and the checks that it makes.
#[derive(Debug)]
pub(super) struct Report<'a, W> {
    out: &'a mut W,
    clock: Clock,
    start: Millis,
    checks: Vec<Check>,
}

impl<'a, W> Report<'a, W>
where
    W: Write,
{
    pub(super) fn new(out: &'a mut W) -> Self {
        let clock = Clock::start();
        Self {
            out,
            clock,
            start: clock.now(),
            checks: Vec::new(),
        }
    }

    /// Begins a section.
    pub(super) fn section(&mut self, title: &str) -> io::Result<()> {
        writeln!(self.out, "\n== {title}")
    }

    /// Tells one line.
    pub(super) fn line(&mut self, text: &str) -> io::Result<()> {
        writeln!(self.out, "   {text}")
    }

    /// Tells a part of a line at once, as tokens come.
    pub(super) fn part(&mut self, text: &str) -> io::Result<()> {
        write!(self.out, "{text}")?;
        self.out.flush()
    }

    /// Records whether a promise held.
    pub(super) fn check(&mut self, promise: &'static str, held: bool) -> io::Result<()> {
        self.checks.push(Check { promise, held });
        let mark = mark(held);
        writeln!(self.out, "   [{mark}] {promise}")
    }

    /// Tells all checks once more and says whether all held.
    pub(super) fn summary(&mut self) -> io::Result<bool> {
        self.section("Summary")?;
        for Check { promise, held } in &self.checks {
            writeln!(self.out, "   {:<6} {promise}", mark(*held))?;
        }
        let held = self.checks.iter().filter(|check| check.held).count();
        let total = self.checks.len();
        let ms = self.clock.now().since(self.start).0;
        let (seconds, tenths) = (ms / 1000, ms % 1000 / 100);
        writeln!(
            self.out,
            "\n{held} of {total} checks held, in {seconds}.{tenths} s."
        )?;
        Ok(held == total)
    }
}

fn mark(held: bool) -> &'static str {
    if held { "ok" } else { "FAILED" }
}
