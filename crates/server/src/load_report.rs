//! Reports to the control plane, one each second and one at each change. It may be down, slow or odd: serving goes on.
use crate::event::ReportUpdate;
use crate::protocol::http::{self, Decoder};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const EACH: Duration = Duration::from_secs(1);
const LIMIT: Duration = Duration::from_millis(800);

/// Reports until the program ends. News goes out at once, whatever report still waits for its answer.
pub async fn keep(mut addr: SocketAddr, name: String, changes: Receiver<ReportUpdate>) {
    let path = format!("/v2/endpoints/{name}");
    let mut beat = Timer::interval_at(std::time::Instant::now(), EACH);
    let (mut failing, mut ready) = (false, false);
    loop {
        let due = async {
            futures_lite::StreamExt::next(&mut beat).await;
            None
        };
        let mut news = heard(&changes).or(due).await;
        let result = loop {
            match news.take() {
                Some(ReportUpdate::Health(good)) => ready = good,
                Some(ReportUpdate::Moved(to)) => addr = to,
                None => {}
            }
            let condition = if ready { "Ready" } else { "NotReady" };
            let body = format!("{{\"condition\":\"{condition}\"}}");
            let late = async {
                Timer::after(LIMIT).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            let answered = async { Ok(report(addr, &path, body.as_bytes()).or(late).await) };
            match answered.or(async { Err(heard(&changes).await) }).await {
                Ok(result) => break result,
                Err(more) => news = more,
            }
        };
        if result.is_err() != failing {
            failing = !failing;
            match &result {
                Err(error) => tracing::warn!(%error, "reports to the control plane fail"),
                Ok(_) => tracing::info!("reports to the control plane arrive again"),
            }
        }
    }
}

async fn heard(changes: &Receiver<ReportUpdate>) -> Option<ReportUpdate> {
    match changes.recv().await {
        Ok(news) => Some(news),
        Err(_) => std::future::pending().await,
    }
}

/// One report, on a connection of its own.
async fn report(addr: SocketAddr, path: &str, body: &[u8]) -> io::Result<()> {
    let mut stream = Async::<TcpStream>::connect(addr).await?;
    let _ = stream.get_ref().set_nodelay(true);
    let mut bytes = Vec::new();
    http::request("PUT", path, &addr.to_string(), &[], body, &mut bytes);
    stream.write_all(&bytes).await?;
    let mut decoder = Decoder::default();
    let mut read = [0; 1_024];
    loop {
        let count = stream.read(&mut read).await?;
        decoder.feed(&read[..count]);
        let reply = decoder
            .reply()
            .map_err(|wrong| io::Error::new(io::ErrorKind::InvalidData, wrong.0))?;
        match reply {
            Some(reply) if (200..300).contains(&reply.status) => return Ok(()),
            Some(reply) => return Err(io::Error::other(format!("answered {}", reply.status))),
            None if count == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            None => {}
        }
    }
}
