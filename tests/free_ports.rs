//! Free ports for programs under test: no two processes may hand out the same port.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use tealcleat::bench::PortBlock;

/// Threads that start programs.
const STARTERS: usize = 4;

#[test]
fn claim_locked_block() {
    let mut block = PortBlock::claim(7).expect("a block");
    let mut other_block = PortBlock::claim(7).expect("another block");
    let ports: Vec<u16> = std::iter::from_fn(|| block.take()).collect();
    assert!(!ports.is_empty());
    assert!(std::iter::from_fn(|| other_block.take()).all(|port| !ports.contains(&port)));
}

/// Guards against a daemon that finds its port in use when it starts. A program that another test starts inherits all
/// sockets of this process until its own code runs, including one that was bound to check whether the port is free.
#[test]
fn take_while_other_programs_start() {
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
