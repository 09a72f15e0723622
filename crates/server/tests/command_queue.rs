//! Commands to the engine while there is no link.
use cottondyke::execution::command_queue::EngineCommandQueue;
use cottondyke::protocol::engine::{EngineCommand, MessageNumber};
use cottondyke::protocol::WireId;
use cottondyke_types::Time;

/// Guards commands given while there is no link, and the wait for a fence that is never answered.
#[test]
fn queues_commands_until_the_link_and_its_fence_are_there() {
    let id = WireId::new("9b1f03aa5c7e2d41").unwrap();
    let (skip, halt) = (
        EngineCommand::SkipCall(id, MessageNumber(1)),
        EngineCommand::CancelRun(id),
    );
    let mut engine = EngineCommandQueue::default();
    assert_eq!(engine.query_load(), None);
    [&skip, &halt, &halt]
        .into_iter()
        .for_each(|c| engine.send(c.clone()));
    for fenced in [true, false] {
        let (outlet, commands) = async_channel::unbounded();
        engine.link_up(Time(0), outlet);
        let fence = commands.try_recv();
        let Ok(EngineCommand::QueryLoad(tag)) = fence else {
            panic!("{fence:?}")
        };
        assert!(commands.is_empty(), "nothing passes the fence");
        assert!(if fenced {
            engine.pass_fence(tag)
        } else {
            !engine.expire_fence(Time(9_999)) && engine.expire_fence(Time(10_000))
        });
        engine.resume(Vec::new());
        assert_eq!(
            [commands.try_recv(), commands.try_recv()],
            [Ok(skip.clone()), Ok(halt.clone())]
        );
        assert!(commands.is_empty(), "a halt that waits is not repeated");
        // The link breaks before they are written: they wait again.
        engine.link_down(vec![skip.clone(), halt.clone()]);
    }
}
