//! Checks `docs/SETTINGS.md` against the settings types of all processes.

use foxwheel_agent::settings::AgentSettings;
use foxwheel_core::settings_page;
use foxwheel_engine_emu::settings::EngineSettings;
use foxwheel_gateway::settings::GatewaySettings;
use foxwheel_node::settings::NodeSettings;
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_service_emu::ServiceSettings;

const PAGE_HEAD: &str = "# Settings

Every process reads one JSON object from the file given with `--settings`; fields that it does
not know are refused. Each section is what the process prints for `--settings-page`; the page
is made from the types by `FOXWHEEL_WRITE_PAGES=1 cargo test -p foxwheel-load --test
settings_page`.
";

fn render_page() -> String {
    let sections = [
        settings_page::render_section::<NodeSettings>("foxwheel-front and foxwheel-worker"),
        settings_page::render_section::<GatewaySettings>("foxwheel-gateway"),
        settings_page::render_section::<AgentSettings>("foxwheel-agent"),
        settings_page::render_section::<PlatformSettings>("foxwheel-platform-emu"),
        settings_page::render_section::<EngineSettings>("foxwheel-engine-emu"),
        settings_page::render_section::<ServiceSettings>("foxwheel-service-emu"),
    ];
    format!("{PAGE_HEAD}\n{}", sections.join("\n"))
}

#[test]
fn the_page_matches_the_settings_types() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
    if std::env::var_os("FOXWHEEL_WRITE_PAGES").is_some() {
        std::fs::write(path, render_page()).expect("the page is written");
    }
    let written = std::fs::read_to_string(path).unwrap_or_default();
    assert_eq!(written, render_page(), "docs/SETTINGS.md is out of date");
}

#[test]
fn every_field_on_the_page_has_a_description() {
    let rows = render_page();
    let rows = rows.lines().filter(|line| line.starts_with("| `"));
    for row in rows {
        assert!(!row.ends_with("|  |"), "no doc comment: {row}");
    }
}
