//! The configuration in force: route matching, API keys, priorities, packing, and that an older
//! version never replaces a newer one.

use std::collections::BTreeMap;

use cornelwharf::clock::Millis;
use cornelwharf::core::site::ActiveConfig;
use cornelwharf::core::site::KeyHolder;
use cornelwharf::core::site::Limits;
use cornelwharf::core::site::OfferResult;
use cornelwharf::core::site::PackedConfig;
use cornelwharf::core::site::Route;
use cornelwharf::core::site::RouteError;
use cornelwharf::core::site::RouteKind;
use cornelwharf::core::site::SiteConfig;
use cornelwharf::core::site::WeightedService;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Millis(800),
        target: Millis(150),
        gap: None,
        attempts: 2,
        priority: 1,
        public: false,
        resume: false,
        split: vec![WeightedService {
            service: "ledger".into(),
            weight: 1,
        }],
    }
}

fn site(version: u64) -> SiteConfig {
    let holder = KeyHolder {
        team: "red".into(),
        priority: None,
    };
    SiteConfig {
        version,
        routes: vec![
            route("all", "a.example", "/"),
            route("deep", "a.example", "/x/y/"),
            route("mid", "a.example", "/x/"),
            route("other", "b.example", "/x/"),
        ],
        services: BTreeMap::new(),
        keys: Some(BTreeMap::from([("secret".to_owned(), holder)])),
        limits: Limits {
            head: 16_384,
            body: 4_194_304,
            arrival: Millis(3000),
            idle: Millis(15_000),
        },
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let site = site(1);
    let name = |host: &str, path: &str| {
        let found = site.find(host, path, Some("secret")).ok()?;
        Some(found.route.name.clone())
    };
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("deep"));
    assert_eq!(name("a.example", "/x/z").as_deref(), Some("mid"));
    assert_eq!(name("a.example", "/xz").as_deref(), Some("all"));
    assert_eq!(name("A.example:8080", "/x/").as_deref(), Some("mid"));
    assert_eq!(name("b.example", "/y"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn an_unknown_key_is_refused_unless_the_route_is_public() {
    let mut site = site(1);
    assert_eq!(
        site.find("a.example", "/", Some("no")).err(),
        Some(RouteError::InvalidKey)
    );
    assert_eq!(
        site.find("a.example", "/", None).err(),
        Some(RouteError::InvalidKey)
    );
    site.routes[0].public = true;
    assert!(site.find("a.example", "/", None).is_ok());
    site.keys = None;
    assert!(site.find("a.example", "/x/", None).is_ok());
}

#[test]
fn an_older_version_never_replaces_a_newer_one() {
    let mut accepted = ActiveConfig::default();
    assert_eq!(accepted.offer(site(5)), OfferResult::Applied);
    assert_eq!(accepted.offer(site(3)), OfferResult::Stale);
    assert_eq!(accepted.offer(site(5)), OfferResult::Stale);
    assert_eq!(accepted.version(), Some(5));
    assert_eq!(accepted.offer(site(9)), OfferResult::Applied);
    assert_eq!(accepted.version(), Some(9));
}

#[test]
fn requests_are_split_by_weight() {
    let mut route = route("split", "a.example", "/");
    route.split = vec![
        WeightedService {
            service: "old".into(),
            weight: 90,
        },
        WeightedService {
            service: "new".into(),
            weight: 10,
        },
    ];
    let draws = (0..1000).map(|step| f64::from(step) / 1000.0);
    let new = draws
        .filter(|draw| {
            route
                .pick_service(*draw)
                .is_some_and(|name| **name == *"new")
        })
        .count();
    assert_eq!(new, 100);
}

#[test]
fn a_stream_may_repeat_only_if_it_may_be_resumed() {
    let mut route = route("stream", "a.example", "/");
    route.kind = RouteKind::Stream;
    assert!(!route.may_repeat());
    route.resume = true;
    assert!(route.may_repeat());
    route.kind = RouteKind::Once;
    assert!(!route.may_repeat());
}

/// The bytes that the slowest link of the users' sites, 14 Mbit/s, transfers in a tenth of a
/// second.
const LINK_BYTES: usize = 175_000;

#[test]
fn a_packed_configuration_of_thousands_of_routes_crosses_a_slow_link_in_time() {
    let mut large = site(3);
    for index in 0..3000_u32 {
        let name = format!("r-{:x}", index.wrapping_mul(0x9e37_79b9));
        large
            .routes
            .push(route(&name, "yard.example", &format!("/{name}/")));
    }
    let packed = PackedConfig::new(&large).expect("packing works");
    assert!(packed.0.len() < LINK_BYTES, "{}", packed.0.len());
    let mut accepted = ActiveConfig::default();
    let offer = accepted
        .offer_packed(packed.clone())
        .expect("a valid configuration");
    assert_eq!(offer, OfferResult::Applied);
    assert_eq!(accepted.site().as_deref(), Some(&large));
    let forwarded = accepted.packed().expect("packing works");
    assert_eq!(
        forwarded,
        Some(packed),
        "the received bytes are forwarded unchanged"
    );
    assert_eq!(accepted.offer(site(4)), OfferResult::Applied);
    let next = accepted
        .packed()
        .expect("packing works")
        .expect("a configuration in force");
    assert_eq!(next.unpack().expect("a valid configuration").version, 4);
}

proptest! {
    #[test]
    fn invalid_packed_bytes_change_nothing(bytes: Vec<u8>, cut in 0..200_usize) {
        let mut accepted = ActiveConfig::default();
        accepted.offer(site(3));
        prop_assert!(accepted.offer_packed(PackedConfig(bytes.into())).is_err());
        let whole = PackedConfig::new(&site(9)).expect("packing works").0;
        let part = whole.slice(..cut.min(whole.len() - 1));
        prop_assert!(accepted.offer_packed(PackedConfig(part)).is_err());
        prop_assert_eq!(accepted.version(), Some(3));
    }
}

#[test]
fn the_priority_of_a_team_overrides_that_of_the_route() {
    let mut site = site(3);
    site.routes.push(route("r", "yard.example", "/r/"));
    let found = site.find("yard.example", "/r/1", Some("secret"));
    assert_eq!(found.expect("a route").priority(), 1);
    let keys = site.keys.as_mut().expect("keys");
    for holder in keys.values_mut() {
        holder.priority = Some(4);
    }
    let found = site.find("yard.example", "/r/1", Some("secret"));
    assert_eq!(found.expect("a route").priority(), 4);
}
