//! Choice of the host for a request, from the load that the control polls reported.

use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::protocol::{LoadReport, Member, MemberState};
use foxwheel_gateway::hosts::{HostTable, InFlightGuard};

const DEPLOYMENT: &str = "draftsman";
const SLOTS: u32 = 8;

fn member(host: &str, zone: &str) -> Member {
    Member {
        host: host.to_owned(),
        deployment: DEPLOYMENT.to_owned(),
        agent_addr: "127.0.0.1:9".to_owned(),
        control_addr: format!("127.0.0.1:{}", host.len()),
        zone: zone.to_owned(),
        state: MemberState::Ready,
        lease_ttl_ms: 60_000,
        renewals: 1,
    }
}

/// Returns a table of hosts, given by name, zone and number of online requests from other gateways.
fn host_table(hosts: &[(&str, &str, u32)]) -> HostTable {
    let table = HostTable::new(3);
    let members = hosts.iter().map(|(host, zone, _)| (member(host, zone), 1));
    table.rebuild(members.collect());
    for target in table.hosts() {
        let host = hosts
            .iter()
            .find(|(host, _, _)| *host == target.member.host)
            .expect("a host of the table");
        target.record_report(LoadReport {
            slots: SLOTS,
            running_online: host.2,
            ..LoadReport::default()
        });
    }
    table
}

fn pick_host(table: &HostTable, class: PriorityClass) -> Option<String> {
    let target = table.pick_host(DEPLOYMENT, class, "here", &[]);
    target.map(|target| target.member.host)
}

#[test]
fn a_host_in_the_own_zone_is_picked_while_it_has_slots() {
    let table = host_table(&[("a", "here", 1), ("b", "there", 0)]);
    assert_eq!(
        pick_host(&table, PriorityClass::Online).as_deref(),
        Some("a")
    );
}

#[test]
fn a_host_in_another_zone_is_picked_when_the_own_zone_is_full() {
    let table = host_table(&[("a", "here", SLOTS), ("b", "there", 2)]);
    for class in [PriorityClass::Online, PriorityClass::Batch] {
        assert_eq!(pick_host(&table, class).as_deref(), Some("b"));
    }
}

/// Requests that arrive between two control polls must count the requests sent before them, or the
/// last poll would send them all to one host.
#[test]
fn a_burst_between_two_polls_is_spread_over_the_hosts() {
    let table = host_table(&[("a", "here", 0), ("b", "here", 0), ("c", "there", 0)]);
    let mut burst = Vec::new();
    for _ in 0..3 * SLOTS {
        let target = table
            .pick_host(DEPLOYMENT, PriorityClass::Online, "here", &[])
            .expect("every host is live");
        burst.push((target.member.host.clone(), InFlightGuard::start(&target)));
    }
    for host in ["a", "b", "c"] {
        let assigned = burst
            .iter()
            .filter(|(assigned, _)| assigned == host)
            .count() as u32;
        assert!(
            assigned <= SLOTS + 2,
            "{host} was assigned {assigned} requests for {SLOTS} slots"
        );
    }
}
