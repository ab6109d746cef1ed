//! Checks that the values of the settings are in range.

use std::net::SocketAddr;

use serde_saphyr::Spanned;

use super::File;
use super::Settings;
use super::error::SettingsError;
use super::error::ValueError;

const MAX_NAME_BYTES: usize = 64;
const MIN_SECRET_BYTES: usize = 16;
/// The maximum number of streams that claims are sharded over.
const MAX_SHARDS: u16 = 64;
/// The number of streams if the settings don't give one.
const DEFAULT_SHARDS: u16 = 4;

pub(super) fn check(file: File) -> Result<Settings, SettingsError> {
    check_name(&file.vm, "vm")?;
    check_name(&file.domain, "domain")?;
    let caller = parse_address(&file.caller, "caller")?;
    let peer = parse_address(&file.peer, "peer")?;
    let platform = parse_address(&file.platform, "platform")?;
    ensure_distinct(&file.peer, "peer", peer, &[caller])?;
    ensure_distinct(&file.platform, "platform", platform, &[caller, peer])?;
    let is_long_enough = file.secret.value.len() >= MIN_SECRET_BYTES;
    ensure(is_long_enough, &file.secret, "secret", ValueError::Secret)?;
    Ok(Settings {
        vm: file.vm.value,
        domain: file.domain.value,
        caller,
        peer,
        platform,
        secret: file.secret.value,
        operators: file.operators,
        level: file.level.into(),
        shards: check_shards(file.shards.as_ref())?,
        opaque: file.opaque,
    })
}

fn check_shards(value: Option<&Spanned<u16>>) -> Result<u16, SettingsError> {
    let Some(value) = value else {
        return Ok(DEFAULT_SHARDS);
    };
    let in_range = (1..=MAX_SHARDS).contains(&value.value);
    ensure(in_range, value, "shards", ValueError::Shards)?;
    Ok(value.value)
}

fn check_name<T>(value: &Spanned<T>, key: &'static str) -> Result<(), SettingsError>
where
    T: AsRef<str>,
{
    let text = value.value.as_ref();
    let in_range = (1..=MAX_NAME_BYTES).contains(&text.len());
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    ensure(in_range && is_plain, value, key, ValueError::Name)
}

fn parse_address(value: &Spanned<String>, key: &'static str) -> Result<SocketAddr, SettingsError> {
    let Ok(addr) = value.value.parse::<SocketAddr>() else {
        return Err(value_error(value, key, ValueError::Address));
    };
    ensure(addr.port() != 0, value, key, ValueError::Port)?;
    Ok(addr)
}

fn ensure_distinct(
    value: &Spanned<String>,
    key: &'static str,
    addr: SocketAddr,
    others: &[SocketAddr],
) -> Result<(), SettingsError> {
    ensure(!others.contains(&addr), value, key, ValueError::Duplicate)
}

fn ensure<T>(
    is_valid: bool,
    value: &Spanned<T>,
    key: &'static str,
    error: ValueError,
) -> Result<(), SettingsError> {
    if is_valid {
        Ok(())
    } else {
        Err(value_error(value, key, error))
    }
}

fn value_error<T>(value: &Spanned<T>, key: &'static str, error: ValueError) -> SettingsError {
    SettingsError::Value {
        line: value.referenced.line(),
        key,
        error,
    }
}
