//! The instance: which word goes to which core, and what each core's effects mean for the others.
use crate::word::Word;
use cottondyke_consensus::{self as registry, Founding, Keeper, KeeperId, Saved, State, Write};
use cottondyke_membership::{self as peers, Listed, Member, Peers};
use cottondyke_quota::{
    Ask, Command, Epoch, Granter, Holdback, Holder, Shares, Table, Terms, Usage, MOST_HOLDERS,
};
use cottondyke_types::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A keeper's tick.
pub const TICK: Time = Time(500);
/// Ticks after which a confirmation that did not come is asked for again, and after which a snapshot under way is
/// taken to have arrived, or to be sent anew.
const CONFIRM_TICKS: u64 = 4;
const SNAPSHOT_TICKS: u64 = 10;
/// Part of a lease after which an asking without an answer goes to another keeper.
const PATIENCE: f64 = 0.15;

/// Keepers whose addresses are noted.
const MOST_ROUTES: usize = 64;

/// What the registry agrees on.
#[derive(Debug, Default)]
pub struct Agreed(pub Table);

impl State for Agreed {
    fn apply(&mut self, command: &[u8]) {
        // A command that cannot be read, or meets another state than it was made from, changes nothing anywhere.
        if let Ok(command) = postcard::from_bytes::<Command>(command) {
            let _ = self.0.apply(&command);
        }
    }

    fn save(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.0).unwrap_or_default()
    }

    fn restore(&mut self, bytes: &[u8]) -> bool {
        postcard::from_bytes(bytes)
            .map(|table| self.0 = table)
            .is_ok()
    }
}

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    pub me: Holder,
    /// An earlier life of this name that is known to be over.
    pub former: Option<u64>,
    pub zone: String,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// How often another member is looked after.
    pub probe: Time,
    /// Off in trials alone.
    pub suspicion: bool,
    /// The keepers' names and addresses, alike in every instance's file.
    pub keepers: BTreeMap<String, SocketAddr>,
    /// Name, units and linger of each budget.
    pub wholes: Vec<(String, u32, Time)>,
    pub terms: Terms,
    pub seed: u64,
}

/// One line for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Share {
        budget: String,
        before: u32,
        now: u32,
        epoch: Epoch,
    },
    /// The lease of all shares is over, or in force again.
    Lease(bool),
    Leads(bool),
    Founded(usize),
    Up(Member),
    Down(Member),
    Refuted,
    Doubled(Member),
    /// The registry's disk, or what it held, is of no use: this keeper takes part no longer.
    KeeperBroken,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// To be sent by itself, without a link.
    Datagram {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// To be carried out in order; then `stored` is called with its number, or `store_failed`.
    Store(Write),
    Tell(Change),
}

/// What an instance knows, for operators. Spans in milliseconds from now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub name: String,
    pub life: u64,
    /// The keeper that leads, as far as this instance keeps the registry and knows it.
    pub leader: Option<String>,
    pub leads: bool,
    /// Who is there, this instance first.
    pub members: Vec<Listed>,
    pub keeps: bool,
    /// What is left of the lease of its own shares.
    pub lease_ms: i64,
    pub shares: Vec<(String, u32)>,
    /// The table, where this instance keeps it.
    pub budgets: Vec<BudgetView>,
    /// What is kept back of shares whose holders are silent, where this instance leads.
    pub held_back: Vec<HeldBack>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetView {
    pub name: String,
    pub whole: u32,
    pub linger_ms: i64,
    pub shares: Vec<ShareView>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareView {
    pub holder: String,
    pub amount: u32,
    pub epoch: u64,
    /// Its lease ran out; what is left of it is kept back.
    pub fenced: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldBack {
    pub budget: String,
    pub holder: String,
    pub units: u32,
    pub for_ms: i64,
}

struct Keeping {
    keeper: Keeper<Agreed>,
    founding: Founding,
    id: KeeperId,
    tick: Time,
    ticks: u64,
    /// When the confirmation that is under way was asked for.
    confirming: Option<u64>,
    told_broken: bool,
    /// Whether the state that it began with is on disk: before that nothing is said of it.
    begun: bool,
    seed: u64,
}

pub struct Instance {
    setup: Setup,
    keeping: Option<Keeping>,
    peers: Peers,
    granter: Granter,
    shares: Shares,
    /// The keeper that is asked, by its place in the order of names.
    asked: usize,
    /// When the oldest asking without an answer was made.
    waits: Option<Time>,
    /// Addresses from which members last asked.
    from: BTreeMap<Holder, SocketAddr>,
    /// Addresses from which keepers last spoke.
    routes: BTreeMap<KeeperId, SocketAddr>,
    known: BTreeMap<String, u32>,
    live: bool,
    out: Vec<Effect>,
}

impl Instance {
    /// `saved`: what the disk of its keeper holds, where this instance is one.
    pub fn new(setup: Setup, saved: Option<&Saved>) -> Result<Self, String> {
        let keeping = saved
            .map(|saved| Keeping::new(&setup.me.name, saved, setup.seed))
            .transpose()?;
        let mut shares = Shares::new(setup.me.clone(), setup.former, setup.terms);
        shares.name(setup.wholes.iter().map(|(name, ..)| name.clone()));
        let own = setup.keepers.keys().position(|name| *name == setup.me.name);
        let me = Member {
            name: setup.me.name.clone(),
            zone: setup.zone.clone(),
            addr: setup.addr,
            life: setup.me.life,
            turn: 0,
            leaving: false,
        };
        let seeds = setup.keepers.clone().into_iter().collect();
        Ok(Instance {
            peers: Peers::new(me, seeds, setup.probe, setup.suspicion, setup.seed),
            granter: Granter::new(setup.terms),
            shares,
            keeping,
            asked: own.unwrap_or(setup.seed as usize % setup.keepers.len().max(1)),
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
    pub fn renew(
        &mut self,
        now: Time,
        keepers: BTreeMap<String, SocketAddr>,
        wholes: Vec<(String, u32, Time)>,
    ) -> Vec<Effect> {
        self.shares
            .name(wholes.iter().map(|(name, ..)| name.clone()));
        self.peers.seeds(keepers.clone().into_iter().collect());
        (self.setup.keepers, self.setup.wholes) = (keepers, wholes);
        self.asked = 0;
        self.after(now)
    }

    /// What this instance uses and needs of a budget; its effects come with the next `timer`.
    pub fn used(&mut self, budget: &str, usage: Usage) {
        self.shares.used(budget, usage);
    }

    pub fn leave(&mut self, now: Time) -> Vec<Effect> {
        self.shares.leave();
        let effects = self.peers.leaving(now);
        self.hear(effects);
        self.after(now)
    }

    /// The process ends: others need not find it out.
    pub fn gone(&mut self, now: Time) -> Vec<Effect> {
        let effects = self.peers.leave(now);
        self.hear(effects);
        std::mem::take(&mut self.out)
    }

    /// A datagram came.
    pub fn datagram(&mut self, now: Time, bytes: &[u8]) -> Vec<Effect> {
        let (effects, _) = self.peers.heard(now, bytes);
        self.hear(effects);
        std::mem::take(&mut self.out)
    }

    fn hear(&mut self, effects: Vec<peers::Effect>) {
        self.out
            .extend(effects.into_iter().map(|effect| match effect {
                peers::Effect::Send { to, bytes } => Effect::Datagram { to, bytes },
                peers::Effect::Up(member) => Effect::Tell(Change::Up(member)),
                peers::Effect::Down(member) => Effect::Tell(Change::Down(member)),
                peers::Effect::Refuted => Effect::Tell(Change::Refuted),
                peers::Effect::Doubled(member) => Effect::Tell(Change::Doubled(member)),
            }));
    }

    /// Who is there, as far as this instance has heard.
    pub fn list(&self) -> Vec<Listed> {
        self.peers.list()
    }

    pub fn ceiling(&self, now: Time, budget: &str) -> u32 {
        self.shares.ceiling(now, budget)
    }

    /// Until when what `ceiling` says may be used, by this clock.
    pub fn until(&self, budget: &str) -> Time {
        self.shares.until(budget)
    }

    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// When `timer` is to be called at the latest.
    pub fn next(&self) -> Time {
        let tick = self
            .keeping
            .as_ref()
            .filter(|k| k.begun)
            .map_or(Time::MAX, |k| k.tick);
        let until = if self.live {
            self.shares.last()
        } else {
            Time::MAX
        };
        let patience = self
            .waits
            .map_or(Time::MAX, |at| at + self.setup.terms.lease.scaled(PATIENCE));
        let divide = if self.granter.leads() {
            self.granter.due()
        } else {
            Time::MAX
        };
        tick.min(self.shares.next())
            .min(until)
            .min(patience)
            .min(self.peers.next())
            .min(divide)
    }

    pub fn timer(&mut self, now: Time) -> Vec<Effect> {
        if now >= self.peers.next() {
            let effects = self.peers.timer(now);
            self.hear(effects);
        }
        if let Some(keeping) = self.keeping.as_mut().filter(|k| now >= k.tick && k.begun) {
            // A process that was stopped does not make up for the ticks that it missed.
            keeping.tick = now + TICK;
            keeping.ticks += 1;
            let mut effects = keeping.keeper.tick();
            let names: Vec<String> = self.setup.keepers.keys().cloned().collect();
            effects.extend(keeping.keeper.tend(&names));
            if keeping.ticks.is_multiple_of(SNAPSHOT_TICKS) {
                for to in keeping.keeper.sending_snapshot() {
                    keeping.keeper.snapshot_sent(to, true);
                }
            }
            if keeping
                .confirming
                .is_some_and(|at| keeping.ticks >= at + CONFIRM_TICKS)
            {
                keeping.confirming = None;
                self.granter.unconfirmed();
            }
            self.carry(now, effects);
            self.seek(now);
        }
        self.after(now)
    }

    /// A word came from the instance that listens at `from`.
    pub fn heard(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) -> Vec<Effect> {
        match Word::decode(bytes) {
            Some(Word::Ask(ask)) => self.asked_by(now, from, ask),
            Some(Word::Reply(reply)) => {
                self.shares.told(&reply);
                self.waits = None;
            }
            Some(Word::Elsewhere(leader)) => self.elsewhere(now, from, leader),
            Some(Word::Raft(keeper, bytes)) => {
                if self.routes.contains_key(&keeper) || self.routes.len() < MOST_ROUTES {
                    self.routes.insert(keeper, from);
                }
                if let Some(keeping) = self.keeping.as_mut().filter(|k| k.begun) {
                    let effects = keeping.keeper.heard(&bytes);
                    self.carry(now, effects);
                }
            }
            Some(Word::Seek(seek)) => self.sought(now, from, &seek),
            Some(Word::Found(set)) => self.found(&set),
            Some(Word::Look) => {
                let view = self.view(now);
                self.say(from, &Word::View(Box::new(view)));
            }
            Some(Word::View(_)) => {}
            None => {}
        }
        self.after(now)
    }

    pub fn stored(&mut self, now: Time, number: u64) -> Vec<Effect> {
        if let Some(keeping) = &mut self.keeping {
            keeping.begun = true;
            let effects = keeping.keeper.stored(number);
            self.carry(now, effects);
        }
        self.after(now)
    }

    pub fn store_failed(&mut self, now: Time) -> Vec<Effect> {
        if let Some(keeping) = &mut self.keeping {
            let effects = keeping.keeper.fail();
            self.carry(now, effects);
        }
        self.after(now)
    }

    /// What is agreed as far as this instance knows, where it keeps it.
    pub fn table(&self) -> Option<&Table> {
        self.keeping
            .as_ref()
            .filter(|k| k.keeper.has_state())
            .map(|k| &k.keeper.state.0)
    }

    pub fn held_back(&self, now: Time) -> Vec<Holdback> {
        self.table()
            .map_or(Vec::new(), |table| self.granter.held_back(now, table))
    }

    /// The budgets of the file in force.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.setup.wholes.iter().map(|(name, ..)| name)
    }

    /// For operators, as this instance sees it.
    pub fn view(&self, now: Time) -> View {
        let shown = |holder: &Holder| format!("{}.{}", holder.name, holder.life);
        let budgets = self
            .table()
            .into_iter()
            .flat_map(|table| &table.budgets)
            .map(|(name, whole)| BudgetView {
                name: name.clone(),
                whole: whole.units,
                linger_ms: whole.linger / 10,
                shares: whole
                    .shares
                    .iter()
                    .map(|(h, s)| ShareView {
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
            .wholes
            .iter()
            .map(|(name, ..)| (name.clone(), self.shares.ceiling(now, name)));
        let back = self.held_back(now).into_iter().map(|back| HeldBack {
            budget: back.budget,
            holder: shown(&back.holder),
            units: back.units,
            for_ms: ((back.until - now).0 / 10).max(0),
        });
        let keeper = self.keeping.as_ref().map(|k| &k.keeper);
        View {
            name: self.setup.me.name.clone(),
            life: self.setup.me.life,
            leader: keeper.and_then(|k| k.names().get(&k.leader()?).cloned()),
            leads: self.leads(),
            members: self.list(),
            keeps: keeper.is_some_and(|k| k.has_state() && !k.is_broken()),
            lease_ms: ((self.shares.last() - now).0 / 10).max(0),
            shares: mine.collect(),
            budgets,
            held_back: back.collect(),
        }
    }

    /// What each member is to have, where this instance leads.
    pub fn targets(&self, budget: &str) -> Vec<(String, u32)> {
        self.granter.targets(budget)
    }

    pub fn leads(&self) -> bool {
        self.granter.leads()
    }

    pub fn voters(&self) -> Vec<KeeperId> {
        self.keeping
            .as_ref()
            .map_or(Vec::new(), |k| k.keeper.voters())
    }

    fn say(&mut self, to: SocketAddr, word: &Word) {
        self.out.push(Effect::Send {
            to,
            bytes: word.encode(),
        });
    }

    fn asked_by(&mut self, now: Time, from: SocketAddr, ask: Ask) {
        if self.granter.leads() {
            if self.from.len() < MOST_HOLDERS || self.from.contains_key(&ask.holder) {
                self.from.insert(ask.holder.clone(), from);
            }
            self.granter.ask(now, ask);
        } else {
            let leader = self
                .keeping
                .as_ref()
                .and_then(|k| k.keeper.names().get(&k.keeper.leader()?).cloned());
            self.say(
                from,
                &Word::Elsewhere(leader.filter(|name| *name != self.setup.me.name)),
            );
        }
    }

    /// The asking goes to the keeper that leads, where the one that was asked knew it.
    fn elsewhere(&mut self, now: Time, from: SocketAddr, leader: Option<String>) {
        let asked = self.setup.keepers.values().nth(self.asked);
        if asked != Some(&from) {
            return;
        }
        if let Some(place) =
            leader.and_then(|name| self.setup.keepers.keys().position(|n| *n == name))
        {
            self.asked = place;
            self.shares.hurry();
        } else {
            self.turn(now);
        }
    }

    fn turn(&mut self, now: Time) {
        self.asked = (self.asked + 1) % self.setup.keepers.len().max(1);
        self.waits = Some(now);
    }

    /// A keeper without a state says so to all others.
    fn seek(&mut self, now: Time) {
        let Some(keeping) = self.keeping.as_mut().filter(|k| !k.keeper.has_state()) else {
            return;
        };
        if let Some(seek) = keeping.founding.seek(now) {
            let mine = self.setup.me.name.clone();
            let others: Vec<SocketAddr> = self
                .setup
                .keepers
                .iter()
                .filter(|(name, _)| **name != mine)
                .map(|(_, addr)| *addr)
                .collect();
            for to in others {
                self.say(to, &Word::Seek(seek.clone()));
            }
        }
        let names: Vec<String> = self.setup.keepers.keys().cloned().collect();
        let founds = self
            .keeping
            .as_ref()
            .and_then(|k| k.founding.founds(now, &names));
        if let Some(set) = founds {
            self.begin(&set);
        }
    }

    fn sought(&mut self, now: Time, from: SocketAddr, seek: &registry::Seek) {
        let names: Vec<String> = self.setup.keepers.keys().cloned().collect();
        let Some(keeping) = self.keeping.as_mut().filter(|k| k.begun) else {
            return;
        };
        if !keeping.keeper.has_state() {
            if let Some(set) = keeping.founding.heard(now, seek, &names) {
                self.begin(&set);
            }
            return;
        }
        // One that was among the founders and has not voted yet begins as they did; any other joins.
        if keeping.keeper.founders().get(&seek.id) == Some(&seek.name) {
            let set = keeping.keeper.founders().clone();
            self.say(from, &Word::Found(set));
        } else {
            let effects = keeping.keeper.admit(seek.id, &seek.name, &names);
            self.carry(now, effects);
        }
    }

    fn found(&mut self, set: &BTreeMap<KeeperId, String>) {
        let mine = self
            .keeping
            .as_ref()
            .is_some_and(|k| !k.keeper.has_state() && set.get(&k.id) == Some(&self.setup.me.name));
        if mine {
            self.begin(set);
        }
    }

    /// Begins with the state of a founder. The write goes first: nothing is said before it is on disk.
    fn begin(&mut self, set: &BTreeMap<KeeperId, String>) {
        let Some(keeping) = &mut self.keeping else {
            return;
        };
        let write = Keeper::founded(set, &Agreed::default());
        let mut saved = Saved::new(keeping.id);
        saved.apply(write.clone());
        let Ok(keeper) = Keeper::open(&saved, Agreed::default(), keeping.seed) else {
            return;
        };
        (keeping.keeper, keeping.begun) = (keeper, false);
        self.out.push(Effect::Store(write));
        self.out.push(Effect::Tell(Change::Founded(set.len())));
    }

    /// What the keeper wants done, and what it means for the granter.
    fn carry(&mut self, now: Time, effects: Vec<registry::Effect>) {
        for effect in effects {
            match effect {
                registry::Effect::Send { to, bytes } => {
                    let Some(keeping) = &self.keeping else {
                        continue;
                    };
                    let known = keeping
                        .keeper
                        .names()
                        .get(&to)
                        .and_then(|name| self.setup.keepers.get(name));
                    // One that joins knows no names yet: it answers where it was spoken to from.
                    if let Some(addr) = known.or(self.routes.get(&to)).copied() {
                        let word = Word::Raft(keeping.id, bytes);
                        self.say(addr, &word);
                    }
                }
                registry::Effect::Store(write) => self.out.push(Effect::Store(write)),
                registry::Effect::Leads(leads) => {
                    self.granter.lead(leads.then_some(now));
                    self.from.clear();
                    if let Some(keeping) = &mut self.keeping {
                        keeping.confirming = None;
                    }
                    self.out.push(Effect::Tell(Change::Leads(leads)));
                }
                registry::Effect::Confirmed(number) => {
                    let Some(keeping) = &mut self.keeping else {
                        continue;
                    };
                    keeping.confirming = None;
                    let replies = self.granter.confirmed(number, &keeping.keeper.state.0);
                    self.reply(replies);
                }
                registry::Effect::Applied => {
                    if let Some(keeping) = &self.keeping {
                        self.granter.applied(&keeping.keeper.state.0);
                    }
                }
            }
        }
    }

    fn reply(&mut self, replies: Vec<cottondyke_quota::Reply>) {
        for reply in replies {
            if reply.holder == *self.shares.me() {
                self.shares.told(&reply);
                self.waits = None;
            } else if let Some(to) = self.from.get(&reply.holder).copied() {
                self.say(to, &Word::Reply(reply));
            }
        }
    }

    /// What follows from any event: proposals, answers, an asking of its own, and what changed for the log.
    fn after(&mut self, now: Time) -> Vec<Effect> {
        self.lead(now);
        self.ask(now);
        // Its own asking may be the first that waits.
        self.lead(now);
        self.tell(now);
        std::mem::take(&mut self.out)
    }

    fn lead(&mut self, now: Time) {
        if !self.granter.leads() {
            return;
        }
        let due = now >= self.granter.due();
        let Some(keeping) = &mut self.keeping else {
            return;
        };
        let commands = if due {
            self.granter
                .commands(now, &keeping.keeper.state.0, &self.setup.wholes)
        } else {
            Vec::new()
        };
        let mut effects = Vec::new();
        for command in commands {
            let bytes = postcard::to_allocvec(&command).unwrap_or_default();
            effects.extend(keeping.keeper.propose(bytes).unwrap_or_default());
        }
        if let Some(number) = self.granter.confirm() {
            keeping.confirming = Some(keeping.ticks);
            effects.extend(keeping.keeper.confirm(number));
        }
        self.carry(now, effects);
        if let Some(keeping) = self
            .keeping
            .as_ref()
            .filter(|_| due && self.granter.leads())
        {
            let news = self.granter.news(&keeping.keeper.state.0);
            self.reply(news);
        }
    }

    fn ask(&mut self, now: Time) {
        if self
            .waits
            .is_some_and(|at| now >= at + self.setup.terms.lease.scaled(PATIENCE))
        {
            self.turn(now);
        }
        let Some(ask) = self.shares.ask(now) else {
            return;
        };
        self.waits.get_or_insert(now);
        let Some((name, to)) = self.setup.keepers.iter().nth(self.asked) else {
            return;
        };
        if *name != self.setup.me.name {
            let to = *to;
            self.say(to, &Word::Ask(ask));
        } else if self.granter.leads() {
            self.granter.ask(now, ask);
        } else {
            let leader = self
                .keeping
                .as_ref()
                .and_then(|k| k.keeper.names().get(&k.keeper.leader()?));
            let place = leader.and_then(|name| self.setup.keepers.keys().position(|n| n == name));
            match place.filter(|place| *place != self.asked) {
                Some(place) => {
                    self.asked = place;
                    self.shares.hurry();
                }
                None => self.turn(now),
            }
        }
    }

    fn tell(&mut self, now: Time) {
        let live = now < self.shares.last();
        if live != self.live {
            self.live = live;
            self.out.push(Effect::Tell(Change::Lease(live)));
        }
        for (budget, ..) in &self.setup.wholes {
            let share = self.shares.ceiling(now, budget);
            let before = self.known.insert(budget.clone(), share).unwrap_or(0);
            if before != share {
                let epoch = self.shares.epoch(budget);
                self.out.push(Effect::Tell(Change::Share {
                    budget: budget.clone(),
                    before,
                    now: share,
                    epoch,
                }));
            }
        }
        if let Some(keeping) = self
            .keeping
            .as_mut()
            .filter(|k| k.keeper.is_broken() && !k.told_broken)
        {
            keeping.told_broken = true;
            self.out.push(Effect::Tell(Change::KeeperBroken));
        }
    }
}

impl Keeping {
    fn new(name: &str, saved: &Saved, seed: u64) -> Result<Self, String> {
        Ok(Keeping {
            keeper: Keeper::open(saved, Agreed::default(), seed)?,
            founding: Founding::new(name, saved.id),
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
