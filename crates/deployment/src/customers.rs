//! The `customers` section: the customers and their quotas.

use crate::reader::Place;

/// Reads the customers' names and their quotas, in invocations a second over all front ends.
pub(crate) fn read_customers(place: &Place) -> (Vec<String>, Vec<f64>) {
    let (mut customers, mut quotas) = (vec![], vec![]);
    for element in place.list() {
        let fields = element.object(&["name", "share"]);
        let name = fields.at("name").text();
        let quota = fields.at("share").number(0.001..=1e9);
        let (Some(name), Some(quota)) = (name, quota) else {
            continue;
        };
        if customers.contains(&name) {
            element.fault(format!("there are two customers '{name}'"));
        }
        customers.push(name);
        quotas.push(quota);
    }
    (customers, quotas)
}
