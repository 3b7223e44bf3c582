//! Completion of commands and options in a shell, made from the help texts.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::cli::{Completion, Corianderworks};
use crate::commands::CommandError;

/// Name of the program in help texts and in the shell.
const PROGRAM: &str = "corianderworks";

/// Prints the completion script of a shell.
///
/// # Errors
///
/// Fails if there is none for the shell.
pub fn run(flags: &Completion) -> Result<(), CommandError> {
    let script = match &*flags.shell {
        "bash" => bash_script(&help_text()),
        // Zsh runs completion functions of bash.
        "zsh" => format!(
            "autoload -U +X bashcompinit && bashcompinit\n{}",
            bash_script(&help_text())
        ),
        other => {
            let message = format!("no completion for the shell `{other}`; known: bash, zsh");
            return Err(CommandError::Usage(message));
        }
    };
    print!("{script}");
    Ok(())
}

/// Returns the help text of all commands.
pub fn help_text() -> String {
    match Corianderworks::from_vec(vec!["--help".into()]) {
        // The parser returns the help text as an error, so that nothing else runs.
        Err(help) => help.to_string(),
        Ok(_) => String::new(),
    }
}

/// Returns what may follow each command: its subcommands and options. The key of a command is its
/// path, such as `lists check`, and empty for the program itself.
fn words_by_command(help: &str) -> BTreeMap<String, Vec<String>> {
    let mut words = BTreeMap::<String, Vec<String>>::new();
    let mut command = String::new();
    for line in help.lines() {
        if let Some(path) = line.strip_prefix(PROGRAM) {
            command = path.trim().to_owned();
            words.entry(command.clone()).or_default();
            let (parent, name) = command.rsplit_once(' ').unwrap_or(("", &command));
            if !name.is_empty() {
                let siblings = words.entry(parent.to_owned()).or_default();
                siblings.push(name.to_owned());
            }
            continue;
        }
        let names = line.trim().split([',', ' ']);
        let options = names.filter(|n| n.starts_with("--"));
        if line.trim_start().starts_with('-') {
            let of_command = words.entry(command.clone()).or_default();
            of_command.extend(options.map(str::to_owned));
        }
    }
    words
}

fn bash_script(help: &str) -> String {
    let words = words_by_command(help);
    let paths: Vec<_> = words.keys().filter(|p| !p.is_empty()).collect();
    let quoted: Vec<_> = paths.iter().map(|p| format!("\"{p}\"")).collect();
    let mut script = format!(
        "_{PROGRAM}() {{\n    local current=\"${{COMP_WORDS[COMP_CWORD]}}\" command= word words=\n    \
         for word in \"${{COMP_WORDS[@]:1:COMP_CWORD-1}}\"; do\n        \
         case \"${{command:+$command }}$word\" in\n            \
         {}) command=\"${{command:+$command }}$word\" ;;\n        esac\n    done\n    \
         case \"$command\" in\n",
        quoted.join("|")
    );
    for (path, words) in &words {
        // Writing to a string never fails.
        let _ = writeln!(
            script,
            "        \"{path}\") words=\"{}\" ;;",
            words.join(" ")
        );
    }
    let _ = write!(
        script,
        "    esac\n    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n    \
         if [ ${{#COMPREPLY[@]}} -eq 0 ]; then\n        \
         COMPREPLY=($(compgen -f -- \"$current\"))\n    fi\n}}\n\
         complete -F _{PROGRAM} {PROGRAM}\n"
    );
    script
}
