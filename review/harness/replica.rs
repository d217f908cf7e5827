//! A stand-in of a replica: check-ins, and one thread for each connection.

use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, read_message};
use crate::record;

/// Answers one request on its connection; returns false if the connection is to close.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

pub struct Replica;

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: IpAddr,
        capacity: u32,
        control: &[SocketAddr],
        handler: Handler,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        let own_id = id.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, own_id) = (handler.clone(), own_id.clone());
                thread::spawn(move || serve(stream, &own_id, &handler));
            }
        });
        let (own_id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        let control = control.to_vec();
        thread::spawn(move || check_in(&own_id, &service, &zone, addr, capacity, &control));
        Ok(Self)
    }
}

fn serve(mut stream: TcpStream, own_id: &str, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(req)) = read_message(&mut reader) {
        let is_other = req.header("expected-replica").is_some_and(|id| id != own_id);
        if is_other {
            let answer =
                "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            if std::io::Write::write_all(&mut stream, answer.as_bytes()).is_err() {
                return;
            }
        } else if !handler(&req, &mut stream) {
            return;
        }
    }
}

/// Sends a check-in every 1,200 ms, sooner after a failure.
fn check_in(
    id: &str,
    service: &str,
    zone: &str,
    addr: SocketAddr,
    capacity: u32,
    control: &[SocketAddr],
) {
    let born = unix_ms();
    for n in 1.. {
        let taken = send_check_in(id, service, zone, "v1", addr, capacity, n, born, control);
        if n == 1 || !taken {
            record::line(&format!("check-in of {id} at {addr}: acknowledged {taken}"));
        }
        thread::sleep(Duration::from_millis(if taken { 1_200 } else { 200 }));
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Sends one check-in to the first control host that acknowledges it; returns whether one did.
#[allow(clippy::too_many_arguments)]
pub fn send_check_in(
    id: &str,
    service: &str,
    zone: &str,
    version: &str,
    addr: SocketAddr,
    capacity: u32,
    sequence: u64,
    born: u64,
    control: &[SocketAddr],
) -> bool {
    let body = format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
         \"version\":\"{version}\",\"capacity\":{capacity},\"state\":\"ready\",\
         \"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
    );
    let path = format!("POST /v1/Replicas.Heartbeat/{id}");
    let headers = [("Host", "control"), ("Content-Type", "application/json")];
    control.iter().any(|addr| {
        let answer = http::call(*addr, &path, &headers, &body, Duration::from_secs(1));
        answer.is_ok_and(|m| m.status() == 200)
    })
}
