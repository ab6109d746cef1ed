//! Settings of an edge daemon: an error names the wrong key and its line.

use cornelwharf::edge::settings::Settings;

const COMPLETE: &str = "vm: vm-1\ndomain: north\nfront: 127.0.0.1:1\nready: 127.0.0.1:2\n\
registry: 127.0.0.1:3\nmetrics: 127.0.0.1:4\npeer: 127.0.0.1:5\ncontacts: [\"127.0.0.9:77\"]\n\
store: 127.0.0.1:6\nbounds:\n  grace: 8\n  ratio: 0.2\n  extra: 100\n  apply: 2000\n  window: 10\n  keep: 5\n";

#[test]
fn complete_settings_are_read_and_contacts_use_the_peer_port() {
    let settings = Settings::parse(COMPLETE).expect("settings");
    let peers: Vec<_> = settings.peers().collect();
    assert_eq!(peers, ["127.0.0.9:5".parse().expect("an address")]);
    assert_eq!(settings.bounds.apply().0, 2000);
}

#[test]
fn a_missing_key_is_named() {
    for key in ["vm", "front", "store", "bounds"] {
        let text: String = COMPLETE
            .lines()
            .filter(|line| !line.starts_with(key))
            .fold(String::new(), |text, line| text + line + "\n");
        let error = Settings::parse(&text)
            .expect_err("a missing key")
            .to_string();
        let named = error.contains(key) || (key == "bounds" && error.contains("grace"));
        assert!(named, "{key}: {error}");
    }
}

#[test]
fn an_unknown_key_and_a_wrong_value_are_named_with_their_line() {
    let unknown = Settings::parse(&format!("{COMPLETE}colour: red\n")).expect_err("a key too many");
    assert!(unknown.to_string().contains("colour"), "{unknown}");
    assert!(unknown.to_string().contains("17"), "{unknown}");
    let wrong =
        Settings::parse(&COMPLETE.replace("127.0.0.1:6", "nowhere")).expect_err("no address");
    assert!(wrong.to_string().contains('9'), "{wrong}");
}
