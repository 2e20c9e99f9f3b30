//! Each rule as a pass of its own over the records.

use crate::*;
use std::collections::{HashMap, HashSet};

/// What was checked of a rule, and the breaches found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rule {
    pub rule: u8,
    pub checked: u64,
    pub broken: u64,
    /// The first breaches, told in words.
    #[serde(skip)]
    pub breaches: Vec<String>,
}

impl Rule {
    fn new(rule: u8) -> Rule {
        Rule { rule, ..Rule::default() }
    }

    fn check(&mut self, kept: bool, breach: impl FnOnce() -> String) {
        self.checked += 1;
        if !kept {
            self.broken += 1;
            if self.breaches.len() < 8 {
                self.breaches.push(breach());
            }
        }
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    pub invocations: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub rules: Vec<Rule>,
    /// What happened to invocations whose front end was killed or whose client left, which nobody is owed.
    #[serde(skip)]
    pub lost: u64,
    #[serde(skip)]
    pub left: u64,
}

impl Verdict {
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|r| r.broken == 0)
    }
}

/// Judges a day from its records, in whatever order they were noted.
pub fn judge(limits: &Limits, fleet: &[Executor], records: &[Record]) -> Verdict {
    let mut records: Vec<&Record> = records.iter().collect();
    records.sort_by(|a, b| a.at().total_cmp(&b.at()));
    let mut verdict = Verdict::default();
    let answers = final_answers(&records, &mut verdict);
    verdict.rules = vec![
        answers,
        effects(limits, fleet, &records),
        drains(limits, &records),
        cold(limits, &records),
        orders(limits, &records),
    ];
    verdict
}

/// Rule 1: one final answer each, before the client gives up. What a killed front end held is owed nothing.
fn final_answers(records: &[&Record], verdict: &mut Verdict) -> Rule {
    let mut rule = Rule::new(1);
    let mut ends: HashMap<&str, Vec<&Record>> = HashMap::new();
    let mut killed: HashMap<u32, Vec<f64>> = HashMap::new();
    for &r in records {
        match r {
            Record::Answered { invocation, .. }
            | Record::Lost { invocation, .. }
            | Record::Left { invocation, .. }
            | Record::GaveUp { invocation, .. } => ends.entry(invocation).or_default().push(r),
            Record::Killed { at, front_end } => killed.entry(*front_end).or_default().push(*at),
            _ => {}
        }
    }
    for &r in records {
        let Record::Offered { at, invocation, front_end, until, .. } = r else { continue };
        verdict.invocations += 1;
        let ends = ends.get(invocation.as_str()).map(Vec::as_slice).unwrap_or_default();
        let died =
            |by: f64| killed.get(front_end).is_some_and(|k| k.iter().any(|&t| (at - 1.0..=by).contains(&t)));
        match ends {
            [Record::Answered { at: answered, answer, .. }] => {
                match answer {
                    Answer::Succeeded => verdict.succeeded += 1,
                    Answer::Throttled => verdict.throttled += 1,
                    Answer::Errored => verdict.errored += 1,
                    Answer::NotTaken => {}
                }
                rule.check(answered <= until, || {
                    format!("{invocation} was answered {:.3} s after its client gave up", answered - until)
                });
            }
            [Record::Left { .. }] => verdict.left += 1,
            [Record::Lost { at: lost, .. } | Record::GaveUp { at: lost, .. }] if died(*lost) => {
                verdict.lost += 1
            }
            [Record::Lost { at: lost, .. }] => rule.check(false, || {
                format!("{invocation}: the connection broke at {lost:.3} without an answer")
            }),
            [Record::GaveUp { .. }] | [] => {
                rule.check(false, || format!("{invocation} had no answer by {until:.3}"));
            }
            many => rule.check(false, || format!("{invocation} had {} final answers", many.len())),
        }
    }
    rule
}

struct Dispatched {
    at: f64,
    executor: usize,
    number: u32,
    ended: Option<(f64, Ending)>,
    ran: bool,
}

type Deaf = HashMap<usize, Vec<(f64, f64)>>;

/// When executors read nothing from their sockets.
fn deaf(records: &[&Record]) -> Deaf {
    let mut deaf = Deaf::new();
    for r in records {
        if let Record::Deaf { at, executor, until } = r {
            deaf.entry(*executor).or_default().push((*at, *until));
        }
    }
    deaf
}

/// Whether what an executor records at a moment may have waited in its sockets until then.
fn is_deaf(deaf: &Deaf, executor: usize, at: f64, transit: f64) -> bool {
    let spans = deaf.get(&executor).map(Vec::as_slice).unwrap_or_default();
    spans.iter().any(|(from, to)| *from <= at && at <= to + transit)
}

/// Rule 2: no effect twice, and what tells a client that asking again is harmless is true.
fn effects(limits: &Limits, fleet: &[Executor], records: &[&Record]) -> Rule {
    let mut rule = Rule::new(2);
    let mut dispatches: HashMap<&str, Vec<Dispatched>> = HashMap::new();
    let mut types: HashMap<&str, &TriggerType> = HashMap::new();
    let mut order = vec![];
    let deaf = deaf(records);
    // Effects of each token, and where and when its first dispatch was out.
    let mut tokens: HashMap<&str, Vec<(f64, usize)>> = HashMap::new();
    let mut token_of: HashMap<&str, &str> = HashMap::new();
    for &r in records {
        match r {
            Record::Reached { at, executor, invocation, number, token, trigger_type, .. } => {
                if let Some(ty) = limits.trigger_types.iter().find(|t| t.name == *trigger_type) {
                    types.insert(invocation, ty);
                }
                if !token.is_empty() {
                    token_of.insert(invocation, token);
                }
                let d = Dispatched { at: *at, executor: *executor, number: *number, ended: None, ran: false };
                dispatches.entry(invocation).or_insert_with(|| {
                    order.push(invocation.as_str());
                    vec![]
                });
                dispatches.entry(invocation).or_default().push(d);
            }
            Record::Ran { at, executor, invocation } => {
                let of = dispatches.entry(invocation).or_default();
                if let Some(d) = of.iter_mut().rfind(|d| d.executor == *executor) {
                    d.ran = true;
                }
                if let Some(token) = token_of.get(invocation.as_str()) {
                    tokens.entry(token).or_default().push((*at, *executor));
                }
            }
            Record::Ended { at, executor, invocation, number, ending } => {
                let of = dispatches.entry(invocation).or_default();
                let same =
                    |d: &&mut Dispatched| d.executor == *executor && d.number == *number && d.ended.is_none();
                if let Some(d) = of.iter_mut().find(same) {
                    d.ended = Some((*at, *ending));
                }
            }
            _ => {}
        }
    }
    let same_group = |group: Group, a: usize, b: usize| match group {
        Group::All => true,
        Group::Location => fleet[a].location == fleet[b].location,
        Group::Cell => fleet[a].cell == fleet[b].cell,
    };
    let refused = |d: &Dispatched| matches!(d.ended, Some((_, Ending::Refused))) && !d.ran;
    for invocation in &order {
        let (of, Some(ty)) = (&dispatches[invocation], types.get(invocation)) else { continue };
        let first = of.iter().find(|d| !refused(d));
        for (n, d) in of.iter().enumerate() {
            let earlier = &of[..n];
            let may_have_run = earlier.iter().find(|e| !refused(e));
            let kept = match (ty.effect, may_have_run) {
                (Effect::Idempotent, _) | (_, None) => true,
                (Effect::NonIdempotent, Some(_)) => false,
                (Effect::Tokened, Some(e)) => {
                    same_group(ty.group, e.executor, d.executor) && d.at <= e.at + ty.window + limits.transit
                }
            };
            rule.check(kept, || {
                format!(
                    "{invocation}: dispatch {} at executor {} after one that may have run",
                    d.number, d.executor
                )
            });
            // What was abandoned is seen to end a little later than it was.
            let out = |e: &&Dispatched| {
                let until = e.ended.map_or(f64::INFINITY, |e| e.0);
                let heard = !is_deaf(&deaf, e.executor, d.at, limits.transit);
                e.executor != d.executor && until > d.at + limits.transit && heard
            };
            // Nor is it known when that was sent which an executor reads once it is deaf no more.
            let late = is_deaf(&deaf, d.executor, d.at, limits.transit);
            let both = !late && earlier.iter().any(|e| out(&e));
            rule.check(limits.second_copies || !both, || {
                format!("{invocation}: two dispatches out at {:.3}", d.at)
            });
        }
        let runs = of.iter().filter(|d| d.ran).count();
        if ty.effect == Effect::NonIdempotent && first.is_some() {
            rule.check(runs <= 1, || format!("{invocation} ran {runs} times"));
        }
    }
    for (token, effects) in tokens {
        let invocation = token_of.iter().find(|t| *t.1 == token).map(|t| *t.0);
        let Some(ty) = invocation.and_then(|i| types.get(i)) else { continue };
        if ty.effect != Effect::Tokened {
            continue;
        }
        for (n, later) in effects.iter().enumerate() {
            let twice = effects[..n]
                .iter()
                .any(|e| same_group(ty.group, e.1, later.1) && later.0 < e.0 + ty.window - limits.transit);
            rule.check(!twice, || format!("token {token} had its effect twice within one group"));
        }
    }
    for &r in records {
        let Record::Answered { at, invocation, answer: Answer::Throttled } = r else { continue };
        let Some(ty) = types.get(invocation.as_str()) else { continue };
        if ty.effect == Effect::Idempotent || ty.effect == Effect::Tokened && ty.group == Group::All {
            continue;
        }
        let ran = dispatches[invocation.as_str()].iter().any(|d| !refused(d));
        rule.check(!ran, || format!("{invocation} was throttled at {at:.3} and may have run"));
    }
    rule
}

/// Rule 3: nothing new to an executor told draining or gone, past the grace.
fn drains(limits: &Limits, records: &[&Record]) -> Rule {
    let mut rule = Rule::new(3);
    let mut told: HashMap<(u64, usize), (f64, Standing)> = HashMap::new();
    for &r in records {
        let (at, executor, life, what) = match r {
            Record::Told { at, life, executor, standing, .. } => {
                let key = (*life, *executor);
                let before = told.get(&key).map(|t| t.1 == Standing::Ready);
                // Told again what it knew, a front end has no new grace.
                if *standing == Standing::Ready || before != Some(false) {
                    told.insert(key, (*at, *standing));
                }
                continue;
            }
            Record::Reached { at, executor, life, invocation, .. } => {
                (*at, *executor, *life, invocation.as_str())
            }
            Record::Ordered { at, executor, life, copies, .. } if *copies > 0 => {
                (*at, *executor, *life, "an order")
            }
            _ => continue,
        };
        if let Some((since, standing)) = told.get(&(life, executor)) {
            let kept = *standing == Standing::Ready || at <= since + limits.drain_grace + limits.transit;
            rule.check(kept, || {
                format!(
                    "{what} came to executor {executor} {:.3} s after it was told {standing:?}",
                    at - since
                )
            });
        }
    }
    rule
}

/// Rule 4: a cold executor is never pushed over by those who were told that it is cold.
fn cold(limits: &Limits, records: &[&Record]) -> Rule {
    let mut rule = Rule::new(4);
    let mut told: HashMap<(u64, usize), f64> = HashMap::new();
    let mut reached: HashMap<usize, Vec<(f64, u64, bool)>> = HashMap::new();
    for &r in records {
        match r {
            Record::Told { life, executor, since, .. } => {
                told.insert((*life, *executor), *since);
            }
            Record::Reached { at, executor, life, .. } => {
                let knew = told.get(&(*life, *executor)).copied().unwrap_or(f64::NEG_INFINITY);
                let since = reached.entry(*executor).or_default();
                since.push((*at, *life, knew.is_finite()));
                // Each dispatch to an executor whose start was told is one that the rule looks at.
                if knew.is_finite() {
                    rule.checked += 1;
                }
            }
            Record::Fell { at, executor, since } => {
                let work = reached.get(executor).map(Vec::as_slice).unwrap_or_default();
                let lately: Vec<_> =
                    work.iter().filter(|w| w.0 >= at - limits.fall && w.0 >= *since).collect();
                let knew = |w: &&&(f64, u64, bool)| {
                    told.get(&(w.1, *executor)).is_some_and(|t| *t >= since - limits.transit)
                };
                let by_told = lately.iter().filter(|w| knew(w)).count();
                let kept = 3 * by_told < 2 * lately.len();
                rule.check(kept, || {
                    format!(
                        "executor {executor} was pushed over at {at:.3}, {by_told} of {} by those told",
                        lately.len()
                    )
                });
            }
            _ => {}
        }
    }
    rule
}

/// Messages that became invocations: where, and between which moments. When a front end took one is not seen from
/// outside, only when it was published and when its first dispatch in a life came to an executor; of one that was never
/// dispatched not even where.
fn offered_by_messages(records: &[&Record], of_life: &HashMap<u64, u32>) -> Vec<(Option<u32>, f64, f64)> {
    let mut published: HashMap<&str, f64> = HashMap::new();
    let mut reached: HashMap<(&str, u64), (u32, f64)> = HashMap::new();
    let mut dispatched: HashSet<&str> = HashSet::new();
    let mut heard: HashMap<&str, f64> = HashMap::new();
    for r in records {
        match r {
            Record::Published { at, invocation, .. } => {
                published.insert(invocation, *at);
            }
            Record::Reached { at, front_end, life, invocation, .. } => {
                dispatched.insert(invocation);
                reached.entry((invocation, *life)).or_insert((*of_life.get(life).unwrap_or(front_end), *at));
            }
            Record::Heard { at, invocation, .. } => {
                heard.entry(invocation).or_insert(*at);
            }
            _ => {}
        }
    }
    let sent = reached.iter().filter_map(|((invocation, _), (front_end, at))| {
        Some((Some(*front_end), *published.get(invocation)?, *at))
    });
    let unsent = heard.iter().filter(|(invocation, _)| !dispatched.contains(*invocation));
    let unsent = unsent.filter_map(|(invocation, at)| Some((None, *published.get(invocation)?, *at)));
    sent.chain(unsent).collect()
}

/// Rule 5: orders to load stay within the ration.
fn orders(limits: &Limits, records: &[&Record]) -> Rule {
    let mut rule = Rule::new(5);
    if limits.ration_window <= 0.0 {
        return rule;
    }
    let mut taken: HashMap<u32, Vec<f64>> = HashMap::new();
    // Front ends may name themselves by a number that changes; their lives don't.
    let mut of_life: HashMap<u64, u32> = HashMap::new();
    for r in records {
        if let Record::Told { life, front_end, .. } = r {
            of_life.insert(*life, *front_end);
        }
    }
    let mut ordered: HashMap<u64, Vec<f64>> = HashMap::new();
    let deaf = deaf(records);
    let messages = offered_by_messages(records, &of_life);
    for &r in records {
        match r {
            Record::Offered { at, front_end, .. } => taken.entry(*front_end).or_default().push(*at),
            // When an order was given that a deaf executor read late is not known.
            Record::Ordered { at, executor, .. } if is_deaf(&deaf, *executor, *at, limits.transit) => {}
            Record::Ordered { at, front_end, life, copies, .. } if *copies > 0 => {
                let mine = ordered.entry(*life).or_default();
                mine.push(*at);
                // Orders may have come closer together on their way, and invocations be counted late.
                let from = at - limits.ration_window;
                let orders = mine.iter().filter(|&&t| t > from + limits.transit).count() as f64;
                let front_end = of_life.get(life).unwrap_or(front_end);
                let offers = taken.get(front_end).map(Vec::as_slice).unwrap_or_default();
                let offers = offers.iter().filter(|&&t| t > from - limits.transit).count();
                let mine = |m: &&(Option<u32>, f64, f64)| m.0.is_none_or(|f| f == *front_end);
                let lately = |m: &&(Option<u32>, f64, f64)| m.2 > from - limits.transit && m.1 <= *at;
                let offers = (offers + messages.iter().filter(mine).filter(lately).count()) as f64;
                let most = limits.ration_floor + limits.ration_share * offers;
                rule.check(orders <= most, || {
                    format!("front end {front_end} gave {orders} orders by {at:.3}, {most:.1} granted")
                });
            }
            _ => {}
        }
    }
    rule
}
