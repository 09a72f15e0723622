//! Background tasks of the server.
use async_executor::Task;
use futures_lite::future;

/// Propagates a panic of the task; otherwise never completes, even if the task does. A panic of a task is passed on
/// only where the task is awaited.
pub async fn propagate_panic(task: Option<Task<()>>) {
    if let Some(task) = task {
        task.await;
    }
    future::pending().await
}
