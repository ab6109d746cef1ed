//! The printed report of the trial and the results of its checks.

use std::io;
use std::io::Write;

use crate::clock::Clock;
use crate::clock::Millis;

/// The result of checking a promise.
#[derive(Debug)]
struct Check {
    promise: &'static str,
    held: bool,
}

/// Prints the trial's progress and collects the results of its checks.
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

    /// Prints the title of a section.
    pub(super) fn section(&mut self, title: &str) -> io::Result<()> {
        writeln!(self.out, "\n== {title}")
    }

    /// Prints an indented line.
    pub(super) fn line(&mut self, text: &str) -> io::Result<()> {
        writeln!(self.out, "   {text}")
    }

    /// Prints a part of a line and flushes it, to show tokens as they arrive.
    pub(super) fn part(&mut self, text: &str) -> io::Result<()> {
        write!(self.out, "{text}")?;
        self.out.flush()
    }

    /// Records and prints whether a promise held.
    pub(super) fn check(&mut self, promise: &'static str, held: bool) -> io::Result<()> {
        self.checks.push(Check { promise, held });
        let mark = mark(held);
        writeln!(self.out, "   [{mark}] {promise}")
    }

    /// Prints the results of all checks and returns whether all held.
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
