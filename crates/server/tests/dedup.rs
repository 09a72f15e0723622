//! The deduplication table: windows, grace periods and the limit on retained results.
use cottondyke::dedup::{DedupOutcome, DedupTable, DedupWindow, IdempotencyKey, RetentionLimits};
use cottondyke::protocol::sidecar::RunOutput;
use cottondyke_types::{HandlerId, RequestId, Time};
use quickcheck::quickcheck;
use std::rc::Rc;

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey {
        handler: HandlerId(0),
        tenant: None,
        key: text.into(),
    }
}

quickcheck! {
    /// An entry is found until its window ends, and not after.
    fn finds_an_entry_until_its_window_ends(spans: Vec<u8>) -> bool {
        let mut table = DedupTable::default();
        for (n, span) in spans.iter().enumerate() {
            let window = DedupWindow { until: Some(Time(i64::from(*span))), grace: Time(0) };
            table.insert(RequestId(n as u32), key(&n.to_string()), window);
        }
        (0..=255).all(|now| spans.iter().enumerate().all(|(n, span)| {
            table.find_original(Time(now), Time(now), &key(&n.to_string())).is_some() == (i64::from(*span) > now)
        }))
    }

    /// An attempt that arrived within the window finds its entry however late it is read, within the grace period; one
    /// that arrived after the window does not.
    fn finds_an_entry_by_the_time_of_arrival_when_read_late(span: u8, grace: u8, read: u16, delay: u16) -> bool {
        let (span, grace, read) = (i64::from(span), i64::from(grace), i64::from(read % 600));
        let arrived = read - i64::from(delay % 600).min(read);
        let mut table = DedupTable::default();
        let key = key("key");
        let window = DedupWindow { until: Some(Time(span)), grace: Time(grace) };
        table.insert(RequestId(1), key.clone(), window);
        let found = table.find_original(Time(read), Time(arrived), &key).is_some();
        found == (arrived < span && read < span + grace)
    }
}

/// Guards against unbounded memory: results retained for duplicates are limited, and the oldest are dropped first.
#[test]
fn drops_the_oldest_results_when_they_exceed_the_limit() {
    let mut table = DedupTable::default();
    let result = Rc::new(RunOutput::complete(vec![0; 1 << 20]));
    for n in 0..40 {
        let window = DedupWindow {
            until: Some(Time(1_000)),
            grace: Time(0),
        };
        let limits = RetentionLimits {
            read_ttl: Time(0),
            max_bytes: 16 << 20,
        };
        table.insert(RequestId(n), key(&n.to_string()), window);
        table.record_outcome(Time(0), RequestId(n), Some(result.clone()), limits);
    }
    let is_retained = |n| {
        matches!(
            table.outcome(RequestId(n)),
            Some(DedupOutcome::Completed(Some(_)))
        )
    };
    assert_eq!(
        (0..40).filter(|n| is_retained(*n)).collect::<Vec<_>>(),
        (24..40).collect::<Vec<_>>()
    );
}
