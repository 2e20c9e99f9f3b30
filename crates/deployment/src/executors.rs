//! Where executors come from, and in which networks they may be.

use crate::reader::Place;
use crate::sections::place_of;
use crate::{EndpointSource, EtcdSettings};
use ipnet::IpNet;
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState, ExecutorId};
use std::net::SocketAddr;

pub(crate) fn executors(
    place: &Place,
    locations: &[String],
    kinds: &[String],
    by_cell: bool,
    by_zone: bool,
) -> (EndpointSource, Vec<IpNet>) {
    let fields = place.object(&["allowedNetworks", "publisher", "list", "etcd"]);
    let allowed: Vec<IpNet> = fields
        .at("allowedNetworks")
        .list()
        .iter()
        .filter_map(|p| p.parsed("a network such as '10.0.0.0/8'", str::parse))
        .collect();
    let allows = |a: &SocketAddr| allowed.is_empty() || allowed.iter().any(|n| n.contains(&a.ip()));
    let publisher = fields.maybe("publisher", |p| p.parsed("an address and port", str::parse));
    let (listed, published) = (
        fields.at("list").is_given(),
        fields.at("publisher").is_given(),
    );
    let etcd = fields.maybe("etcd", |p| {
        let f = p.object(&["endpoints", "prefix", "lease"]);
        let endpoints: Vec<SocketAddr> = f
            .at("endpoints")
            .list()
            .iter()
            .filter_map(|p| p.parsed("an address and port", str::parse))
            .collect();
        if endpoints.is_empty() {
            f.at("endpoints").fault("at least one is wanted");
        }
        let prefix = f
            .maybe("prefix", Place::text)
            .unwrap_or_else(|| "/orchidtally/".into());
        if !prefix.ends_with('/') {
            f.at("prefix").fault("has to end with '/'");
        }
        Some(EtcdSettings {
            endpoints,
            prefix,
            lease: f
                .maybe("lease", |p| p.seconds(2.0..=3_600.0))
                .unwrap_or(10.0),
        })
    });
    let sources = [listed, published, fields.at("etcd").is_given()];
    if place.is_given() && sources.iter().filter(|s| **s).count() != 1 {
        place.fault("one of 'list', 'publisher' and 'etcd' is wanted");
    }
    if let Some(etcd) = etcd {
        return (EndpointSource::Etcd(etcd), allowed);
    }
    if let Some(publisher) = publisher {
        if !allows(&publisher) {
            fields
                .at("publisher")
                .fault(format!("{publisher} is in none of the allowed networks"));
        }
        return (EndpointSource::Publisher(publisher), allowed);
    }
    let mut rows: Vec<Endpoint> = vec![];
    for p in fields.at("list").list() {
        let row = p.object(&["address", "location", "kind", "cell", "weight"]);
        let address = row
            .at("address")
            .parsed("an address and port", str::parse::<SocketAddr>);
        let zone = place_of(&row, "location", locations);
        let kind = place_of(&row, "kind", kinds);
        let cell = row.maybe("cell", |p| p.whole(0..=65_535));
        if by_cell && !row.at("cell").is_given() {
            row.at("cell")
                .fault("is missing; a trigger type's tokens are dropped within cells");
        }
        let weight = row
            .maybe("weight", |p| p.number(0.001..=1e6))
            .unwrap_or(1.0);
        let (Some(address), Some(zone), Some(kind)) = (address, zone, kind) else {
            continue;
        };
        if !allows(&address) {
            row.at("address")
                .fault(format!("{address} is in none of the allowed networks"));
        }
        let executor = ExecutorId(address.ip(), address.port());
        if rows.iter().any(|r| r.executor == executor) {
            row.at("address")
                .fault(format!("{address} is listed twice"));
        }
        let cell = cell.unwrap_or(0) as u16;
        if let Some(other) = rows
            .iter()
            .find(|r| r.cell == cell && r.zone != zone)
            .filter(|_| by_cell)
        {
            let elsewhere = &locations[usize::from(other.zone)];
            row.at("cell")
                .fault(format!("cell {cell} is also in location '{elsewhere}'"));
        }
        let (standing, since) = (EndpointState::Ready, f64::NEG_INFINITY);
        rows.push(Endpoint {
            executor,
            zone,
            kind,
            cell,
            state: standing,
            weight,
            started_at: since,
        });
    }
    if listed && rows.is_empty() {
        fields.at("list").fault("at least one executor is wanted");
    }
    if by_zone {
        for (n, name) in locations.iter().enumerate() {
            if !rows.is_empty() && !rows.iter().any(|r| usize::from(r.zone) == n) {
                let what = format!(
                    "no executor is in '{name}', a location within which tokens are dropped"
                );
                fields.at("list").fault(what);
            }
        }
    }
    (EndpointSource::Listed(rows), allowed)
}
