//! Stand-ins and cases of the second review. `review-harness-2 CASE FOLDER` runs one case and
//! writes `record.txt` into the folder. Exit codes: 1 the rule was broken, 0 it held, 2 the case
//! could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod engine;
mod http;
mod platform;
mod record;
mod system;
mod wrongly_refused;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-harness-2 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::open(&format!("{folder}/record.txt"));
    // A case that takes longer than 115 s could not run.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(115));
        record::line("the case took too long");
        system::kill_all();
        std::process::exit(2);
    });
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "wrongly-refused" => wrongly_refused::run(wrongly_refused::Mode::Reset, trouble),
        "wrongly-refused-crash" => wrongly_refused::run(wrongly_refused::Mode::Crash, trouble),
        _ => Err(format!("no such case: {case}")),
    });
    system::kill_all();
    let code = match result {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(reason)) => {
            record::line(&format!("could not run: {reason}"));
            2
        }
        Err(_) => {
            record::line("could not run: the harness panicked");
            2
        }
    };
    record::line(&format!("exit code {code}"));
    println!("exit code {code}");
    std::process::exit(code);
}
