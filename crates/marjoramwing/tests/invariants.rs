//! Checks that every test named in docs/INVARIANTS.md exists in the sources.

use std::collections;
use std::fs;
use std::io;
use std::path;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Maximum depth of package directories below `crates`.
const PACKAGE_DEPTH: u32 = 2;

/// A test in the notation of the page: `package::binary test`.
#[derive(Debug)]
struct NamedTest<'a> {
    package: &'a str,
    binary: &'a str,
    test: &'a str,
}

impl<'a> NamedTest<'a> {
    /// Parses a code span; returns `None` if it does not name a test.
    fn parse(span: &'a str) -> Option<Self> {
        let (target, test) = span.split_once(' ')?;
        let (package, binary) = target.split_once("::")?;
        let is_package = package == "marjoramwing" || package.starts_with("marjoramwing-");
        (is_package && !test.contains(' ')).then_some(Self { package, binary, test })
    }

    /// Returns true if the sources of the package contain the test.
    fn exists(&self, packages: &collections::BTreeMap<String, path::PathBuf>) -> bool {
        let Some(directory) = packages.get(self.package) else {
            return false;
        };
        let tests = directory.join("tests");
        let (file, name) = match self.test.rsplit_once("::") {
            Some((module, name)) => {
                let module = module.replace("::", "/");
                (tests.join(self.binary).join(module + ".rs"), name)
            }
            None => {
                let file = tests.join(self.binary).with_extension("rs");
                let main_file = tests.join(self.binary).join("main.rs");
                (if file.exists() { file } else { main_file }, self.test)
            }
        };
        fs::read_to_string(file).is_ok_and(|source| has_test(&source, name))
    }
}

/// Returns true if a source file declares the test, as a function or as a `cases!` entry.
fn has_test(source: &str, name: &str) -> bool {
    let mut has_attribute = false;
    for line in source.lines().map(str::trim) {
        let is_case = line.strip_prefix(name).is_some_and(|rest| rest.starts_with(" =>"));
        let declared = line.strip_prefix("async ").unwrap_or(line).strip_prefix("fn ");
        let named = declared.and_then(|rest| rest.strip_prefix(name));
        let is_function = has_attribute && named.is_some_and(|rest| rest.starts_with('('));
        if is_case || is_function {
            return true;
        }
        let is_attribute = line.starts_with("#[test]") || line.starts_with("#[tokio::test");
        has_attribute = is_attribute || (has_attribute && declared.is_none());
    }
    false
}

/// Collects the directories of all packages, keyed by package name.
fn find_packages(
    directory: &path::Path,
    depth: u32,
    found: &mut collections::BTreeMap<String, path::PathBuf>,
) -> io::Result<()> {
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        let name = fs::read_to_string(path.join("Cargo.toml")).ok();
        let name = name.as_deref().and_then(|manifest| {
            let line = manifest.lines().find_map(|line| line.strip_prefix("name = \""));
            line.and_then(|rest| rest.strip_suffix('"'))
        });
        if let Some(name) = name {
            found.insert(name.to_owned(), path);
        } else if depth > 1 && path.is_dir() {
            find_packages(&path, depth - 1, found)?;
        }
    }
    Ok(())
}

#[test]
fn named_tests_exist() {
    let root = path::Path::new(ROOT);
    let page = fs::read_to_string(root.join("docs/INVARIANTS.md")).unwrap();
    let mut packages = collections::BTreeMap::new();
    find_packages(&root.join("crates"), PACKAGE_DEPTH, &mut packages).unwrap();
    // Splitting at backticks makes every second part a code span.
    let named: Vec<_> = page.split('`').skip(1).step_by(2).filter_map(NamedTest::parse).collect();
    assert!(!named.is_empty(), "docs/INVARIANTS.md names no test");
    let missing: Vec<_> = named.iter().filter(|named| !named.exists(&packages)).collect();
    assert!(missing.is_empty(), "tests named in docs/INVARIANTS.md do not exist: {missing:#?}");
}

#[test]
fn commented_and_plain_functions_are_no_tests() {
    let source = "#[test]\n// why\nfn kept() {}\nfn helper() {}\n// fn old() {}\n";
    assert!(has_test(source, "kept"));
    assert!(!has_test(source, "helper"));
    assert!(!has_test(source, "old"));
    assert!(!has_test(source, "kep"));
}
