//! A records service that answers each call after a random time, with the result that a fake machine takes for right.
use cottondyke_test_support::fake_machine::call_result;
use cottondyke_test_support::fakes::FakeService;
use fastrand::Rng;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A running records service; it takes no more connections once it is dropped.
pub(crate) struct FakeRecords {
    is_stopped: Arc<AtomicBool>,
}

impl FakeRecords {
    pub(crate) fn start(listener: TcpListener, seed: u64, max_call_time: Duration) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = is_stopped.clone();
        std::thread::spawn(move || {
            let mut random = Rng::with_seed(seed);
            while !stopped.load(Ordering::Relaxed) {
                if let Ok(service) = FakeService::accept(&listener) {
                    let random = random.fork();
                    std::thread::spawn(move || serve(service, random, max_call_time));
                }
            }
        });
        FakeRecords { is_stopped }
    }
}

impl Drop for FakeRecords {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Answers calls until the connection ends.
fn serve(mut service: FakeService, mut random: Rng, max_call_time: Duration) {
    while let Ok(request) = service.receive_request() {
        std::thread::sleep(max_call_time.mul_f64(random.f64()));
        let result = call_result(&String::from_utf8_lossy(&request.body));
        if service.reply("200 OK", "", result.as_bytes()).is_err() {
            return;
        }
    }
}
