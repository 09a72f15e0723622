//! The queue for commands to the engine while there is no link.
use cottondyke::execution::command_queue::{Delivery, EngineCommandQueue};
use cottondyke::protocol::engine::{EngineCommand, MessageNumber, Tag};
use cottondyke::protocol::WireId;
use cottondyke_types::Time;

/// Commands that are sent while there is no link must be kept until the link's fence is answered or times out.
#[test]
fn queues_commands_until_the_link_is_up_and_its_fence_passed() {
    let id = WireId::new("9b1f03aa5c7e2d41").unwrap();
    let (skip, cancel) = (
        EngineCommand::SkipCall(id, MessageNumber(1)),
        EngineCommand::CancelRun(id),
    );
    let mut queue = EngineCommandQueue::default();
    assert_eq!(queue.query_load(), None);
    [&skip, &cancel, &cancel]
        .into_iter()
        .for_each(|c| assert_eq!(queue.send(c.clone()), Delivery::Queued));
    for is_fence_answered in [true, false] {
        let (link, commands) = async_channel::unbounded();
        queue.link_up(Time(0), link);
        let fence = commands.try_recv();
        let Ok(EngineCommand::QueryLoad(tag)) = fence else {
            panic!("{fence:?}")
        };
        assert!(
            commands.is_empty(),
            "no queued command is sent before the fence has passed"
        );
        assert!(if is_fence_answered {
            queue.pass_fence(tag)
        } else {
            !queue.expire_fence(Time(9_999)) && queue.expire_fence(Time(10_000))
        });
        assert_eq!(queue.queued_runs().len(), 1);
        assert_eq!(queue.resume(), Delivery::Sent(Tag(tag.0 + 1)));
        assert_eq!(
            [commands.try_recv(), commands.try_recv()],
            [Ok(skip.clone()), Ok(cancel.clone())]
        );
        assert!(
            commands.is_empty(),
            "a queued cancellation is not duplicated"
        );
        // The link breaks before the commands are written, so they are queued again.
        queue.link_down(vec![skip.clone(), cancel.clone()]);
    }
}
