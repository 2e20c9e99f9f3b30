//! The least-squares line through the figures of several sizes, and its error.

use crate::report::Slope;

/// How far beyond the largest measured size a line is trusted.
pub const MAX_EXTRAPOLATION: f64 = 10.0;

/// What a line is through.
#[derive(Clone, Copy, Debug)]
pub struct Axes<'a> {
    /// What was measured.
    pub figure: &'a str,
    /// Unit of the figure.
    pub unit: &'a str,
    /// What was varied.
    pub dimension: &'a str,
}

/// Fits a line; `None` for fewer than three points, or where all of them have the same size.
pub fn line(axes: Axes, points: &[(f64, f64)]) -> Option<Slope> {
    let count = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let slope = points
        .iter()
        .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
        .sum::<f64>()
        / spread;
    let intercept = mean_y - slope * mean_x;
    let squares: f64 = points
        .iter()
        .map(|p| (p.1 - intercept - slope * p.0).powi(2))
        .sum();
    let residual_error = (squares / (count - 2.0)).sqrt();
    Some(Slope {
        figure: axes.figure.into(),
        unit: axes.unit.into(),
        dimension: axes.dimension.into(),
        points: points.to_vec(),
        intercept,
        slope,
        slope_error: residual_error / spread.sqrt(),
        residual_error,
    })
}

/// The figure at a size by the line; `None` for a size more than [`MAX_EXTRAPOLATION`] times the largest measured one.
pub fn at(slope: &Slope, size: f64) -> Option<f64> {
    let largest = slope.points.iter().map(|p| p.0).fold(0.0, f64::max);
    (size <= MAX_EXTRAPOLATION * largest).then_some(slope.intercept + slope.slope * size)
}
