//! Endpoints `/v1/status` and `/v1/explain`, which report the state of a daemon and its decisions.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::alarm_conditions::VmDifference;
use corianderworks_decision::clock::Clock;
use corianderworks_decision::dispatcher::{Dispatcher, Schedule, Standing, UpstreamReport};
use corianderworks_decision::drain::Phase;
use corianderworks_decision::ids::{CustomerKey, DaemonKey, ServiceKey, UpstreamKey};
use corianderworks_decision::permits;
use corianderworks_lists::manifest::Manifest;
use corianderworks_lists::settings::Settings;
use http::Method;
use kameo::actor::ActorRef;

use crate::alarms::AlarmKind;
use crate::control::{Control, LastingConditions, ListAlarmConditions, ListMembers, SharedState};
use crate::platform::PlatformClient;
use crate::proxy::EntryProxy;
use crate::reasons::Reason;
use crate::status_types::{
    Alarm, ConfigurationStatus, Explanation, MemberStatus, PlatformStatus, ServiceStatus, Status,
    UpstreamStatus,
};
use crate::view::{FleetView, RouteMatch, ServiceEntry, ServicePlacement};

/// The alarm `many-ejected` is raised when more than one in this many of the upstreams of a service
/// that the daemon owns is ejected.
const MANY_EJECTED_DIVISOR: usize = 4;

/// Collects the state of a daemon for its operators.
pub struct StatusApi<C>
where
    C: Clock,
{
    /// Settings of the daemon, which give its name, region and failure domain.
    pub settings: Arc<Settings>,
    /// Entry of callers' requests, with the home services and the clock of the daemon.
    pub entry: Arc<EntryProxy<C>>,
    /// State published by the control loop: view of the fleet, configuration and phase.
    pub shared: Arc<SharedState>,
    /// Control loop, which is asked for the membership states.
    pub control: ActorRef<Control<C>>,
    /// Platform client, which counts its calls and records whether the last one succeeded.
    pub platform: PlatformClient,
}

impl<C> StatusApi<C>
where
    C: Clock,
{
    /// Returns the current state of the daemon. The members are empty if the control loop does not
    /// answer.
    pub async fn status(&self) -> Status {
        let members = self.control.ask(ListMembers).await.unwrap_or_default();
        let conditions = self.control.ask(ListAlarmConditions).await;
        let conditions = conditions.unwrap_or_default();
        let clock = &*self.entry.parts.clock;
        let refusals = self.entry.recent_refusals.recent(clock);
        let view = self.shared.view.load_full();
        let phase = self.shared.phase();
        let (reachable, last_success) = self.platform.reachability();
        let services: Vec<ServiceStatus> = view
            .table
            .services
            .iter()
            .map(|(name, service)| self.service(&view, name, *service))
            .collect();
        let mut status = Status {
            name: self.settings.name.clone(),
            region: self.settings.region.clone(),
            domain: self.settings.domain.clone(),
            incarnation: self.entry.parts.own_run.incarnation.0,
            uptime_s: self.entry.parts.clock.now().as_secs(),
            ready: phase == Phase::Ready,
            draining: matches!(phase, Phase::Leaving | Phase::Draining | Phase::Stopped),
            configuration: self.configuration(),
            platform: PlatformStatus {
                reachable,
                last_success_s: last_success.map(|since| since.as_secs()),
                calls: self.platform.calls(),
            },
            members,
            services,
            alarms: Vec::new(),
        };
        status.alarms = alarms(&status, &conditions, &refusals);
        status
    }

    fn configuration(&self) -> Option<ConfigurationStatus> {
        let stored = self.shared.configuration.load();
        let manifest = Manifest::from_bytes(&stored.manifest).ok()?;
        let change = manifest.change()?;
        Some(ConfigurationStatus {
            version: manifest.version,
            change_id: change.change_id.clone(),
            who: change.who.clone(),
            when: change.when,
            reason: change.reason.clone(),
        })
    }

    fn service(&self, view: &FleetView, name: &str, service: ServiceEntry) -> ServiceStatus {
        let key = ServiceKey::of(name);
        let default_place = ServicePlacement::default();
        let place = view.placements.get(&key).unwrap_or(&default_place);
        let home = self.entry.parts.homes.get(key);
        let now = self.entry.parts.clock.now();
        let (reports, held_permits, load) = home.as_ref().map_or_else(Default::default, |home| {
            home.read(|d: &mut Dispatcher, now| (d.explain(now), d.permits(), d.load(now)))
        });
        let reports: HashMap<UpstreamKey, UpstreamReport> = reports
            .into_iter()
            .map(|report| (report.upstream, report))
            .collect();
        let in_service = place.backends.iter().filter(|(backend, _)| {
            let report = reports.get(&backend.upstream);
            let is_excluded = |r: &UpstreamReport| {
                matches!(
                    r.standing,
                    Standing::Ejected | Standing::Trial | Standing::Leaving
                )
            };
            backend.state == crate::view::BackendState::Live && !report.is_some_and(is_excluded)
        });
        let healthy = in_service.count() as u32;
        let own_key = self.entry.parts.own_run.daemon;
        let owned_upstreams = place.backends.iter().filter_map(|(backend, owners)| {
            owners.and_then(|owners| owners.share(own_key))?;
            let report = reports.get(&backend.upstream)?;
            Some(UpstreamStatus {
                name: backend.name.to_string(),
                address: backend.address,
                state: upstream_state_name(report.standing).to_owned(),
                reason: upstream_state_reason(report, now),
                slots: report.share,
                in_use: report.in_flight,
            })
        });
        ServiceStatus {
            name: name.to_owned(),
            homes: daemon_names(view, &place.homes),
            floor: permits::floor(place.backends.len() as u32, service.floor_percent.into()),
            healthy,
            queued: load.queued,
            permits: held_permits.into_iter().map(|permit| permit.0).collect(),
            upstreams: owned_upstreams.collect(),
        }
    }

    /// Returns whether a request would be admitted, without admitting it.
    pub fn explain(&self, customer: &str, method: &str, path: &str) -> Explanation {
        let view = self.shared.view.load_full();
        let mut explanation = Explanation {
            version: view.table.version,
            plan: None,
            service: None,
            route: None,
            admitted: false,
            reason: None,
            homes: Vec::new(),
            limit_homes: daemon_names(&view, &view.limit_homes(CustomerKey::of(customer))),
            steps: Vec::new(),
        };
        match self.check_admission(&view, (customer, method, path), &mut explanation) {
            Ok(()) => explanation.admitted = true,
            Err(reason) => explanation.reason = Some(reason.name().to_owned()),
        }
        explanation
    }

    fn check_admission(
        &self,
        view: &FleetView,
        (customer, method, path): (&str, &str, &str),
        explanation: &mut Explanation,
    ) -> Result<(), Reason> {
        match self.shared.phase() {
            Phase::Draining | Phase::Stopped => return Err(Reason::Draining),
            _ if view.table.version == 0 => return Err(Reason::NotReady),
            _ => {}
        }
        if customer.is_empty() {
            return Err(Reason::NoCustomer);
        }
        let plan = view.table.plan(customer).ok_or(Reason::UnknownCustomer)?;
        let stored = self.shared.configuration.load();
        let customer_entry = stored.snapshot.customers.customers.get(customer);
        explanation.plan = customer_entry.map(|customer| customer.plan.clone());
        let method = method.parse::<Method>().map_err(|_| Reason::Method)?;
        let route = match view.table.route(&method, path) {
            RouteMatch::Found(route) => route,
            RouteMatch::MethodNotAllowed => return Err(Reason::Method),
            RouteMatch::NoRoute => return Err(Reason::NoRoute),
        };
        explanation.service = Some(route.service.to_string());
        explanation.route = Some(route.name.to_string());
        if !plan.allows(route) {
            return Err(Reason::PlanForbids);
        }
        let steps = &mut explanation.steps;
        steps.push(format!(
            "The plan allows {} requests/s and {} concurrent requests, with priority {}; current \
             usage is not checked here.",
            plan.rate_per_s, plan.concurrency, plan.priority
        ));
        if !route.idempotent {
            steps.push("The request runs at most once and is not retried.".to_owned());
        }
        let place = view.placements.get(&ServiceKey::of(&route.service));
        let place = place.filter(|place| !place.homes.is_empty());
        let place = place.ok_or(Reason::NoUpstream)?;
        explanation.homes = daemon_names(view, &place.homes);
        let service = view.table.services.get(&route.service);
        let service = service.ok_or(Reason::NoRoute)?;
        let status = self.service(view, &route.service, *service);
        steps.push(format!(
            "{} of {} backend servers are healthy as seen by this daemon; the floor is {}.",
            status.healthy,
            place.backends.len(),
            status.floor
        ));
        for upstream in status.upstreams.iter().filter(|u| u.state != "healthy") {
            let reason = upstream.reason.as_deref().unwrap_or("no reason known");
            steps.push(format!(
                "{} is {}: {reason}.",
                upstream.name, upstream.state
            ));
        }
        if status.healthy == 0 {
            return Err(Reason::NoUpstream);
        }
        Ok(())
    }
}

fn daemon_names(view: &FleetView, daemons: &[DaemonKey]) -> Vec<String> {
    let members = daemons.iter().filter_map(|daemon| view.member(*daemon));
    members.map(|member| member.name.to_string()).collect()
}

fn upstream_state_name(standing: Standing) -> &'static str {
    match standing {
        Standing::InUse => "healthy",
        Standing::RankedLast => "ranked-last",
        Standing::PathFault => "path-fault",
        Standing::Trial => "trial",
        Standing::Ejected => "ejected",
        Standing::Leaving => "leaving",
    }
}

fn upstream_state_reason(report: &UpstreamReport, now: Duration) -> Option<String> {
    if report.standing == Standing::InUse {
        return None;
    }
    let since = now.saturating_sub(report.since).as_secs();
    let evidence = report
        .evidence
        .map_or_else(String::new, |e| format!("{e:?}").to_lowercase() + ", ");
    let permit = report
        .permit
        .map_or_else(String::new, |(permit, _)| format!(", permit {}", permit.0));
    Some(format!("{evidence}for {since} s{permit}"))
}

fn alarms(
    status: &Status,
    conditions: &LastingConditions,
    refusals: &[(Arc<str>, Reason)],
) -> Vec<Alarm> {
    let mut alarms = Vec::new();
    let mut raise = |kind: AlarmKind, text: String| {
        alarms.push(Alarm {
            name: kind.name().to_owned(),
            text,
        });
    };
    if !status.platform.reachable {
        raise(
            AlarmKind::PlatformUnreachable,
            "the last call to the platform failed".to_owned(),
        );
    }
    if status.configuration.is_none() {
        raise(
            AlarmKind::NoConfiguration,
            "no configuration has been received".to_owned(),
        );
    }
    for service in &status.services {
        let count = |state| {
            service
                .upstreams
                .iter()
                .filter(|u| u.state == state)
                .count()
        };
        let (ejected, ranked_last) = (count("ejected"), count("ranked-last"));
        if service.healthy <= service.floor && ejected + ranked_last > 0 {
            let text = format!("{}: {} healthy", service.name, service.healthy);
            raise(AlarmKind::AtFloor, text);
        }
        if ranked_last > 0 {
            let text = format!("{}: {ranked_last} ranked last", service.name);
            raise(AlarmKind::NoPermit, text);
        }
        if ejected * MANY_EJECTED_DIVISOR > service.upstreams.len() {
            let text = format!(
                "{}: {ejected} of the upstreams owned by this daemon are ejected",
                service.name
            );
            raise(AlarmKind::ManyEjected, text);
        }
    }
    for (domain, members) in members_by_domain(&status.members) {
        let is_lost = |m: &&MemberStatus| matches!(m.state.as_str(), "suspected" | "dead");
        if members.iter().all(is_lost) {
            raise(AlarmKind::DomainLost, domain);
        }
    }
    for member in &conditions.lagging_members {
        raise(AlarmKind::ConfigurationLag, member.to_string());
    }
    for (difference, member) in &conditions.vm_differences {
        let what = match difference {
            VmDifference::NotListed => "answers, but is not in the VM list",
            VmDifference::NoAnswer => "is in the VM list, but does not answer",
        };
        raise(AlarmKind::VmListDiffers, format!("{member} {what}"));
    }
    if let Some((length, since)) = conditions.pause {
        let text = format!("for {} ms, {} s ago", length.as_millis(), since.as_secs());
        raise(AlarmKind::Paused, text);
    }
    if let Some(waited) = conditions.slow_drain {
        raise(AlarmKind::DrainSlow, format!("for {} s", waited.as_secs()));
    }
    for (service, reason) in refusals {
        let kind = match reason {
            Reason::ClaimBudget => AlarmKind::ClaimsRefused,
            _ => AlarmKind::Overload,
        };
        raise(kind, format!("{service}: {}", reason.name()));
    }
    alarms
}

fn members_by_domain(members: &[MemberStatus]) -> BTreeMap<String, Vec<&MemberStatus>> {
    let mut domains = BTreeMap::<String, Vec<&MemberStatus>>::new();
    for member in members.iter().filter(|member| member.state != "left") {
        let domain = format!("{}/{}", member.region, member.domain);
        domains.entry(domain).or_default().push(member);
    }
    domains
}
