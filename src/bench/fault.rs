//! Injects a scenario's faults into the stand-ins.

use http::Method;
use http::Uri;

use super::scenario::TimedFault;
use crate::clock::Millis;
use crate::io::http::Conn;
use crate::io::http::Request;

/// The timeout of a stand-in's answer.
const SPAN: Millis = Millis::seconds(2);

/// Waits until the fault is due and injects it. A failure is only printed; the run continues.
pub(super) async fn inject(fault: TimedFault) {
    monoio::time::sleep(fault.at.duration()).await;
    let mut request = Request::new(Method::PUT, Uri::from_static("/faults"));
    request.body = fault.body.into();
    let result = match Conn::dial(fault.addr).await {
        Ok(mut conn) => conn.call(&request, SPAN).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(response) if response.status.is_success() => {}
        Ok(response) => eprintln!("fault at {} refused: {}", fault.addr, response.status),
        Err(error) => eprintln!("fault at {} not switched: {error}", fault.addr),
    }
}
