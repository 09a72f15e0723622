//! The engine: it runs requests whose body says how long they take and how often they call, and sends numbered notices.
//!
//! A body is a list of durations in milliseconds, separated by `+`: `150+200` takes 150 ms, then waits for one call,
//! then takes 200 ms. The cores are never short: a run takes as long as its body says.
use super::services::reply_to;
use super::{lock, sleep_ms, Record, World};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The call that a run waits for.
struct WaitingCall {
    notice: u64,
    body: String,
}

struct Run {
    started: Instant,
    durations: Vec<u64>,
    /// The number of durations that are over.
    done: usize,
    waiting: Option<WaitingCall>,
    /// The replies to its calls, or `skipped`.
    replies: Vec<String>,
}

struct Link {
    number: u64,
    stream: TcpStream,
    out: Sender<Vec<u8>>,
}

#[derive(Default)]
struct State {
    is_up: bool,
    /// Whether the runs make no progress. Commands are still read, and gauges are sent.
    hangs: bool,
    started: Option<Instant>,
    runs: HashMap<String, Run>,
    /// All notices, in order; the first has number 1.
    notices: Vec<Vec<u8>>,
    link: Option<Link>,
    links: u64,
    /// Links that wait for `HELLO` until the engine is up.
    attached: Option<(u64, usize)>,
}

/// The engine's cores, and how it sends its notices.
#[derive(Clone, Copy)]
pub struct Manner {
    pub cores: f64,
    /// Pause between the two pieces in which each notice is sent; 0 sends it whole.
    pub piece_pause_ms: u64,
}

#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    world: World,
    record: Record,
    manner: Manner,
}

impl Engine {
    /// Starts an engine that accepts links, and is up only once [`Engine::come_up`] is called.
    pub fn start(world: World, record: Record, manner: Manner) -> (Self, SocketAddr) {
        let engine = Engine {
            state: Arc::default(),
            world,
            record,
            manner,
        };
        let addr = engine.listen();
        (engine, addr)
    }

    /// Listens on one more address.
    pub fn listen(&self) -> SocketAddr {
        let listener: TcpListener = super::listen();
        let addr = listener.local_addr().expect("a local address");
        let engine = self.clone();
        super::accept_forever(listener, move |stream| {
            let _ = engine.serve(stream);
        });
        addr
    }

    /// The engine is up: it says hello on the link that waits for it.
    pub fn come_up(&self) {
        let mut state = lock(&self.state);
        state.is_up = true;
        state.started = Some(Instant::now());
        self.record.line("engine: up");
        if let Some((link, last_read)) = state.attached.take() {
            self.hello(&mut state, link, last_read);
        }
    }

    /// Sets whether the runs make no progress from now on.
    pub fn set_hangs(&self, hangs: bool) {
        self.record.line(format!("engine: its runs hang: {hangs}"));
        lock(&self.state).hangs = hangs;
    }

    pub fn has_link(&self) -> bool {
        lock(&self.state).link.is_some()
    }

    /// The number of runs that have not ended.
    pub fn open_runs(&self) -> usize {
        lock(&self.state).runs.len()
    }

    /// Breaks the link. What was written to it before is not taken back.
    pub fn break_link(&self) {
        let mut state = lock(&self.state);
        if let Some(link) = state.link.take() {
            self.record
                .line(format!("engine: link {} breaks", link.number));
            let _ = link.stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let (words, _) = read_command(&mut reader)?;
        if words[0] != "ATTACH" {
            return Ok(());
        }
        let last_read = words[1].parse().unwrap_or(0);
        let number = self.attach(stream, last_read);
        loop {
            let command = read_command(&mut reader);
            let mut state = lock(&self.state);
            let (words, body) = match command {
                Ok(command) => command,
                Err(error) => {
                    if state
                        .link
                        .as_ref()
                        .is_some_and(|link| link.number == number)
                    {
                        state.link = None;
                    }
                    return Err(error);
                }
            };
            if words[0] != "STAT" {
                let body = String::from_utf8_lossy(&body);
                self.record
                    .line(format!("engine: link {number} read {words:?} {body:?}"));
            }
            let reply = self.execute(&mut state, &words, body);
            if let (Some(reply), Some(link)) = (reply, &state.link) {
                let _ = link.out.send(format!("{reply}\r\n").into_bytes());
            }
        }
    }

    /// Replaces the link, and returns the number of the new one.
    fn attach(&self, stream: TcpStream, last_read: usize) -> u64 {
        let mut state = lock(&self.state);
        state.links += 1;
        let number = state.links;
        let (out, pieces) = channel();
        let (writer, manner) = (stream.try_clone(), self.manner);
        if let Ok(writer) = writer {
            std::thread::spawn(move || write_pieces(writer, &pieces, manner));
        }
        self.record.line(format!(
            "engine: link {number} attached after notice {last_read}"
        ));
        state.link = Some(Link {
            number,
            stream,
            out,
        });
        if state.is_up {
            self.hello(&mut state, number, last_read);
        } else {
            state.attached = Some((number, last_read));
        }
        number
    }

    fn hello(&self, state: &mut State, number: u64, last_read: usize) {
        let age = state.started.map_or(0, |at| at.elapsed().as_millis());
        let Some(link) = state.link.as_ref().filter(|link| link.number == number) else {
            return;
        };
        self.record.line(format!("engine: HELLO on link {number}"));
        let _ = link
            .out
            .send(format!("HELLO running {age}\r\n").into_bytes());
        for notice in &state.notices[last_read.min(state.notices.len())..] {
            let _ = link.out.send(notice.clone());
        }
    }

    /// Executes a command and returns the line that answers it, if there is one.
    fn execute(&self, state: &mut State, words: &[String], body: Vec<u8>) -> Option<String> {
        let id = words.get(1).cloned().unwrap_or_default();
        match words[0].as_str() {
            "RUN" => self.start_run(state, &id, &words[2], body),
            "HALT" => {
                if state.runs.remove(&id).is_some() {
                    self.notify(state, |n| format!("DONE {n} {id} broken_off 1 0\r\n\r\n"));
                }
                None
            }
            "FEED" => {
                let reply = String::from_utf8_lossy(&body).into_owned();
                let waiting = state.runs.get_mut(&id).and_then(|run| run.waiting.take());
                let Some(waiting) = waiting else {
                    return Some(format!("NO FEED {id}"));
                };
                let expected = reply_to(&waiting.body);
                if reply != expected {
                    self.record.line(format!(
                        "engine: WRONG REPLY: {id} waits for the reply to {:?} and is fed {reply:?}",
                        waiting.body
                    ));
                    let pair = (expected, reply.clone());
                    self.world
                        .update(&id, |request| request.wrong_replies.push(pair));
                }
                self.resume(state, &id, reply);
                None
            }
            "SKIP" => {
                let number: u64 = words[2].parse().unwrap_or(0);
                let run = state.runs.get_mut(&id);
                let waiting = run.and_then(|run| run.waiting.take_if(|w| w.notice == number));
                if waiting.is_none() {
                    return Some(format!("NO SKIP {id}"));
                }
                self.resume(state, &id, "skipped".to_string());
                None
            }
            "STAT" => {
                let on_core = state
                    .runs
                    .values()
                    .filter(|run| run.waiting.is_none())
                    .count();
                // The pages do not say what the gauges show while runs hang: half of the cores.
                let busy = match state.hangs {
                    true => 0.5,
                    false => (on_core as f64 / self.manner.cores).min(1.0),
                };
                Some(format!("STATS {id} {busy:.2} {on_core} 0.1 3"))
            }
            "TEST" => Some(format!("TESTED {id} fine")),
            other => Some(format!("NO {other} {id}")),
        }
    }

    fn start_run(&self, state: &mut State, id: &str, class: &str, body: Vec<u8>) -> Option<String> {
        let body = String::from_utf8_lossy(&body).into_owned();
        let known = self.world.requests().get(id).cloned();
        if !known.is_some_and(|request| request.class == class && request.body == body) {
            return Some(format!("NO RUN {id}"));
        }
        if state.runs.contains_key(id) {
            return None;
        }
        if self.world.is_answered(id) {
            self.notify(state, |n| format!("DONE {n} {id} late 0 0\r\n\r\n"));
            return None;
        }
        let durations: Vec<u64> = body.split('+').filter_map(|d| d.parse().ok()).collect();
        let now = Instant::now();
        self.world.update(id, |request| request.runs.push(now));
        let run = Run {
            started: now,
            durations,
            done: 0,
            waiting: None,
            replies: Vec::new(),
        };
        state.runs.insert(id.to_string(), run);
        self.work(state, id);
        None
    }

    fn resume(&self, state: &mut State, id: &str, reply: String) {
        if let Some(run) = state.runs.get_mut(id) {
            run.replies.push(reply);
        }
        self.work(state, id);
    }

    /// Spends the next duration of a run.
    fn work(&self, state: &mut State, id: &str) {
        let Some(run) = state.runs.get(id) else {
            return;
        };
        let duration = run.durations.get(run.done).copied().unwrap_or(1);
        let (engine, id, started) = (self.clone(), id.to_string(), run.started);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(duration));
            while lock(&engine.state).hangs {
                sleep_ms(5);
            }
            let mut state = lock(&engine.state);
            let run = state.runs.get_mut(&id);
            if let Some(run) = run.filter(|run| run.started == started) {
                run.done += 1;
                engine.end_of_duration(&mut state, &id);
            }
        });
    }

    fn end_of_duration(&self, state: &mut State, id: &str) {
        let Some(run) = state.runs.get(id) else {
            return;
        };
        if run.done >= run.durations.len() {
            let ms = run.started.elapsed().as_millis();
            let result = format!("result of {id}: {}", run.replies.join("; "));
            state.runs.remove(id);
            self.world
                .update(id, |request| request.results.push(result.clone()));
            let length = result.len();
            self.notify(state, |n| {
                format!("DONE {n} {id} fine {ms} {length}\r\n{result}\r\n")
            });
        } else if self.world.is_answered(id) {
            state.runs.remove(id);
            self.notify(state, |n| format!("DONE {n} {id} broken_off 1 0\r\n\r\n"));
        } else {
            let call = format!("call {} of {id}", run.done);
            let length = call.len();
            let number = self.notify(state, |n| format!("NEED {n} {id} {length}\r\n{call}\r\n"));
            if let Some(run) = state.runs.get_mut(id) {
                run.waiting = Some(WaitingCall {
                    notice: number,
                    body: call,
                });
            }
        }
    }

    /// Sends the next notice, and keeps it for later links.
    fn notify(&self, state: &mut State, text: impl FnOnce(u64) -> String) -> u64 {
        let number = state.notices.len() as u64 + 1;
        let notice = text(number).into_bytes();
        let line = String::from_utf8_lossy(&notice).replace("\r\n", " ");
        self.record.line(format!("engine: notice {line}"));
        state.notices.push(notice.clone());
        if let Some(link) = state.link.as_ref().filter(|_| state.is_up) {
            let _ = link.out.send(notice);
        }
        number
    }
}

/// Writes messages in order. If the manner says so, the last notice is cut in two, and its second half is sent after a
/// pause, with whatever has come meanwhile.
fn write_pieces(mut stream: TcpStream, messages: &Receiver<Vec<u8>>, manner: Manner) {
    let mut held_back = Vec::new();
    loop {
        let first = match held_back.is_empty() {
            true => messages.recv().ok(),
            false => messages.try_recv().ok(),
        };
        if first.is_none() && held_back.is_empty() {
            return;
        }
        let mut bytes = std::mem::take(&mut held_back);
        for message in first.into_iter().chain(messages.try_iter()) {
            bytes.append(&mut held_back);
            let is_notice = message.starts_with(b"NEED") || message.starts_with(b"DONE");
            let cut = match is_notice && manner.piece_pause_ms > 0 {
                true => message.len() / 2,
                false => message.len(),
            };
            bytes.extend(&message[..cut]);
            held_back = message[cut..].to_vec();
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
        if !held_back.is_empty() {
            sleep_ms(manner.piece_pause_ms);
        }
    }
}

/// The words of a command and its body, which is empty for a command without one.
fn read_command(reader: &mut BufReader<TcpStream>) -> io::Result<(Vec<String>, Vec<u8>)> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let words: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
    let mut body = Vec::new();
    if ["RUN", "FEED"].contains(&words[0].as_str()) {
        let length = words.last().and_then(|word| word.parse::<usize>().ok());
        let length = length.ok_or_else(|| io::Error::other("a command without a length"))?;
        body.resize(length + 2, 0);
        reader.read_exact(&mut body)?;
        body.truncate(length);
    }
    Ok((words, body))
}
