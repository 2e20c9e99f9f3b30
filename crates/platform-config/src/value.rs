//! Typed access to the values of the settings object, by keys with dots between their parts.

use crate::SettingsError;
use serde_json::Value;

/// Nanoseconds in a second: the settings tell durations in nanoseconds.
const NANOSECONDS: f64 = 1e9;

/// The value of a key.
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

/// A number within bounds.
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
pub(crate) fn amount(value: &Value, key: &str) -> Result<f64, SettingsError> {
    number_within(value, key, 0.0, f64::INFINITY)
}

/// A duration in seconds.
pub(crate) fn seconds(value: &Value, key: &str) -> Result<f64, SettingsError> {
    Ok(amount(value, key)? / NANOSECONDS)
}

/// A number that is not negative, or a default where the key is absent.
pub(crate) fn amount_or(value: &Value, key: &str, default: f64) -> Result<f64, SettingsError> {
    if is_present(value, key) {
        amount(value, key)
    } else {
        Ok(default)
    }
}

/// A duration in seconds, or a default in nanoseconds where the key is absent.
pub(crate) fn seconds_or(value: &Value, key: &str, default: f64) -> Result<f64, SettingsError> {
    Ok(amount_or(value, key, default)? / NANOSECONDS)
}

/// Whether a setting with two values has the second; it has the first where the key is absent.
///
/// Failure mode: a third value would count as the first.
pub(crate) fn is_second(
    value: &Value,
    key: &str,
    values: [&str; 2],
) -> Result<bool, SettingsError> {
    if !is_present(value, key) {
        return Ok(false);
    }
    let found = text(value, key)?;
    values
        .iter()
        .position(|value| *value == found)
        .map(|index| index == 1)
        .ok_or_else(|| SettingsError::unknown_value(key, found, &values))
}

/// A truth value; false where the key is absent.
pub(crate) fn flag(value: &Value, key: &str) -> Result<bool, SettingsError> {
    match required(value, key) {
        Err(_) => Ok(false),
        Ok(found) => found
            .as_bool()
            .ok_or_else(|| SettingsError::wrong_type(key, "true or false")),
    }
}

/// A text.
pub(crate) fn text<'a>(value: &'a Value, key: &str) -> Result<&'a str, SettingsError> {
    required(value, key)?
        .as_str()
        .ok_or_else(|| SettingsError::wrong_type(key, "a text"))
}

/// A list.
pub(crate) fn list<'a>(value: &'a Value, key: &str) -> Result<&'a [Value], SettingsError> {
    let found = required(value, key)?
        .as_array()
        .ok_or_else(|| SettingsError::wrong_type(key, "a list"))?;
    Ok(found)
}

/// A list of texts.
pub(crate) fn texts(value: &Value, key: &str) -> Result<Vec<String>, SettingsError> {
    list(value, key)?
        .iter()
        .map(|item| item.as_str().map(str::to_owned))
        .collect::<Option<_>>()
        .ok_or_else(|| SettingsError::wrong_type(key, "a list of texts"))
}

/// The customers, if the settings have any.
pub(crate) fn customers(settings: &Value) -> Result<&[Value], SettingsError> {
    if is_present(settings, "customers") {
        list(settings, "customers")
    } else {
        Ok(&[])
    }
}

/// The names of the objects in a list.
pub(crate) fn names(objects: &[Value]) -> Result<Vec<String>, SettingsError> {
    objects
        .iter()
        .map(|object| text(object, "name").map(str::to_owned))
        .collect()
}
