//! Several servers, each with a machine of its own, under the load of sidecars that retry and heed advice.
use crate::rig::*;
use cottondyke_test_support::fake_machine::*;
use cottondyke_test_support::fakes::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Over which the settings average what runs, and in which a budget counts.
pub(crate) const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);
/// The client timeout of most fleets.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// By which an answer may be later on a machine that other tests keep busy.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// How long an advised share of traffic is heeded.
const ADVICE_LIFETIME: Duration = Duration::from_secs(1);
/// Servers that a sidecar tries for one request.
const MAX_TRIES: u32 = 2;
/// Calls of one server that the shared dependency survives in the mean.
pub(crate) const CALL_SHARE: f64 = 2.0;
const SIDECARS: u64 = 4;
/// Codes of an answer.
const REJECTED: u8 = 0;
const COMPLETED: u8 = 1;

/// A machine that starts at its full speed, and says so.
pub(crate) const STEADY_MACHINE: MachineConfig = MachineConfig {
    cores: 2.0,
    cold_speed: 1.0,
    warm_after: Duration::from_secs(1),
    told_cold_speed: 1.0,
    told_warm_within: Duration::from_secs(1),
    overload_factor: 3.0,
    makes_calls: false,
};

/// What the servers of a fleet are like, and what they are sent.
#[derive(Clone, Copy)]
pub(crate) struct FleetConfig {
    pub(crate) servers: usize,
    pub(crate) machine: MachineConfig,
    /// The mean work of a request on a core at full speed.
    pub(crate) mean_work: Duration,
    /// Requests a second, for each server.
    pub(crate) rate: f64,
    /// How the settings let requests repeat: `repeatable`, `by_key` or `once`.
    pub(crate) effect: &'static str,
    /// Whether sidecars heed advice and stay away when told to.
    pub(crate) heeds_advice: bool,
    /// After which a client waits no longer.
    pub(crate) client_timeout: Duration,
}

/// A server process and its machine.
pub(crate) struct Server {
    pub(crate) machine: FakeMachine,
    process: Option<Process>,
    conf: Value,
    pub(crate) addr: SocketAddr,
    /// The other ends that it has; all but the records service accept nothing.
    pub(crate) peers: [std::net::TcpListener; 3],
}

impl Server {
    fn start(config: &FleetConfig) -> Self {
        let machine = FakeMachine::start(config.machine, StartKind::Warm).unwrap();
        let (mut conf, peers) = with_peers();
        conf["engine"] = json!(machine.addr().to_string());
        conf["limits"]["sockets"] = json!(256);
        apply_settings(&mut conf["settings"], config);
        let process = Process::start("--config", temporary_file(&conf.to_string()));
        let addr = process.listen_addr();
        conf["listen"] = json!(addr.to_string());
        Server {
            machine,
            process: Some(process),
            conf,
            addr,
            peers,
        }
    }

    /// SIGKILL, for the process and for what ran on its machine.
    pub(crate) fn kill(&mut self) {
        self.process = None;
    }

    /// Starts the process and its machine again, cold, under the same address.
    pub(crate) fn start_again(&mut self) {
        self.conf["settings"]["family_info"]["cold"] = json!(true);
        self.machine.restart(StartKind::Cold);
        let process = Process::start("--config", temporary_file(&self.conf.to_string()));
        process.listen_addr();
        self.process = Some(process);
    }
}

fn apply_settings(settings: &mut Value, config: &FleetConfig) {
    let machine = config.machine;
    let ms = |duration: Duration| json!(duration.as_secs_f64() * 1e3);
    settings["classes"] = json!([{
        "name": READ, "effect": config.effect, "credit": 1.0, "late_value": 0.2, "dedup_window_ms": 2_000.0,
        "aim_ms": ms(config.client_timeout / 3), "deadline_ms": ms(config.client_timeout),
    }]);
    settings["group_size"] = json!(config.servers);
    let info = &mut settings["family_info"];
    info["n_cores"] = json!(machine.cores as u64);
    info["class_calls"] = json!([machine.makes_calls]);
    info["class_skip_worth"] = json!([if machine.makes_calls { 0.5 } else { 0.0 }]);
    info["dep_share"] = json!(CALL_SHARE);
    info["calls_over_ms"] = ms(OVERLOAD_WINDOW);
    info["upstreams"] = json!(SIDECARS);
    let rules = &mut settings["obligations"];
    rules["overload_factor"] = json!(machine.overload_factor);
    rules["start_capacity"] = json!(machine.told_cold_speed);
    rules["warm_within_ms"] = ms(machine.told_warm_within);
    rules["fall_ms"] = ms(OVERLOAD_WINDOW);
}

/// The servers.
pub(crate) struct Fleet {
    pub(crate) config: FleetConfig,
    pub(crate) servers: Vec<Server>,
}

impl Fleet {
    pub(crate) fn start(config: FleetConfig) -> Self {
        let servers = (0..config.servers).map(|_| Server::start(&config));
        Fleet {
            config,
            servers: servers.collect(),
        }
    }

    /// Sends load for this long while `faults` strikes; returns what became of the requests.
    pub(crate) fn under_load(
        &mut self,
        duration: Duration,
        faults: impl FnOnce(&mut Vec<Server>),
    ) -> Outcomes {
        let addrs: Vec<_> = self.servers.iter().map(|server| server.addr).collect();
        let until = Instant::now() + duration;
        let config = self.config;
        let sidecars: Vec<_> = (0..SIDECARS)
            .map(|number| {
                let addrs = addrs.clone();
                std::thread::spawn(move || Sidecar::new(number, addrs, config).run(until))
            })
            .collect();
        faults(&mut self.servers);
        let mut outcomes = Outcomes::default();
        for sidecar in sidecars {
            outcomes.add(&sidecar.join().unwrap());
        }
        outcomes
    }
}

/// What became of the requests that were sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) sent: u64,
    pub(crate) completed: u64,
    pub(crate) rejected: u64,
    pub(crate) failed: u64,
    /// Answered past the client timeout, or not at all, on a connection that stood to the end.
    pub(crate) lost: u64,
}

impl Outcomes {
    fn add(&mut self, other: &Outcomes) {
        self.sent += other.sent;
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.lost += other.lost;
    }
}

/// A request that a sidecar owes its client.
#[derive(Clone, Copy)]
struct Attempt {
    work: Duration,
    tries: u32,
    sent_at: Instant,
}

/// What a sidecar knows of one server.
struct Known {
    pending: BTreeMap<u32, Attempt>,
    stay_away_until: Instant,
    share: f64,
    share_heard_at: Instant,
    is_connected: bool,
}

/// What a sidecar's sender shares with the readers of its connections.
struct SidecarState {
    servers: Vec<Known>,
    /// Rejected elsewhere, to be sent again.
    retries: VecDeque<Attempt>,
    outcomes: Outcomes,
}

struct Sidecar {
    number: u64,
    addrs: Vec<SocketAddr>,
    config: FleetConfig,
    state: Arc<Mutex<SidecarState>>,
    connections: Vec<Option<FakeSidecar>>,
    next_server: usize,
    last_stream: u32,
    seed: u64,
}

impl Sidecar {
    fn new(number: u64, addrs: Vec<SocketAddr>, config: FleetConfig) -> Self {
        let now = Instant::now();
        let known = |_: &SocketAddr| Known {
            pending: BTreeMap::new(),
            stay_away_until: now,
            share: 1.0,
            share_heard_at: now,
            is_connected: false,
        };
        let state = SidecarState {
            servers: addrs.iter().map(known).collect(),
            retries: VecDeque::new(),
            outcomes: Outcomes::default(),
        };
        Sidecar {
            number,
            connections: addrs.iter().map(|_| None).collect(),
            state: Arc::new(Mutex::new(state)),
            next_server: number as usize,
            last_stream: 0,
            seed: number + 1,
            addrs,
            config,
        }
    }

    fn state(&self) -> MutexGuard<'_, SidecarState> {
        self.state.lock().unwrap()
    }

    /// Sends what is due until then, and waits for what is still owed.
    fn run(mut self, until: Instant) -> Outcomes {
        let rate = self.config.rate * self.config.servers as f64 / SIDECARS as f64;
        let interval = Duration::from_secs_f64(1.0 / rate);
        let mut due = Instant::now() + interval.mul_f64(self.draw());
        while due < until {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            self.send_retries();
            let work = self.config.mean_work.mul_f64(0.25 + 1.5 * self.draw());
            self.send(Attempt {
                work,
                tries: 0,
                sent_at: due,
            });
            due += interval.mul_f64(2.0 * self.draw());
        }
        std::thread::sleep(self.config.client_timeout + ANSWER_SLACK);
        let state = self.state();
        let connected = state.servers.iter().filter(|known| known.is_connected);
        let unanswered: usize = connected.map(|known| known.pending.len()).sum();
        let mut outcomes = state.outcomes;
        outcomes.lost += unanswered as u64;
        outcomes
    }

    fn draw(&mut self) -> f64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) as f64 / (1_u64 << 31) as f64
    }

    fn send_retries(&mut self) {
        let retries = std::mem::take(&mut self.state().retries);
        for attempt in retries {
            self.send(attempt);
        }
    }

    /// To the next server that this sidecar does not keep away from; the request is given up where there is none.
    fn send(&mut self, attempt: Attempt) {
        for _ in 0..self.addrs.len() {
            self.next_server = (self.next_server + 1) % self.addrs.len();
            let server = self.next_server;
            let draw = self.draw();
            if self.may_send(server, draw) && self.connect(server) {
                self.send_to(server, attempt);
                return;
            }
        }
    }

    fn may_send(&self, server: usize, draw: f64) -> bool {
        if !self.config.heeds_advice {
            return true;
        }
        let state = self.state();
        let known = &state.servers[server];
        let is_heard = known.share_heard_at.elapsed() < ADVICE_LIFETIME;
        let share = if is_heard { known.share } else { 1.0 };
        Instant::now() >= known.stay_away_until && draw < share
    }

    fn connect(&mut self, server: usize) -> bool {
        if self.state().servers[server].is_connected {
            return true;
        }
        let Ok(connection) = FakeSidecar::connect(self.addrs[server]) else {
            return false;
        };
        let client_timeout = self.config.client_timeout;
        let reader = FakeSidecar(connection.0.try_clone().unwrap());
        self.connections[server] = Some(connection);
        self.state().servers[server].is_connected = true;
        let state = self.state.clone();
        std::thread::spawn(move || read_answers(reader, server, client_timeout, &state));
        true
    }

    fn send_to(&mut self, server: usize, mut attempt: Attempt) {
        self.last_stream += 1;
        let stream = self.last_stream;
        attempt.tries += 1;
        attempt.sent_at = Instant::now();
        let id = id(self.number << 32 | u64::from(stream));
        let at = unix_ms().to_string();
        let cost = format!("{:.2}", attempt.work.as_secs_f64() * 1e3);
        let from = self.number.to_string();
        let once = id.clone();
        let mut fields = vec![
            ("class", READ),
            ("id", &id),
            ("at", &at),
            ("from", &from),
            ("kb", "10.0"),
            ("cost", &cost),
        ];
        if self.config.effect == "by_key" {
            fields.push(("once", &once));
        }
        let body = attempt.work.as_micros().to_string();
        {
            let mut state = self.state();
            state.outcomes.sent += 1;
            state.servers[server].pending.insert(stream, attempt);
        }
        let connection = self.connections[server].as_mut().unwrap();
        let _ = connection.send(1, stream, &fields, body.as_bytes());
    }
}

/// Reads answers until the connection ends.
fn read_answers(
    mut reader: FakeSidecar,
    server: usize,
    client_timeout: Duration,
    state: &Mutex<SidecarState>,
) {
    loop {
        let Ok(frame) = reader.receive() else {
            let mut state = state.lock().unwrap();
            state.servers[server].is_connected = false;
            state.servers[server].pending.clear();
            return;
        };
        let mut state = state.lock().unwrap();
        state.take_answer(server, client_timeout, &frame);
    }
}

impl SidecarState {
    fn take_answer(&mut self, server: usize, client_timeout: Duration, frame: &ReceivedFrame) {
        let number = |name| frame.field(name).and_then(|text| text.parse::<f64>().ok());
        let known = &mut self.servers[server];
        if let Some(share) = number("say") {
            (known.share, known.share_heard_at) = (share, Instant::now());
        }
        if let Some(after) = number("after") {
            let until = Instant::now() + Duration::from_secs_f64(after / 1e3);
            known.stay_away_until = known.stay_away_until.max(until);
        }
        let Some(attempt) = known.pending.remove(&frame.stream) else {
            return;
        };
        let is_late = attempt.sent_at.elapsed() > client_timeout + ANSWER_SLACK;
        self.outcomes.lost += u64::from(is_late);
        match frame.code {
            COMPLETED => self.outcomes.completed += 1,
            REJECTED => self.outcomes.rejected += 1,
            _ => self.outcomes.failed += 1,
        }
        if frame.code == REJECTED && attempt.tries < MAX_TRIES {
            self.retries.push_back(attempt);
        }
    }
}
