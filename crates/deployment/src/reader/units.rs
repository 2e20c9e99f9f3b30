//! Times and sizes with their units.

/// Returns the value in base units (seconds or bytes) of a text such as `1.5s`; `None` if it has no known unit.
pub(super) fn scaled(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let number: f64 = text[..digits].parse().ok()?;
    let unit = text[digits..].trim();
    units.iter().find(|u| u.0 == unit).map(|u| number * u.1)
}

/// Units of time, in seconds.
pub(super) const TIMES: [(&str, f64); 5] = [
    ("us", 1e-6),
    ("ms", 1e-3),
    ("s", 1.0),
    ("m", 60.0),
    ("h", 3_600.0),
];
/// Units of size, in bytes.
pub(super) const SIZES: [(&str, f64); 7] = [
    ("B", 1.0),
    ("KiB", 1024.0),
    ("MiB", 1_048_576.0),
    ("GiB", 1_073_741_824.0),
    ("KB", 1e3),
    ("MB", 1e6),
    ("GB", 1e9),
];
