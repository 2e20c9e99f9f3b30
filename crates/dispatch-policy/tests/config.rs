//! Trigger types and customers' shares that change while a front end runs.

mod plain;

use orchidtally_dispatch_policy::interface::*;
use plain::warm::warm;
use plain::{Said, World, policy};

fn trigger_type(objective: f64) -> TriggerType {
    TriggerType {
        latency_objective: objective,
        ..policy().trigger_types[0].clone()
    }
}

#[test]
fn an_appended_trigger_type_is_served() {
    let (mut w, x) = warm(policy(), 4);
    assert!(!w.dispatcher.has_trigger_type(3));
    let non_idempotent = TriggerType {
        idempotency: Idempotency::NonIdempotent,
        ..trigger_type(1.0)
    };
    w.plain.policy.trigger_types.push(non_idempotent.clone());
    assert_eq!(
        w.dispatcher
            .set_trigger_type(w.plain.now, 3, non_idempotent),
        Ok(())
    );
    assert!(w.dispatcher.has_trigger_type(3));
    let inv = w.invoke(3, 1, 5.0);
    assert_eq!(w.plain.said.last(), Some(&Said::Dispatch(inv, x)));
    // It is what it was said to be: nothing that may have run is repeated.
    w.end(inv, 0, DispatchStatus::Error);
    assert_eq!(w.plain.said.last(), Some(&Said::Error(inv)));
}

#[test]
fn a_trigger_type_in_use_stays_until_its_last_invocation_is_over() {
    let (mut w, _) = warm(policy(), 4);
    let inv = w.invoke(0, 1, 5.0);
    let change = |w: &mut World| {
        w.dispatcher
            .set_trigger_type(w.plain.now, 0, policy().trigger_types[2].clone())
    };
    assert_eq!(change(&mut w), Err(ConfigError::InUse { index: 0 }));
    // What is withdrawn is cancelled, and in hand until that is confirmed.
    w.withdraw(inv);
    assert_eq!(change(&mut w), Err(ConfigError::InUse { index: 0 }));
    w.end(inv, 0, DispatchStatus::Cancelled);
    assert_eq!(change(&mut w), Ok(()));
    w.plain.policy.trigger_types[0] = policy().trigger_types[2].clone();
    let inv = w.invoke(0, 1, 5.0);
    w.end(inv, 0, DispatchStatus::Error);
    assert_eq!(
        w.plain.said.last(),
        Some(&Said::Error(inv)),
        "it is non-idempotent now"
    );
}

#[test]
fn a_trigger_type_out_of_order_or_without_times_is_refused_and_changes_nothing() {
    let mut w = World::new(policy(), 4);
    let now = w.plain.now;
    let mut set = |index, ty| w.dispatcher.set_trigger_type(now, index, ty);
    assert_eq!(
        set(5, trigger_type(1.0)),
        Err(ConfigError::OutOfOrder { index: 5, next: 3 })
    );
    for objective in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(
            set(3, trigger_type(objective)),
            Err(ConfigError::InvalidTime { index: 3 })
        );
    }
    let no_timeout = TriggerType {
        client_timeout: f64::NAN,
        ..trigger_type(1.0)
    };
    assert_eq!(
        set(0, no_timeout),
        Err(ConfigError::InvalidTime { index: 0 })
    );
    assert!(!w.dispatcher.has_trigger_type(3));
    let said = ConfigError::OutOfOrder { index: 5, next: 3 }.to_string();
    assert!(said.contains("the next one to append is 3"), "{said}");
}

/// How many of some invocations at one moment are past their customer's share; all are refused, as there is
/// no executor.
fn past_share(
    dispatcher: &mut orchidtally_dispatch_policy::dispatch::Dispatcher,
    now: f64,
    customer: usize,
) -> usize {
    #[derive(Default)]
    struct Throttled(usize);
    impl Actions for Throttled {
        fn dispatch(&mut self, _: u32, _: ExecutorId, _: f64) {}
        fn reject(&mut self, _: u32, _: f64, past_share: bool) {
            self.0 += usize::from(past_share);
        }
        fn fail(&mut self, _: u32) {}
        fn cancel(&mut self, _: u32, _: u8) {}
        fn load(&mut self, _: ExecutorId, _: u64, _: u8) {}
        fn query_replicas(&mut self, _: ExecutorId, _: u64) {}
        fn unload(&mut self, _: ExecutorId, _: u64) {}
        fn health_check(&mut self, _: ExecutorId) {}
        fn set_timer(&mut self, _: f64, _: u64) {}
        fn subscribe_to_endpoints(&mut self) {}
    }
    let mut throttled = Throttled::default();
    for id in 0..200 {
        let inv = Invocation {
            id,
            customer,
            ..plain::invocation(now + 0.01)
        };
        dispatcher.on_invocation(now, &inv, &mut throttled);
    }
    throttled.0
}

#[test]
fn a_kept_customer_keeps_what_it_saved_and_a_new_one_begins_with_all() {
    let quotas = |quotas: &[f64]| PolicyConfig {
        front_ends: 1.0,
        quotas: quotas.to_vec(),
        ..policy()
    };
    let mut w = World::new(quotas(&[9.0]), 0);
    // Two seconds of the share and five times its root: 18 + 15 may be saved up.
    assert_eq!(past_share(&mut w.dispatcher, 100.0, 0), 200 - 33);
    assert_eq!(past_share(&mut w.dispatcher, 101.0, 0), 200 - 9);
    // One second at the old rate counts before the change, and one at the new rate after it.
    assert_eq!(w.dispatcher.set_quotas(102.0, vec![25.0, 4.0]), Ok(()));
    assert_eq!(past_share(&mut w.dispatcher, 103.0, 0), 200 - 9 - 25);
    assert_eq!(past_share(&mut w.dispatcher, 103.0, 1), 200 - 18, "8 + 10");
    // What is saved is bounded by the new share: 75 were saved by then, 4 and a half are the most.
    assert_eq!(w.dispatcher.set_quotas(203.0, vec![0.5]), Ok(()));
    assert_eq!(past_share(&mut w.dispatcher, 203.0, 0), 200 - 4);
    // A customer without a share has no bound, and one that comes back begins anew.
    assert_eq!(past_share(&mut w.dispatcher, 203.0, 1), 0);
    assert_eq!(w.dispatcher.set_quotas(203.0, vec![0.5, 4.0]), Ok(()));
    assert_eq!(past_share(&mut w.dispatcher, 203.0, 1), 200 - 18);
}

#[test]
fn shares_that_are_no_rates_are_refused_and_change_nothing() {
    let mut w = World::new(
        PolicyConfig {
            front_ends: 1.0,
            quotas: vec![9.0],
            ..policy()
        },
        0,
    );
    for quota in [-1.0, f64::NAN, f64::INFINITY] {
        let set = w.dispatcher.set_quotas(100.0, vec![1.0, quota]);
        assert_eq!(set, Err(ConfigError::InvalidQuota { customer: 1 }));
    }
    assert_eq!(past_share(&mut w.dispatcher, 100.0, 0), 200 - 33);
}
