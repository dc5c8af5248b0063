//! Plots the goodput of both routers over all cases.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::bounds::Line;

/// Size of the drawing, in pixels.
const SIZE: (u32, u32) = (1_600, 900);

/// Draws bars of goodput for each case, the naive router next to the core.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn draw(path: &Path, lines: &[Line]) -> Result<(), Box<dyn Error>> {
    let bars: Vec<&Line> = lines
        .iter()
        .filter(|line| line.measure == "goodput")
        .collect();
    let max = bars
        .iter()
        .map(|line| line.ours.max(line.naive))
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Output tokens a second within both latency targets",
            ("sans-serif", 24),
        )
        .margin(16)
        .x_label_area_size(190)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..bars.len() as f64, 0.0..max * 1.1)?;
    let name = |x: &f64| {
        let line = bars.get(*x as usize).filter(|_| x.fract() == 0.0);
        line.map_or(String::new(), |l| {
            format!("{} {:.0} % {}", l.deployment, l.load, l.fault)
        })
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.len())
        .x_label_formatter(&name)
        .x_label_style(
            ("sans-serif", 11)
                .into_font()
                .transform(FontTransform::Rotate90),
        )
        .y_desc("tokens/s")
        .draw()?;
    let series = [
        ("naive", RED.mix(0.6), 0.1),
        ("jacinthlever", BLUE.mix(0.8), 0.5),
    ];
    for (label, color, offset) in series {
        let value = |line: &Line| {
            if label == "naive" {
                line.naive
            } else {
                line.ours
            }
        };
        let rectangles = bars.iter().enumerate().map(|(x, line)| {
            let left = x as f64 + offset;
            Rectangle::new([(left, 0.0), (left + 0.4, value(line))], color.filled())
        });
        chart
            .draw_series(rectangles)?
            .label(label)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
