//! The instance: which word goes to which core, and what each core's effects mean for the others.
use crate::config::NodeConfig;
use crate::event::{ClusterEvent, Output};
use crate::message::Message;
use crate::state_machine::QuotaStateMachine;
use crate::status::{BudgetStatus, NodeStatus, QuarantineStatus, QuotaStatus};
use cottondyke_consensus::{self as registry, Bootstrap, PersistedState, Replica, ReplicaId};
use cottondyke_membership::{self as peers, Member, MemberStatus, Membership};
use cottondyke_quota::{
    BudgetSpec, Holder, LeaseHolder, LeaseManager, LeaseRequest, QuarantinedQuota, QuotaTable,
    Usage, MAX_HOLDERS,
};
use cottondyke_types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A keeper's tick.
pub const REPLICA_TICK: Time = Time(500);
/// Ticks after which a confirmation that did not come is asked for again, and after which a snapshot under way is
/// taken to have arrived, or to be sent anew.
const CONFIRM_TICKS: u64 = 4;
const SNAPSHOT_TICKS: u64 = 10;
/// Part of a lease after which an asking without an answer goes to another keeper.
const PATIENCE: f64 = 0.15;

/// Keepers whose addresses are noted.
const MAX_ROUTES: usize = 64;

struct ReplicaHost {
    keeper: Replica<QuotaStateMachine>,
    founding: Bootstrap,
    id: ReplicaId,
    tick: Time,
    ticks: u64,
    /// When the confirmation that is under way was asked for.
    confirming: Option<u64>,
    told_broken: bool,
    /// Whether the state that it began with is on disk: before that nothing is said of it.
    begun: bool,
    seed: u64,
}

pub struct ClusterNode {
    setup: NodeConfig,
    replica_host: Option<ReplicaHost>,
    peers: Membership,
    granter: LeaseManager,
    shares: LeaseHolder,
    /// The keeper that is asked, by its place in the order of names.
    asked: usize,
    /// When the oldest asking without an answer was made.
    waits: Option<Time>,
    /// Addresses from which members last asked.
    from: BTreeMap<Holder, SocketAddr>,
    /// Addresses from which keepers last spoke.
    routes: BTreeMap<ReplicaId, SocketAddr>,
    known: BTreeMap<String, u32>,
    live: bool,
    out: Vec<Output>,
}

impl ClusterNode {
    /// `saved`: what the disk of its keeper holds, where this instance is one.
    pub fn new(setup: NodeConfig, saved: Option<&PersistedState>) -> Result<Self, String> {
        let replica_host = saved
            .map(|saved| ReplicaHost::new(&setup.holder.name, saved, setup.seed))
            .transpose()?;
        let mut shares = LeaseHolder::new(
            setup.holder.clone(),
            setup.previous_incarnation,
            setup.lease_config,
        );
        shares.set_budgets(setup.budgets.iter().map(|spec| spec.name.clone()));
        let own = setup
            .replicas
            .keys()
            .position(|name| *name == setup.holder.name);
        let me = Member {
            name: setup.holder.name.clone(),
            zone: setup.zone.clone(),
            addr: setup.addr,
            incarnation: setup.holder.incarnation,
            version: 0,
            leaving: false,
        };
        let seeds = setup.replicas.clone().into_iter().collect();
        Ok(ClusterNode {
            peers: Membership::new(
                me,
                seeds,
                setup.probe_interval,
                setup.suspicion_enabled,
                setup.seed,
            ),
            granter: LeaseManager::new(setup.lease_config),
            shares,
            replica_host,
            asked: own.unwrap_or(setup.seed as usize % setup.replicas.len().max(1)),
            waits: None,
            from: BTreeMap::new(),
            routes: BTreeMap::new(),
            known: BTreeMap::new(),
            live: false,
            out: Vec::new(),
            setup,
        })
    }

    /// The file was read anew.
    pub fn reconfigure(
        &mut self,
        now: Time,
        keepers: BTreeMap<String, SocketAddr>,
        budgets: Vec<BudgetSpec>,
    ) -> Vec<Output> {
        self.shares
            .set_budgets(budgets.iter().map(|spec| spec.name.clone()));
        self.peers.set_seeds(keepers.clone().into_iter().collect());
        (self.setup.replicas, self.setup.budgets) = (keepers, budgets);
        self.asked = 0;
        self.after(now)
    }

    /// What this instance uses and needs of a budget; its effects come with the next `timer`.
    pub fn record_usage(&mut self, budget: &str, usage: Usage) {
        self.shares.record_usage(budget, usage);
    }

    pub fn start_draining(&mut self, now: Time) -> Vec<Output> {
        self.shares.release_all();
        let effects = self.peers.announce_leaving(now);
        self.hear(effects);
        self.after(now)
    }

    /// The process ends: others need not find it out.
    pub fn shut_down(&mut self, now: Time) -> Vec<Output> {
        let effects = self.peers.leave(now);
        self.hear(effects);
        std::mem::take(&mut self.out)
    }

    /// A datagram came.
    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8]) -> Vec<Output> {
        let (effects, _) = self.peers.handle_datagram(now, bytes);
        self.hear(effects);
        std::mem::take(&mut self.out)
    }

    fn hear(&mut self, effects: Vec<peers::Effect>) {
        self.out
            .extend(effects.into_iter().map(|effect| match effect {
                peers::Effect::Send { to, bytes } => Output::Datagram { to, bytes },
                peers::Effect::MemberUp(member) => Output::Notify(ClusterEvent::MemberUp(member)),
                peers::Effect::MemberDown(member) => {
                    Output::Notify(ClusterEvent::MemberDown(member))
                }
                peers::Effect::SuspicionRefuted => Output::Notify(ClusterEvent::SuspicionRefuted),
                peers::Effect::DuplicateName(member) => {
                    Output::Notify(ClusterEvent::DuplicateName(member))
                }
            }));
    }

    /// Who is there, as far as this instance has heard.
    pub fn members(&self) -> Vec<MemberStatus> {
        self.peers.members()
    }

    pub fn available_quota(&self, now: Time, budget: &str) -> u32 {
        self.shares.available(now, budget)
    }

    /// Until when what `ceiling` says may be used, by this clock.
    pub fn quota_valid_until(&self, budget: &str) -> Time {
        self.shares.valid_until(budget)
    }

    pub fn lease_holder(&self) -> &LeaseHolder {
        &self.shares
    }

    /// When `timer` is to be called at the latest.
    pub fn next_timer(&self) -> Time {
        let tick = self
            .replica_host
            .as_ref()
            .filter(|k| k.begun)
            .map_or(Time::MAX, |k| k.tick);
        let until = if self.live {
            self.shares.lease_end()
        } else {
            Time::MAX
        };
        let patience = self.waits.map_or(Time::MAX, |at| {
            at + self.setup.lease_config.lease_duration.scaled(PATIENCE)
        });
        let allocate = if self.granter.is_leader() {
            self.granter.next_run()
        } else {
            Time::MAX
        };
        tick.min(self.shares.next_timer())
            .min(until)
            .min(patience)
            .min(self.peers.next_timer())
            .min(allocate)
    }

    pub fn handle_timer(&mut self, now: Time) -> Vec<Output> {
        if now >= self.peers.next_timer() {
            let effects = self.peers.handle_timer(now);
            self.hear(effects);
        }
        if let Some(replica_host) = self
            .replica_host
            .as_mut()
            .filter(|k| now >= k.tick && k.begun)
        {
            // A process that was stopped does not make up for the ticks that it missed.
            replica_host.tick = now + REPLICA_TICK;
            replica_host.ticks += 1;
            let mut effects = replica_host.keeper.tick();
            let names: Vec<String> = self.setup.replicas.keys().cloned().collect();
            effects.extend(replica_host.keeper.reconcile_members(&names));
            if replica_host.ticks.is_multiple_of(SNAPSHOT_TICKS) {
                for to in replica_host.keeper.pending_snapshots() {
                    replica_host.keeper.report_snapshot(to, true);
                }
            }
            if replica_host
                .confirming
                .is_some_and(|at| replica_host.ticks >= at + CONFIRM_TICKS)
            {
                replica_host.confirming = None;
                self.granter.abort_read_index();
            }
            self.carry(now, effects);
            self.seek(now);
        }
        self.after(now)
    }

    /// A word came from the instance that listens at `from`.
    pub fn handle_message(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) -> Vec<Output> {
        match Message::decode(bytes) {
            Some(Message::LeaseRequest(ask)) => self.asked_by(now, from, ask),
            Some(Message::LeaseResponse(reply)) => {
                self.shares.handle_response(&reply);
                self.waits = None;
            }
            Some(Message::NotLeader(leader)) => self.elsewhere(now, from, leader),
            Some(Message::Raft(keeper, bytes)) => {
                if self.routes.contains_key(&keeper) || self.routes.len() < MAX_ROUTES {
                    self.routes.insert(keeper, from);
                }
                if let Some(replica_host) = self.replica_host.as_mut().filter(|k| k.begun) {
                    let effects = replica_host.keeper.handle_message(&bytes);
                    self.carry(now, effects);
                }
            }
            Some(Message::BootstrapProbe(seek)) => self.sought(now, from, &seek),
            Some(Message::Bootstrapped(set)) => self.found(&set),
            Some(Message::StatusRequest) => {
                let view = self.status(now);
                self.say(from, &Message::Status(Box::new(view)));
            }
            Some(Message::Status(_)) => {}
            None => {}
        }
        self.after(now)
    }

    pub fn handle_stored(&mut self, now: Time, number: u64) -> Vec<Output> {
        if let Some(replica_host) = &mut self.replica_host {
            replica_host.begun = true;
            let effects = replica_host.keeper.handle_stored(number);
            self.carry(now, effects);
        }
        self.after(now)
    }

    pub fn handle_storage_failure(&mut self, now: Time) -> Vec<Output> {
        if let Some(replica_host) = &mut self.replica_host {
            let effects = replica_host.keeper.mark_failed();
            self.carry(now, effects);
        }
        self.after(now)
    }

    /// What is agreed as far as this instance knows, where it keeps it.
    pub fn quota_table(&self) -> Option<&QuotaTable> {
        self.replica_host
            .as_ref()
            .filter(|k| k.keeper.is_initialized())
            .map(|k| &k.keeper.state.0)
    }

    pub fn quarantined(&self, now: Time) -> Vec<QuarantinedQuota> {
        self.quota_table()
            .map_or(Vec::new(), |table| self.granter.quarantined(now, table))
    }

    /// The budgets of the file in force.
    pub fn budget_names(&self) -> impl Iterator<Item = &String> {
        self.setup.budgets.iter().map(|spec| &spec.name)
    }

    /// For operators, as this instance sees it.
    pub fn status(&self, now: Time) -> NodeStatus {
        let shown = |holder: &Holder| format!("{}.{}", holder.name, holder.incarnation);
        let budgets = self
            .quota_table()
            .into_iter()
            .flat_map(|table| &table.budgets)
            .map(|(name, whole)| BudgetStatus {
                name: name.clone(),
                units: whole.units,
                post_cancel_grace_ms: whole.post_cancel_grace / 10,
                quotas: whole
                    .quotas
                    .iter()
                    .map(|(h, s)| QuotaStatus {
                        holder: shown(h),
                        amount: s.amount,
                        epoch: s.epoch.0,
                        fenced: s.fenced,
                    })
                    .collect(),
            });
        let budgets = budgets.collect();
        let mine = self
            .setup
            .budgets
            .iter()
            .map(|spec| (spec.name.clone(), self.shares.available(now, &spec.name)));
        let back = self
            .quarantined(now)
            .into_iter()
            .map(|back| QuarantineStatus {
                budget: back.budget,
                holder: shown(&back.holder),
                units: back.units,
                remaining_ms: ((back.until - now).0 / 10).max(0),
            });
        let keeper = self.replica_host.as_ref().map(|k| &k.keeper);
        NodeStatus {
            name: self.setup.holder.name.clone(),
            incarnation: self.setup.holder.incarnation,
            leader: keeper.and_then(|k| k.member_names().get(&k.leader()?).cloned()),
            is_leader: self.is_leader(),
            members: self.members(),
            is_replica: keeper.is_some_and(|k| k.is_initialized() && !k.has_failed()),
            lease_ms: ((self.shares.lease_end() - now).0 / 10).max(0),
            quotas: mine.collect(),
            budgets,
            quarantined: back.collect(),
        }
    }

    /// What each member is to have, where this instance leads.
    pub fn targets(&self, budget: &str) -> Vec<(String, u32)> {
        self.granter.targets(budget)
    }

    pub fn is_leader(&self) -> bool {
        self.granter.is_leader()
    }

    pub fn voters(&self) -> Vec<ReplicaId> {
        self.replica_host
            .as_ref()
            .map_or(Vec::new(), |k| k.keeper.voters())
    }

    fn say(&mut self, to: SocketAddr, word: &Message) {
        self.out.push(Output::Send {
            to,
            bytes: word.encode(),
        });
    }

    fn asked_by(&mut self, now: Time, from: SocketAddr, ask: LeaseRequest) {
        if self.granter.is_leader() {
            if self.from.len() < MAX_HOLDERS || self.from.contains_key(&ask.holder) {
                self.from.insert(ask.holder.clone(), from);
            }
            self.granter.handle_request(now, ask);
        } else {
            let leader = self
                .replica_host
                .as_ref()
                .and_then(|k| k.keeper.member_names().get(&k.keeper.leader()?).cloned());
            self.say(
                from,
                &Message::NotLeader(leader.filter(|name| *name != self.setup.holder.name)),
            );
        }
    }

    /// The asking goes to the keeper that leads, where the one that was asked knew it.
    fn elsewhere(&mut self, now: Time, from: SocketAddr, leader: Option<String>) {
        let asked = self.setup.replicas.values().nth(self.asked);
        if asked != Some(&from) {
            return;
        }
        if let Some(place) =
            leader.and_then(|name| self.setup.replicas.keys().position(|n| *n == name))
        {
            self.asked = place;
            self.shares.renew_soon();
        } else {
            self.turn(now);
        }
    }

    fn turn(&mut self, now: Time) {
        self.asked = (self.asked + 1) % self.setup.replicas.len().max(1);
        self.waits = Some(now);
    }

    /// A keeper without a state says so to all others.
    fn seek(&mut self, now: Time) {
        let Some(replica_host) = self
            .replica_host
            .as_mut()
            .filter(|k| !k.keeper.is_initialized())
        else {
            return;
        };
        if let Some(seek) = replica_host.founding.next_probe(now) {
            let mine = self.setup.holder.name.clone();
            let others: Vec<SocketAddr> = self
                .setup
                .replicas
                .iter()
                .filter(|(name, _)| **name != mine)
                .map(|(_, addr)| *addr)
                .collect();
            for to in others {
                self.say(to, &Message::BootstrapProbe(seek.clone()));
            }
        }
        let names: Vec<String> = self.setup.replicas.keys().cloned().collect();
        let founds = self
            .replica_host
            .as_ref()
            .and_then(|k| k.founding.initial_members(now, &names));
        if let Some(set) = founds {
            self.begin(&set);
        }
    }

    fn sought(&mut self, now: Time, from: SocketAddr, seek: &registry::BootstrapProbe) {
        let names: Vec<String> = self.setup.replicas.keys().cloned().collect();
        let Some(replica_host) = self.replica_host.as_mut().filter(|k| k.begun) else {
            return;
        };
        if !replica_host.keeper.is_initialized() {
            if let Some(set) = replica_host.founding.handle_probe(now, seek, &names) {
                self.begin(&set);
            }
            return;
        }
        // One that was among the founders and has not voted yet begins as they did; any other joins.
        if replica_host.keeper.bootstrap_members().get(&seek.id) == Some(&seek.name) {
            let set = replica_host.keeper.bootstrap_members().clone();
            self.say(from, &Message::Bootstrapped(set));
        } else {
            let effects = replica_host.keeper.add_learner(seek.id, &seek.name, &names);
            self.carry(now, effects);
        }
    }

    fn found(&mut self, set: &BTreeMap<ReplicaId, String>) {
        let mine = self.replica_host.as_ref().is_some_and(|k| {
            !k.keeper.is_initialized() && set.get(&k.id) == Some(&self.setup.holder.name)
        });
        if mine {
            self.begin(set);
        }
    }

    /// Begins with the state of a founder. The write goes first: nothing is said before it is on disk.
    fn begin(&mut self, set: &BTreeMap<ReplicaId, String>) {
        let Some(replica_host) = &mut self.replica_host else {
            return;
        };
        let write = Replica::bootstrap_operation(set, &QuotaStateMachine::default());
        let mut saved = PersistedState::new(replica_host.id);
        saved.apply(write.clone());
        let Ok(keeper) = Replica::open(&saved, QuotaStateMachine::default(), replica_host.seed)
        else {
            return;
        };
        (replica_host.keeper, replica_host.begun) = (keeper, false);
        self.out.push(Output::Store(write));
        self.out
            .push(Output::Notify(ClusterEvent::Bootstrapped(set.len())));
    }

    /// What the keeper wants done, and what it means for the granter.
    fn carry(&mut self, now: Time, effects: Vec<registry::Effect>) {
        for effect in effects {
            match effect {
                registry::Effect::Send { to, bytes } => {
                    let Some(replica_host) = &self.replica_host else {
                        continue;
                    };
                    let known = replica_host
                        .keeper
                        .member_names()
                        .get(&to)
                        .and_then(|name| self.setup.replicas.get(name));
                    // One that joins knows no names yet: it answers where it was spoken to from.
                    if let Some(addr) = known.or(self.routes.get(&to)).copied() {
                        let word = Message::Raft(replica_host.id, bytes);
                        self.say(addr, &word);
                    }
                }
                registry::Effect::Store(write) => self.out.push(Output::Store(write)),
                registry::Effect::LeadershipChanged(leads) => {
                    self.granter.set_leadership(leads.then_some(now));
                    self.from.clear();
                    if let Some(replica_host) = &mut self.replica_host {
                        replica_host.confirming = None;
                    }
                    self.out
                        .push(Output::Notify(ClusterEvent::LeadershipChanged(leads)));
                }
                registry::Effect::ReadIndexConfirmed(number) => {
                    let Some(replica_host) = &mut self.replica_host else {
                        continue;
                    };
                    replica_host.confirming = None;
                    let replies = self
                        .granter
                        .handle_read_index(number, &replica_host.keeper.state.0);
                    self.reply(replies);
                }
                registry::Effect::Applied => {
                    if let Some(replica_host) = &self.replica_host {
                        self.granter.handle_applied(&replica_host.keeper.state.0);
                    }
                }
            }
        }
    }

    fn reply(&mut self, replies: Vec<cottondyke_quota::LeaseResponse>) {
        for reply in replies {
            if reply.holder == *self.shares.holder() {
                self.shares.handle_response(&reply);
                self.waits = None;
            } else if let Some(to) = self.from.get(&reply.holder).copied() {
                self.say(to, &Message::LeaseResponse(reply));
            }
        }
    }

    /// What follows from any event: proposals, answers, an asking of its own, and what changed for the log.
    fn after(&mut self, now: Time) -> Vec<Output> {
        self.lead(now);
        self.ask(now);
        // Its own asking may be the first that waits.
        self.lead(now);
        self.tell(now);
        std::mem::take(&mut self.out)
    }

    fn lead(&mut self, now: Time) {
        if !self.granter.is_leader() {
            return;
        }
        let due = now >= self.granter.next_run();
        let Some(replica_host) = &mut self.replica_host else {
            return;
        };
        let commands = if due {
            self.granter
                .plan_commands(now, &replica_host.keeper.state.0, &self.setup.budgets)
        } else {
            Vec::new()
        };
        let mut effects = Vec::new();
        for command in commands {
            let bytes = postcard::to_allocvec(&command).unwrap_or_default();
            effects.extend(replica_host.keeper.propose(bytes).unwrap_or_default());
        }
        if let Some(number) = self.granter.start_read_index() {
            replica_host.confirming = Some(replica_host.ticks);
            effects.extend(replica_host.keeper.read_index(number));
        }
        self.carry(now, effects);
        if let Some(replica_host) = self
            .replica_host
            .as_ref()
            .filter(|_| due && self.granter.is_leader())
        {
            let news = self
                .granter
                .pending_notifications(&replica_host.keeper.state.0);
            self.reply(news);
        }
    }

    fn ask(&mut self, now: Time) {
        if self
            .waits
            .is_some_and(|at| now >= at + self.setup.lease_config.lease_duration.scaled(PATIENCE))
        {
            self.turn(now);
        }
        let Some(ask) = self.shares.next_request(now) else {
            return;
        };
        self.waits.get_or_insert(now);
        let Some((name, to)) = self.setup.replicas.iter().nth(self.asked) else {
            return;
        };
        if *name != self.setup.holder.name {
            let to = *to;
            self.say(to, &Message::LeaseRequest(ask));
        } else if self.granter.is_leader() {
            self.granter.handle_request(now, ask);
        } else {
            let leader = self
                .replica_host
                .as_ref()
                .and_then(|k| k.keeper.member_names().get(&k.keeper.leader()?));
            let place = leader.and_then(|name| self.setup.replicas.keys().position(|n| n == name));
            match place.filter(|place| *place != self.asked) {
                Some(place) => {
                    self.asked = place;
                    self.shares.renew_soon();
                }
                None => self.turn(now),
            }
        }
    }

    fn tell(&mut self, now: Time) {
        let live = now < self.shares.lease_end();
        if live != self.live {
            self.live = live;
            self.out
                .push(Output::Notify(ClusterEvent::LeaseChanged(live)));
        }
        for BudgetSpec { name: budget, .. } in &self.setup.budgets {
            let share = self.shares.available(now, budget);
            let before = self.known.insert(budget.clone(), share).unwrap_or(0);
            if before != share {
                let epoch = self.shares.epoch(budget);
                self.out.push(Output::Notify(ClusterEvent::QuotaChanged {
                    budget: budget.clone(),
                    before,
                    now: share,
                    epoch,
                }));
            }
        }
        if let Some(replica_host) = self
            .replica_host
            .as_mut()
            .filter(|k| k.keeper.has_failed() && !k.told_broken)
        {
            replica_host.told_broken = true;
            self.out.push(Output::Notify(ClusterEvent::ReplicaFailed));
        }
    }
}

impl ReplicaHost {
    fn new(name: &str, saved: &PersistedState, seed: u64) -> Result<Self, String> {
        Ok(ReplicaHost {
            keeper: Replica::open(saved, QuotaStateMachine::default(), seed)?,
            founding: Bootstrap::new(name, saved.id),
            id: saved.id,
            tick: Time(i64::MIN / 4),
            ticks: 0,
            confirming: None,
            told_broken: false,
            begun: true,
            seed,
        })
    }
}
