//! This instance among others, on sockets and a disk. What is decided is in `cottondyke_cluster`; here its effects
//! become words on links and writes, and its shares reach the gates. Without `peers(...)` nothing of it exists.
mod data_dir;
mod links;
pub mod status;

use crate::clock::Clock;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cottondyke_cluster::{ClusterEvent, ClusterNode, NodeConfig, Output};
use cottondyke_dependency::{DependencyUsage, LeasedQuota, Plan, QuotaKind};
use cottondyke_membership::MAX_DATAGRAM_BYTES;
use cottondyke_operator_config::{budget_of, rate_of, OperatorConfig, Peers};
use cottondyke_quota::{Holder, LeaseConfig, Safeguards, Usage};
use cottondyke_types::Time;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::{Rc, Weak};

/// How often the use of budgets is looked at.
pub const LOOK: Time = Time(200);
/// What is left of a need that is over after each look: half of it in a third of a second.
const FADES: f64 = 0.96;
/// What each start adds of its value to the worth of a unit.
const LEARNS: f64 = 0.05;

/// What one budget is worth here, and how much of it was needed lately.
#[derive(Debug, Default)]
struct Learnt {
    need: f64,
    worth: f64,
}

pub struct ClusterDriver {
    instance: RefCell<ClusterNode>,
    lent: RefCell<BTreeMap<String, Rc<LeasedQuota>>>,
    learnt: RefCell<BTreeMap<String, Learnt>>,
    clock: Clock,
    links: links::Links,
    datagrams: Async<UdpSocket>,
    disk: Option<data_dir::StorageThread>,
    executor: Rc<LocalExecutor<'static>>,
    own: Peers,
    this: Weak<ClusterDriver>,
}

/// What is started with the program: the fleet, and the tasks that it needs.
pub struct StartedCluster {
    pub fleet: Rc<ClusterDriver>,
    listener: Async<TcpListener>,
    stored: Option<async_channel::Receiver<Result<u64, String>>>,
    /// Keeps other processes out of the folder.
    _home: Option<data_dir::DataDirectory>,
}

/// One port for links and datagrams. Where the system chooses it, one that is free for links may be taken for
/// datagrams: then another is tried.
fn bind(addr: SocketAddr) -> std::io::Result<(Async<TcpListener>, Async<UdpSocket>)> {
    let mut tries = if addr.port() == 0 { 16 } else { 1 };
    loop {
        let listener = Async::<TcpListener>::bind(addr)?;
        tries -= 1;
        match Async::<UdpSocket>::bind(listener.get_ref().local_addr()?) {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(e) if tries == 0 => return Err(e),
            Err(_) => {}
        }
    }
}

/// Opens the folder and the port. An error says in one line what is wrong.
pub fn start(
    operator: &OperatorConfig,
    peers: &Peers,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    seed: u64,
) -> Result<StartedCluster, String> {
    let at = |what: String| format!("{}:{}: peers: {what}", peers.at.file, peers.at.line);
    let (listener, datagrams) = bind(peers.listen).map_err(|e| {
        at(format!(
            "listen = {:?}: cannot listen there: {e}",
            peers.listen.to_string()
        ))
    })?;
    let home = peers
        .data
        .as_ref()
        .map(|folder| data_dir::DataDirectory::open(folder))
        .transpose()
        .map_err(at)?;
    let keeps = peers.keepers.iter().any(|(name, _)| *name == peers.name);
    let opened = home
        .as_ref()
        .filter(|_| keeps)
        .map(data_dir::DataDirectory::registry)
        .transpose()
        .map_err(at)?;
    let (writer, saved, stored) = match opened {
        Some((db, saved)) => {
            let (writer, stored) =
                data_dir::StorageThread::start(db).map_err(|e| at(e.to_string()))?;
            (Some(writer), Some(saved), Some(stored))
        }
        None => (None, None, None),
    };
    let (life, former) = home.as_ref().map_or_else(
        || (data_dir::fresh(), None),
        |home| (home.life, home.former),
    );
    let terms = LeaseConfig {
        lease_duration: Time(peers.lease),
        max_process_pause: Time(peers.longest_stop),
        safeguards: Safeguards {
            lease: operator.has_safeguard("lease"),
            fence: operator.has_safeguard("fence"),
            post_cancel_grace: operator.has_safeguard("linger"),
            demand: operator.has_safeguard("need"),
        },
    };
    let bound = listener.get_ref().local_addr().unwrap_or(peers.listen);
    let setup = NodeConfig {
        zone: peers.zone.clone(),
        addr: peers.advertise.unwrap_or(bound),
        probe_interval: Time(peers.probe),
        suspicion_enabled: operator.has_safeguard("suspicion"),
        holder: Holder {
            name: peers.name.clone(),
            incarnation: life,
        },
        previous_incarnation: former,
        replicas: peers.keepers.iter().cloned().collect(),
        budgets: operator.shared_budgets(),
        lease_config: terms,
        seed: seed ^ life,
    };
    let instance =
        ClusterNode::new(setup, saved.as_ref()).map_err(|error| at(error.to_string()))?;
    let fleet = Rc::new_cyclic(|this| ClusterDriver {
        this: this.clone(),
        instance: RefCell::new(instance),
        lent: RefCell::default(),
        learnt: RefCell::default(),
        clock,
        links: links::Links::default(),
        datagrams,
        disk: writer,
        executor,
        own: peers.clone(),
    });
    tracing::info!(name = peers.name, life, listen = %bound, "among peers");
    Ok(StartedCluster {
        fleet,
        listener,
        stored,
        _home: home,
    })
}

impl StartedCluster {
    /// Serves the links, the disk and the instance's own timers; does not end.
    pub async fn run(self) {
        let StartedCluster {
            fleet,
            listener,
            stored,
            _home,
        } = self;
        let hearing = fleet.executor.spawn(fleet.clone().datagrams());
        let accepting = fleet.executor.spawn(links::accept(fleet.clone(), listener));
        let storing = stored.map(|stored| fleet.executor.spawn(fleet.clone().store(stored)));
        loop {
            let now = fleet.clock.now();
            fleet.with(|instance| instance.handle_timer(now));
            let next = fleet
                .instance
                .borrow()
                .next_timer()
                .min(now + LOOK)
                .max(now + Time(1));
            Timer::at(fleet.clock.instant(next)).await;
            // A task that ended by a panic must not be missed.
            if accepting.is_finished()
                || hearing.is_finished()
                || storing
                    .as_ref()
                    .is_some_and(async_executor::Task::is_finished)
            {
                break;
            }
        }
        accepting.await;
        hearing.await;
        if let Some(storing) = storing {
            storing.await;
        }
    }
}

impl ClusterDriver {
    /// The share of each dependency goes into the plan.
    pub fn lend(&self, plan: &mut Plan) {
        let now = self.clock.now();
        let shared = |budget: &String| {
            self.instance
                .borrow()
                .budget_names()
                .any(|name| name == budget)
        };
        let lent = |budget: String| {
            shared(&budget).then(|| self.lent.borrow_mut().entry(budget).or_default().clone())
        };
        for spec in &mut plan.dependencies {
            let (calls, rate) = (lent(budget_of(&spec.name)), lent(rate_of(&spec.name)));
            if let Some(spec) = Rc::get_mut(spec) {
                (spec.leased_calls, spec.leased_rate) = (calls, rate);
            }
        }
        self.refresh(now);
    }

    /// A run of this value starts that may ask a dependency.
    pub fn starts(&self, dependency: &str, value: f64) {
        let mut learnt = self.learnt.borrow_mut();
        for budget in [budget_of(dependency), rate_of(dependency)] {
            let one = learnt.entry(budget).or_insert(Learnt {
                need: 0.0,
                worth: value,
            });
            one.worth += (value - one.worth) * LEARNS;
        }
    }

    /// What is in use at this moment.
    pub fn used(&self, now: Time, uses: &[DependencyUsage]) {
        {
            let mut learnt = self.learnt.borrow_mut();
            let mut instance = self.instance.borrow_mut();
            for one in uses {
                let name = if one.quota == QuotaKind::Rate {
                    rate_of(&one.dependency)
                } else {
                    budget_of(&one.dependency)
                };
                let known = learnt.entry(name.clone()).or_default();
                known.need = (known.need * FADES).max(one.needed as f64);
                let usage = Usage {
                    in_use: one.in_flight as u32,
                    needed: known.need.round() as u32,
                    weight: known.worth.max(f64::MIN_POSITIVE),
                };
                instance.record_usage(&name, usage);
            }
        }
        self.with(|instance| instance.handle_timer(now));
    }

    pub fn leave(&self, now: Time) {
        self.with(|instance| instance.start_draining(now));
    }

    pub fn renew(&self, now: Time, operator: &OperatorConfig) {
        let Some(peers) = &operator.peers else { return };
        let keepers = peers.keepers.iter().cloned().collect();
        self.links.keep(peers.keepers.iter().map(|(_, addr)| *addr));
        self.with(|instance| instance.reconfigure(now, keepers, operator.shared_budgets()));
    }

    /// What of the file's `peers` cannot change while the program runs.
    pub fn differs(&self, new: &Peers) -> bool {
        let fixed = |p: &Peers| {
            let times = (p.lease, p.longest_stop, p.probe);
            (
                p.name.clone(),
                p.zone.clone(),
                p.listen,
                p.advertise,
                p.data.clone(),
                times,
            )
        };
        fixed(&self.own) != fixed(new)
    }

    /// For the tasks of its links.
    fn this(&self) -> Option<Rc<ClusterDriver>> {
        self.this.upgrade()
    }

    fn heard(&self, from: SocketAddr, word: &[u8]) {
        let now = self.clock.now();
        self.with(|instance| instance.handle_message(now, from, word));
    }

    async fn datagrams(self: Rc<Self>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.datagrams.recv_from(&mut bytes).await {
                Ok((count, _)) => {
                    let now = self.clock.now();
                    self.with(|instance| instance.handle_datagram(now, &bytes[..count]));
                }
                // What a peer that is not there sends back.
                Err(error) => {
                    tracing::debug!(%error, "a datagram could not be read");
                    Timer::after(std::time::Duration::from_millis(1)).await;
                }
            }
        }
    }

    /// The process ends.
    pub fn gone(&self) {
        let now = self.clock.now();
        self.with(|instance| instance.shut_down(now));
    }

    async fn store(self: Rc<Self>, stored: async_channel::Receiver<Result<u64, String>>) {
        while let Ok(result) = stored.recv().await {
            let now = self.clock.now();
            match result {
                Ok(number) => self.with(|instance| instance.handle_stored(now, number)),
                Err(wrong) => {
                    tracing::error!(
                        wrong,
                        "the registry's disk failed; this keeper takes part no longer"
                    );
                    self.with(|instance| instance.handle_storage_failure(now));
                }
            }
        }
    }

    /// One input to the instance, its effects carried out in their order, and what it may use now.
    fn with(&self, input: impl FnOnce(&mut ClusterNode) -> Vec<Output>) {
        let effects = input(&mut self.instance.borrow_mut());
        for effect in effects {
            match effect {
                Output::Send { to, bytes } => self.links.send(self, to, &bytes),
                // One that cannot go out at once is lost, as any may be on its way.
                Output::Datagram { to, bytes } => {
                    drop(self.datagrams.get_ref().send_to(&bytes, to))
                }
                Output::Store(write) => {
                    if let Some(disk) = &self.disk {
                        disk.write(write);
                    }
                }
                Output::Notify(change) => told(&change),
            }
        }
        self.refresh(self.clock.now());
    }

    fn refresh(&self, now: Time) {
        let instance = self.instance.borrow();
        for (name, lent) in self.lent.borrow().iter() {
            lent.renew(
                now,
                instance.available_quota(now, name) as usize,
                instance.quota_valid_until(name),
            );
        }
    }
}

/// One line in the log for each change.
fn told(change: &ClusterEvent) {
    match change {
        ClusterEvent::QuotaChanged {
            budget,
            before,
            now,
            epoch,
        } => {
            tracing::debug!(budget, before, now, epoch = epoch.0, "its share changed");
        }
        ClusterEvent::LeaseChanged { in_force: true } => {
            tracing::info!("the lease of its shares is in force")
        }
        ClusterEvent::LeaseChanged { in_force: false } => {
            tracing::warn!(
                "the lease of its shares is over: it uses nothing of the fleet's budgets"
            )
        }
        ClusterEvent::LeadershipChanged { is_leader: true } => tracing::info!("leads the registry"),
        ClusterEvent::LeadershipChanged { is_leader: false } => {
            tracing::info!("leads the registry no longer")
        }
        ClusterEvent::Bootstrapped { replicas } => {
            tracing::info!(keepers = replicas, "the registry is founded")
        }
        ClusterEvent::MemberUp(member) => {
            tracing::info!(
                name = member.name,
                zone = member.zone,
                life = member.incarnation,
                "a member is there"
            )
        }
        ClusterEvent::MemberDown(member) => {
            tracing::warn!(
                name = member.name,
                life = member.incarnation,
                "a member is gone"
            )
        }
        ClusterEvent::SuspicionRefuted => {
            tracing::warn!("others took this instance for dead; it says otherwise")
        }
        ClusterEvent::DuplicateName(member) => {
            tracing::error!(name = member.name, addr = %member.addr, "another process has this instance's name");
        }
        ClusterEvent::ReplicaFailed => {
            tracing::error!("its keeper is broken and takes part no longer")
        }
    }
}
