//! Command line.
//!
//! | exit code | meaning |
//! |---|---|
//! | 0 | success |
//! | 1 | the command failed, or a measured promise was missed |
//! | 2 | invalid command line, lists or settings; nothing was changed |
//! | 3 | another change was committed first; nothing was changed |
//! | 4 | the platform or the daemon cannot be reached; nothing was changed |
//! | 5 | the result of a change is not known; repeat it with its change id |

#![allow(
    missing_docs,
    reason = "xflags generates the types of the commands without docs"
)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Proxy fleet for backend servers with gray failures.
    cmd corianderworks {
        /// Run a daemon.
        cmd daemon {
            /// Settings of the daemon.
            required --settings file: PathBuf
        }

        /// Run an edge daemon on the users' platform, with the settings that it provides.
        cmd edge {}

        /// Check, read and change the two lists.
        cmd lists {
            /// Check the lists of a folder without contacting the platform.
            cmd check {
                /// Folder with customers.json and plans.json.
                required folder: PathBuf
                /// Also check the settings of a daemon.
                optional --settings file: PathBuf
                /// Print JSON.
                optional --json
            }

            /// Write the lists in force into a folder.
            cmd get {
                /// Folder for customers.json, plans.json and base-version.
                required folder: PathBuf
                /// Address of the platform.
                required --platform address: SocketAddr
                /// An older version instead of the one in force.
                optional --version version: u64
                /// Print JSON.
                optional --json
            }

            /// Show how the lists of a folder, or a version, differ from a version.
            cmd diff {
                /// Folder with the new lists; without it, `--to` is needed.
                optional folder: PathBuf
                /// Address of the platform.
                required --platform address: SocketAddr
                /// First version; the one in force by default.
                optional --from version: u64
                /// Second version, instead of a folder.
                optional --to version: u64
                /// Print JSON.
                optional --json
            }

            /// Put the lists of a folder in force.
            cmd apply {
                /// Folder with customers.json, plans.json and base-version.
                required folder: PathBuf
                /// Address of the platform.
                required --platform address: SocketAddr
                /// Operator who makes the change.
                required --who name: String
                /// Why the change is made.
                required --reason text: String
                /// Version that was edited, instead of the file base-version.
                optional --base version: u64
                /// Id of an earlier attempt whose result is not known.
                optional --change-id id: String
                /// Print JSON.
                optional --json
            }

            /// List the latest versions, newest first.
            cmd history {
                /// Address of the platform.
                required --platform address: SocketAddr
                /// Number of versions, 20 by default.
                optional --limit count: usize
                /// Print JSON.
                optional --json
            }
        }

        /// Show what a daemon does and knows.
        cmd status {
            /// HTTP address of the daemon.
            required --daemon address: SocketAddr
            /// Print JSON.
            optional --json
        }

        /// Show what would happen to a request.
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

        /// Tell from the logs of edge daemons what happened to a request.
        ///
        /// For example: corianderworks trace 9c41d07be2a35f68 logs/vm-1.log logs/vm-2.log
        cmd trace {
            /// Id of the request.
            required request: String
            /// Log files, one of each daemon or one with the VM's name before each line.
            repeated file: PathBuf
            /// Print JSON.
            optional --json
        }

        /// Show who changed what, when and why.
        cmd audit {
            /// Address of the platform.
            required --platform address: SocketAddr
            /// Only changes by this operator.
            optional --who name: String
            /// Only changes whose summary contains this text.
            optional --about text: String
            /// Number of changes, 20 by default.
            optional --limit count: usize
            /// Print JSON.
            optional --json
        }

        /// Run a simulator of an outside system.
        cmd stand-in {
            /// Object API and VM list of the platform.
            cmd platform {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Settings as JSON with comments: VM list, budgets, faults.
                optional --settings file: PathBuf
            }

            /// Backend server.
            cmd backend {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Settings as JSON with comments: slots, service time, faults.
                optional --settings file: PathBuf
            }
        }

        /// Send requests and report what happened to them.
        cmd load {
            /// Settings as JSON with comments: daemons, routes, phases.
            required --settings file: PathBuf
            /// Control address of a backend stand-in; its executions are compared
            /// with the responses.
            repeated --control address: SocketAddr
            /// SVG file for a plot over time.
            optional --plot file: PathBuf
            /// Print JSON.
            optional --json
        }

        /// Show the promises under scripted faults in one process.
        cmd demo {
            /// Print JSON.
            optional --json
        }

        /// Run scripted scenarios against the decision machines.
        cmd experiment {
            /// Only this scenario.
            optional --scenario name: String
            /// First seed, 1 by default.
            optional --seed seed: u64
            /// Runs of each scenario and service, 20 by default.
            optional --runs count: u32
            /// Length of the noise scenario in hours, 24 by default.
            optional --noise-hours hours: u32
            /// Print JSON.
            optional --json
        }

        /// Measure the latency that daemons add to a request.
        cmd latency {
            /// Requests on each path, 5000 by default.
            optional --requests count: u32
            /// Print JSON.
            optional --json
        }

        /// Compare homes with owners to daemons that balance alone, under the same load.
        cmd compare {
            /// Print JSON.
            optional --json
        }

        /// Measure the slopes behind the capacity page.
        cmd capacity {
            /// SVG file for a plot.
            optional --svg file: PathBuf
            /// Print JSON.
            optional --json
        }

        /// Create keys for the connections between daemons.
        cmd keys {
            /// Create the fleet's authority, if absent, and keys for daemons.
            cmd new {
                /// Folder for the PEM files.
                required folder: PathBuf
                /// Names of the daemons.
                repeated names: String
            }
        }
    }
}
