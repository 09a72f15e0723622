//! Settings of any scale, from zero to very large numbers.
use crate::server_model::*;
use cottondyke_admission::*;

const STARTED_AT: Time = Time(0);
const REQUESTS: u32 = 40;

/// A configuration whose numbers and durations are all of this scale.
fn config(scale: f64, advice_format: AdviceFormat) -> AdmissionConfig {
    let duration = Time(scale as i64);
    AdmissionConfig {
        resolution: Time(1),
        handlers: vec![handler(Idempotency::Idempotent, 0.5)],
        quotas: vec![scale, scale],
        fleet_size: scale,
        goal: GoalWeights {
            total: 0.0,
            worst_handler: scale,
            worst_tenant: scale,
            over_quota: 0.1,
            by_work: true,
        },
        concurrency: ConcurrencyConfig {
            cores: scale.min(1e3) as usize,
            overload_factor: scale,
            start_capacity: scale.min(1.0),
            warm_within: duration,
            overload_window: duration,
        },
        cancellation: Cancellation::Drop,
        loss_window: duration,
        memory: MemoryLimits {
            limit: scale,
            running_factor: scale,
            per_key: scale,
        },
        calls: CallConfig {
            share: Some(scale),
            window: duration,
            abandoned_linger: duration,
        },
        drain_grace: duration,
        callers: CallerConfig {
            expected: scale,
            max_idle: duration,
            advice_format,
            advice_lifetime: duration,
            max_retry_after: duration,
        },
        seed: u64::MAX,
    }
}

fn arrival(id: RequestId, scale: f64) -> Arrival {
    let duration = Time(scale as i64);
    Arrival {
        id,
        handler: HandlerId(0),
        tenant: Some(TenantId(id.0 as usize % 3)),
        caller: None,
        cost_hint: Some(duration),
        is_retry: id.0.is_multiple_of(2),
        duplicate_of: None,
        memory_kb: scale,
        queueing_delay: duration,
        observed_delay: duration,
        client_time_left: Some(duration),
    }
}

/// Returns all actions of a controller whose runs each request a call.
fn run(scale: f64, advice_format: AdviceFormat) -> Vec<Actions> {
    let mut controller = AdmissionController::new(STARTED_AT, &config(scale, advice_format));
    let mut actions = vec![controller.tick(STARTED_AT, LoadSample::default())];
    for id in (0..REQUESTS).map(RequestId) {
        let now = Time(i64::from(id.0) * 5);
        actions.push(controller.arrival(now, arrival(id, scale)));
        actions.push(controller.call_requested(now, id));
    }
    let sample = LoadSample {
        cpu_utilization: Some(scale),
        runnable_tasks: None,
    };
    let duration = Time(scale as i64);
    let end = STARTED_AT + CLIENT_TIMEOUT;
    for now in [end, end + duration, end + duration + CLIENT_TIMEOUT] {
        actions.push(controller.tick(now, sample));
    }
    actions
}

#[test]
fn answers_every_request_when_settings_are_of_any_scale() {
    // At zero, one, and far more than any fleet has, every request is answered and all advice is finite.
    for scale in [0.0, 1.0, 1e9] {
        for advice_format in [
            AdviceFormat::Share,
            AdviceFormat::Credit,
            AdviceFormat::Rank,
            AdviceFormat::Unused,
        ] {
            let actions = run(scale, advice_format);
            let answers = actions.iter().map(|a| a.reject.len() + a.fail.len());
            assert_eq!(
                answers.sum::<usize>(),
                REQUESTS as usize,
                "scale {scale}, {advice_format:?}"
            );
            let mut advice = actions.iter().filter_map(|a| a.advice);
            assert!(advice.all(|level| level.is_finite() && level >= 0.0));
        }
    }
}
