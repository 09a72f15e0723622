//! The plan of faults: which calls fail, with which error and how often.
use libc::c_int;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// The multiplier and increment of Knuth's 64-bit linear congruential generator (MMIX).
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;

/// The errors that a rule can name.
const ERRORS: [(&str, c_int); 9] = [
    ("EINTR", libc::EINTR),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("EPROTO", libc::EPROTO),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ETIMEDOUT", libc::ETIMEDOUT),
    ("EIO", libc::EIO),
];

/// A call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    Recv,
    Send,
    Read,
    Write,
    Accept4,
    Connect,
}

impl Call {
    const ALL: [Call; 6] = [
        Call::Recv,
        Call::Send,
        Call::Read,
        Call::Write,
        Call::Accept4,
        Call::Connect,
    ];

    /// The name in a rule.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Call::Recv => "recv",
            Call::Send => "send",
            Call::Read => "read",
            Call::Write => "write",
            Call::Accept4 => "accept4",
            Call::Connect => "connect",
        }
    }
}

/// One call in `one_in` fails with `errno`.
#[derive(Debug)]
struct Rule {
    call: Call,
    errno: c_int,
    one_in: u64,
    failures: AtomicU32,
}

/// A failure that was drawn, and how many of its rule there were, including it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub(crate) errno: c_int,
    pub(crate) count: u32,
}

/// The rules of a process.
#[derive(Debug)]
pub(crate) struct Plan {
    rules: Vec<Rule>,
    random: AtomicU64,
}

impl Plan {
    /// Reads rules; ends the process if one cannot be read, since a test would pass without its faults.
    pub(crate) fn parse(rules: &str, seed: u64) -> Self {
        let parsed = rules.split_whitespace().map(parse_rule).collect();
        let Some(rules) = parsed else {
            eprintln!("fault shim: {rules:?}: expected rules such as recv=EINTR/3");
            std::process::abort();
        };
        Plan {
            rules,
            random: AtomicU64::new(seed),
        }
    }

    /// Draws whether a call fails.
    pub(crate) fn next_failure(&self, call: Call) -> Option<Failure> {
        let rule = self.rules.iter().find(|rule| rule.call == call)?;
        if !self.next_random().is_multiple_of(rule.one_in) {
            return None;
        }
        let count = rule.failures.fetch_add(1, Ordering::Relaxed) + 1;
        Some(Failure {
            errno: rule.errno,
            count,
        })
    }

    fn next_random(&self) -> u64 {
        let step = |state: u64| Some(state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT));
        let state = self
            .random
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        state.unwrap_or_default() >> 33
    }
}

fn parse_rule(rule: &str) -> Option<Rule> {
    let (name, failure) = rule.split_once('=')?;
    let (error, one_in) = failure.split_once('/')?;
    let call = Call::ALL.into_iter().find(|call| call.name() == name)?;
    let (_, errno) = ERRORS.into_iter().find(|(name, _)| *name == error)?;
    Some(Rule {
        call,
        errno,
        one_in: one_in.parse().ok().filter(|one_in| *one_in > 0)?,
        failures: AtomicU32::new(0),
    })
}
