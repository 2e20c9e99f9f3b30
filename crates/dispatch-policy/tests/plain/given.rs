//! What tests start from.

use orchidtally_dispatch_policy::interface::*;

pub fn id(x: usize) -> ExecutorId {
    ExecutorId([10, 0, 0, x as u8].into(), 7000)
}

pub fn number(to: ExecutorId) -> usize {
    match to.0 {
        std::net::IpAddr::V4(a) => usize::from(a.octets()[3]),
        std::net::IpAddr::V6(a) => panic!("no executor {a}"),
    }
}

/// One that has stood for long.
pub fn row(x: usize) -> RosterRow {
    RosterRow {
        executor: id(x),
        zone: 0,
        kind: 0,
        cell: 0,
        standing: Standing::Ready,
        weight: 1.0,
        since: f64::NEG_INFINITY,
    }
}

/// An idempotent one.
pub fn invocation(timeout_at: f64) -> Invocation {
    Invocation {
        id: 0,
        trigger_type: 0,
        customer: 0,
        function: 0,
        repeat: false,
        moved: false,
        timeout_at,
        work: None,
        lanes: 2.0,
        load_time: Some(1.0),
    }
}

pub fn succeeded() -> Outcome<'static> {
    Outcome {
        inv: 0,
        dispatch: 0,
        executor: id(0),
        ending: Ending::Ok,
        took: 0.25,
        closed: true,
        found: Found::Untold,
        crowd: 0,
        report: &[],
    }
}

pub fn policy() -> PolicyConfig {
    let ty = |effect, group| TriggerType {
        objective: 1.0,
        stretch: 0.0,
        timeout: 5.0,
        billed_value: 1.0,
        late_share: 0.2,
        effect,
        group,
        window: 2.0,
    };
    PolicyConfig {
        trigger_types: vec![
            ty(Effect::Idempotent, Group::All),
            ty(Effect::Tokened, Group::Cell),
            ty(Effect::NonIdempotent, Group::All),
        ],
        quotas: vec![],
        over_share_value: 0.1,
        value_by_work: false,
        front_ends: 3.0,
        index: 0.0,
        zone: 0,
        crossing: 0.02,
        regions: vec![],
        tick: 0.002,
        max_dispatches: 4,
        second_copies: false,
        cancel: true,
        max_retry_after: 1.0,
        roster_asked: false,
        cold: 10.0,
        cold_from: 0.2,
        overload_factor: 2.0,
        fall: 1.0,
        drain_grace: 1.0,
        skew: 0.0,
        orders: true,
        order_price: 0.0,
        answers_miss: false,
        tells_crowd: false,
        keep_alive: 8.0,
        ration_floor: 2.0,
        ration_share: 0.2,
        ration_window: 5.0,
        backlog_field: None,
        loads_field: None,
    }
}
