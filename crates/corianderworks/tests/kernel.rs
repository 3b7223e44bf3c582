//! Names of a daemon's actors.

use corianderworks::actor_namespace::{ActorNamespace, ActorNamespaceError};
use kameo::Actor;
use kameo::actor::Spawn;

#[derive(Actor)]
struct TestActor;

/// Guards against two daemons with the same name and incarnation in one process finding each
/// other's actors, and against one daemon registering two actors under the same name.
#[tokio::test]
async fn actor_names_are_separate_between_daemons_and_unique_within_one() {
    let (first, second) = (
        ActorNamespace::new("entry-0#1"),
        ActorNamespace::new("entry-0#1"),
    );
    let (a, b) = (TestActor::spawn(TestActor), TestActor::spawn(TestActor));
    first.register("control", &a).unwrap();
    second.register("control", &b).unwrap();
    assert_eq!(first.find::<TestActor>("control").unwrap().id(), a.id());
    assert_eq!(second.find::<TestActor>("control").unwrap().id(), b.id());
    let result = first.register("control", &b);
    assert!(matches!(
        result,
        Err(ActorNamespaceError::AlreadyRegistered(_))
    ));
}
