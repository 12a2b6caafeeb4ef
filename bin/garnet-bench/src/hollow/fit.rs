//! A straight line through measured points.

use serde::Serialize;

/// `value = base + slope * size`, by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct Fit {
    /// Value at size zero.
    pub(crate) base: f64,
    /// Growth for each unit of the size.
    pub(crate) slope: f64,
    /// Largest distance of a point from the line, as a share of the largest
    /// value.
    pub(crate) error: f64,
}

impl Fit {
    /// The line through points of (size, value).
    pub(crate) fn through(points: &[(f64, f64)]) -> Fit {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let spread: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        let shared: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let slope = if spread > 0.0 { shared / spread } else { 0.0 };
        let base = mean_value - slope * mean_size;
        let largest = points
            .iter()
            .map(|(_, value)| value.abs())
            .fold(0.0, f64::max);
        let farthest = points
            .iter()
            .map(|(size, value)| (value - base - slope * size).abs())
            .fold(0.0, f64::max);
        let error = if largest > 0.0 {
            farthest / largest
        } else {
            0.0
        };
        Fit { base, slope, error }
    }
}
