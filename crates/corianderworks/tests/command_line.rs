//! Commands that check files and complete words, the help texts and the exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use corianderworks::completion::help_text;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_corianderworks"))
        .args(arguments)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Folder for the files of one test, which is removed when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("corianderworks-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const SETTINGS: &str = "nodeName = \"vm-1\"\nip = \"127.0.0.1\"\nzone = \"a\"\nregion = \"r\"\n\
    internalPortRange = [7620, 7635]\nseeds = []\n\
    bounds = [\"gracePeriodS=6\", \"retryBudgetRatio=0.2\", \"budgetWindowS=10\", \
    \"retryBudgetExtra=60\", \"ttl_max_s=5\"]\n\
    [listen]\nfront = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\ndirectory = \"127.0.0.1:3\"\n\
    [limits]\ncpuShare = 0.1\ncores = 1\nmemoryMb = 160\nfileDescriptors = 4100\n\
    [platform]\naddress = \"127.0.0.1:4\"\n";

/// Guards against settings that are found to be wrong only when the platform starts the daemon.
#[test]
fn settings_are_checked_without_a_start() {
    let folder = Folder::new("check-settings");
    let valid = folder.write("valid.toml", SETTINGS);
    let output = run(&["check-settings", &valid]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let shown = text(&output.stdout);
    for part in ["VM vm-1 in r/a", "160000000 bytes", "6000 ms to stop"] {
        assert!(shown.contains(part), "{part} not in {shown}");
    }
    let output = run(&["check-settings", &valid, "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["file_descriptors"], 4100);

    let wrong = SETTINGS.replace("ttl_max_s=5", "ttl_max_s=soon");
    let wrong = folder.write("wrong.toml", &wrong);
    let output = run(&["check-settings", &wrong]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(text(&output.stderr).contains("ttl_max_s"), "{output:?}");
    let absent = run(&["check-settings", "absent.toml"]);
    assert_eq!(absent.status.code(), Some(2), "{absent:?}");
}

/// Guards against a deploy file of this repository that its own program rejects.
#[test]
fn deploy_file_is_checked() {
    let folder = Folder::new("check-deploy");
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy_file = std::fs::read_to_string(repository.join("deploy/system.toml")).unwrap();
    folder.write("deploy/system.toml", &deploy_file);
    let deploy = folder.0.join("deploy").to_string_lossy().into_owned();
    let output = run(&["check-deploy", &deploy]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(
        text(&output.stderr).contains("run `build` first"),
        "{output:?}"
    );

    folder.write("target/release/corianderworks", "");
    let output = run(&["check-deploy", &deploy]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(text(&output.stdout), "no problems; roles: edge\n");
}

/// Runs the completion script in bash and returns the words that it offers after `words`.
fn completions(script: &str, words: &[&str]) -> Vec<String> {
    let quoted: Vec<_> = words.iter().map(|w| format!("'{w}'")).collect();
    let last = words.len() - 1;
    let program = format!(
        "{script}\nCOMP_WORDS=({}); COMP_CWORD={last}; _corianderworks; \
         printf '%s\\n' \"${{COMPREPLY[@]}}\"",
        quoted.join(" ")
    );
    let output = Command::new("bash")
        .args(["-c", &program])
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    text(&output.stdout).lines().map(str::to_owned).collect()
}

#[test]
fn shell_completes_commands_and_options() {
    let output = run(&["completion", "bash"]);
    let script = text(&output.stdout);
    let program = "corianderworks";
    assert_eq!(completions(&script, &[program, "tr"]), ["trace"]);
    assert_eq!(
        completions(&script, &[program, "check-"]),
        ["check-settings", "check-deploy"]
    );
    assert_eq!(
        completions(&script, &[program, "lists", ""]),
        ["check", "get", "diff", "apply", "history"]
    );
    assert_eq!(
        completions(&script, &[program, "lists", "check", "folder", "--s"]),
        ["--settings"]
    );
    assert_eq!(
        completions(&script, &[program, "stand-in", "backend", "--"]),
        ["--listen", "--settings"]
    );
    assert_eq!(run(&["completion", "cmd"]).status.code(), Some(2));
}

/// Guards against a page of the commands that differs from what the program accepts.
#[test]
fn page_of_the_commands_is_the_help_text() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/commands.md");
    let page = std::fs::read_to_string(page).unwrap();
    let expected = format!("```text\n{}\n```", help_text().trim());
    assert!(page.contains(&expected), "expected:\n{expected}");
}
