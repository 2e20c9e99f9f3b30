//! Changes of trigger types and customers' quotas while a front end runs.

mod reference_model;

use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use reference_model::{Harness, RecordedAction, policy, warm_harness};

fn trigger_type(objective: f64) -> TriggerType {
    TriggerType {
        latency_objective: objective,
        ..policy().trigger_types[0].clone()
    }
}

#[test]
fn an_appended_trigger_type_is_served() {
    let (mut harness, executor) = warm_harness(policy(), 4);
    assert!(!harness.dispatcher.has_trigger_type(3));
    let non_idempotent = TriggerType {
        idempotency: Idempotency::NonIdempotent,
        ..trigger_type(1.0)
    };
    harness
        .model
        .policy
        .trigger_types
        .push(non_idempotent.clone());
    assert_eq!(
        harness
            .dispatcher
            .set_trigger_type(harness.model.now, 3, non_idempotent),
        Ok(())
    );
    assert!(harness.dispatcher.has_trigger_type(3));
    let invocation = harness.invoke(3, 1, 5.0);
    assert_eq!(
        harness.model.actions.last(),
        Some(&RecordedAction::Dispatch(invocation, executor))
    );
    // The type is non-idempotent: an invocation that may have run is not retried.
    harness.finish(invocation, 0, DispatchStatus::Error);
    assert_eq!(
        harness.model.actions.last(),
        Some(&RecordedAction::Fail(invocation))
    );
}

#[test]
fn trigger_type_in_use_cannot_be_replaced() {
    let (mut harness, _) = warm_harness(policy(), 4);
    let invocation = harness.invoke(0, 1, 5.0);
    let change = |harness: &mut Harness| {
        harness
            .dispatcher
            .set_trigger_type(harness.model.now, 0, policy().trigger_types[2].clone())
    };
    assert_eq!(change(&mut harness), Err(ConfigError::InUse { index: 0 }));
    // A cancelled invocation stays open until the executor confirms the cancellation.
    harness.cancel(invocation);
    assert_eq!(change(&mut harness), Err(ConfigError::InUse { index: 0 }));
    harness.finish(invocation, 0, DispatchStatus::Cancelled);
    assert_eq!(change(&mut harness), Ok(()));
    harness.model.policy.trigger_types[0] = policy().trigger_types[2].clone();
    let invocation = harness.invoke(0, 1, 5.0);
    harness.finish(invocation, 0, DispatchStatus::Error);
    assert_eq!(
        harness.model.actions.last(),
        Some(&RecordedAction::Fail(invocation)),
        "the trigger type is non-idempotent now"
    );
}

#[test]
fn invalid_trigger_type_is_rejected_and_changes_nothing() {
    let mut harness = Harness::new(policy(), 4);
    let now = harness.model.now;
    let mut set = |index, trigger_type| {
        harness
            .dispatcher
            .set_trigger_type(now, index, trigger_type)
    };
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
    assert!(!harness.dispatcher.has_trigger_type(3));
    let text = ConfigError::OutOfOrder { index: 5, next: 3 }.to_string();
    assert!(text.contains("the next one to append is 3"), "{text}");
}

/// Returns how many of 200 simultaneous invocations exceed their customer's quota. All are rejected because there is no
/// executor.
fn count_over_quota(dispatcher: &mut Dispatcher, now: f64, customer: usize) -> usize {
    #[derive(Default)]
    struct OverQuotaCount(usize);
    impl Actions for OverQuotaCount {
        fn dispatch(&mut self, _: u32, _: ExecutorId, _: f64) {}
        fn reject(&mut self, _: u32, _: f64, over_quota: bool) {
            self.0 += usize::from(over_quota);
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
    let mut count = OverQuotaCount::default();
    for id in 0..200 {
        let invocation = Invocation {
            id,
            customer,
            ..reference_model::invocation(now + 0.01)
        };
        dispatcher.on_invocation(now, &invocation, &mut count);
    }
    count.0
}

#[test]
fn quota_change_keeps_accumulated_tokens_and_new_customers_start_full() {
    let quotas = |quotas: &[f64]| PolicyConfig {
        front_ends: 1.0,
        quotas: quotas.to_vec(),
        ..policy()
    };
    let mut harness = Harness::new(quotas(&[9.0]), 0);
    // The bucket holds two seconds of the quota plus five times its square root: 18 + 15 tokens.
    assert_eq!(
        count_over_quota(&mut harness.dispatcher, 100.0, 0),
        200 - 33
    );
    assert_eq!(count_over_quota(&mut harness.dispatcher, 101.0, 0), 200 - 9);
    // One second at the old rate, then one second at the new rate.
    assert_eq!(
        harness.dispatcher.set_quotas(102.0, vec![25.0, 4.0]),
        Ok(())
    );
    assert_eq!(
        count_over_quota(&mut harness.dispatcher, 103.0, 0),
        200 - 9 - 25
    );
    assert_eq!(
        count_over_quota(&mut harness.dispatcher, 103.0, 1),
        200 - 18,
        "8 + 10"
    );
    // The new quota limits the accumulated tokens: of 75 tokens, 4.5 remain.
    assert_eq!(harness.dispatcher.set_quotas(203.0, vec![0.5]), Ok(()));
    assert_eq!(count_over_quota(&mut harness.dispatcher, 203.0, 0), 200 - 4);
    // A customer without a quota is unlimited, and one that is given a quota again starts with a full bucket.
    assert_eq!(count_over_quota(&mut harness.dispatcher, 203.0, 1), 0);
    assert_eq!(harness.dispatcher.set_quotas(203.0, vec![0.5, 4.0]), Ok(()));
    assert_eq!(
        count_over_quota(&mut harness.dispatcher, 203.0, 1),
        200 - 18
    );
}

#[test]
fn invalid_quota_is_rejected_and_changes_nothing() {
    let mut harness = Harness::new(
        PolicyConfig {
            front_ends: 1.0,
            quotas: vec![9.0],
            ..policy()
        },
        0,
    );
    for quota in [-1.0, f64::NAN, f64::INFINITY] {
        let set = harness.dispatcher.set_quotas(100.0, vec![1.0, quota]);
        assert_eq!(set, Err(ConfigError::InvalidQuota { customer: 1 }));
    }
    assert_eq!(
        count_over_quota(&mut harness.dispatcher, 100.0, 0),
        200 - 33
    );
}
