//! Which changes of a deployment file need a restart.

use orchidtally_deployment::restart_needed;

const BEFORE: &str = r#"{
    name: "n", // a comment
    triggerTypes: [{ name: "http", effect: "idempotent", objective: "1s", timeout: "2s" }],
    otherFunctions: { lanes: 2 },
    limits: { connections: 5, bodyBytes: "1MiB" },
    executors: { list: [{ address: "127.0.0.1:1" }] },
}"#;

fn reported(before: &str, after: &str) -> Vec<String> {
    restart_needed(before, after)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn spaces_comments_and_key_order_are_not_changes() {
    let spaced = BEFORE.replace("// a comment", "/* another */").replace(
        r#"{ connections: 5, bodyBytes: "1MiB" }"#,
        r#"{
            "bodyBytes": "1MiB", connections: 5 }"#,
    );
    assert_ne!(spaced, BEFORE);
    assert_eq!(reported(BEFORE, &spaced), Vec::<String>::new());
}

#[test]
fn functions_customers_and_trigger_types_need_no_restart() {
    let after = BEFORE
        .replace("timeout: \"2s\"", "timeout: \"3s\"")
        .replace(
            "otherFunctions: { lanes: 2 }",
            "functions: [{ name: 'f' }], customers: [{ name: 'c', share: 1 }]",
        );
    assert_eq!(reported(BEFORE, &after), Vec::<String>::new());
}

#[test]
fn other_sections_need_a_restart_and_are_reported_with_their_place() {
    let after = BEFORE
        .replace("connections: 5", "connections: 6")
        .replace("name: \"n\",", "name: \"m\", crossing: 0.5,")
        .replace(
            "    executors: { list: [{ address: \"127.0.0.1:1\" }] },\n",
            "",
        );
    let reported = reported(BEFORE, &after);
    let begins: Vec<&str> = reported
        .iter()
        .map(|t| {
            t.split_once(", which takes effect")
                .map_or(t.as_str(), |t| t.0)
        })
        .collect();
    let expected = [
        "1:1: 'executors' was removed",
        "2:11: name: has changed",
        "2:26: crossing: has changed",
        "5:13: limits: has changed",
    ];
    assert_eq!(begins, expected);
}
