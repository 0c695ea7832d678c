//! Authentication of daemons and operators; an invalid frame ends only its own connection.

mod common;

use common::{LocalFleet, OPERATOR_KEY, SHARED_KEY, assert_whole};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;
use tealcleat::Error;
use tealcleat::bench::operator_call;
use tealcleat::membership::ProbeMessage;
use tealcleat::peers::{
    PeerClient, PeerReply, PeerRequest, decode, encode, open_datagram, prove_as_client,
};

const LIMIT: Duration = Duration::from_secs(5);

#[test]
fn wrong_key_is_refused() {
    let fleet = LocalFleet::start();
    let address = fleet.daemons[0].peers;
    let client = PeerClient::new("another-shared-key-0000");
    let call = client.call::<_, PeerReply>(address, &PeerRequest::Config(0), LIMIT);
    let result = fleet.runtime.block_on(call);
    assert!(matches!(result, Err(Error::Unauthenticated)), "{result:?}");
}

#[test]
fn invalid_connections_do_not_affect_others() {
    let fleet = LocalFleet::start();
    let address = fleet.daemons[0].peers;
    let mut garbage = TcpStream::connect(address).expect("it accepts");
    garbage.write_all(&[7; 200]).expect("it reads");
    let mut answer = Vec::new();
    let _ = garbage.read_to_end(&mut answer);
    // The server sent only its proof, so it decoded no frame.
    assert_eq!(answer.len(), 64);
    // The proof is valid, but what follows is not h2.
    fleet.runtime.block_on(async {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("it accepts");
        prove_as_client(&mut stream, SHARED_KEY).await.expect("the proof holds");
        tokio::io::AsyncWriteExt::write_all(&mut stream, &[9; 100]).await.expect("it reads");
    });
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.send_to(&[1; 90], address).expect("sent");
    assert_whole(&fleet.complete(0, "after broken frames"), "after broken frames");
}

#[rstest]
#[case::empty(&[])]
#[case::short(&[1, 2, 3])]
#[case::unsigned(&[0; 80])]
fn datagram_without_proof_is_refused(#[case] bytes: &[u8]) {
    assert!(matches!(
        open_datagram::<ProbeMessage>(SHARED_KEY, bytes),
        Err(Error::Unauthenticated)
    ));
}

#[test]
fn frame_with_trailing_bytes_is_invalid() {
    let mut bytes = encode(&PeerRequest::Config(3)).expect("encoded");
    bytes.push(0);
    assert!(matches!(decode::<PeerRequest>(&bytes), Err(Error::Protocol(_))));
    assert!(matches!(decode::<PeerRequest>(&[250, 1]), Err(Error::Protocol(_))));
}

#[rstest]
#[case::wrong_key("wrong", "401: the operator key is missing or wrong")]
#[case::right_key(OPERATOR_KEY, "404: no route for \"/none\"")]
fn operators_must_authenticate(#[case] key: &str, #[case] refusal: &str) {
    let fleet = LocalFleet::unconfigured();
    let error = operator_call(fleet.daemons[0].operators, key, "GET", "/none", "")
        .expect_err("there is no such route");
    assert_eq!(error.to_string(), format!("refused: {refusal}"));
}
