//! The handshake, in which both daemons prove that they know the fleet's shared secret.
//!
//! Each side sends a random challenge. Its proof is an HMAC over both challenges, both boot
//! numbers, both VM names and its own role, so that a proof can be neither replayed nor reflected
//! (docs/PROTOCOLS.md). The frames after the handshake are not authenticated individually.

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

/// The version of the protocol between daemons that this release speaks.
const VERSION: u32 = 1;
/// The oldest version of another daemon that this release accepts.
const MIN_VERSION: u32 = 1;
/// The length of a challenge.
const CHALLENGE_BYTES: usize = 16;

/// The first message of each side: who the daemon is, and its challenge to the other side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The newest protocol version that the daemon speaks.
    pub version: u32,
    /// The name of the daemon's VM.
    pub vm: Vm,
    /// The daemon's boot number, which differs after a restart.
    pub boot: u64,
    challenge: [u8; CHALLENGE_BYTES],
}

#[derive(Debug, Serialize, Deserialize)]
struct Proof {
    mac: [u8; 32],
}

/// Why a handshake failed.
#[derive(Debug, Display, Error, From)]
pub enum AuthError {
    /// The connection broke, timed out, or carried a malformed frame.
    #[display("{_0}")]
    Http(HttpError),
    /// A message of the handshake is not the expected JSON.
    #[display("malformed handshake: {_0}")]
    Json(serde_json::Error),
    /// The other side's proof is wrong: it does not have the same secret.
    #[display("wrong proof of the shared secret")]
    #[from(skip)]
    Proof,
    /// The other side speaks only a version that this release no longer accepts.
    #[display("unsupported protocol version")]
    #[from(skip)]
    Version,
    /// The operating system provides no random bytes.
    #[display("the operating system provided no random bytes")]
    #[from(skip)]
    Random,
}

#[derive(Clone, Copy)]
enum Role {
    Caller,
    Listener,
}

impl Greeting {
    /// Creates a greeting with a new random challenge.
    ///
    /// # Errors
    ///
    /// Fails if the operating system provides no random bytes.
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

/// Runs the handshake as the side that opened the connection.
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

/// Runs the handshake as the side that accepted the connection.
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
