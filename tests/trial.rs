//! Runs the embedded trial as `cornelwharf try` does.

use cornelwharf::io::runtime;
use cornelwharf::trial;

#[test]
fn every_check_holds() {
    let mut out = Vec::new();
    let held = runtime::run(trial::run(&mut out)).unwrap();
    let text = String::from_utf8_lossy(&out);
    assert!(matches!(held, Ok(true)), "{held:?}\n{text}");
}
