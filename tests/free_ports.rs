//! Ports for programs under test: no two processes may hand out the same one.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use tealcleat::bench::PortBlock;

/// Threads that start programs.
const STARTERS: usize = 4;

#[test]
fn claim_of_a_locked_block_goes_on_to_another() {
    let mut held = PortBlock::claim(7).expect("a block");
    let mut other = PortBlock::claim(7).expect("another block");
    let ports: Vec<u16> = std::iter::from_fn(|| held.take()).collect();
    assert!(!ports.is_empty());
    assert!(std::iter::from_fn(|| other.take()).all(|port| !ports.contains(&port)));
}

/// Pattern: a daemon of a fleet found its port in use as it started. A program that another test starts has, until its
/// own code runs, all sockets of this process: also the one that had looked whether the port is free.
#[test]
fn port_is_free_while_other_programs_start() {
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !ended.load(Ordering::Relaxed) {
                    Command::new("true").status().expect("a program");
                }
            });
        }
        let mut used = Vec::new();
        for first in [11, 12, 13] {
            let mut block = PortBlock::claim(first).expect("a block");
            while let Some(port) = block.take() {
                let address = (Ipv4Addr::LOCALHOST, port);
                if TcpListener::bind(address).is_err() || UdpSocket::bind(address).is_err() {
                    used.push(port);
                }
            }
        }
        ended.store(true, Ordering::Relaxed);
        assert_eq!(used, Vec::<u16>::new());
    });
}
