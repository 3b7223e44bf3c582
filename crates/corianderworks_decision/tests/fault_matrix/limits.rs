//! Grants of one customer that exceeds its limit at five entry daemons while the links to the
//! homes fail.
//!
//! The simulated fleet asserts the bound of section 2.7 at each admission.

use crate::fleet::{Fleet, Link as FleetLink, ms};
use crate::{Cell, Effect, Fault, Link};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Ask,
    Spend,
    TakeOver,
}

pub fn ask(faults: &[Fault]) -> Cell {
    drive(faults, Step::Ask)
}

pub fn spend(faults: &[Fault]) -> Cell {
    drive(faults, Step::Spend)
}

pub fn take_over(faults: &[Fault]) -> Cell {
    drive(faults, Step::TakeOver)
}

/// Injects each fault for 3 s while requests arrive at twice the permitted rate.
fn drive(faults: &[Fault], step: Step) -> Cell {
    let mut effects = Vec::new();
    for fault in faults {
        match fault.effect(Link::Daemons) {
            Ok(Effect::Pause | Effect::ProcessLost) => effects.push((*fault, Effect::Pause)),
            Ok(_) if step == Step::Spend => return Cell::NotApplicable("no message"),
            Ok(effect) => effects.push((*fault, effect)),
            Err(reason) => return Cell::NotApplicable(reason),
        }
    }
    let outcome = std::panic::catch_unwind(|| {
        let mut fleet = Fleet::new(5, 50);
        send_requests(&mut fleet, 2000);
        if step == Step::TakeOver {
            fleet.set_down(1, true);
            send_requests(&mut fleet, 6000);
        }
        let before = fleet.admitted + fleet.fallback;
        for (fault, effect) in effects {
            set_fault(&mut fleet, fault, effect, true);
            send_requests(&mut fleet, 3000);
            set_fault(&mut fleet, fault, effect, false);
            send_requests(&mut fleet, 500);
        }
        fleet.set_down(1, false);
        send_requests(&mut fleet, 3000);
        fleet.admitted + fleet.fallback - before
    });
    match outcome {
        Ok(0) => Cell::NotRun,
        Ok(_) => Cell::Done,
        Err(_) => Cell::Violation("the limit was exceeded".into()),
    }
}

fn set_fault(fleet: &mut Fleet, fault: Fault, effect: Effect, active: bool) {
    match (fault, effect) {
        (Fault::VmLost | Fault::DomainLost, _) => fleet.set_down(0, active),
        // All processes are paused while time passes.
        (_, Effect::Pause) if active => fleet.now += ms(1000),
        (_, Effect::Pause) => {}
        (_, effect) => {
            for links in &mut fleet.links {
                links[0] = FleetLink {
                    drop_asks: active && effect == Effect::RequestLost,
                    drop_answers: active && effect == Effect::ReplyLost,
                    slow: active && matches!(effect, Effect::Late | Effect::Repeated),
                };
            }
        }
    }
}

fn send_requests(fleet: &mut Fleet, time_ms: u64) {
    for _ in 0..time_ms / 50 {
        (0..5).for_each(|entry| fleet.request(entry, None));
        fleet.advance(ms(50));
    }
}
