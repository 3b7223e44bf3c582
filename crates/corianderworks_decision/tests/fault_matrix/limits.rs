//! Grants of a customer: five entries over their limit while the links to the homes fail.
//!
//! The fleet asserts the bound of section 2.7 at each admission.

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

/// Each fault lasts for 3 s of demand at twice the rate.
fn drive(faults: &[Fault], step: Step) -> Cell {
    let mut effects = Vec::new();
    for fault in faults {
        match fault.effect(Link::Daemons) {
            Ok(Effect::Pause | Effect::Gone) => effects.push((*fault, Effect::Pause)),
            Ok(_) if step == Step::Spend => return Cell::NotApplicable("no message"),
            Ok(effect) => effects.push((*fault, effect)),
            Err(reason) => return Cell::NotApplicable(reason),
        }
    }
    let outcome = std::panic::catch_unwind(|| {
        let mut fleet = Fleet::new(5, 50);
        demand(&mut fleet, 2000);
        if step == Step::TakeOver {
            fleet.set_down(1, true);
            demand(&mut fleet, 6000);
        }
        let before = fleet.admitted + fleet.fallback;
        for (fault, effect) in effects {
            apply(&mut fleet, fault, effect, true);
            demand(&mut fleet, 3000);
            apply(&mut fleet, fault, effect, false);
            demand(&mut fleet, 500);
        }
        fleet.set_down(1, false);
        demand(&mut fleet, 3000);
        fleet.admitted + fleet.fallback - before
    });
    match outcome {
        Ok(0) => Cell::NotRun,
        Ok(_) => Cell::Done,
        Err(_) => Cell::Violation("the limit was exceeded".into()),
    }
}

fn apply(fleet: &mut Fleet, fault: Fault, effect: Effect, on: bool) {
    match (fault, effect) {
        (Fault::VmGone | Fault::DomainGone, _) => fleet.set_down(0, on),
        // All processes stand still while time passes.
        (_, Effect::Pause) if on => fleet.now += ms(1000),
        (_, Effect::Pause) => {}
        (_, effect) => {
            for links in &mut fleet.links {
                links[0] = FleetLink {
                    drop_asks: on && effect == Effect::RequestLost,
                    drop_answers: on && effect == Effect::ReplyLost,
                    slow: on && matches!(effect, Effect::Late | Effect::Repeated),
                };
            }
        }
    }
}

fn demand(fleet: &mut Fleet, time_ms: u64) {
    for _ in 0..time_ms / 50 {
        (0..5).for_each(|entry| fleet.request(entry, None));
        fleet.advance(ms(50));
    }
}
