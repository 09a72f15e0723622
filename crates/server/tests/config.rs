//! What the configuration leaves for connections.
use cottondyke::config::Config;

/// Guards calls against a budget of descriptors that is all taken by sidecars: what is reserved holds as many as the
/// cores may have in flight, and never more than half.
#[test]
fn reserves_descriptors_for_the_calls_of_all_cores() {
    for (sockets, cores, connections) in [
        (1_000, 6, 904),
        (1_000, 64, 712),
        (400, 200, 200),
        (128, 2, 32),
    ] {
        let mut conf: serde_json::Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        conf["limits"]["sockets"] = sockets.into();
        conf["settings"]["family_info"]["n_cores"] = cores.into();
        assert_eq!(
            Config::parse(&conf.to_string()).unwrap().max_connections,
            connections,
            "{sockets} {cores}"
        );
    }
}
