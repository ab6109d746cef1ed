//! The ranges of the settings.

use std::net::SocketAddr;

use serde_saphyr::Spanned;

use super::File;
use super::Settings;
use super::error::SettingsError;
use super::error::Wrong;

/// The longest name, in bytes.
const NAME_BYTES: usize = 64;
/// The shortest secret, in bytes.
const SECRET_BYTES: usize = 16;
/// The most streams that claims are spread over.
const MOST_SHARDS: u16 = 64;
/// The streams that claims are spread over unless the settings say otherwise.
const SHARDS: u16 = 4;

pub(super) fn check(file: File) -> Result<Settings, SettingsError> {
    name(&file.vm, "vm")?;
    name(&file.domain, "domain")?;
    let caller = address(&file.caller, "caller")?;
    let peer = address(&file.peer, "peer")?;
    let platform = address(&file.platform, "platform")?;
    distinct(&file.peer, "peer", peer, &[caller])?;
    distinct(&file.platform, "platform", platform, &[caller, peer])?;
    let enough = file.secret.value.len() >= SECRET_BYTES;
    demand(enough, &file.secret, "secret", Wrong::Secret)?;
    Ok(Settings {
        vm: file.vm.value,
        domain: file.domain.value,
        caller,
        peer,
        platform,
        secret: file.secret.value,
        operators: file.operators,
        level: file.level.into(),
        shards: shards(file.shards.as_ref())?,
        opaque: file.opaque,
    })
}

fn shards(value: Option<&Spanned<u16>>) -> Result<u16, SettingsError> {
    let Some(value) = value else {
        return Ok(SHARDS);
    };
    let fits = (1..=MOST_SHARDS).contains(&value.value);
    demand(fits, value, "shards", Wrong::Shards)?;
    Ok(value.value)
}

fn name<T>(value: &Spanned<T>, key: &'static str) -> Result<(), SettingsError>
where
    T: AsRef<str>,
{
    let text = value.value.as_ref();
    let fits = (1..=NAME_BYTES).contains(&text.len());
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    demand(fits && plain, value, key, Wrong::Name)
}

fn address(value: &Spanned<String>, key: &'static str) -> Result<SocketAddr, SettingsError> {
    let Ok(addr) = value.value.parse::<SocketAddr>() else {
        return Err(wrong(value, key, Wrong::Address));
    };
    demand(addr.port() != 0, value, key, Wrong::Port)?;
    Ok(addr)
}

fn distinct(
    value: &Spanned<String>,
    key: &'static str,
    addr: SocketAddr,
    others: &[SocketAddr],
) -> Result<(), SettingsError> {
    demand(!others.contains(&addr), value, key, Wrong::Duplicate)
}

fn demand<T>(
    met: bool,
    value: &Spanned<T>,
    key: &'static str,
    what: Wrong,
) -> Result<(), SettingsError> {
    if met {
        Ok(())
    } else {
        Err(wrong(value, key, what))
    }
}

fn wrong<T>(value: &Spanned<T>, key: &'static str, wrong: Wrong) -> SettingsError {
    SettingsError::Value {
        line: value.referenced.line(),
        key,
        wrong,
    }
}
