//! The memory that the platform counts, with other limits than the usual ones.
use crate::attack::Kind;
use crate::{check_answered, check_memory, run_within, Limits};

/// The seed of the hostile clients.
const SEED: u64 = 1;

/// Checks memory and answers with these limits, beside this many clients that write parts of large requests.
fn check_parts(memory_mb: usize, sockets: usize, clients: u64) {
    let limits = Limits { memory_mb, sockets };
    let outcome = run_within(limits, &[(Kind::WritesPart, clients)], false, SEED);
    check_answered(&outcome);
}

/// Guards the whole resident memory, files included, against clients that write parts of large requests slowly and come
/// back, for each limit: what the callers do not hold does not shrink with the limit.
#[test]
fn stays_within_any_memory_limit_when_parts_of_large_requests_come_back() {
    check_parts(64, 512, 400);
    check_parts(32, 512, 400);
    check_parts(24, 512, 400);
    check_parts(16, 512, 400);
}

/// Guards the memory limit against what the kernel buffers for clients that send more than the server reads.
#[test]
fn stays_within_its_memory_limit_when_the_kernel_buffers_unread_requests() {
    let limits = Limits {
        memory_mb: 32,
        sockets: 1_024,
    };
    let attacks = [(Kind::ReadsSlowly, 300)];
    check_memory(&run_within(limits, &attacks, true, SEED));
}

/// Guards a small memory limit against the fixed part of as many connections as the descriptors allow.
#[test]
fn stays_within_a_small_memory_limit_when_a_thousand_clients_connect() {
    check_parts(24, 1_024, 1_000);
    let limits = Limits {
        memory_mb: 32,
        sockets: 1_024,
    };
    let attacks = [(Kind::WritesPart, 500), (Kind::ReadsSlowly, 300)];
    check_memory(&run_within(limits, &attacks, true, SEED));
}
