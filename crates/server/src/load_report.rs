//! Reports health to the control plane, once a second and at each change. A control plane that is down, slow or sends
//! invalid responses does not affect the handling of requests.
use crate::event::ReportUpdate;
use crate::protocol::http::{self, Decoder};
use crate::socket_io;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{future, FutureExt, StreamExt};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
const READ_BYTES: usize = 1_024;

/// Sends reports until the program ends. An update is sent immediately, and aborts a report that still waits for its
/// response.
pub async fn run(mut addr: SocketAddr, name: String, updates: Receiver<ReportUpdate>) {
    let path = format!("/v2/endpoints/{name}");
    let mut interval = Timer::interval_at(Instant::now(), REPORT_INTERVAL);
    let mut healthy = false;
    let mut is_failing = false;
    loop {
        let interval_elapsed = async {
            interval.next().await;
            None
        };
        let mut update = next_update(&updates).or(interval_elapsed).await;
        let result = loop {
            match update.take() {
                Some(ReportUpdate::Health { healthy: new }) => healthy = new,
                Some(ReportUpdate::AddressChanged(new)) => addr = new,
                None => {}
            }
            let reporting = async { Ok(report_in_time(addr, &path, healthy).await) };
            let updated = async { Err(next_update(&updates).await) };
            match reporting.or(updated).await {
                Ok(result) => break result,
                Err(newer) => update = newer,
            }
        };
        if result.is_err() != is_failing {
            is_failing = !is_failing;
            match &result {
                Err(error) => tracing::warn!(%error, "reports to the control plane are failing"),
                Ok(_) => tracing::info!("reports to the control plane succeed again"),
            }
        }
    }
}

async fn next_update(updates: &Receiver<ReportUpdate>) -> Option<ReportUpdate> {
    match updates.recv().await {
        Ok(update) => Some(update),
        Err(_) => future::pending().await,
    }
}

async fn report_in_time(addr: SocketAddr, path: &str, healthy: bool) -> io::Result<()> {
    let condition = if healthy { "Ready" } else { "NotReady" };
    let body = format!("{{\"condition\":\"{condition}\"}}");
    let timeout = async {
        Timer::after(REPORT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    report(addr, path, body.as_bytes()).or(timeout).await
}

/// Sends one report on a connection of its own.
async fn report(addr: SocketAddr, path: &str, body: &[u8]) -> io::Result<()> {
    let stream = socket_io::connect(addr).await?;
    let _ = stream.get_ref().set_nodelay(true);
    let mut request = Vec::new();
    http::encode_request("PUT", path, &addr.to_string(), &[], body, &mut request);
    socket_io::write_all(&stream, &request).await?;
    let mut decoder = Decoder::default();
    let mut bytes = [0; READ_BYTES];
    loop {
        let count = socket_io::read(&stream, &mut bytes).await?;
        decoder.feed(&bytes[..count]);
        let response = decoder
            .next_response()
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        match response {
            Some(response) if (200..300).contains(&response.status) => return Ok(()),
            Some(response) => {
                return Err(io::Error::other(format!(
                    "unexpected response status {}",
                    response.status
                )))
            }
            None if count == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            None => {}
        }
    }
}
