//! Runs the commands. Exit status: 0 done, 1 refused or a stated outcome did not come about, 2 usage or
//! file error, 3 outcome unknown.

use masticstair_core::prelude::*;
use masticstair_core::toml_reader::FieldErrors;
use masticstair_net::runtime::block_on;
use std::collections::HashMap;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use thiserror::Error;

use crate::admin::{AdminError, run_bundle, run_evacuate, run_key, run_status};
use crate::bench::{BenchError, BenchReport, format_bench_table, run_bench};
use crate::demo::{DemoError, DemoOptions, run_demo};
use crate::explain::{LogLine, find_story, format_story};
use crate::options::{Command, DeploymentProfile, ExplainOptions};
use crate::replay::{ReplayOptions, Report, format_table, replay};
use crate::stand_ins::{StandInsError, run_stand_ins};
use crate::trace::{
    TraceError, TraceOptions, council_profile, generate_trace, parse_trace, trepiserv_profile,
};

/// The reason for which a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The measurement failed.
    #[error(transparent)]
    Bench(#[from] BenchError),
    /// The stand-ins failed.
    #[error(transparent)]
    StandIns(#[from] StandInsError),
    /// The demo failed.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// A file cannot be read.
    #[error("{file}: {source}", file = file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A trace has errors.
    #[error("{file}: {source}", file = file.display())]
    Trace {
        /// The file.
        file: PathBuf,
        /// The error.
        source: TraceError,
    },
    /// The file of tokens has errors.
    #[error("{file}: {message}", file = file.display())]
    Tokens {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        message: Box<str>,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// The output cannot be encoded.
    #[error("cannot encode the output: {0}")]
    Encode(#[from] serde_json::Error),
    /// A command of an operator was not done.
    #[error(transparent)]
    Admin(#[from] AdminError),
    /// Settings or a bundle have errors.
    #[error("{0}")]
    Fields(#[from] FieldErrors),
}

impl CommandError {
    /// Returns the exit status of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Admin(e) => ExitCode::from(e.exit_status()),
            _ => ExitCode::from(2),
        }
    }
}

/// Runs a command.
///
/// # Errors
///
/// The message names the file or the value that is wrong.
pub fn execute(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Key(command) => Ok(run_key(command)?),
        Command::Bundle(command) => Ok(run_bundle(command)?),
        Command::Status(options) => Ok(run_status(&options)?),
        Command::Evacuate(options) => Ok(run_evacuate(&options)?),
        Command::Bench { json, options } => {
            let report = run_bench(options, |step| eprintln!("{step}"))?;
            print_bench(&report, json)
        }
        Command::Demo { json } => {
            let report = run_demo(DemoOptions { progress: true })?;
            print_report(&report, json)
        }
        Command::Explain(options) => explain(&options),
        Command::StandIns(options) => {
            let (calls, repeated) = run_stand_ins(&options)?;
            println!(
                "{calls} calls that must not be repeated ran, {} of them twice",
                repeated.len()
            );
            repeated.iter().for_each(|line| println!("  {line}"));
            Ok(if repeated.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Command::Trace { deployment, seed, length, rate } => {
            print_trace(deployment, TraceOptions { seed, length, rate })
        }
        Command::Replay { json, targets, tokens, trace } => {
            let tokens = read_tokens(&tokens)?;
            let report = replay_file(&trace, ReplayOptions { targets, tokens })?;
            print_report(&report, json)
        }
    }
}

fn explain(options: &ExplainOptions) -> Result<ExitCode, CommandError> {
    let mut lines = Vec::new();
    for file in &options.logs {
        lines.extend(read(file)?.lines().filter_map(LogLine::parse));
    }
    match find_story(&lines, &options.request, options.around) {
        Some(story) => {
            io::stdout().lock().write_all(format_story(&story).as_bytes())?;
            Ok(ExitCode::SUCCESS)
        }
        None => {
            eprintln!("none of {} log lines has request {}", lines.len(), options.request);
            Ok(ExitCode::FAILURE)
        }
    }
}

fn print_bench(report: &BenchReport, json: bool) -> Result<ExitCode, CommandError> {
    let mut out = io::stdout().lock();
    if json {
        serde_json::to_writer_pretty(&mut out, report)?;
        writeln!(out)?;
    } else {
        out.write_all(format_bench_table(report).as_bytes())?;
    }
    Ok(ExitCode::SUCCESS)
}

fn print_report(report: &Report, json: bool) -> Result<ExitCode, CommandError> {
    let mut out = io::stdout().lock();
    if json {
        serde_json::to_writer_pretty(&mut out, report)?;
        writeln!(out)?;
    } else {
        out.write_all(format_table(report).as_bytes())?;
    }
    Ok(if report.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print_trace(
    deployment: DeploymentProfile,
    options: TraceOptions,
) -> Result<ExitCode, CommandError> {
    let profile = match deployment {
        DeploymentProfile::Trepiserv => trepiserv_profile(),
        DeploymentProfile::Council => council_profile(),
    };
    let mut out = io::stdout().lock();
    for record in generate_trace(&profile, options) {
        serde_json::to_writer(&mut out, &record)?;
        writeln!(out)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn replay_file(file: &Path, options: ReplayOptions) -> Result<Report, CommandError> {
    let text = read(file)?;
    let records: Rc<[_]> = parse_trace(&text)
        .map_err(|source| CommandError::Trace { file: file.to_owned(), source })?
        .into();
    let total = records.len();
    let results = block_on(replay(records.clone(), options, |sent, answered| {
        eprintln!("{sent} of {total} sent, {answered} answered");
    }))?;
    Ok(Report::new(&records, &results))
}

fn read_tokens(file: &Path) -> Result<HashMap<AccountId, Box<str>>, CommandError> {
    let invalid =
        |message: String| CommandError::Tokens { file: file.to_owned(), message: message.into() };
    let table: toml::Table =
        read(file)?.parse().map_err(|e: toml::de::Error| invalid(e.to_string()))?;
    let entries = table.into_iter().map(|(account, token)| {
        let id = account.parse().map_err(|e| invalid(format!("account {account:?}: {e}")))?;
        let token =
            token.as_str().ok_or_else(|| invalid(format!("token of {account} is no text")))?;
        Ok((id, token.into()))
    });
    entries.collect()
}

fn read(file: &Path) -> Result<String, CommandError> {
    fs::read_to_string(file).map_err(|source| CommandError::Read { file: file.to_owned(), source })
}
