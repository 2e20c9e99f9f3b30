//! Typed access to the values of the settings object. A key is a path whose parts are separated by dots.

use crate::SettingsError;
use serde_json::Value;

/// The settings give durations in nanoseconds.
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// The value of a key; an error if the key is missing.
pub(crate) fn required<'a>(value: &'a Value, key: &str) -> Result<&'a Value, SettingsError> {
    key.split('.')
        .try_fold(value, |value, part| value.get(part))
        .ok_or_else(|| SettingsError::MissingKey { key: key.into() })
}

/// Whether a key is present.
pub(crate) fn is_present(value: &Value, key: &str) -> bool {
    required(value, key).is_ok()
}

fn number(value: &Value, key: &str) -> Result<f64, SettingsError> {
    required(value, key)?
        .as_f64()
        .ok_or_else(|| SettingsError::wrong_type(key, "a number"))
}

/// A number between `min` and `max`, both inclusive.
pub(crate) fn number_within(
    value: &Value,
    key: &str,
    min: f64,
    max: f64,
) -> Result<f64, SettingsError> {
    let number = number(value, key)?;
    if (min..=max).contains(&number) {
        return Ok(number);
    }
    let bounds = if max.is_finite() {
        format!("{min} to {max}")
    } else {
        format!("{min} or more")
    };
    Err(SettingsError::OutOfRange {
        key: key.into(),
        value: number,
        bounds,
    })
}

/// A number that is not negative.
pub(crate) fn non_negative(value: &Value, key: &str) -> Result<f64, SettingsError> {
    number_within(value, key, 0.0, f64::INFINITY)
}

/// A duration in seconds.
pub(crate) fn seconds(value: &Value, key: &str) -> Result<f64, SettingsError> {
    Ok(non_negative(value, key)? / NANOSECONDS_PER_SECOND)
}

/// A number that is not negative; `default` if the key is absent.
pub(crate) fn non_negative_or(
    value: &Value,
    key: &str,
    default: f64,
) -> Result<f64, SettingsError> {
    if is_present(value, key) {
        non_negative(value, key)
    } else {
        Ok(default)
    }
}

/// A duration in seconds. If the key is absent, `default` applies, which is in nanoseconds.
pub(crate) fn seconds_or(value: &Value, key: &str, default: f64) -> Result<f64, SettingsError> {
    Ok(non_negative_or(value, key, default)? / NANOSECONDS_PER_SECOND)
}

/// Whether a setting with two possible values has the second one. An absent key counts as the first value. Any other
/// value is an error.
///
/// Failure mode: without that check, a misspelt second value would count as the first.
pub(crate) fn has_second_value(
    value: &Value,
    key: &str,
    values: [&str; 2],
) -> Result<bool, SettingsError> {
    if !is_present(value, key) {
        return Ok(false);
    }
    let found = string(value, key)?;
    values
        .iter()
        .position(|value| *value == found)
        .map(|index| index == 1)
        .ok_or_else(|| SettingsError::unknown_value(key, found, &values))
}

/// A boolean; false if the key is absent.
pub(crate) fn boolean_or_false(value: &Value, key: &str) -> Result<bool, SettingsError> {
    match required(value, key) {
        Err(_) => Ok(false),
        Ok(found) => found
            .as_bool()
            .ok_or_else(|| SettingsError::wrong_type(key, "true or false")),
    }
}

/// A string.
pub(crate) fn string<'a>(value: &'a Value, key: &str) -> Result<&'a str, SettingsError> {
    required(value, key)?
        .as_str()
        .ok_or_else(|| SettingsError::wrong_type(key, "a string"))
}

/// A list.
pub(crate) fn list<'a>(value: &'a Value, key: &str) -> Result<&'a [Value], SettingsError> {
    let found = required(value, key)?
        .as_array()
        .ok_or_else(|| SettingsError::wrong_type(key, "a list"))?;
    Ok(found)
}

/// A list of strings.
pub(crate) fn strings(value: &Value, key: &str) -> Result<Vec<String>, SettingsError> {
    list(value, key)?
        .iter()
        .map(|item| item.as_str().map(str::to_owned))
        .collect::<Option<_>>()
        .ok_or_else(|| SettingsError::wrong_type(key, "a list of strings"))
}

/// The customers; empty if the settings have none.
pub(crate) fn customers(settings: &Value) -> Result<&[Value], SettingsError> {
    if is_present(settings, "customers") {
        list(settings, "customers")
    } else {
        Ok(&[])
    }
}

/// The values of `name` in a list of objects.
pub(crate) fn names(objects: &[Value]) -> Result<Vec<String>, SettingsError> {
    objects
        .iter()
        .map(|object| string(object, "name").map(str::to_owned))
        .collect()
}
