//! Tests of reading the resource use of processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::Duration;

use foxwheel_soak::process::{Process, ProcessSpec, Role};
use serde_json::json;

/// Until the kernel has loaded the program of a started process, `/proc` shows the open files of
/// its parent. A soak with about 900 open files of its own therefore reported a front with 986,
/// which at that moment also had less memory than any other process. Of 3,000 children of a
/// process with 900 sockets, 2,675 were seen with its files.
#[test]
fn open_files_of_the_parent_are_not_counted_right_after_a_start() {
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
        .expect("the process starts");
        let resources = process.resources();
        assert!(resources.is_none(), "start {start}: {resources:?}");
        if start == 0 {
            std::thread::sleep(Duration::from_millis(500));
            process.mark_listening();
            let resources = process.resources().expect("the process is running");
            assert!(
                resources.open_files < open_sockets.len() && resources.memory_bytes > 0,
                "{resources:?}"
            );
        }
    }
}
