//! `marjoramwing key`: reads, grants and withdraws team keys.
//!
//! Invariant: the plain text of a key is printed once, after its hash was
//! written, and is never stored.

use marjoramwing_tables::credential;
use marjoramwing_tables::document;

use crate::command;
use crate::options;
use crate::output;
use crate::row;
use crate::table;

const SPEC: options::CommandSpec = options::CommandSpec {
    synopsis: "key list | get ID | set -f FILE | delete ID | grant ID --team TEAM | withdraw ID [OPTIONS]",
    purpose: "Reads and edits the `keys` object. `grant` makes a random key, stores its hash \
              and prints the key once; `withdraw` ends a key on every instance.",
    exits: table::EXITS,
};

/// JSON output of `grant`.
#[derive(serde::Serialize)]
struct GrantOutput {
    version: u128,
    key: String,
}

/// Runs the command.
#[must_use]
pub fn run(arguments: &[String]) -> command::CommandExit {
    let mut options = table::make_options();
    options.optopt("t", "team", "grant: team that the key speaks for", "TEAM");
    options::run(&SPEC, options, arguments, async |matches| {
        let command = table::TableCommand::new(row::RowTable::Keys, matches)?;
        match command.positionals()[..] {
            ["grant", id] => grant(&command, id).await,
            ["withdraw", id] => command.delete(id).await,
            _ => command.run_shared().await,
        }
    })
}

async fn grant(command: &table::TableCommand, id: &str) -> Result<(), command::CommandError> {
    let team = command.option("team");
    let team =
        team.ok_or_else(|| options::usage_error("specify the team of the key with --team"))?;
    let key = generate_key(id);
    let change = row::RowChange::Add(row::TableRow::Key(document::KeyDocument {
        id: id.into(),
        team: team.into(),
        sha256: credential::KeyHash::of(&key).to_string().into(),
    }));
    let written = command.write(&change).await?;
    if command.is_json() {
        output::print_json(&GrantOutput { version: written.version, key });
    } else {
        println!("{key}");
        eprintln!("this key is not shown again; keys is at version {}", written.version);
    }
    Ok(())
}

fn generate_key(id: &str) -> String {
    format!("{id}.{:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>())
}
