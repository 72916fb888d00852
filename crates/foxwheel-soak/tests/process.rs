//! What is read of a process of its open_sockets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::Duration;

use foxwheel_soak::process::{Process, ProcessSpec, Role};
use serde_json::json;

/// A front seemed to hold 986 open files, with less memory than any other process. Right after
/// a start the kernel still showed the files of the soak, which had some 900: of 3,000 children
/// of a process with 900 sockets 2,675 were seen with them.
#[test]
fn a_process_that_is_just_started_is_not_taken_for_its_starter() {
    let open_sockets: Vec<TcpListener> = (0..300)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port"))
        .collect();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("process");
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = folder.join(Role::Front.program());
    std::fs::write(&program, "#!/bin/sh\nexec sleep 20\n").expect("a program");
    let executable = std::fs::Permissions::from_mode(0o755);
    std::fs::set_permissions(&program, executable).expect("a program");
    for start in 0..50 {
        let mut process = Process::start(ProcessSpec {
            host: "host-0".to_owned(),
            role: Role::Front,
            settings: json!({}),
            metrics_addr: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1),
            programs: &folder,
            folder: &folder,
        })
        .expect("it starts");
        let resources = process.resources();
        assert!(resources.is_none(), "start {start}: {resources:?}");
        if start == 0 {
            std::thread::sleep(Duration::from_millis(500));
            process.mark_listening();
            let resources = process.resources().expect("it lives");
            assert!(
                resources.open_files < open_sockets.len() && resources.memory_bytes > 0,
                "{resources:?}"
            );
        }
    }
}
