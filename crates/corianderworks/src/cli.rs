//! Command line. The doc comments are the help texts.
//!
//! | exit code | meaning |
//! |---|---|
//! | 0 | success |
//! | 1 | the command failed, or a measured guarantee was violated |
//! | 2 | invalid command line, lists or settings; nothing was changed |
//! | 3 | another change was committed first; nothing was changed |
//! | 4 | the platform or the daemon cannot be reached; nothing was changed |
//! | 5 | the result of a change is unknown; repeat it with its change id |

#![allow(
    missing_docs,
    reason = "xflags generates the types of the commands without docs"
)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Proxy fleet for backend servers with gray failures.
    ///
    /// Exit codes: 0 success; 1 the command failed, or a measured guarantee was violated; 2 invalid
    /// command line, lists or settings; 3 another change was committed first; 4 the platform or the
    /// daemon cannot be reached; 5 the result of a change is unknown.
    cmd corianderworks {
        /// Run a daemon.
        ///
        /// For example: corianderworks daemon --settings samples/local/daemon-1.json
        cmd daemon {
            /// Settings of the daemon.
            required --settings file: PathBuf
        }

        /// Run an edge daemon on the users' platform, with the settings provided by the platform.
        cmd edge {}

        /// Check a settings file of an edge daemon, and show what the daemon reads from it.
        ///
        /// For example: corianderworks check-settings /etc/corianderworks/node.toml
        cmd check-settings {
            /// Settings file, in TOML.
            required file: PathBuf
            /// Print JSON.
            optional --json
        }

        /// Check the file from which the platform builds and starts edge daemons. Build before, since
        /// it checks that the program exists.
        ///
        /// For example: corianderworks check-deploy deploy
        cmd check-deploy {
            /// Folder that contains system.toml; programs start in the folder around it.
            required folder: PathBuf
            /// Print JSON.
            optional --json
        }

        /// Print a script that completes commands and options in a shell.
        ///
        /// For example: source <(corianderworks completion bash)
        cmd completion {
            /// Shell: bash or zsh.
            required shell: String
        }

        /// Check, read and change the two lists.
        cmd lists {
            /// Check the lists in a folder without contacting the platform.
            cmd check {
                /// Folder that contains customers.json and plans.json.
                required folder: PathBuf
                /// Also check the settings of a daemon.
                optional --settings file: PathBuf
                /// Print JSON.
                optional --json
            }

            /// Write the lists in force to a folder.
            cmd get {
                /// Folder for customers.json, plans.json and base-version; created if absent.
                required folder: PathBuf
                /// Address of the platform.
                required --platform address: SocketAddr
                /// Version to write instead of the one in force.
                optional --version version: u64
                /// Print JSON.
                optional --json
            }

            /// Show how the lists in a folder, or one version, differ from another version.
            cmd diff {
                /// Folder that contains the new lists; required unless `--to` is given.
                optional folder: PathBuf
                /// Address of the platform.
                required --platform address: SocketAddr
                /// Version to compare with, by default the one in force.
                optional --from version: u64
                /// New version, instead of a folder.
                optional --to version: u64
                /// Print JSON.
                optional --json
            }

            /// Put the lists in a folder in force.
            ///
            /// For example: corianderworks lists apply lists --platform 10.0.0.2:8080 --who ana
            /// --reason "new member"
            cmd apply {
                /// Folder that contains customers.json, plans.json and base-version.
                required folder: PathBuf
                /// Address of the platform.
                required --platform address: SocketAddr
                /// Operator who makes the change.
                required --who name: String
                /// Reason for the change.
                required --reason text: String
                /// Version that the lists are based on, instead of the one in base-version.
                optional --base version: u64
                /// Change id of an earlier attempt whose result is unknown.
                optional --change-id id: String
                /// Print JSON.
                optional --json
            }

            /// List the latest versions, newest first.
            cmd history {
                /// Address of the platform.
                required --platform address: SocketAddr
                /// Maximum number of versions, 20 by default.
                optional --limit count: usize
                /// Print JSON.
                optional --json
            }
        }

        /// Show the state of a daemon and its view of the fleet.
        ///
        /// For example: corianderworks status --daemon 10.0.0.5:8080
        cmd status {
            /// HTTP address of the daemon.
            required --daemon address: SocketAddr
            /// Print JSON.
            optional --json
        }

        /// Show whether a daemon would admit a request, and why.
        ///
        /// For example: corianderworks explain --daemon 10.0.0.5:8080 --customer north-hospital
        /// --path /stock
        cmd explain {
            /// HTTP address of the daemon.
            required --daemon address: SocketAddr
            /// Customer who sends the request.
            required --customer name: String
            /// Method of the request, GET by default.
            optional --method method: String
            /// Path of the request.
            required --path path: String
            /// Print JSON.
            optional --json
        }

        /// Show what happened to a request, from the logs of edge daemons.
        ///
        /// For example: corianderworks trace 9c41d07be2a35f68 logs/vm-1.log logs/vm-2.log
        cmd trace {
            /// Id of the request.
            required request: String
            /// Log files: one per daemon, or one with the name of the VM before each line.
            repeated file: PathBuf
            /// Print JSON.
            optional --json
        }

        /// Show who changed what, when and why.
        ///
        /// For example: corianderworks audit --platform 10.0.0.2:8080 --who ana
        cmd audit {
            /// Address of the platform.
            required --platform address: SocketAddr
            /// Show only changes by this operator.
            optional --who name: String
            /// Show only changes whose summary contains this text.
            optional --about text: String
            /// Maximum number of changes, 20 by default.
            optional --limit count: usize
            /// Print JSON.
            optional --json
        }

        /// Run a simulator of an external system.
        cmd stand-in {
            /// Simulate the object API and VM list of the platform.
            cmd platform {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Settings as JSON with comments: VM list, budgets, faults.
                optional --settings file: PathBuf
            }

            /// Simulate a backend server.
            cmd backend {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Settings as JSON with comments: slots, service time, faults.
                optional --settings file: PathBuf
            }
        }

        /// Generate load and report the outcomes of the requests.
        ///
        /// For example: corianderworks load --settings samples/local/load.json --plot latencies.svg
        cmd load {
            /// Settings as JSON with comments: daemons, routes, phases.
            required --settings file: PathBuf
            /// Control address of a backend stand-in, whose executions are compared with the
            /// responses.
            repeated --control address: SocketAddr
            /// SVG file for a plot of latencies and outcomes over time.
            optional --plot file: PathBuf
            /// Print JSON.
            optional --json
        }

        /// Check the guarantees of the fleet under scripted faults, all in one process.
        cmd demo {
            /// Print JSON.
            optional --json
        }

        /// Run scripted fault scenarios against the decision logic.
        cmd experiment {
            /// Run only this scenario.
            optional --scenario name: String
            /// First seed, 1 by default.
            optional --seed seed: u64
            /// Number of runs of each scenario and service, 20 by default.
            optional --runs count: u32
            /// Duration of the noise scenario in hours, 24 by default.
            optional --noise-hours hours: u32
            /// Print JSON.
            optional --json
        }

        /// Measure the latency that daemons add to a request.
        cmd latency {
            /// Number of requests on each path, 5000 by default.
            optional --requests count: u32
            /// Print JSON.
            optional --json
        }

        /// Compare balancing by home daemons that own slots with balancing by each daemon alone,
        /// under the same load.
        cmd compare {
            /// Print JSON.
            optional --json
        }

        /// Measure how the resource use of a daemon grows with the fleet, for the capacity page.
        cmd capacity {
            /// SVG file for a plot.
            optional --svg file: PathBuf
            /// Print JSON.
            optional --json
        }

        /// Create certificates and private keys for the connections between daemons.
        cmd keys {
            /// Create the certificate authority of the fleet, if absent, and keys for daemons.
            cmd new {
                /// Folder for the PEM files.
                required folder: PathBuf
                /// Names of the daemons.
                repeated names: String
            }
        }
    }
}
