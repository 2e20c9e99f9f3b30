//! The canonical text of values.

use jsonc_parser::ast::{ObjectProp, Value};

/// Returns a value as text that doesn't depend on spaces, comments and the order of keys.
pub(super) fn canonical_text(value: &Value) -> String {
    match value {
        Value::StringLit(text) => format!("{:?}", text.value),
        Value::NumberLit(number) => number.value.to_owned(),
        Value::BooleanLit(flag) => flag.value.to_string(),
        Value::NullKeyword(_) => "null".into(),
        Value::Array(list) => {
            let elements: Vec<String> = list.elements.iter().map(canonical_text).collect();
            format!("[{}]", elements.join(","))
        }
        Value::Object(object) => {
            let property =
                |p: &ObjectProp| format!("{:?}:{}", p.name.as_str(), canonical_text(&p.value));
            let mut properties: Vec<String> = object.properties.iter().map(property).collect();
            properties.sort_unstable();
            format!("{{{}}}", properties.join(","))
        }
    }
}
