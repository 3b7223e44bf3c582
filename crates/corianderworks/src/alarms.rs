//! Kinds of alarms: conditions that an operator must look at, as shown by `status`.

macro_rules! alarms {
    ($($variant:ident, $name:literal, $doc:literal, $advice:literal;)*) => {
        /// Kind of an alarm. Names and advice are listed in `docs/operators/alarms.md`.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum AlarmKind {
            $(#[doc = $doc] $variant,)*
        }

        impl AlarmKind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the name that `status` and the documentation use, such as `at-floor`.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns the recommended action, as shown by `status` and in the documentation.
            pub fn advice(self) -> &'static str {
                match self { $(Self::$variant => $advice,)* }
            }
        }
    };
}

alarms! {
    PlatformUnreachable, "platform-unreachable",
        "The last call to the platform failed.",
        "Report the outage. Traffic and ejection continue; lists cannot change.";
    NoConfiguration, "no-configuration",
        "The daemon has no configuration and does not serve callers.",
        "Check `seeds` and `platform_address` in the settings and the network between them.";
    ConfigurationLag, "configuration-lag",
        "A member has had an older configuration than this daemon for more than 6 s.",
        "Run `status` at the member; if it is partitioned, see `domain-lost`.";
    AtFloor, "at-floor",
        "The number of healthy backend servers of a service is at or below its floor.",
        "Repair or add backend servers; unhealthy ones are used last until then.";
    NoPermit, "no-permit",
        "An unhealthy backend server is not ejected because no ejection permit is free.",
        "Find the holder of the permits in `status`; remove its VM if it is partitioned for good.";
    ManyEjected, "many-ejected",
        "More than a quarter of a service's upstreams that the daemon owns are ejected.",
        "Compare the reasons in `status`: a shared dependency or a bad release is likely.";
    Overload, "overload",
        "A service refuses requests because its queue is full or because load is shed.",
        "Find the customers with the most requests; lower a plan's rate or add backend servers.";
    DomainLost, "domain-lost",
        "All members of a failure domain are suspected or dead.",
        "Check the domain's network and VMs; callers and services use other domains meanwhile.";
    VmListDiffers, "vm-list-differs",
        "A member responds although its VM is not in the VM list, or the other way round.",
        "Nothing for a minute, the list lags; then check the VM at the platform.";
    ClaimsRefused, "claims-refused",
        "Requests with idempotency keys that callers chose themselves are refused.",
        "Ask callers to use issued key prefixes, which need no write to the platform.";
    Paused, "paused",
        "The process was not scheduled for more than a second.",
        "Check the VM for lack of memory or processor time; replace it if it recurs.";
    DrainSlow, "drain-slow",
        "A graceful shutdown has waited for requests in flight for more than a minute.",
        "Look at the oldest request in `status`; stopping the process now would interrupt it.";
}

impl AlarmKind {
    /// Returns the kind with this name; `None` for a name that this version does not know.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|a| a.name() == name)
    }
}
