//! Whole rehearsals: scenarios that keep the rules, and injected violations that are found.

use crate::support::{PROGRAM, broken, file, run, text, verdict};
use std::process::{Child, Command, Stdio};

#[test]
fn bad_days_of_some_seeds_keep_all_rules() {
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
        assert!(broken(&verdict).is_empty());
        assert!(
            verdict["invocations"].as_u64().unwrap() > 1_500,
            "{verdict}"
        );
        for rule in verdict["rules"].as_array().unwrap() {
            assert!(
                rule["checked"].as_u64().unwrap() > 50,
                "seed {seed} hardly tried rule {rule}"
            );
        }
        let overdue = text(&output.stdout).contains("in the module's place");
        assert!(!overdue, "{}", text(&output.stdout));
    }
}

#[test]
fn front_ends_whose_clocks_differ_by_a_second_push_no_cold_executor_over() {
    let day = r#"{ length: "7s", clockSkew: "1s", clockStep: "60s", rate: 150, troubles: [
        { kind: "crash", at: "1s", for: "1s", size: 0.3 },
        { kind: "deploy", at: "3s", for: "3s", size: 0.5 },
        { kind: "loseLocation", at: "5s", for: "1s" },
    ] }"#;
    let day = file("clocks.json5", day);
    let output = run(&["rehearse", day.to_str().unwrap(), "--front-end-log", "warn"]);
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
        "one front end's clock was stepped, and it says so once"
    );
}

#[test]
fn clients_of_front_ends_killed_at_the_peak_are_served_by_the_others() {
    let day = r#"{ length: "5s", rate: 300, troubles: [{ kind: "killFrontEnds", at: "1500ms", for: "2s", size: 0.5 }] }"#;
    let day = file("killed.json5", day);
    let output = run(&["rehearse", day.to_str().unwrap()]);
    let verdict = verdict(&output);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    let of = |key: &str| verdict[key].as_u64().unwrap();
    assert!(
        of("succeeded") as f64 > 0.95 * of("invocations") as f64,
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
        "none was out at the kill: {lost}"
    );
}

#[test]
fn each_planted_breach_is_found_and_named() {
    let day =
        r#"{ length: "4s", frontEnds: 2, executors: 6, locations: 2, rate: 60, functions: 10 }"#;
    let day = file("planted.json5", day);
    let children: Vec<(u64, Child)> = (1..=5)
        .map(|rule| {
            let mut command = Command::new(PROGRAM);
            command
                .arg("rehearse")
                .arg(&day)
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
        assert_eq!(broken(&verdict), [rule], "{}", text(&output.stdout));
    }
}

#[test]
fn messages_have_one_answer_and_one_effect_though_half_of_the_front_ends_are_killed() {
    let day = r#"{ length: "8s", rate: 200, frontEnds: 6, executors: 6, troubles: [
        { kind: "killFrontEnds", at: "2s", for: "2s", size: 0.46 },
        { kind: "deploy", at: "3s", for: "2s", size: 0.5 },
        { kind: "killFrontEnds", at: "5s", for: "1s", size: 1 },
    ] }"#;
    let day = file("messages.json5", day);
    let play = |more: &[&str]| {
        let mut command = Command::new(PROGRAM);
        command.arg("rehearse").arg(&day).arg("--mqtt").args(more);
        command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap()
    };
    let (well, planted) = (play(&[]), play(&["--inject-violation", "6"]));
    let output = well.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    let mqtt = verdict(&output)["mqtt"].clone();
    let of = |key: &str| mqtt[key].as_u64().unwrap();
    assert!(
        of("messages") > 150 && of("answers") == of("messages"),
        "{mqtt}"
    );
    assert_eq!(
        (
            of("answered_twice"),
            of("unanswered"),
            of("effects_twice"),
            of("untrue")
        ),
        (0, 0, 0, 0)
    );
    let output = planted.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stdout));
    assert!(
        verdict(&output)["mqtt"]["effects_twice"].as_u64().unwrap() > 0,
        "{}",
        text(&output.stdout)
    );
}

#[test]
fn a_roster_from_etcd_that_is_torn_compacted_and_set_back_keeps_all_rules() {
    let output = run(&["rehearse", "--etcd", "--length", "8"]);
    let verdict = verdict(&output);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    assert!(broken(&verdict).is_empty(), "{}", text(&output.stdout));
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
    let planted = run(&[
        "rehearse",
        "--etcd",
        "--length",
        "8",
        "--inject-violation",
        "2",
    ]);
    assert_eq!(planted.status.code(), Some(1), "{}", text(&planted.stdout));
}

#[test]
fn a_rollout_that_goes_wrong_under_a_bad_day_is_taken_back_in_time() {
    let day = r#"{ length: "14s", rate: 160, troubles: [
        { kind: "crash", at: "3s", for: "1s", size: 0.2 },
        { kind: "deploy", at: "5s", for: "4s", size: 0.5 },
        { kind: "killFrontEnds", at: "6s", for: "1s", size: 0.5 },
    ] }"#;
    let day = file("rollout-day.json5", day);
    let children: Vec<(&str, Child)> = ["fails", "other-bytes", "fine"]
        .into_iter()
        .map(|new| {
            let mut command = Command::new(PROGRAM);
            command
                .arg("rehearse")
                .arg(&day)
                .args(["--rollout", "--new-version", new]);
            (
                new,
                command
                    .stdout(Stdio::piped())
                    .stderr(Stdio::null())
                    .spawn()
                    .unwrap(),
            )
        })
        .collect();
    for (new, child) in children {
        let output = child.wait_with_output().unwrap();
        assert_eq!(
            output.status.code(),
            Some(0),
            "{new}: {}",
            text(&output.stdout)
        );
        let rollout = verdict(&output)["rollout"].clone();
        let number = |key: &str| rollout[key].as_u64().unwrap();
        assert_eq!(
            (number("effects_twice"), number("orders_over_ration")),
            (0, 0)
        );
        assert_eq!(
            number("digest_mismatches"),
            0,
            "bytes that a digest doesn't name never run"
        );
        match new {
            "fine" => assert!(number("ran_new") > 10, "{}", text(&output.stdout)),
            "other-bytes" => assert_eq!(number("ran_new"), 0),
            _ => {}
        }
        if new != "fine" {
            assert_eq!(rollout["state"], "taken back");
            assert!(rollout["back_in_s"].as_f64().unwrap() <= 5.0, "{rollout}");
        }
    }
}
