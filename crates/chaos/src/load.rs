//! Open-loop callers: reqs go out when they are due, whatever has come back, and each is timed from then.
use cottondyke_test_support::fakes::{frame, payload, unix_ms, FakeSidecar, ReceivedFrame};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// One req from the time when it was due to be sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub due: Instant,
    pub size: usize,
    /// Its final answers, with the time of each.
    pub heard: Vec<(Instant, ReceivedFrame)>,
}

#[derive(Clone, Debug)]
pub struct Mix {
    pub handler: &'static str,
    /// Reqs a second.
    pub rate: f64,
    /// Different bodies among them: what is kept of one serves others of its kind.
    pub bodies: u64,
    /// The first four digits of the reqs' ids.
    pub tag: u64,
}

/// Callers on several connections to one node, which share the rate.
pub struct Callers(Vec<JoinHandle<Calls>>);

impl Callers {
    pub fn start(
        addr: SocketAddr,
        mix: &Mix,
        connections: u64,
        seed: u64,
        span: (Instant, Instant),
        patience: Duration,
    ) -> Self {
        let mix = Mix {
            rate: mix.rate / connections as f64,
            ..mix.clone()
        };
        let seeds = (0..connections).map(|connection| seed ^ connection << 48);
        Callers(
            seeds
                .map(|seed| call(addr, mix.clone(), seed, span.0, span.1, patience))
                .collect(),
        )
    }

    /// All that was sent, once the last answers have had their time.
    pub fn join(self) -> Vec<Sent> {
        self.0
            .into_iter()
            .filter_map(|caller| caller.join().ok())
            .flatten()
            .collect()
    }
}

type Calls = Vec<Sent>;

/// Sends from `start` until `end`, and waits for answers until `patience` past that.
fn call(
    addr: SocketAddr,
    mix: Mix,
    seed: u64,
    start: Instant,
    end: Instant,
    patience: Duration,
) -> JoinHandle<Calls> {
    std::thread::spawn(move || {
        // A connection that carries nothing for long is closed: it opens when it is needed.
        std::thread::sleep(start.saturating_duration_since(Instant::now()));
        let opened = FakeSidecar::connect(addr).and_then(|sidecar| {
            sidecar.0.set_read_timeout(Some(
                end.saturating_duration_since(Instant::now()) + patience,
            ))?;
            let writer = sidecar.0.try_clone()?;
            Ok((sidecar, writer))
        });
        match opened {
            Ok((sidecar, writer)) => calling(sidecar, writer, mix, seed, (start, end), patience),
            Err(_) => Calls::new(),
        }
    })
}

fn calling(
    mut reader: FakeSidecar,
    mut writer: std::net::TcpStream,
    mix: Mix,
    seed: u64,
    span: (Instant, Instant),
    patience: Duration,
) -> Calls {
    let (start, end) = span;
    let listening = std::thread::spawn(move || {
        let mut heard = Vec::new();
        while let Ok(one) = reader.receive() {
            if one.kind == 2 && one.stream > 0 {
                heard.push((Instant::now(), one));
            }
        }
        heard
    });
    let mut random = fastrand::Rng::with_seed(seed);
    let mut sent = Vec::new();
    let mut due = start;
    loop {
        due += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / mix.rate);
        if due >= end {
            break;
        }
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let body = format!("{:08}", random.u64(0..mix.bodies));
        let id = format!(
            "{:04x}{:012x}",
            mix.tag,
            NEXT_ID.fetch_add(1, Ordering::Relaxed)
        );
        let at = unix_ms().to_string();
        let fields = [
            ("class", mix.handler),
            ("id", &id),
            ("at", &at),
            ("from", "1"),
            ("kb", "4.0"),
        ];
        sent.push(Sent {
            due,
            size: body.len(),
            heard: Vec::new(),
        });
        let bytes = frame(1, sent.len() as u32, &payload(&fields, body.as_bytes()));
        if writer.write_all(&bytes).is_err() {
            break;
        }
    }
    // The last answers come within a client timeout.
    std::thread::sleep((end + patience).saturating_duration_since(Instant::now()));
    let _ = writer.shutdown(std::net::Shutdown::Both);
    let heard = listening.join().unwrap_or_default();
    for (at, one) in heard {
        if let Some(sent) = sent.get_mut(one.stream as usize - 1) {
            sent.heard.push((at, one));
        }
    }
    sent
}
