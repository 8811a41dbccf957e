//! `marjoramwing check`: checks settings files and table documents offline.
//!
//! One run prints all faults of all files, each with the file, the path of the
//! field and the remedy.

use std::collections;
use std::fs;
use std::path;
use std::sync::Arc;

use marjoramwing_settings::document as settings_document;
use marjoramwing_settings::fault as settings_fault;
use marjoramwing_settings::settings;
use marjoramwing_tables::fault as tables_fault;
use marjoramwing_tables::snapshot;

use crate::command;
use crate::options;
use crate::output;

const SPEC: options::CommandSpec = options::CommandSpec {
    synopsis: "check [-c FILE_OR_DIRECTORY]... [-t DIRECTORY] [OPTIONS]",
    purpose: "Checks settings files, alone and against each other, and a directory of table \
              documents; prints every fault with its remedy.",
    exits: &[command::CommandExit::Faulty],
};

/// One fault and the file that contains it.
#[derive(Debug, PartialEq, Eq, serde::Serialize)]
struct FileFault {
    file: String,
    path: String,
    fault: String,
}

/// The document of a settings file, for the comparison between files.
struct ParsedSettings {
    file: path::PathBuf,
    document: settings_document::SettingsDocument,
}

/// Faults found so far.
#[derive(Default)]
struct CheckReport {
    faults: Vec<FileFault>,
}

/// Runs the command.
#[must_use]
pub fn run(arguments: &[String]) -> command::CommandExit {
    let mut options = getopts::Options::new();
    options.optmulti("c", "settings", "settings file, or directory of them", "PATH");
    options.optopt("t", "tables", "directory of table documents", "DIRECTORY");
    options.optflag("", "without-secrets", "do not ask for the secrets that settings name");
    options.optflag("j", "json", "print JSON for scripts");
    let matches = match SPEC.parse(options, arguments) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    let (paths, tables) = (matches.opt_strs("settings"), matches.opt_str("tables"));
    if !matches.free.is_empty() || (paths.is_empty() && tables.is_none()) {
        eprintln!("specify settings with -c or tables with -t; see marjoramwing check --help");
        return command::CommandExit::Usage;
    }
    let mut report = CheckReport::default();
    let parsed = report.check_settings(&paths, matches.opt_present("without-secrets"));
    report.compare_settings(&parsed);
    if let Some(directory) = tables {
        let documents = report.check_tables(path::Path::new(&directory));
        report.compare_sites(&parsed, &documents);
    }
    report.print(matches.opt_present("json"))
}

impl CheckReport {
    fn add(&mut self, file: &path::Path, path: &str, fault: String) {
        let file = file.display().to_string();
        self.faults.push(FileFault { file, path: path.to_owned(), fault });
    }

    fn print(&self, json: bool) -> command::CommandExit {
        if json {
            output::print_json(&self.faults);
        } else {
            for fault in &self.faults {
                eprintln!("{}: {}: {}", fault.file, fault.path, fault.fault);
            }
        }
        match self.faults.is_empty() {
            true => command::CommandExit::Done,
            false => command::CommandExit::Faulty,
        }
    }

    fn check_settings(&mut self, paths: &[String], without_secrets: bool) -> Vec<ParsedSettings> {
        let mut parsed = Vec::new();
        for path in paths {
            for file in self.list_files(path::Path::new(path)) {
                parsed.extend(self.check_file(file, without_secrets));
            }
        }
        parsed
    }

    fn list_files(&mut self, path: &path::Path) -> Vec<path::PathBuf> {
        if !path.is_dir() {
            return vec![path.to_owned()];
        }
        let entries = match fs::read_dir(path) {
            Ok(entries) => entries,
            Err(error) => {
                self.add(path, "directory", format!("cannot be read ({error}); check the path"));
                return Vec::new();
            }
        };
        let files = entries.filter_map(|entry| Some(entry.ok()?.path()));
        let is_settings =
            |file: &path::PathBuf| file.extension().is_some_and(|extension| extension == "toml");
        let mut files: Vec<_> = files.filter(is_settings).collect();
        files.sort();
        if files.is_empty() {
            let fault = "has no settings file; name one that ends with .toml";
            self.add(path, "directory", fault.to_owned());
        }
        files
    }

    /// Records the faults of a settings file; returns its document if it can be parsed.
    fn check_file(&mut self, file: path::PathBuf, without_secrets: bool) -> Option<ParsedSettings> {
        if let Err(faults) = settings::InstanceSettings::load(&file) {
            for fault in &faults.faults {
                if !(without_secrets && is_unavailable_secret(fault)) {
                    self.add(&file, &fault.path, fault.kind.to_string());
                }
            }
        }
        let text = fs::read_to_string(&file).ok()?;
        let document = toml::from_str(&text).ok()?;
        Some(ParsedSettings { file, document })
    }

    fn compare_settings(&mut self, parsed: &[ParsedSettings]) {
        let mut names = collections::HashMap::new();
        let mut addresses = collections::HashMap::new();
        for settings in parsed {
            let instance = &settings.document.instance;
            if let Some(other) = names.insert(&instance.name, &settings.file) {
                let fault = format!("is also the name in {}; rename one", other.display());
                self.add(&settings.file, "instance.name", fault);
            }
            let listen = &settings.document.listen;
            let fields = [
                ("listen.callers", &listen.callers),
                ("listen.peers", &listen.peers),
                ("listen.admin", &listen.admin),
            ];
            for (field, address) in fields {
                // Equal addresses within one file are faults of that file's own check.
                let other = addresses.insert(address, &settings.file);
                if let Some(other) = other.filter(|other| **other != settings.file) {
                    let fault = format!("is also an address in {}; change one", other.display());
                    self.add(&settings.file, field, fault);
                }
            }
        }
    }

    fn check_tables(&mut self, directory: &path::Path) -> snapshot::TableDocuments {
        let mut unparsed = Vec::new();
        let documents = snapshot::TableDocuments {
            routes: self.read_document(directory, "routes", &mut unparsed),
            pools: self.read_document(directory, "pools", &mut unparsed),
            teams: self.read_document(directory, "teams", &mut unparsed),
            keys: self.read_document(directory, "keys", &mut unparsed),
            steering: self.read_document(directory, "steering", &mut unparsed),
        };
        if let Err(faults) = snapshot::TableSnapshot::try_from(&documents) {
            for fault in faults.faults.iter().filter(|fault| !is_cascading(fault, &unparsed)) {
                let file = directory.join(format!("{}.json", object_name(&fault.path)));
                self.add(&file, &fault.path, fault.kind.to_string());
            }
        }
        documents
    }

    /// Parses a table document; if that fails, records the fault and the object and returns an
    /// empty document.
    fn read_document<T: serde::de::DeserializeOwned + Default>(
        &mut self,
        directory: &path::Path,
        object: &'static str,
        unparsed: &mut Vec<&'static str>,
    ) -> T {
        let file = directory.join(format!("{object}.json"));
        let result = match fs::read(&file) {
            Ok(text) => serde_json::from_slice(&text)
                .map_err(|error| format!("{error}; correct the syntax or the member's name")),
            Err(error) => Err(format!("cannot be read ({error}); check the path")),
        };
        result.unwrap_or_else(|fault| {
            self.add(&file, object, fault);
            unparsed.push(object);
            T::default()
        })
    }

    fn compare_sites(&mut self, parsed: &[ParsedSettings], documents: &snapshot::TableDocuments) {
        let sites = &documents.steering.sites;
        if sites.is_empty() {
            return;
        }
        for settings in parsed {
            let instance = &settings.document.instance;
            let Some(site) = sites.iter().find(|site| site.name == instance.site) else {
                let fault = format!("`{}` is not in steering.json; add the site", instance.site);
                self.add(&settings.file, "instance.site", fault);
                continue;
            };
            let fields = [
                ("instance.region", &instance.region, &site.region),
                ("instance.failure_domain", &instance.failure_domain, &site.failure_domain),
            ];
            for (field, actual, expected) in fields.into_iter().filter(|row| row.1 != row.2) {
                let fault = format!(
                    "is `{actual}`, but steering.json says `{expected}` for the site; correct one"
                );
                self.add(&settings.file, field, fault);
            }
        }
    }
}

fn is_unavailable_secret(fault: &settings_fault::SettingsFault) -> bool {
    matches!(
        fault.kind,
        settings_fault::FaultKind::Environment(_) | settings_fault::FaultKind::SecretFile(_)
    )
}

/// Returns true if a fault only follows from a document that could not be read or parsed.
fn is_cascading(fault: &tables_fault::TableFault, unparsed: &[&str]) -> bool {
    match &fault.kind {
        tables_fault::FaultKind::Unknown { object, .. } => unparsed.contains(object),
        _ => unparsed.contains(&object_name(&fault.path)),
    }
}

/// Returns the object that contains the path of a fault; paths in `steering` start with its own
/// fields, such as `sites[0]`.
fn object_name(path: &Arc<str>) -> &'static str {
    let object = path.split(['[', '.']).next().unwrap_or_default();
    match object {
        "routes" => "routes",
        "pools" => "pools",
        "teams" => "teams",
        "keys" => "keys",
        _ => "steering",
    }
}
