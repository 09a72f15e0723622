//! Digests of all results over long fixed runs: they change with any change of what is decided.
use crate::invariants::{setup, step};
use crate::server_model::*;
use cottondyke_admission::*;

const STEPS: u64 = 2000;
/// Steps from the notice to leave to the end.
const LAST: u64 = 200;

/// A fixed generator (xorshift64).
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u16 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 24) as u16
    }
}

/// FNV-1a, 64 bits, and how often each kind of result occurred.
struct Digest {
    sum: u64,
    counts: [usize; 13],
}

impl Digest {
    fn number(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.sum = (self.sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    fn list(&mut self, place: usize, items: Vec<Vec<u64>>) {
        self.counts[place] += items.len();
        self.number(items.len() as u64);
        items.into_iter().flatten().for_each(|n| self.number(n));
    }

    fn add(&mut self, results: &Actions) {
        let Actions {
            cancel: stop,
            fail,
            reject: shed,
            retain_key: keep,
            release_key: release,
            start,
            coalesce: join,
            call,
            skip_call: skip,
            health,
            advice,
            idle_timeout: trim,
            next_tick: wake,
            firings,
        } = results;
        let ids = |list: &[RequestId]| list.iter().map(|id| vec![id.0.into()]).collect();
        let spans = |list: &[(RequestId, Time)]| {
            let both = |(id, span): &(RequestId, Time)| vec![id.0.into(), span.0 as u64];
            list.iter().map(both).collect()
        };
        let sheds =
            |s: &Rejection| vec![s.id.0.into(), s.retry_after.0 as u64, s.do_not_retry.into()];
        let maybe = |number: Option<u64>| number.map(|n| vec![n]).into_iter().collect();
        self.list(0, ids(stop));
        self.list(1, ids(fail));
        self.list(2, shed.iter().map(sheds).collect());
        self.list(3, spans(keep));
        self.list(4, ids(release));
        self.list(5, ids(start));
        self.list(6, ids(join));
        self.list(7, spans(call));
        self.list(8, ids(skip));
        self.list(9, maybe(health.map(u64::from)));
        self.list(10, maybe(advice.map(f64::to_bits)));
        self.list(11, maybe(trim.map(|t| t.0 as u64)));
        self.list(12, maybe(wake.map(|t| t.0 as u64)));
        self.number(firings.len() as u64);
    }
}

/// `choice` as in the rules' random runs. Every other run has told callers and a gauge on the cores.
fn run(choice: u16, seed: u64) -> Digest {
    let (mut world, mut draws) = (ServerModel::new(setup(choice)), Draws(seed));
    for place in 0..STEPS {
        let (kind, a, b) = (draws.next() as u8, draws.next(), draws.next());
        if seed.is_multiple_of(2) {
            world.caller = Some(CallerId(u64::from(draws.next() % 400)));
            world.runnable_tasks = Some((world.count(State::Running) as f64).min(3.0));
        }
        // An end that the rules' steps lack: nothing started, and the server answered by itself.
        let void = place % 50 == 7 && !world.cores_frozen;
        if let Some(id) = world.in_state(State::Running).first().filter(|_| void) {
            world.requests.get_mut(id).unwrap().answered = true;
            world.end_run(*id, RunOutcome::NotStarted);
        }
        match kind % 16 {
            _ if place == STEPS - LAST => step(&mut world, (12, 0, 0)),
            12 => step(&mut world, (15, a, b)),
            _ => step(&mut world, (kind, a, b)),
        }
    }
    assert!(world.draining.is_some());
    let (sum, counts) = (0xcbf2_9ce4_8422_2325, [0; 13]);
    let mut digest = Digest { sum, counts };
    world.actions.iter().for_each(|results| digest.add(results));
    digest
}

#[test]
fn decides_the_same_over_long_fixed_runs() {
    let expected: [(u16, u64); 8] = [
        (0, 0xae0fceccbd22941f),
        (0b00_0000_0101, 0x2fe19159dd898c8b),
        (0b10_1101_1110, 0xd31b2ba8aa6888fc),
        (0b01_0110_0010, 0xba289a047bf10034),
        (0b00_1110_0100, 0xb4c48b1a37892387),
        (0b100_0100_1001, 0x5b459fcd15505dd0),
        (0b1000_1011_0000, 0xa7bd1bf822d91126),
        (0b1011_1100_0111, 0xc33a61190791b6d2),
    ];
    let runs: Vec<Digest> = (1..)
        .zip(expected)
        .map(|(seed, (c, _))| run(c, seed))
        .collect();
    let all = |place: usize| runs.iter().map(|r| r.counts[place]).sum::<usize>();
    let counts: [usize; 13] = std::array::from_fn(all);
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    let sums: Vec<u64> = runs.iter().map(|r| r.sum).collect();
    assert_eq!(sums, expected.map(|(_, sum)| sum));
}
