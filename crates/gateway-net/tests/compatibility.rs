//! Guards the format of the configuration file that the operators' platform writes: a renamed or dropped key would keep
//! deployed schedulers from starting.

use tidespur_gateway_net::config;

const CONFIG: &str = include_str!("fixtures/scheduler_config.json");

#[test]
fn every_key_of_the_configuration_is_parsed() {
    let config = config::parse(CONFIG).expect("configuration is valid");
    assert_eq!(config.name, "scheduler-3");
    assert_eq!(config.listen, "127.0.0.1:7001");
    assert_eq!(config.seed, 0x1f);
    assert_eq!(config.max_descriptors, 512);
    assert_eq!(
        config.max_memory_bytes, 32_000_000,
        "the default, as the file has no limit on memory"
    );
    assert_eq!(config.discovery_address, "127.0.0.1:7002");
    assert_eq!(config.site.settings.ordinal, 3);
    let [event] = config.watch_events.as_slice() else {
        panic!("expected one event")
    };
    assert_eq!(
        (
            event.revision,
            event.is_complete_list,
            event.endpoints.len()
        ),
        (7, true, 3)
    );
}

#[test]
fn seed_is_hashed_if_it_is_not_a_hexadecimal_number() {
    let config =
        config::parse(&CONFIG.replace("\"1f\"", "\"service-1\"")).expect("configuration is valid");
    assert_eq!(config.seed, 0x11ec_c33b_f6dd_cb2e);
}

#[test]
fn limit_on_memory_is_in_megabytes_and_has_to_be_positive() {
    let with_memory = |value: &str| {
        let limit = format!("\"sockets\": 512, \"memory_mb\": {value}");
        config::parse(&CONFIG.replace("\"sockets\": 512", &limit))
    };
    let config = with_memory("48").expect("configuration is valid");
    assert_eq!(config.max_memory_bytes, 48_000_000);
    let error = with_memory("0").expect_err("no memory at all");
    assert!(error.to_string().contains("limits.memory_mb: 0"), "{error}");
    assert!(with_memory("-1").is_err());
    assert!(with_memory("\"48\"").is_err());
}
