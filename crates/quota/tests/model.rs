//! The lease protocol as a model: the table, the leader's part and the holders' as they are, and every order of what
//! may happen between them that a bounded search comes to: words lost, late and twice, commands agreed one by one,
//! leaders that follow each other, holders that crash and holders that are stopped in the middle of a call, a registry
//! founded anew. What must hold in every state: units in use, or usable without another word, are never over the whole.
use cottondyke_quota::*;
use cottondyke_types::Time;
use stateright::{Checker, Model, Property, UniformChooser};
use std::hash::{Hash, Hasher};

const BUDGET: &str = "calls";
const WHOLE: u32 = 2;
/// One step of the clock is half of a lease; a call goes on for three at the most, and no stop is longer than one.
const STEP: i64 = 500;
const LEASE: Time = Time(2 * STEP);
const LINGER: Time = Time(3 * STEP);
const SLIP: Time = Time(STEP);
const STEPS: i64 = 12;
/// Words under way at one time; further ones are lost.
const WORDS: usize = 3;

#[derive(Clone, Debug, PartialEq)]
enum Word {
    LeaseRequest(LeaseRequest),
    LeaseResponse(LeaseResponse),
}

#[derive(Clone, Debug)]
struct Member {
    life: u64,
    shares: LeaseHolder,
    /// When its calls began.
    calls: Vec<Time>,
    /// It looked, was allowed a call, and was stopped before it was sent.
    stopped: Option<Time>,
}

/// Two states are one where they look alike.
#[derive(Clone, Debug)]
struct World {
    now: Time,
    table: QuotaTable,
    granter: LeaseManager,
    /// Proposed and not yet agreed.
    proposed: Vec<Command>,
    words: Vec<Word>,
    members: Vec<Member>,
    /// Calls of lives that are over.
    ghosts: Vec<Time>,
    /// How many more of these may happen: words twice, crashes, new leaders, registries founded anew.
    left: [u8; 4],
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Clock,
    LeaseRequest(usize),
    Call(usize),
    Stop(usize),
    Wake(usize),
    Arrive(usize),
    ArriveTwice(usize),
    Lose(usize),
    /// The leader divides: what it proposed is agreed but for the last so many commands.
    Lead(usize),
    NewLeader,
    Crash(usize, bool),
    Anew,
}

struct Lease {
    defences: Safeguards,
}

impl Lease {
    fn terms(&self) -> LeaseConfig {
        LeaseConfig {
            lease_duration: LEASE,
            max_process_pause: SLIP,
            safeguards: self.defences,
        }
    }

    fn member(&self, place: usize, life: u64, former: Option<u64>) -> Member {
        let name = ["a", "b"][place].to_string();
        let mut shares = LeaseHolder::new(
            Holder {
                name,
                incarnation: life,
            },
            former,
            self.terms(),
        );
        shares.set_budgets([BUDGET.to_string()].into_iter());
        Member {
            life,
            shares,
            calls: Vec::new(),
            stopped: None,
        }
    }

    fn lead(&self, world: &mut World, kept: usize) {
        let wholes = [BudgetSpec {
            name: BUDGET.to_string(),
            units: WHOLE,
            post_cancel_grace: LINGER,
        }];
        world.proposed.extend(
            world
                .granter
                .plan_commands(world.now, &world.table, &wholes),
        );
        let agreed = world.proposed.len().saturating_sub(kept);
        for command in world.proposed.drain(..agreed).collect::<Vec<_>>() {
            let _ = world.table.apply(&command);
            world.granter.handle_applied(&world.table);
        }
        let mut replies = Vec::new();
        if let Some(round) = world.granter.start_read_index() {
            replies = world.granter.handle_read_index(round, &world.table);
        }
        replies.extend(world.granter.pending_notifications(&world.table));
        replies
            .into_iter()
            .for_each(|reply| say(world, Word::LeaseResponse(reply)));
    }
}

fn asks(member: &mut Member, place: usize, now: Time) -> Option<LeaseRequest> {
    let held = member.calls.len() as u32;
    // The first needs much at first, the other later.
    let need = if (place == 0) == (now < Time(STEP)) {
        WHOLE
    } else {
        0
    };
    member.shares.record_usage(
        BUDGET,
        Usage {
            in_use: held,
            needed: need,
            weight: 1.0,
        },
    );
    member.shares.next_request(now)
}

fn say(world: &mut World, word: Word) {
    if world.words.len() < WORDS {
        world.words.push(word);
    }
}

fn arrive(world: &mut World, word: Word) {
    match word {
        Word::LeaseRequest(ask) => world.granter.handle_request(world.now, ask),
        Word::LeaseResponse(reply) => {
            let to = world
                .members
                .iter_mut()
                .find(|m| *m.shares.holder() == reply.holder && m.stopped.is_none());
            to.into_iter()
                .for_each(|member| member.shares.handle_response(&reply));
        }
    }
}

/// Units in use, and those that could be without another word.
fn used(world: &World) -> u32 {
    let of = |m: &Member| {
        let held = m.calls.len() as u32 + u32::from(m.stopped.is_some());
        held.max(if m.stopped.is_none() {
            m.shares.available(world.now, BUDGET)
        } else {
            0
        })
    };
    world.members.iter().map(of).sum::<u32>() + world.ghosts.len() as u32
}

impl Model for Lease {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        // One member has the whole, and both were just heard.
        let mut world = World {
            now: Time(0),
            table: QuotaTable::default(),
            granter: LeaseManager::new(self.terms()),
            proposed: Vec::new(),
            words: Vec::new(),
            members: vec![self.member(0, 1, None), self.member(1, 2, None)],
            ghosts: Vec::new(),
            left: [1, 1, 1, 1],
        };
        world.granter.set_leadership(Some(Time(-10 * STEP)));
        let first = [
            Command::Open,
            Command::SetBudget {
                budget: BUDGET.into(),
                units: WHOLE,
                post_cancel_grace: LINGER.0,
            },
            Command::RaiseQuota {
                budget: BUDGET.into(),
                holder: world.members[0].shares.holder().clone(),
                amount: WHOLE,
                expected_epoch: None,
            },
        ];
        first
            .iter()
            .for_each(|command| world.table.apply(command).expect("the first commands fit"));
        world.members[0].shares.record_usage(
            BUDGET,
            Usage {
                in_use: 0,
                needed: WHOLE,
                weight: 1.0,
            },
        );
        let ask = world.members[0]
            .shares
            .next_request(world.now)
            .expect("the first asking is due");
        world.granter.handle_request(world.now, ask);
        self.lead(&mut world, 0);
        while let Some(word) = world.words.pop() {
            arrive(&mut world, word);
        }
        vec![world]
    }

    fn actions(&self, world: &World, out: &mut Vec<Step>) {
        // One that is stopped wakes in time.
        let overslept = world
            .members
            .iter()
            .any(|m| m.stopped.is_some_and(|at| world.now >= at + SLIP));
        if world.now < Time(STEPS * STEP) && !overslept {
            out.push(Step::Clock);
        }
        for (place, member) in world.members.iter().enumerate() {
            if let Some(at) = member.stopped {
                // No stop is longer than is allowed for.
                out.extend((world.now <= at + SLIP).then_some(Step::Wake(place)));
                continue;
            }
            out.extend(
                asks(&mut member.clone(), place, world.now).map(|_| Step::LeaseRequest(place)),
            );
            if (member.calls.len() as u32) < member.shares.available(world.now, BUDGET) {
                out.extend([Step::Call(place), Step::Stop(place)]);
            }
            if world.left[1] > 0 {
                out.extend([Step::Crash(place, true), Step::Crash(place, false)]);
            }
        }
        for place in 0..world.words.len() {
            out.extend([Step::Arrive(place), Step::Lose(place)]);
            out.extend((world.left[0] > 0).then_some(Step::ArriveTwice(place)));
        }
        out.extend([Step::Lead(0), Step::Lead(1)]);
        out.extend((world.left[2] > 0).then_some(Step::NewLeader));
        out.extend((world.left[3] > 0).then_some(Step::Anew));
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        let now = next.now;
        match step {
            Step::Clock => {
                next.now = now + Time(STEP);
                let goes_on = |began: &Time| *began + LINGER > next.now;
                next.members
                    .iter_mut()
                    .for_each(|m| m.calls.retain(goes_on));
                next.ghosts.retain(goes_on);
            }
            Step::LeaseRequest(place) => {
                let ask = asks(&mut next.members[place], place, now)?;
                say(&mut next, Word::LeaseRequest(ask));
            }
            Step::Call(place) => next.members[place].calls.push(now),
            Step::Stop(place) => next.members[place].stopped = Some(now),
            Step::Wake(place) => {
                let member = &mut next.members[place];
                member.stopped = None;
                member.calls.push(now);
            }
            Step::Arrive(place) => {
                let word = next.words.remove(place);
                arrive(&mut next, word);
            }
            Step::ArriveTwice(place) => {
                next.left[0] -= 1;
                let word = next.words[place].clone();
                arrive(&mut next, word);
            }
            Step::Lose(place) => drop(next.words.remove(place)),
            Step::Lead(kept) => self.lead(&mut next, kept),
            Step::NewLeader => {
                next.left[2] -= 1;
                next.granter.set_leadership(Some(now));
            }
            Step::Crash(place, known) => {
                next.left[1] -= 1;
                let old = next.members[place].clone();
                next.ghosts.extend(old.calls);
                next.members[place] = self.member(place, old.life + 2, known.then_some(old.life));
            }
            Step::Anew => {
                next.left[3] -= 1;
                (next.table, next.proposed) = (QuotaTable::default(), Vec::new());
                next.granter.set_leadership(Some(now));
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "never over the whole",
            |_, world: &World| used(world) <= WHOLE,
        )]
    }
}

/// States that are looked at; a counterexample ends a search before.
const STATES: usize = 200_000;

fn searched(defences: Safeguards, seed: Option<u64>) -> Option<Vec<Step>> {
    let model = Lease { defences }
        .checker()
        .threads(4)
        .target_state_count(STATES);
    let found = match seed {
        None => model.spawn_bfs().join().discovery("never over the whole"),
        Some(seed) => model
            .spawn_simulation(seed, UniformChooser)
            .join()
            .discovery("never over the whole"),
    };
    found.map(|path| path.into_actions())
}

/// Guards the ceiling in every order of events that the search comes to: all short ones, and long ones by chance.
#[test]
fn the_whole_is_never_passed() {
    assert_eq!(searched(Safeguards::default(), None), None);
    assert_eq!(searched(Safeguards::default(), Some(1)), None);
}

/// Guards the model: without any one of the protocol's defences it finds how the ceiling breaks.
#[test]
fn the_search_finds_planted_faults() {
    let all = Safeguards::default();
    for (name, planted) in [
        (
            "lease",
            Safeguards {
                lease: false,
                ..all
            },
        ),
        (
            "fence",
            Safeguards {
                fence: false,
                ..all
            },
        ),
        (
            "linger",
            Safeguards {
                post_cancel_grace: false,
                ..all
            },
        ),
    ] {
        let found = searched(planted, None)
            .or_else(|| (1..4).find_map(|seed| searched(planted, Some(seed))));
        assert!(found.is_some(), "nothing found without {name}");
    }
}
