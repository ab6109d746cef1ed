//! Shows a keyed call that is sent to two VMs.

use std::io::Write;

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::header::AUTHORIZATION;
use serde::Serialize;

use super::caller;
use super::error::TrialError;
use super::fleet::Fleet;
use super::report::Report;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::standin::service::Effect;

/// The header that identifies repeats of the same call.
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The idempotency key of the call.
const CREDIT: &str = "credit-4711";

#[derive(Debug, Serialize)]
struct Credit {
    account: &'static str,
    cents: u32,
}

/// Shows that a credit sent twice with the same key is posted once.
pub(super) async fn show<W>(fleet: &Fleet, report: &mut Report<'_, W>) -> Result<(), TrialError>
where
    W: Write,
{
    report.section("A keyed credit is sent to vm-1 and again to vm-3")?;
    let mut answers = Vec::new();
    for vm in [0, 2] {
        let response = caller::call(fleet.caller(vm), &request()?).await?;
        let body = String::from_utf8_lossy(&response.body).into_owned();
        let status = response.status.as_u16();
        report.line(&format!("{} answers {status} {body}", fleet.name(vm)))?;
        answers.push(response);
    }
    let same = answers.windows(2).all(|two| is_same(&two[0], &two[1]));
    report.check("Both VMs gave the same answer", same)?;
    let count = effects(fleet).await?;
    report.line(&format!("effects in the ledgers: {count}"))?;
    report.check("The credit was posted exactly once", count == 1)?;
    Ok(())
}

fn request() -> Result<Request, TrialError> {
    let credit = Credit {
        account: "a-17",
        cents: 1250,
    };
    let path = "/v1/services/ledger/credits".parse()?;
    let mut request = Request::json(Method::POST, path, &credit)?;
    request.headers.insert(AUTHORIZATION, caller::WEB_TOKEN);
    request
        .headers
        .insert(KEY, HeaderValue::from_static(CREDIT));
    Ok(request)
}

fn is_same(one: &Response, other: &Response) -> bool {
    one.status.is_success() && one.status == other.status && one.body == other.body
}

/// Returns the number of effects over all ledgers.
async fn effects(fleet: &Fleet) -> Result<u32, TrialError> {
    let mut count = 0;
    for addr in fleet.ledgers() {
        let effects: Vec<Effect> = caller::get_json(*addr, "/effects").await?;
        count += effects.iter().map(|effect| effect.count).sum::<u32>();
    }
    Ok(count)
}
