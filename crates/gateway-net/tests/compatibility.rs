//! The configuration that the operators' platform writes for a scheduler is read as it always was.

use tidespur_gateway_net::config;

const CONFIG: &str = include_str!("fixtures/scheduler_config.json");

#[test]
fn every_key_of_the_configuration_is_read() {
    let config = config::parse(CONFIG).expect("a readable configuration");
    assert_eq!(config.name, "scheduler-3");
    assert_eq!(config.listen, "127.0.0.1:7001");
    assert_eq!(config.seed, 0x1f);
    assert_eq!(config.max_descriptors, 512);
    assert_eq!(config.discovery_address, "127.0.0.1:7002");
    assert_eq!(config.site.settings.ordinal, 3);
    let [event] = config.watch_events.as_slice() else {
        panic!("one known event")
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
fn seed_is_hashed_when_it_is_no_hexadecimal_number() {
    let config = config::parse(&CONFIG.replace("\"1f\"", "\"service-1\""))
        .expect("a readable configuration");
    assert_eq!(config.seed, 0x11ec_c33b_f6dd_cb2e);
}
