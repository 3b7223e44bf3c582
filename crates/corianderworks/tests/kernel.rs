//! Names of services.

use corianderworks::kernel::{Kernel, KernelError};
use kameo::Actor;
use kameo::actor::Spawn;

#[derive(Actor)]
struct Service;

/// Guards against two daemons of one process with the same name and incarnation taking each
/// other's services, and against one daemon with two services of one name.
#[tokio::test]
async fn names_are_separate_between_daemons_and_unique_within_one() {
    let (first, second) = (Kernel::new("entry-0#1"), Kernel::new("entry-0#1"));
    let (a, b) = (Service::spawn(Service), Service::spawn(Service));
    first.register("control", &a).unwrap();
    second.register("control", &b).unwrap();
    assert_eq!(first.find::<Service>("control").unwrap().id(), a.id());
    assert_eq!(second.find::<Service>("control").unwrap().id(), b.id());
    let taken = first.register("control", &b);
    assert!(matches!(taken, Err(KernelError::Taken(_))));
}
