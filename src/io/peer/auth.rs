//! The handshake: both sides prove that they know the fleet's secret.
//!
//! Each side sends a random challenge and answers the other's by an HMAC over both challenges,
//! both names and its own role, so that a proof can be neither replayed nor reflected
//! (docs/PROTOCOLS.md). The frames after it are not authenticated one by one.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

use super::frame;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::names::Vm;

/// The version of the protocol between daemons.
const VERSION: u32 = 1;
/// The oldest version that this release talks to.
const MIN_VERSION: u32 = 1;
/// The bytes of a challenge.
const CHALLENGE_BYTES: usize = 16;

/// Who a daemon is, as it greets another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The newest version that it speaks.
    pub version: u32,
    /// The VM's name.
    pub vm: Vm,
    /// The number of this start of the daemon.
    pub boot: u64,
    challenge: [u8; CHALLENGE_BYTES],
}

#[derive(Debug, Serialize, Deserialize)]
struct Proof {
    mac: [u8; 32],
}

/// A handshake that failed.
#[derive(Debug, Display, Error, From)]
pub enum AuthError {
    /// The connection broke or carried no frames.
    #[display("{_0}")]
    Http(HttpError),
    /// A message of the handshake is malformed.
    #[display("malformed handshake: {_0}")]
    Json(serde_json::Error),
    /// The other side does not know the secret.
    #[display("wrong proof")]
    #[from(skip)]
    Proof,
    /// The other side is too old.
    #[display("unsupported version")]
    #[from(skip)]
    Version,
    /// The operating system gives no random bytes.
    #[display("no random bytes")]
    #[from(skip)]
    Random,
}

#[derive(Clone, Copy)]
enum Role {
    Caller,
    Listener,
}

impl Greeting {
    /// Returns a greeting with a fresh challenge.
    ///
    /// # Errors
    ///
    /// Fails if the operating system gives no random bytes.
    pub fn new(vm: Vm, boot: u64) -> Result<Self, AuthError> {
        let mut challenge = [0; CHALLENGE_BYTES];
        getrandom::fill(&mut challenge).map_err(|_| AuthError::Random)?;
        Ok(Self {
            version: VERSION,
            vm,
            boot,
            challenge,
        })
    }
}

/// Shakes hands as the side that opened the connection.
pub(super) async fn call(
    conn: &mut Conn,
    own: &Greeting,
    secret: &str,
) -> Result<Greeting, AuthError> {
    send(conn, own).await?;
    let other: Greeting = receive(conn).await?;
    let proof: Proof = receive(conn).await?;
    verify_proof(&proof, Role::Listener, own, &other, secret)?;
    send(conn, &make_proof(Role::Caller, own, &other, secret)).await?;
    check_version(other)
}

/// Shakes hands as the side that accepted the connection.
pub(super) async fn answer(
    conn: &mut Conn,
    own: &Greeting,
    secret: &str,
) -> Result<Greeting, AuthError> {
    let other: Greeting = receive(conn).await?;
    send(conn, own).await?;
    send(conn, &make_proof(Role::Listener, &other, own, secret)).await?;
    let proof: Proof = receive(conn).await?;
    verify_proof(&proof, Role::Caller, &other, own, secret)?;
    check_version(other)
}

fn check_version(other: Greeting) -> Result<Greeting, AuthError> {
    if other.version < MIN_VERSION {
        Err(AuthError::Version)
    } else {
        Ok(other)
    }
}

async fn send<T>(conn: &mut Conn, message: &T) -> Result<(), AuthError>
where
    T: Serialize,
{
    let content = serde_json::to_vec(message)?;
    Ok(frame::write(&mut conn.writer, &content).await?)
}

async fn receive<T>(conn: &mut Conn) -> Result<T, AuthError>
where
    T: DeserializeOwned,
{
    let content = frame::read(&mut conn.reader).await?;
    Ok(serde_json::from_slice(&content)?)
}

fn handshake_mac(
    role: Role,
    caller: &Greeting,
    listener: &Greeting,
    secret: &str,
) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).ok()?;
    mac.update(match role {
        Role::Caller => b"caller",
        Role::Listener => b"listen",
    });
    for side in [caller, listener] {
        mac.update(&side.challenge);
        mac.update(&side.boot.to_be_bytes());
        mac.update(&(side.vm.len() as u64).to_be_bytes());
        mac.update(side.vm.as_bytes());
    }
    Some(mac)
}

fn make_proof(role: Role, caller: &Greeting, listener: &Greeting, secret: &str) -> Proof {
    let bytes =
        handshake_mac(role, caller, listener, secret).map(|mac| mac.finalize().into_bytes());
    Proof {
        mac: bytes.map(Into::into).unwrap_or_default(),
    }
}

fn verify_proof(
    proof: &Proof,
    role: Role,
    caller: &Greeting,
    listener: &Greeting,
    secret: &str,
) -> Result<(), AuthError> {
    let mac = handshake_mac(role, caller, listener, secret).ok_or(AuthError::Proof)?;
    mac.verify_slice(&proof.mac).map_err(|_| AuthError::Proof)
}
