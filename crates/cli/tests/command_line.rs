//! The commands as a user runs them: exit codes, what they print, and whole rehearsals.

use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

/// Its last line as JSON.
fn verdict(output: &Output) -> serde_json::Value {
    let out = text(&output.stdout);
    let last = out
        .lines()
        .last()
        .unwrap_or_else(|| panic!("nothing printed: {}", text(&output.stderr)));
    serde_json::from_str(last).unwrap()
}

fn broken(verdict: &serde_json::Value) -> Vec<u64> {
    let rules = verdict["rules"].as_array().unwrap();
    assert_eq!(rules.len(), 5);
    rules
        .iter()
        .filter(|r| r["broken"] != 0)
        .map(|r| r["rule"].as_u64().unwrap())
        .collect()
}

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
fn a_front_end_ends_with_the_process_that_started_it() {
    let mut serving = Command::new(PROGRAM)
        .args(["serve", "--listen", "127.0.0.1:0", "--until-input-ends"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut first = String::new();
    // Nobody reads on after the first line, which must not end it.
    BufReader::new(serving.stdout.take().unwrap())
        .read_line(&mut first)
        .unwrap();
    assert!(first.starts_with("listening on"), "{first}");
    assert!(
        serving.try_wait().unwrap().is_none(),
        "it serves while the input is open"
    );
    drop(serving.stdin.take());
    assert!(serving.wait().unwrap().success());
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

#[test]
fn an_operator_plans_starts_pauses_and_takes_back_a_rollout() {
    let (old, new) = ("1".repeat(64), "2".repeat(64));
    let deployment = format!(
        "{{ frontEnds: {{ count: 4 }}, triggerTypes: [{{ name: 'look', effect: 'idempotent', objective: '1s', timeout: '3s' }}], \
         functions: [{{ name: 'mist', versions: [{{ digest: 'sha256:{old}' }}, {{ digest: 'sha256:{new}' }}], \
         aliases: {{ stable: 'sha256:{old}', next: 'sha256:{new}' }} }}], executors: {{ list: [{{ address: '127.0.0.1:7001' }}] }} }}"
    );
    let deployment = file("rolled.json5", &deployment);
    let state = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("rollout-state");
    let _ = std::fs::remove_dir_all(&state);
    let mut serving = Command::new(PROGRAM)
        .args([
            "rollout",
            "coordinate",
            "--listen",
            "127.0.0.1:0",
            "--until-input-ends",
            "--deployment",
        ])
        .arg(&deployment)
        .arg("--state")
        .arg(&state)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut first = String::new();
    BufReader::new(serving.stdout.take().unwrap())
        .read_line(&mut first)
        .unwrap();
    let at = first
        .trim()
        .strip_prefix("listening on http://")
        .unwrap()
        .to_owned();
    let rollout = |arguments: &[&str]| {
        let output = run(&[&["rollout"], arguments, &["--at", &at]].concat());
        (
            output.status.code(),
            text(&output.stdout),
            text(&output.stderr),
        )
    };
    let bad = file(
        "bad-plan.json5",
        "{ name: 'r', function: 'mist',\n  to: 'later', steps: [{ share: 2 }] }",
    );
    let (code, _, told) = rollout(&["start", bad.to_str().unwrap()]);
    assert_eq!(code, Some(2));
    assert!(
        told.contains("bad-plan.json5:2:7: to: 'later' is no alias or digest of 'mist'"),
        "{told}"
    );
    assert!(
        told.contains("bad-plan.json5:2:33: steps[0].share: 2 is out of range"),
        "{told}"
    );
    let plan = file(
        "plan.json5",
        "{ name: 'r', function: 'mist', to: 'next', loadsPerSecond: 0.5, steps: [{ share: 0.1 }, { share: 1 }] }",
    );
    let plan = plan.to_str().unwrap();
    let (code, steps, _) = rollout(&["start", plan, "--dry-run"]);
    assert!(
        code == Some(0) && steps.contains("of 0.8 that the ration grants"),
        "{steps}"
    );
    assert!(
        rollout(&["status", "r"]).0 == Some(1),
        "a dry run starts nothing"
    );
    assert_eq!(rollout(&["start", plan]).0, Some(0));
    assert_eq!(rollout(&["start", plan]).0, Some(1), "it is on already");
    assert_eq!(rollout(&["pause", "r"]).0, Some(0));
    let (_, status, _) = rollout(&["status", "r", "--output", "json"]);
    assert!(status.contains("\"phase\":\"paused\""), "{status}");
    assert_eq!(rollout(&["resume", "r"]).0, Some(0));
    assert_eq!(
        rollout(&["finish", "r"]).0,
        Some(1),
        "its last step is not on"
    );
    assert_eq!(rollout(&["back", "r", "--why", "it smells"]).0, Some(0));
    let (_, history, _) = rollout(&["history", "r"]);
    assert!(
        history.contains("it smells") && history.contains("hand"),
        "{history}"
    );
    drop(serving.stdin.take());
    assert!(serving.wait().unwrap().success());
    assert_eq!(rollout(&["status"]).0, Some(3), "nobody is there");
    // What it kept can be looked into, folded, and is found damaged where it is.
    let folder = state.to_str().unwrap();
    let shown = text(&run(&["journal", "show", folder]).stdout);
    assert!(
        shown.lines().count() > 3 && shown.contains("it smells"),
        "{shown}"
    );
    assert_eq!(run(&["journal", "compact", folder]).status.code(), Some(0));
    let checked = text(&run(&["journal", "check", folder]).stdout);
    assert!(
        checked.contains("whole: a snapshot of") && checked.contains("0 entries"),
        "{checked}"
    );
    std::fs::write(state.join("snapshot-1"), b"orchjrn2 nonsense").unwrap();
    assert_eq!(run(&["journal", "check", folder]).status.code(), Some(1));
    assert_eq!(
        run(&["journal", "check", "/nowhere/at/all"]).status.code(),
        Some(2)
    );
}

#[test]
fn bad_input_is_told_with_its_place_and_exit_code_2() {
    let day = file(
        "bad-day.json5",
        "{\n  length: '5s',\n  troubles: [{ kind: 'crsh', at: '1s', for: '1s' }],\n}",
    );
    let output = run(&["rehearse", day.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let told = text(&output.stderr);
    assert!(
        told.contains("bad-day.json5:3:22: troubles[0].kind: 'crsh' is none of 'crash'"),
        "{told}"
    );
    let deployment = file(
        "bad.json5",
        "{ triggerTypes: [], otherFunctions: { lanes: 1 }, executors: {} }",
    );
    for arguments in [
        ["check", deployment.to_str().unwrap(), ""],
        ["serve", "--deployment", deployment.to_str().unwrap()],
    ] {
        let arguments: Vec<&str> = arguments.into_iter().filter(|a| !a.is_empty()).collect();
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(
            text(&output.stderr).contains("bad.json5:1:"),
            "{}",
            text(&output.stderr)
        );
    }
    assert_eq!(
        run(&["check", "/nowhere/at/all.json5"]).status.code(),
        Some(2)
    );
    assert_eq!(
        run(&["rehearse", "--inject-violation", "6"]).status.code(),
        Some(2)
    );
    let example = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/deployments/harbour-cranes.json5"
    );
    assert_eq!(run(&["check", example]).status.code(), Some(0));
}

#[test]
fn a_day_of_the_bench_is_carried_over_as_far_as_it_goes() {
    let day = r#"{ "length": 5000000, "zones": ["a", "b"], "servers": [1, 2, 3, 4, 5, 6], "balancers": [1, 2],
        "traffic": { "load": 0.2 }, "classes": [],
        "troubles": [{ "kind": "crash", "at": 1000000, "len": 1000000, "size": 0.2 }, { "kind": "eclipse" }] }"#;
    let day = file("bench-day.json", day);
    let output = run(&["rehearse", "--bench-day", day.to_str().unwrap()]);
    let out = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{out}");
    assert!(
        out.contains("not carried over: the trouble 'eclipse'"),
        "{out}"
    );
    assert!(out.contains("crash"), "{out}");
    let other = file("no-day.json", "{}");
    assert_eq!(
        run(&["rehearse", "--bench-day", other.to_str().unwrap()])
            .status
            .code(),
        Some(2)
    );
}

#[test]
fn serve_without_arguments_answers_what_it_prints() {
    let mut command = Command::new(PROGRAM);
    command
        .args(["serve", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut serving = command.spawn().unwrap();
    let mut lines = BufReader::new(serving.stdout.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let first = lines.next().unwrap();
    let at = first
        .strip_prefix("listening on http://")
        .unwrap()
        .to_owned();
    let curl = lines.next().unwrap();
    assert!(
        curl.contains(&format!(
            "curl -d 'hello' http://{at}/v1/functions/upper/invocations"
        )),
        "{curl}"
    );
    let mut invoke = Command::new(PROGRAM)
        .args(["invoke", "upper", "--at", &at])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    invoke.stdin.take().unwrap().write_all(b"dawn").unwrap();
    let output = invoke.wait_with_output().unwrap();
    assert_eq!(
        (output.status.code(), text(&output.stdout).as_str()),
        (Some(0), "DAWN")
    );
    let unknown = run(&["invoke", "nothing", "--at", &at, "--data", ""]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(
        text(&unknown.stderr).contains("unknown function"),
        "{}",
        text(&unknown.stderr)
    );
    let told = Command::new("kill")
        .args(["-TERM", &serving.id().to_string()])
        .status()
        .unwrap();
    assert!(told.success());
    assert!(
        serving.wait().unwrap().success(),
        "it ends well when told to"
    );
    assert_eq!(
        run(&["invoke", "upper", "--at", &at, "--data", ""])
            .status
            .code(),
        Some(3)
    );
}
