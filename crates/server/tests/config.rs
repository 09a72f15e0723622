//! The number of connections that the configuration allows, and the memory that is left for each.
use cottondyke::config::Config;
use cottondyke::memory_plan::{MemoryDemand, MemoryPlan, MIN_ACCOUNT_BYTES};

/// Guards against sidecars taking all descriptors, so that calls find none: the reservation grows with the calls that
/// the cores may have in flight, up to half of the descriptors.
#[test]
fn reserves_descriptors_for_the_calls_of_all_cores() {
    for (sockets, cores, connections) in [
        (1_000, 6, 904),
        (1_000, 64, 712),
        (400, 200, 200),
        (128, 2, 32),
    ] {
        let mut conf: serde_json::Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        conf["limits"]["sockets"] = sockets.into();
        conf["settings"]["family_info"]["n_cores"] = cores.into();
        assert_eq!(
            Config::parse(&conf.to_string()).unwrap().max_connections,
            connections,
            "{sockets} {cores}"
        );
    }
}

/// Guards the memory limit: whatever the limits are, the program, the connections with their buffers, and what callers
/// share fit together, and a limit that is too small is told.
#[test]
fn divides_any_memory_limit_without_exceeding_it() {
    const PROGRAM_BYTES: usize = 7 << 20;
    for limit_mb in 1..=256 {
        for max_connections in [1, 32, 416, 928, 4_000, 60_000] {
            let demand = MemoryDemand {
                limit_bytes: limit_mb << 20,
                program_bytes: PROGRAM_BYTES,
                cache_bytes: (limit_mb << 20) / 4,
                max_connections,
            };
            let Ok(plan) = MemoryPlan::new(demand) else {
                assert!(limit_mb < 16, "{limit_mb} MB");
                continue;
            };
            let connection = MIN_ACCOUNT_BYTES + plan.socket_buffers.receive_bytes;
            let connections = plan.max_connections * connection;
            let sum = PROGRAM_BYTES + demand.cache_bytes + connections + plan.shared_bytes;
            assert!(sum <= demand.limit_bytes, "{limit_mb} MB: {plan:?}");
            assert!((1..=max_connections).contains(&plan.max_connections));
            assert!(plan.shared_bytes >= 1 << 20, "{limit_mb} MB: {plan:?}");
        }
    }
}

/// Guards operators against a server that starts with a memory limit in which it cannot serve.
#[test]
fn rejects_a_memory_limit_that_does_not_hold_the_program() {
    let mut conf: serde_json::Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
    conf["limits"]["memory_mb"] = 8.into();
    let error = Config::parse(&conf.to_string()).unwrap_err();
    assert_eq!(
        error.to_string(),
        "limits: memory_mb is 8: expected at least 9"
    );
}
