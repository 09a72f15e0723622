//! Seeded random runs that check the four rules after every step.
use crate::world::*;
use cottondyke_admission::*;
use quickcheck::{Gen, QuickCheck};

type Steps = Vec<(u8, u16, u16)>;

pub fn set(choice: u16) -> Set {
    Set {
        halting: [Cancellation::Drop, Cancellation::Never, Cancellation::Pause]
            [choice as usize % 3],
        told: choice & 4 != 0,
        cold: choice & 8 != 0,
        reading: [
            AdviceFormat::Share,
            AdviceFormat::Credit,
            AdviceFormat::Rank,
            AdviceFormat::Unused,
        ][choice as usize / 16 % 4],
        share: (choice & 64 != 0).then_some([0.8, 2.5][choice as usize / 512 % 2]),
        skip: if choice & 128 != 0 { 0.5 } else { 0.0 },
        limit_kb: if choice & 256 != 0 { 600.0 } else { 1e6 },
        callers: [0.0, 4.0, 5000.0][choice as usize / 1024 % 3],
    }
}

pub fn step(world: &mut World, (kind, a, b): (u8, u16, u16)) {
    let pick = |ids: Vec<RequestId>| ids.get(a as usize % ids.len().max(1)).copied();
    match kind % 16 {
        0..=6 => {
            let (lay, wait) = (Time((b % 4000) as i64), Time((a % 30_000) as i64 + 100));
            world.arrive(a as usize, lay, wait, Some((b % 7) as u32));
        }
        7 | 8 => {
            if let Some(id) = pick(world.ids(State::OnCore)).filter(|_| !world.frozen) {
                world.end(
                    id,
                    if b % 8 == 0 {
                        RunOutcome::Failed
                    } else {
                        RunOutcome::Completed
                    },
                );
            }
        }
        9 => {
            if let Some(id) = pick(world.ids(State::OnCore)).filter(|_| !world.frozen) {
                world.want_call(id);
            }
        }
        10 => {
            if let Some(id) = pick(world.ids(State::Calling)) {
                world.end_call(
                    id,
                    [
                        CallOutcome::Completed,
                        CallOutcome::NotExecuted,
                        CallOutcome::Indeterminate,
                        CallOutcome::Failed,
                    ][b as usize % 4],
                );
            }
        }
        11 => {
            let open = |id: &RequestId| !world.reqs[id].answered;
            if let Some(id) = pick(world.reqs.keys().copied().filter(open).collect()) {
                world.gone(id);
            }
        }
        12 if b % 64 == 0 && world.left.is_none() => world.leave(Time(20_000)),
        13 if b % 8 == 0 => world.frozen = !world.frozen,
        _ => {
            if world
                .left
                .is_none_or(|(_, stop)| world.now + Time(b as i64 % 3000) < stop)
            {
                world.pass(Time(b as i64 % 3000));
            }
        }
    }
}

fn keeps_rules(choice: u16, steps: Steps) -> bool {
    let mut world = World::new(set(choice));
    steps.into_iter().for_each(|s| step(&mut world, s));
    // Whatever is still open gets its answer in time.
    let end = world
        .left
        .map_or(Time(40_000), |(_, stop)| stop - world.now - Time(1));
    world.pass(end.max(Time(0)));
    // The passes are bounded: each firing moves one req one phase on.
    world.most_passes <= 2 * world.reqs.len() + 2
}

#[test]
fn random_runs_keep_the_rules() {
    let rng = Gen::from_size_and_seed(160, 1);
    QuickCheck::new()
        .rng(rng)
        .tests(1000)
        .quickcheck(keeps_rules as fn(u16, Steps) -> bool);
}
