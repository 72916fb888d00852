//! Which host takes a request, from what the control polls said of each.

use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::protocol::{LoadReport, Member, MemberState};
use foxwheel_gateway::hosts::{HostTable, InFlightGuard};

const DEPLOYMENT: &str = "draftsman";
const SLOTS: u32 = 8;

fn record(host: &str, zone: &str) -> Member {
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

/// A table of hosts given by name, zone and the online requests that others run there.
fn table(hosts: &[(&str, &str, u32)]) -> HostTable {
    let table = HostTable::new(3);
    let records = hosts.iter().map(|(host, zone, _)| (record(host, zone), 1));
    table.rebuild(records.collect());
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

fn picked(table: &HostTable, class: PriorityClass) -> Option<String> {
    let target = table.pick_host(DEPLOYMENT, class, "here", &[]);
    target.map(|target| target.member.host)
}

#[test]
fn the_own_zone_is_taken_while_it_has_slots() {
    let table = table(&[("a", "here", 1), ("b", "there", 0)]);
    assert_eq!(picked(&table, PriorityClass::Online).as_deref(), Some("a"));
}

#[test]
fn a_full_zone_sends_its_work_to_another() {
    let table = table(&[("a", "here", SLOTS), ("b", "there", 2)]);
    for class in [PriorityClass::Online, PriorityClass::Batch] {
        assert_eq!(picked(&table, class).as_deref(), Some("b"));
    }
}

/// A burst that arrives between two control polls: each choice must count those before.
#[test]
fn a_burst_between_two_polls_is_spread() {
    let table = table(&[("a", "here", 0), ("b", "here", 0), ("c", "there", 0)]);
    let mut burst = Vec::new();
    for _ in 0..3 * SLOTS {
        let target = table
            .pick_host(DEPLOYMENT, PriorityClass::Online, "here", &[])
            .expect("every host is live");
        burst.push((target.member.host.clone(), InFlightGuard::start(&target)));
    }
    for host in ["a", "b", "c"] {
        let taken = burst.iter().filter(|(taken, _)| taken == host).count() as u32;
        assert!(taken <= SLOTS + 2, "{host} was given {taken} of {SLOTS}");
    }
}
