//! Prints the comparison of the two ways of balancing.

#[tokio::main]
async fn main() {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    println!("{:?}", corianderworks::compare::run(false).await);
}
