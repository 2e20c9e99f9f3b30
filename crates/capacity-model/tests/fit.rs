//! Lines through points, rows against their limits, and tables.

use orchidtally_capacity_model::report::{Basis, Report, Role, Row, Verdict, merge};
use orchidtally_capacity_model::size::Size;
use orchidtally_capacity_model::slopes::fit::{Axes, at, line};
use orchidtally_capacity_model::tables;
use orchidtally_capacity_model::zipf::Popularity;

const AXES: Axes = Axes {
    figure: "cost",
    unit: "us",
    dimension: "executors",
};

#[test]
fn a_line_is_found_with_its_error() {
    let exact = line(AXES, &[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0), (8.0, 17.0)]).unwrap();
    assert!((exact.slope - 2.0).abs() < 1e-9 && (exact.intercept - 1.0).abs() < 1e-9);
    assert!(exact.slope_error < 1e-9 && exact.residual_error < 1e-9);
    // By hand: deviations of 1, -1, -1, 1 round a flat line; s = sqrt(4 / 2), Sxx = 5.
    let flat = line(AXES, &[(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)]).unwrap();
    assert!(flat.slope.abs() < 1e-9);
    assert!((flat.residual_error - 2f64.sqrt()).abs() < 1e-9);
    assert!((flat.slope_error - (2.0f64 / 5.0).sqrt()).abs() < 1e-9);
}

#[test]
fn no_line_without_enough_points_and_none_beyond_ten_fold() {
    assert!(line(AXES, &[(1.0, 1.0), (2.0, 2.0)]).is_none());
    assert!(line(AXES, &[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]).is_none());
    let fit = line(AXES, &[(1.0, 1.0), (2.0, 2.0), (10.0, 10.0)]).unwrap();
    assert!((at(&fit, 100.0).unwrap() - 100.0).abs() < 1e-9);
    assert_eq!(at(&fit, 100.1), None);
}

#[test]
fn rows_are_held_by_their_limits() {
    let cost = || Row::at_most("cost", Role::FrontEnd, "us", 2.0, "a test");
    assert!(!cost().is_met && cost().measured.is_none());
    let held = cost().with(2.0, Basis::Measured);
    assert!(held.is_met && held.factor == Some(1.0));
    let missed = cost().with(3.0, Basis::Extrapolated);
    assert!(!missed.is_met && missed.factor == Some(1.5));
    assert!(cost().with(f64::NAN, Basis::Measured).measured.is_none());
    let served = || Row::at_least("served", Role::Region, "share", 0.9, "a test");
    assert!(served().with(0.95, Basis::Measured).is_met);
    let cut = served().with(0.45, Basis::Measured);
    assert!(!cut.is_met && cut.factor == Some(2.0));
    // A limit of none at all is kept by none.
    let none = || Row::at_most("faults", Role::Fleet, "faults", 0.0, "a test");
    assert!(none().with(0.0, Basis::Measured).is_met && !none().with(1.0, Basis::Measured).is_met);
}

#[test]
fn the_verdict_is_missed_with_any_row_missed_or_none_at_all() {
    let held = Row::at_most("a", Role::Fleet, "s", 1.0, "").with(0.5, Basis::Measured);
    let missed = Row::at_most("b", Role::Fleet, "s", 1.0, "");
    let verdict = |rows: Vec<Row>| Report::new(Size::default(), 1, None, rows, vec![]).verdict;
    assert_eq!(verdict(vec![held.clone()]), Verdict::Met);
    assert_eq!(verdict(vec![held.clone(), missed.clone()]), Verdict::Missed);
    assert_eq!(verdict(vec![]), Verdict::Missed);
    let mut rows = vec![missed];
    let better = Row::at_most("b", Role::Fleet, "s", 1.0, "").with(0.1, Basis::Measured);
    merge(&mut rows, vec![better.clone(), held.clone()]);
    assert_eq!(rows, vec![better, held]);
}

#[test]
fn half_of_the_functions_are_called_about_once_a_minute() {
    let popularity = Popularity::new(21_000);
    let total: f64 = (0..21_000).map(|rank| popularity.share(rank)).sum();
    assert!((total - 1.0).abs() < 1e-9);
    let median = popularity.share(10_500) * 100_000.0 * 60.0;
    assert!((0.5..1.5).contains(&median), "{median} calls a minute");
    let often = popularity.called_at_least(popularity.share(99));
    assert!((99..=101).contains(&often), "{often}");
}

#[test]
fn tables_go_between_their_marks_and_nowhere_else() {
    let file = std::env::temp_dir().join(format!(
        "orchidtally-scale-tables-{}.md",
        std::process::id()
    ));
    let row =
        Row::at_most("cost", Role::FrontEnd, "us", 550.0, "a test").with(44.83, Basis::Measured);
    let slope = line(AXES, &[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]).unwrap();
    let report = Report::new(Size::default(), 1, None, vec![row], vec![slope]);
    std::fs::write(
        &file,
        "# A page\n<!-- scale:rows -->\nold\n<!-- /scale:rows -->\n",
    )
    .unwrap();
    let why = tables::write(&file, &report).unwrap_err().to_string();
    assert!(why.contains("scale:slopes"), "{why}");
    let page = "# A page\n<!-- scale:rows -->\nold\n<!-- /scale:rows -->\ntext\n<!-- scale:slopes -->\n<!-- /scale:slopes -->\nend\n";
    std::fs::write(&file, page).unwrap();
    tables::write(&file, &report).unwrap();
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(text.starts_with("# A page\n") && text.ends_with("\nend\n") && !text.contains("old"));
    assert!(
        text.contains("| `cost` | front end | 44.8 | ≤ 550 | us | held | 0.0815 | measured |"),
        "{text}"
    );
    assert_eq!(
        tables::between(&text, tables::ROWS),
        Some(tables::rows(&report.rows).as_str())
    );
    assert_eq!(
        tables::between(&text, tables::SLOPES),
        Some(tables::slopes(&report.slopes).as_str())
    );
}
