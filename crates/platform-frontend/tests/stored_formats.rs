//! The platform writes the start file, so its keys and values have to be read under exactly these names.

use orchidtally_platform_discovery::NameCounts;
use orchidtally_platform_frontend::start::{StartConfig, read};
use serde_json::Value;
use std::path::PathBuf;

const SETTINGS: &str = include_str!("../../platform-config/tests/stored_formats/settings.json");
const INITIAL_ENDPOINTS: &str =
    include_str!("../../platform-discovery/tests/stored_formats/known.json");

fn start_file() -> Value {
    let parse = |text: &str| -> Value { serde_json::from_str(text).expect("the fixture is JSON") };
    let mut file = parse(include_str!("stored_formats/start.json"));
    file["settings"] = parse(SETTINGS);
    file["known"] = parse(INITIAL_ENDPOINTS);
    file
}

fn read_file(name: &str, file: &Value) -> Result<StartConfig, String> {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("stored-formats-{name}.json"));
    std::fs::write(&path, file.to_string()).expect("the directory is writable");
    read(&path).map_err(|error| error.to_string())
}

#[test]
fn every_value_of_a_start_file_is_read() {
    let start = read_file("whole", &start_file()).expect("the start file is valid");
    assert_eq!(
        (start.name.as_str(), start.listen.to_string()),
        ("lb-3", "127.0.0.1:7300".into())
    );
    assert_eq!(
        (start.seed, start.memory_bytes, start.max_descriptors),
        (0x9b1f_03aa, 64 << 20, 200)
    );
    assert_eq!(
        (start.resolver.to_string(), start.initial_list.serial),
        ("127.0.0.1:5353".into(), 17)
    );
    let names: Vec<&str> = start
        .initial_list
        .endpoints
        .iter()
        .map(|endpoint| endpoint.name.as_str())
        .collect();
    assert_eq!(
        (names, start.settings.max_open_invocations),
        (vec!["s-1", "s-2"], 1_000)
    );
    assert_eq!(
        start.locations.name_counts(),
        NameCounts { zones: 4, kinds: 2 },
        "two zones from the settings and two from the endpoint list"
    );
}

#[test]
fn every_key_of_a_start_file_is_required() {
    for key in [
        "name", "listen", "seed", "limits", "dns", "known", "settings",
    ] {
        let mut file = start_file();
        file.as_object_mut()
            .expect("the value is an object")
            .remove(key);
        let error = read_file(key, &file).err().expect(key);
        assert!(error.contains(&format!("missing field `{key}`")), "{error}");
    }
    for key in ["memory_mb", "sockets"] {
        let mut file = start_file();
        file["limits"]
            .as_object_mut()
            .expect("the value is an object")
            .remove(key);
        let error = read_file(key, &file).err().expect(key);
        assert!(error.contains(&format!("missing field `{key}`")), "{error}");
    }
}
