//! Plots as SVG.

use std::fmt::Display;

use plotters::prelude::*;

use crate::load::figures::{QuantileMs, TimeSummary};

const SIZE: (u32, u32) = (720, 320);
const MARGIN: u32 = 12;
const LABELS_LEFT: u32 = 60;
const LABELS_BELOW: u32 = 40;
/// Room above the highest value, as a part of it.
const HEADROOM: f64 = 1.1;
/// Part of its place that a bar fills, on each side of its middle.
const HALF_BAR: f64 = 0.35;

/// A value with its name.
pub(super) struct Bar {
    pub(super) name: String,
    pub(super) value: f64,
}

fn text(error: impl Display) -> String {
    format!("a plot can't be drawn: {error}")
}

/// Times by the part of all requests that stayed under them.
pub(super) fn quantiles(title: &str, summaries: &[(&str, &TimeSummary)]) -> Result<String, String> {
    let measured = || summaries.iter().filter(|(_, summary)| summary.count > 0);
    let values = measured().flat_map(|(_, summary)| summary.quantiles.iter());
    let highest = values.map(|quantile| quantile.ms).fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(text)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(MARGIN)
            .x_label_area_size(LABELS_BELOW)
            .y_label_area_size(LABELS_LEFT)
            .build_cartesian_2d(0.0..1.0, 0.0..highest * HEADROOM)
            .map_err(text)?;
        chart
            .configure_mesh()
            .x_desc("part of the requests")
            .y_desc("ms")
            .draw()
            .map_err(text)?;
        for (place, (name, summary)) in measured().enumerate() {
            let color = Palette99::pick(place).to_rgba();
            let point = |quantile: &QuantileMs| (quantile.quantile, quantile.ms);
            let line = LineSeries::new(summary.quantiles.iter().map(point), color.stroke_width(2));
            chart
                .draw_series(line)
                .map_err(text)?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(text)?;
        area.present().map_err(text)?;
    }
    Ok(svg)
}

/// Values beside one another.
pub(super) fn bars(title: &str, unit: &str, bars: &[Bar]) -> Result<String, String> {
    let highest = bars.iter().map(|bar| bar.value).fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(text)?;
        let places = bars.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(MARGIN)
            .x_label_area_size(LABELS_BELOW)
            .y_label_area_size(LABELS_LEFT)
            .build_cartesian_2d(-0.5..places - 0.5, 0.0..highest * HEADROOM)
            .map_err(text)?;
        let name_at = |place: &f64| {
            let is_middle = (place - place.round()).abs() < f64::EPSILON;
            let bar = bars.get(place.round().max(0.0) as usize);
            bar.filter(|_| is_middle)
                .map_or(String::new(), |bar| bar.name.clone())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(bars.len() * 2 + 1)
            .x_label_formatter(&name_at)
            .y_desc(unit)
            .draw()
            .map_err(text)?;
        let drawn = bars.iter().enumerate().map(|(place, bar)| {
            let middle = place as f64;
            let corners = [(middle - HALF_BAR, 0.0), (middle + HALF_BAR, bar.value)];
            Rectangle::new(corners, Palette99::pick(0).filled())
        });
        chart.draw_series(drawn).map_err(text)?;
        area.present().map_err(text)?;
    }
    Ok(svg)
}
