//! Hollow front ends are set up as real ones are by their deployment files.

use orchidtally_capacity_model::config::entries;
use orchidtally_capacity_model::hollow::deployment;
use orchidtally_deployment::{Deployment, EndpointSource};
use orchidtally_dispatch_policy::interface::PolicyConfig;
use orchidtally_http_frontend::config::{HostSettings, sync_settings};
use std::net::SocketAddr;
use std::path::Path;

fn endpoints() -> Vec<SocketAddr> {
    vec!["127.0.0.1:2379".parse().unwrap()]
}

fn read(text: &str) -> Deployment {
    Deployment::parse(text).unwrap_or_else(|faults| panic!("{faults:?}"))
}

#[test]
fn their_settings_of_configuration_are_those_of_the_section_without_further_keys() {
    let text =
        deployment::with_configuration(3, &endpoints(), Path::new("config-{index}.snapshot"));
    let section = read(&text).configuration.expect("the file has the section");
    assert_eq!(sync_settings(&section), entries::settings());
    assert_eq!(
        section.lease_ttl,
        HostSettings::new("hollow").lease_ttl.as_secs_f64()
    );
    assert_eq!(section.endpoints, endpoints());
}

#[test]
fn front_ends_with_and_without_a_store_differ_in_nothing_else() {
    let with_roster = read(&deployment::with_roster(3, &endpoints()));
    let without_store = read(&deployment::without_store(3));
    assert!(
        matches!(&with_roster.endpoint_source, EndpointSource::Etcd(etcd) if etcd.endpoints == endpoints())
    );
    assert!(matches!(
        without_store.endpoint_source,
        EndpointSource::Listed(_)
    ));
    assert!(with_roster.configuration.is_none() && without_store.configuration.is_none());
    // Whether a roster is asked for goes by where it comes from.
    assert!(with_roster.policy.polls_endpoints && !without_store.policy.polls_endpoints);
    let policy = PolicyConfig {
        polls_endpoints: true,
        ..without_store.policy
    };
    assert_eq!(format!("{:?}", with_roster.policy), format!("{policy:?}"));
    assert_eq!(with_roster.locations, without_store.locations);
}
