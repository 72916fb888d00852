//! Stand-ins of the second review's scripts: a small deployment of real fronts and workers on loopback,
//! backend servers, the operator and clients. Uses the standard library only.
//!
//! usage: rig CASE PROGRAMS FOLDER RECORD TROUBLE
//!
//! `CASE` is a case of `cases.rs`, `PROGRAMS` the folder of the built programs, `FOLDER` a temporary folder,
//! `RECORD` the file that the record is written to, and `TROUBLE` is 0 for a run without the disruption. Exits
//! with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod cases;
mod clients;
mod fleet;
mod http;
mod record;
mod replicas;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, programs, folder, record, trouble] = args.as_slice() else {
        eprintln!("usage: rig CASE PROGRAMS FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(record)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            return ExitCode::from(2);
        }
    };
    let setup = fleet::Setup {
        programs: PathBuf::from(programs),
        folder: PathBuf::from(folder),
        trouble: trouble != "0",
        record: record.clone(),
    };
    let verdict = match cases::run(case, &setup) {
        Ok(verdict) => verdict,
        Err(e) => {
            record.line(&format!("the case could not run: {e}"));
            return ExitCode::from(2);
        }
    };
    for line in &verdict.facts {
        record.line(line);
    }
    match verdict.broken {
        true => {
            record.line("VERDICT: the rule is broken");
            ExitCode::from(1)
        }
        false => {
            record.line("VERDICT: the rule held");
            ExitCode::SUCCESS
        }
    }
}
