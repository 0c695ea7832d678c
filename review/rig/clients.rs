//! Clients that ask for streams at a steady rate, each on a new connection.

use crate::util::connect;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Clients {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    is_over: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    other: Arc<AtomicU64>,
}

impl Clients {
    /// Asks each route in turn, `per_s` times a second in all.
    pub fn start(addresses: Vec<SocketAddr>, routes: usize, per_s: u64) -> Self {
        let clients = Self {
            addresses: Arc::new(Mutex::new(addresses)),
            is_over: Arc::default(),
            served: Arc::default(),
            other: Arc::default(),
        };
        let (addresses, is_over) = (Arc::clone(&clients.addresses), Arc::clone(&clients.is_over));
        let (served, other) = (Arc::clone(&clients.served), Arc::clone(&clients.other));
        std::thread::spawn(move || {
            let mut number = 0_usize;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let address = {
                    let addresses = addresses.lock().unwrap();
                    addresses[number / routes % addresses.len()]
                };
                let (served, other) = (Arc::clone(&served), Arc::clone(&other));
                let route = number % routes;
                std::thread::spawn(move || {
                    let counter = if ask(address, route, number) { served } else { other };
                    counter.fetch_add(1, Ordering::Relaxed);
                });
                std::thread::sleep(Duration::from_micros(1_000_000 / per_s));
            }
        });
        clients
    }

    /// The platform passes no new connections to a host any more.
    pub fn leave(&self, address: SocketAddr) {
        self.addresses.lock().unwrap().retain(|other| *other != address);
    }

    /// Ends the requests; returns how many streams were whole, and how many were not.
    pub fn stop(&self) -> (u64, u64) {
        self.is_over.store(true, Ordering::Relaxed);
        (self.served.load(Ordering::Relaxed), self.other.load(Ordering::Relaxed))
    }
}

fn ask(address: SocketAddr, route: usize, number: usize) -> bool {
    let Some(mut wire) = connect(address, Duration::from_secs(14)) else { return false };
    let id = format!("{:08x}{number:08x}", std::process::id());
    let body = format!("prompt {id}");
    let request = format!(
        "POST /rapu{route}/2f HTTP/1.1\r\nHost: wuny96.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Count: 1460,160\r\nLength-Hint: 160\r\nX-Prompt-Prefix: {:08x}:200,{id}:1260\r\n\
         X-Deadline-Ms: 14000\r\nContent-Length: {}\r\n\r\n{body}",
        number % 2000,
        body.len()
    );
    wire.send(request.as_bytes());
    if wire.head().is_none_or(|head| head.status() != 200) {
        return false;
    }
    loop {
        match wire.chunk() {
            Some(chunk) if chunk.is_empty() => return true,
            Some(_) => {}
            None => return false,
        }
    }
}
