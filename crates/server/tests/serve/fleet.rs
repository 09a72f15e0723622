//! A fleet of servers, each on a fake machine of its own, under the load of sidecars that retry rejected requests and
//! may follow load advice.
use crate::rig::*;
use cottondyke_test_support::fake_machine::*;
use cottondyke_test_support::fakes::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The window over which the settings average calls and running requests, and over which the tests measure budget use.
pub(crate) const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);
/// The client timeout in most tests.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Tolerance for late responses, since other tests keep the machine busy.
const RESPONSE_SLACK: Duration = Duration::from_millis(400);
/// How long a sidecar applies an advised share of traffic.
const ADVICE_LIFETIME: Duration = Duration::from_secs(1);
/// The maximum number of attempts that a sidecar makes for one request.
const MAX_ATTEMPTS: u32 = 2;
/// The mean number of calls in flight from one server that the shared dependency survives.
pub(crate) const CALL_SHARE: f64 = 2.0;
const SIDECARS: u64 = 4;
/// Outcome codes of a response.
const REJECTED: u8 = 0;
const COMPLETED: u8 = 1;

/// A machine that starts at its full speed, as its settings state.
pub(crate) const STEADY_MACHINE: MachineConfig = MachineConfig {
    cores: 2.0,
    cold_speed: 1.0,
    warm_after: Duration::from_secs(1),
    configured_cold_speed: 1.0,
    configured_warm_within: Duration::from_secs(1),
    overload_factor: 3.0,
    calls: 0,
    max_call_wait: Duration::MAX,
    notices: NoticeStyle {
        pause: Duration::ZERO,
        repeat_one_in: 0,
    },
};

/// The servers of a fleet and the load that they are sent.
#[derive(Clone, Copy)]
pub(crate) struct FleetConfig {
    pub(crate) servers: usize,
    pub(crate) machine: MachineConfig,
    /// The mean time that a request takes on a core at full speed.
    pub(crate) mean_work: Duration,
    /// Requests per second and server.
    pub(crate) rate: f64,
    /// The `effect` of the handler's requests in the settings: `repeatable`, `by_key` or `once`.
    pub(crate) effect: &'static str,
    /// Whether sidecars follow the advised share of traffic and the retry delay of a rejection.
    pub(crate) follows_load_advice: bool,
    /// The time after which a client stops waiting.
    pub(crate) client_timeout: Duration,
}

/// A server process and its machine.
pub(crate) struct Server {
    pub(crate) machine: FakeMachine,
    process: Option<Process>,
    conf: Value,
    pub(crate) addr: SocketAddr,
    /// Listeners for the engine, the records service and the control plane. Tests accept connections only on that of
    /// the records service.
    pub(crate) listeners: [std::net::TcpListener; 3],
}

impl Server {
    fn start(config: &FleetConfig) -> Self {
        let machine = FakeMachine::start(config.machine, StartKind::Warm).unwrap();
        let (mut conf, listeners) = config_with_fakes();
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
            listeners,
        }
    }

    /// Kills the process with SIGKILL. The runs on its machine end when `restart` starts the machine anew.
    pub(crate) fn kill(&mut self) {
        self.process = None;
    }

    /// Restarts the process and its machine cold, at the same address.
    pub(crate) fn restart(&mut self) {
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
        "name": IDEMPOTENT, "effect": config.effect, "credit": 1.0, "late_value": 0.2, "dedup_window_ms": 2_000.0,
        "aim_ms": ms(config.client_timeout / 3), "deadline_ms": ms(config.client_timeout),
    }]);
    settings["group_size"] = json!(config.servers);
    let info = &mut settings["family_info"];
    info["n_cores"] = json!(machine.cores as u64);
    info["class_calls"] = json!([machine.calls > 0]);
    info["class_skip_worth"] = json!([if machine.calls > 0 { 0.5 } else { 0.0 }]);
    info["dep_share"] = json!(CALL_SHARE);
    info["calls_over_ms"] = ms(OVERLOAD_WINDOW);
    info["upstreams"] = json!(SIDECARS);
    let obligations = &mut settings["obligations"];
    obligations["overload_factor"] = json!(machine.overload_factor);
    obligations["start_capacity"] = json!(machine.configured_cold_speed);
    obligations["warm_within_ms"] = ms(machine.configured_warm_within);
    obligations["fall_ms"] = ms(OVERLOAD_WINDOW);
}

/// The running servers of a fleet.
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

    /// Sends load for `duration` while `inject_faults` runs; returns the outcomes of the requests.
    pub(crate) fn run_load(
        &mut self,
        duration: Duration,
        inject_faults: impl FnOnce(&mut Vec<Server>),
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
        inject_faults(&mut self.servers);
        let mut outcomes = Outcomes::default();
        for sidecar in sidecars {
            outcomes.add(&sidecar.join().unwrap());
        }
        outcomes
    }
}

/// Counts of attempts by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) sent: u64,
    pub(crate) completed: u64,
    pub(crate) rejected: u64,
    pub(crate) failed: u64,
    /// Answered after the client timeout, which is counted above too, or not at all on a connection that stayed open to
    /// the end.
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

/// A request that awaits a response or a retry.
#[derive(Clone, Copy)]
struct PendingRequest {
    work: Duration,
    attempts: u32,
    sent_at: Instant,
}

/// What a sidecar knows of one server.
struct ServerState {
    /// By stream.
    pending: BTreeMap<u32, PendingRequest>,
    avoid_until: Instant,
    advised_share: f64,
    advised_at: Instant,
    is_connected: bool,
}

/// The state that a sidecar's sender shares with the readers of its connections.
struct SidecarState {
    servers: Vec<ServerState>,
    /// Rejected requests that are to be sent again.
    retries: VecDeque<PendingRequest>,
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
        let new_server = |_: &SocketAddr| ServerState {
            pending: BTreeMap::new(),
            avoid_until: now,
            advised_share: 1.0,
            advised_at: now,
            is_connected: false,
        };
        let state = SidecarState {
            servers: addrs.iter().map(new_server).collect(),
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

    /// Sends requests at the configured rate until `until`, then waits for outstanding responses.
    fn run(mut self, until: Instant) -> Outcomes {
        let rate = self.config.rate * self.config.servers as f64 / SIDECARS as f64;
        let interval = Duration::from_secs_f64(1.0 / rate);
        let mut due = Instant::now() + interval.mul_f64(self.next_random());
        while due < until {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            self.send_retries();
            let work = self
                .config
                .mean_work
                .mul_f64(0.25 + 1.5 * self.next_random());
            self.send(PendingRequest {
                work,
                attempts: 0,
                sent_at: due,
            });
            due += interval.mul_f64(2.0 * self.next_random());
        }
        std::thread::sleep(self.config.client_timeout + RESPONSE_SLACK);
        let state = self.state();
        let connected = state.servers.iter().filter(|server| server.is_connected);
        let unanswered: usize = connected.map(|server| server.pending.len()).sum();
        let mut outcomes = state.outcomes;
        outcomes.lost += unanswered as u64;
        outcomes
    }

    /// A pseudo-random number from 0 to 1.
    fn next_random(&mut self) -> f64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) as f64 / (1_u64 << 31) as f64
    }

    fn send_retries(&mut self) {
        let retries = std::mem::take(&mut self.state().retries);
        for request in retries {
            self.send(request);
        }
    }

    /// Sends to the next server that the sidecar does not avoid and can connect to; drops the request if there is none.
    fn send(&mut self, request: PendingRequest) {
        for _ in 0..self.addrs.len() {
            self.next_server = (self.next_server + 1) % self.addrs.len();
            let server = self.next_server;
            let random = self.next_random();
            if self.may_send(server, random) && self.connect(server) {
                self.send_to(server, request);
                return;
            }
        }
    }

    fn may_send(&self, server: usize, random: f64) -> bool {
        if !self.config.follows_load_advice {
            return true;
        }
        let state = self.state();
        let server = &state.servers[server];
        let is_current = server.advised_at.elapsed() < ADVICE_LIFETIME;
        let share = if is_current {
            server.advised_share
        } else {
            1.0
        };
        Instant::now() >= server.avoid_until && random < share
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
        std::thread::spawn(move || read_responses(reader, server, client_timeout, &state));
        true
    }

    fn send_to(&mut self, server: usize, mut request: PendingRequest) {
        self.last_stream += 1;
        let stream = self.last_stream;
        request.attempts += 1;
        request.sent_at = Instant::now();
        let id = id(self.number << 32 | u64::from(stream));
        let at = unix_ms().to_string();
        let cost = format!("{:.2}", request.work.as_secs_f64() * 1e3);
        let from = self.number.to_string();
        let key = id.clone();
        let mut fields = vec![
            ("class", IDEMPOTENT),
            ("id", &id),
            ("at", &at),
            ("from", &from),
            ("kb", "10.0"),
            ("cost", &cost),
        ];
        if self.config.effect == "by_key" {
            fields.push(("once", &key));
        }
        let body = request.work.as_micros().to_string();
        {
            let mut state = self.state();
            state.outcomes.sent += 1;
            state.servers[server].pending.insert(stream, request);
        }
        let connection = self.connections[server].as_mut().unwrap();
        let _ = connection.send(1, stream, &fields, body.as_bytes());
    }
}

/// Reads responses until the connection ends.
fn read_responses(
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
        state.handle_response(server, client_timeout, &frame);
    }
}

impl SidecarState {
    fn handle_response(&mut self, server: usize, client_timeout: Duration, frame: &ReceivedFrame) {
        let number = |name| frame.field(name).and_then(|text| text.parse::<f64>().ok());
        let server = &mut self.servers[server];
        if let Some(share) = number("say") {
            (server.advised_share, server.advised_at) = (share, Instant::now());
        }
        if let Some(after) = number("after") {
            let until = Instant::now() + Duration::from_secs_f64(after / 1e3);
            server.avoid_until = server.avoid_until.max(until);
        }
        let Some(request) = server.pending.remove(&frame.stream) else {
            return;
        };
        let is_late = request.sent_at.elapsed() > client_timeout + RESPONSE_SLACK;
        self.outcomes.lost += u64::from(is_late);
        match frame.code {
            COMPLETED => self.outcomes.completed += 1,
            REJECTED => self.outcomes.rejected += 1,
            _ => self.outcomes.failed += 1,
        }
        if frame.code == REJECTED && request.attempts < MAX_ATTEMPTS {
            self.retries.push_back(request);
        }
    }
}
