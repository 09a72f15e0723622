//! The number of connections that the configuration allows.
use cottondyke::config::Config;

/// Guards against sidecars taking all descriptors, so that calls find none: the reservation grows with the calls that
/// the cores may have in flight, up to half of the descriptors.
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
