//! Plots a run as SVG files.

use std::path::Path;

use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::DrawingAreaErrorKind;
use plotters::prelude::GREEN;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::RED;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use super::error::BenchError;
use super::report::ClassReport;
use super::report::Report;

/// The width and height of a plot in pixels.
const SIZE: (u32, u32) = (900, 420);
/// The number of time-line slots per second.
const SLOTS_PER_SECOND: f64 = 10.0;
/// The height of the y axis relative to the highest point.
const HEADROOM: f64 = 1.1;

/// A line in a plot.
struct Series {
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Writes the throughput, time line and latency plots into `dir`.
pub(super) fn write(report: &Report, dir: &Path) -> Result<(), BenchError> {
    let rates = [rates(report), bound(report)];
    let title = "tokens a second (blue) against the bound (red), by seconds";
    draw(&dir.join("throughput.svg"), title, &rates)?;
    let title = "good answers (green) and failures (red) a second, by seconds";
    draw(&dir.join("timeline.svg"), title, &answers(report))?;
    let title = "latency in ms by percentile 50, 95, 99, one line a class";
    let lines: Vec<Series> = report.classes.iter().map(latency).collect();
    draw(&dir.join("latency.svg"), title, &lines)
}

fn seconds(slot: usize) -> f64 {
    slot as f64 / SLOTS_PER_SECOND
}

fn rates(report: &Report) -> Series {
    let point = |(at, slot): (usize, &super::report::SlotReport)| {
        (seconds(at), slot.tokens as f64 * SLOTS_PER_SECOND)
    };
    Series {
        color: BLUE,
        points: report.slots.iter().enumerate().map(point).collect(),
    }
}

fn bound(report: &Report) -> Series {
    let rate: f64 = report.bounds.iter().map(|bound| bound.rate).sum();
    let end = seconds(report.slots.len());
    Series {
        color: RED,
        points: vec![(0.0, rate), (end, rate)],
    }
}

fn answers(report: &Report) -> [Series; 2] {
    let slots = || report.slots.iter().enumerate();
    let good = slots().map(|(at, slot)| (seconds(at), slot.good as f64 * SLOTS_PER_SECOND));
    let failed = slots().map(|(at, slot)| (seconds(at), slot.failed as f64 * SLOTS_PER_SECOND));
    [
        Series {
            color: GREEN,
            points: good.collect(),
        },
        Series {
            color: RED,
            points: failed.collect(),
        },
    ]
}

fn latency(line: &ClassReport) -> Series {
    let all = [
        (50.0, line.latency.p50),
        (95.0, line.latency.p95),
        (99.0, line.latency.p99),
    ];
    let point = |(at, value): (f64, Option<f64>)| value.map(|value| (at, value));
    Series {
        color: BLUE,
        points: all.into_iter().filter_map(point).collect(),
    }
}

fn draw(path: &Path, title: &str, series: &[Series]) -> Result<(), BenchError> {
    chart(path, title, series).map_err(|error| BenchError::Plot {
        reason: error.to_string(),
    })
}

fn chart(
    path: &Path,
    title: &str,
    series: &[Series],
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let points = || series.iter().flat_map(|one| &one.points);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max) * HEADROOM;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().draw()?;
    for one in series {
        let line = LineSeries::new(one.points.iter().copied(), &one.color);
        chart.draw_series(line)?;
    }
    area.present()
}
