//! Fakes of the HTTP services that the server calls, the records service and the control plane. Each sends one fixed
//! response.
use cottondyke_test_support::fakes::FakeService;
use std::io::{self, BufReader};
use std::net::{TcpListener, TcpStream};
use std::thread;

pub(crate) const RECORDS_ADDRESS: &str = "127.0.0.1:8900";
pub(crate) const CONTROL_PLANE_ADDRESS: &str = "127.0.0.1:8761";

/// The listeners of both services.
pub(crate) struct Services {
    records: TcpListener,
    control_plane: TcpListener,
}

/// The fixed response of a service.
#[derive(Clone, Copy)]
struct Response {
    status: &'static str,
    body: &'static [u8],
}

const RECORDS_RESPONSE: Response = Response {
    status: "200 OK",
    body: b"all in stock",
};
const CONTROL_PLANE_RESPONSE: Response = Response {
    status: "204 No Content",
    body: b"",
};

pub(crate) fn listen() -> io::Result<Services> {
    Ok(Services {
        records: TcpListener::bind(RECORDS_ADDRESS)?,
        control_plane: TcpListener::bind(CONTROL_PLANE_ADDRESS)?,
    })
}

impl Services {
    /// Serves both on background threads until the program ends.
    pub(crate) fn start(self) {
        thread::spawn(move || serve("records", &self.records, RECORDS_RESPONSE));
        thread::spawn(move || serve("control", &self.control_plane, CONTROL_PLANE_RESPONSE));
    }
}

fn serve(name: &'static str, listener: &TcpListener, response: Response) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || serve_connection(name, stream, response));
    }
}

fn serve_connection(name: &str, stream: TcpStream, response: Response) {
    let mut service = FakeService(BufReader::new(stream));
    while let Ok(request) = service.receive_request() {
        let body = String::from_utf8_lossy(&request.body);
        println!("{name}: {} {body}", request.line);
        if service.reply(response.status, "", response.body).is_err() {
            return;
        }
    }
}
