//! Whole rehearsals: scenarios in which no rule is broken, and injected violations that are found.

use crate::support::{PROGRAM, broken_rules, run, text, verdict, write_file};
use std::process::{Child, Command, Stdio};

#[test]
fn generated_scenarios_of_several_seeds_break_no_rule() {
    for seed in ["1", "2", "3"] {
        let output = run(&["rehearse", "--length", "6", "--seed", seed]);
        let verdict = verdict(&output);
        assert_eq!(
            output.status.code(),
            Some(0),
            "seed {seed}: {}",
            text(&output.stdout)
        );
        assert_eq!(verdict["verdict"], "kept");
        assert!(broken_rules(&verdict).is_empty());
        assert!(
            verdict["invocations"].as_u64().unwrap() > 1_500,
            "{verdict}"
        );
        for rule in verdict["rules"].as_array().unwrap() {
            assert!(
                rule["checked"].as_u64().unwrap() > 50,
                "seed {seed} checked rule {rule} too few times"
            );
        }
        let overdue = text(&output.stdout).contains("in the module's place");
        assert!(!overdue, "{}", text(&output.stdout));
    }
}

#[test]
fn clock_differences_between_front_ends_overload_no_cold_executor() {
    let scenario = r#"{ length: "7s", clockSkew: "1s", clockStep: "60s", rate: 150, troubles: [
        { kind: "crash", at: "1s", for: "1s", size: 0.3 },
        { kind: "deploy", at: "3s", for: "3s", size: 0.5 },
        { kind: "loseLocation", at: "5s", for: "1s" },
    ] }"#;
    let scenario = write_file("clocks.json5", scenario);
    let output = run(&[
        "rehearse",
        scenario.to_str().unwrap(),
        "--front-end-log",
        "warn",
    ]);
    let verdict = verdict(&output);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    let cold = &verdict["rules"][3];
    assert!(
        cold["rule"] == 4 && cold["checked"].as_u64().unwrap() > 50,
        "{verdict}"
    );
    let logged = text(&output.stderr)
        .matches("the wall clock was stepped")
        .count();
    assert_eq!(
        logged, 1,
        "one front end's clock was stepped, and the step is logged once"
    );
}

#[test]
fn clients_of_killed_front_ends_are_served_by_the_others() {
    let scenario = r#"{ length: "5s", rate: 300, troubles: [{ kind: "killFrontEnds", at: "1500ms", for: "2s", size: 0.5 }] }"#;
    let scenario = write_file("killed.json5", scenario);
    let output = run(&["rehearse", scenario.to_str().unwrap()]);
    let verdict = verdict(&output);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    let count = |key: &str| verdict[key].as_u64().unwrap();
    assert!(
        count("succeeded") as f64 > 0.95 * count("invocations") as f64,
        "{}",
        text(&output.stdout)
    );
    let lost = text(&output.stdout);
    let lost = lost
        .lines()
        .find(|l| l.contains("were at front ends that were killed"))
        .unwrap();
    assert!(
        !lost.contains(", 0 were at"),
        "no invocation was open at the kill: {lost}"
    );
}

#[test]
fn each_injected_violation_is_found_under_its_rule() {
    let scenario =
        r#"{ length: "4s", frontEnds: 2, executors: 6, locations: 2, rate: 60, functions: 10 }"#;
    let scenario = write_file("injected.json5", scenario);
    let children: Vec<(u64, Child)> = (1..=5)
        .map(|rule| {
            let mut command = Command::new(PROGRAM);
            command
                .arg("rehearse")
                .arg(&scenario)
                .args(["--inject-violation", &rule.to_string()]);
            (
                rule,
                command
                    .stdout(Stdio::piped())
                    .stderr(Stdio::null())
                    .spawn()
                    .unwrap(),
            )
        })
        .collect();
    for (rule, child) in children {
        let output = child.wait_with_output().unwrap();
        assert_eq!(
            output.status.code(),
            Some(1),
            "rule {rule}: {}",
            text(&output.stdout)
        );
        let verdict = verdict(&output);
        assert_eq!(verdict["verdict"], "broken");
        assert_eq!(broken_rules(&verdict), [rule], "{}", text(&output.stdout));
    }
}

#[test]
fn messages_have_one_response_and_one_effect_while_front_ends_are_killed() {
    let scenario = r#"{ length: "8s", rate: 200, frontEnds: 6, executors: 6, troubles: [
        { kind: "killFrontEnds", at: "2s", for: "2s", size: 0.46 },
        { kind: "deploy", at: "3s", for: "2s", size: 0.5 },
        { kind: "killFrontEnds", at: "5s", for: "1s", size: 1 },
    ] }"#;
    let scenario = write_file("messages.json5", scenario);
    let rehearse = |more: &[&str]| {
        let mut command = Command::new(PROGRAM);
        command
            .arg("rehearse")
            .arg(&scenario)
            .arg("--mqtt")
            .args(more);
        command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap()
    };
    let (without_violation, injected) = (rehearse(&[]), rehearse(&["--inject-violation", "6"]));
    let output = without_violation.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    let mqtt = verdict(&output)["mqtt"].clone();
    let count = |key: &str| mqtt[key].as_u64().unwrap();
    assert!(
        count("messages") > 150 && count("answers") == count("messages"),
        "{mqtt}"
    );
    assert_eq!(
        (
            count("answered_twice"),
            count("unanswered"),
            count("effects_twice"),
            count("untrue")
        ),
        (0, 0, 0, 0)
    );
    let output = injected.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stdout));
    assert!(
        verdict(&output)["mqtt"]["effects_twice"].as_u64().unwrap() > 0,
        "{}",
        text(&output.stdout)
    );
}

#[test]
fn etcd_watch_losses_compactions_and_rollbacks_break_no_rule() {
    let output = run(&["rehearse", "--etcd", "--length", "8"]);
    let verdict = verdict(&output);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    assert!(
        broken_rules(&verdict).is_empty(),
        "{}",
        text(&output.stdout)
    );
    let roster = &verdict["roster"];
    assert_eq!(
        (&roster["stale_dispatches"], &roster["cold_fallen"]),
        (&0.into(), &0.into())
    );
    assert!(
        roster["drains"].as_u64().unwrap() > 0 && roster["worst_drain_s"].as_f64().unwrap() < 1.35,
        "{roster}"
    );
    assert!(roster["relists"].as_u64().unwrap() > 0, "{roster}");
    let injected = run(&[
        "rehearse",
        "--etcd",
        "--length",
        "8",
        "--inject-violation",
        "2",
    ]);
    assert_eq!(
        injected.status.code(),
        Some(1),
        "{}",
        text(&injected.stdout)
    );
}

#[test]
fn a_faulty_rollout_is_rolled_back_in_time_under_other_faults() {
    let scenario = r#"{ length: "14s", rate: 160, troubles: [
        { kind: "crash", at: "3s", for: "1s", size: 0.2 },
        { kind: "deploy", at: "5s", for: "4s", size: 0.5 },
        { kind: "killFrontEnds", at: "6s", for: "1s", size: 0.5 },
    ] }"#;
    let scenario = write_file("rollout-day.json5", scenario);
    let children: Vec<(&str, Child)> = ["fails", "other-bytes", "fine"]
        .into_iter()
        .map(|new_version| {
            let mut command = Command::new(PROGRAM);
            command.arg("rehearse").arg(&scenario).args([
                "--rollout",
                "--new-version",
                new_version,
            ]);
            (
                new_version,
                command
                    .stdout(Stdio::piped())
                    .stderr(Stdio::null())
                    .spawn()
                    .unwrap(),
            )
        })
        .collect();
    for (new_version, child) in children {
        let output = child.wait_with_output().unwrap();
        assert_eq!(
            output.status.code(),
            Some(0),
            "{new_version}: {}",
            text(&output.stdout)
        );
        let rollout = verdict(&output)["rollout"].clone();
        let count = |key: &str| rollout[key].as_u64().unwrap();
        assert_eq!(
            (count("effects_twice"), count("orders_over_ration")),
            (0, 0)
        );
        assert_eq!(
            count("digest_mismatches"),
            0,
            "only packages that match their digest may run"
        );
        match new_version {
            "fine" => assert!(count("ran_new") > 10, "{}", text(&output.stdout)),
            "other-bytes" => assert_eq!(count("ran_new"), 0),
            _ => {}
        }
        if new_version != "fine" {
            assert_eq!(rollout["state"], "taken back");
            assert!(rollout["back_in_s"].as_f64().unwrap() <= 5.0, "{rollout}");
        }
    }
}
