use crate::keys::{KeyedHash, keyed_hash};
use crate::{Error, Result};
use hmac::Mac;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const PROOF_TIMEOUT: Duration = Duration::from_millis(1500);

fn proof(key: &str, side: &[u8], client: &[u8], server: &[u8]) -> KeyedHash {
    let mut hash = keyed_hash(key);
    hash.update(side);
    hash.update(client);
    hash.update(server);
    hash
}

/// Authenticates this side to a server, after checking the server's proof.
///
/// # Errors
/// [`Error::Unauthenticated`] if the server does not know the key.
pub async fn prove_as_client(stream: &mut TcpStream, key: &str) -> Result<()> {
    let exchange = async {
        let client: [u8; NONCE_BYTES] = rand::random();
        stream.write_all(&client).await?;
        let mut server = [0; NONCE_BYTES];
        let mut theirs = [0; PROOF_BYTES];
        stream.read_exact(&mut server).await?;
        stream.read_exact(&mut theirs).await?;
        let expected = proof(key, b"server", &client, &server);
        expected.verify_slice(&theirs).map_err(|_error| Error::Unauthenticated)?;
        let ours = proof(key, b"client", &client, &server).finalize().into_bytes();
        stream.write_all(&ours).await?;
        Ok(())
    };
    tokio::time::timeout(PROOF_TIMEOUT, exchange).await.map_err(|_elapsed| Error::Timeout)?
}

/// Authenticates this side to a client, then checks the client's proof.
///
/// # Errors
/// [`Error::Unauthenticated`] if the client does not know the key.
pub async fn prove_as_server(stream: &mut TcpStream, key: &str) -> Result<()> {
    let exchange = async {
        let mut client = [0; NONCE_BYTES];
        stream.read_exact(&mut client).await?;
        let server: [u8; NONCE_BYTES] = rand::random();
        let ours = proof(key, b"server", &client, &server).finalize().into_bytes();
        let mut answer = server.to_vec();
        answer.extend_from_slice(&ours);
        stream.write_all(&answer).await?;
        let mut theirs = [0; PROOF_BYTES];
        stream.read_exact(&mut theirs).await?;
        let expected = proof(key, b"client", &client, &server);
        expected.verify_slice(&theirs).map_err(|_error| Error::Unauthenticated)
    };
    tokio::time::timeout(PROOF_TIMEOUT, exchange).await.map_err(|_elapsed| Error::Timeout)?
}
