//! `garnet-bench load`: drives a real fleet in an open loop.

pub(crate) mod arrivals;
pub(crate) mod figures;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use garnet_runtime::HttpClient;
use garnet_runtime::client::{HttpError, StreamedResponse, build_request, json_request};
use garnet_stand_in::text::is_expected_text;
use serde_json::{Value, json};
use smol::{LocalExecutor, Timer};

use crate::options::Options;
use crate::text_stream::TextStream;
use arrivals::{Arrival, Arrivals, Work};
use figures::{Figures, Outcome};

const HELP: &str = "\
Usage: garnet-bench load --gateways IP:PORT,... [OPTIONS]

  --gateways A,B    gateways; requests go to them in turn
  --model M         model of the texts (needed where texts are asked for)
  --service S       application service of the calls (needed where there are calls)
  --rate N          requests a second (default 20); they arrive at random and wait
                    for no answer, and their times begin when they were due
  --texts SHARE     part of the requests that ask for a text (default 0.5)
  --prompt-words N  length of the prompts (default 200)
  --max-tokens N    length of the texts (default 32)
  --seconds N       how long (default 10)
  --seed N          arrivals and prompts (default 1)
  --deadline-ms N   told with each request (default 10000)
  --check           texts must be those of the stand-in engines

Prints one JSON object, which `garnet-bench report` draws. Exit codes: 0 measured,
1 nothing was answered, 2 wrong usage.
";

/// Requests under way at most; what arrives beyond is counted as left out.
const MOST_UNDER_WAY: usize = 4096;
/// An answer is waited for so much longer than its deadline.
const GRACE: Duration = Duration::from_secs(2);

/// What all requests of a run share.
struct Load {
    http: HttpClient,
    gateways: Vec<String>,
    model: String,
    service: String,
    prompt_words: usize,
    max_tokens: u64,
    deadline_ms: u64,
    checks_texts: bool,
    seed: u64,
    began: Instant,
    under_way: Cell<usize>,
    figures: RefCell<Figures>,
}

/// Runs the verb; `false` when nothing was answered.
pub(crate) fn run(options: &Options) -> Result<bool, String> {
    if options.flag("help") {
        garnet_runtime::print_out!("{HELP}");
        return Ok(true);
    }
    let rate_per_s = options.value("rate", 20.0_f64)?;
    let text_share = options.value("texts", 0.5_f64)?;
    let seconds = options.value("seconds", 10.0_f64)?;
    let is_rate = rate_per_s.is_finite() && rate_per_s > 0.0;
    if !is_rate || !(0.0..=1.0).contains(&text_share) || !seconds.is_finite() {
        return Err("--rate must be above 0, --texts from 0 to 1, --seconds a number".to_owned());
    }
    let needed = |name, is_needed: bool| match is_needed {
        true => options.needed(name).map(str::to_owned),
        false => Ok(options.text(name).unwrap_or_default().to_owned()),
    };
    let executor = Rc::new(LocalExecutor::new());
    let load = Load {
        http: HttpClient::new(Rc::clone(&executor)),
        gateways: options
            .needed("gateways")?
            .split(',')
            .map(str::to_owned)
            .collect(),
        model: needed("model", text_share > 0.0)?,
        service: needed("service", text_share < 1.0)?,
        prompt_words: options.value("prompt-words", 200)?,
        max_tokens: options.value("max-tokens", 32)?,
        deadline_ms: options.value("deadline-ms", 10_000)?,
        checks_texts: options.flag("check"),
        seed: options.value("seed", 1)?,
        began: Instant::now(),
        under_way: Cell::new(0),
        figures: RefCell::default(),
    };
    options.check_all_asked()?;
    let seed = load.seed;
    let arrivals = Arrivals::new(seed, rate_per_s, text_share);
    let length = Duration::from_secs_f64(seconds.max(0.0));
    let due = arrivals.take_while(|arrival| arrival.due < length);
    let load = Rc::new(load);
    smol::block_on(executor.run(offer(Rc::clone(&load), Rc::clone(&executor), due)));
    let figures = load.figures.borrow();
    let report = figures.report(seed, rate_per_s, seconds);
    let text = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
    garnet_runtime::print_line!("{text}");
    Ok(figures.outcomes.contains_key(&Outcome::Answered))
}

async fn offer(
    load: Rc<Load>,
    executor: Rc<LocalExecutor<'static>>,
    due: impl Iterator<Item = Arrival>,
) {
    let mut sent = Vec::new();
    for arrival in due {
        Timer::at(load.began + arrival.due).await;
        if load.under_way.get() >= MOST_UNDER_WAY {
            load.figures.borrow_mut().count(Outcome::LeftOut);
            continue;
        }
        load.under_way.set(load.under_way.get() + 1);
        let load = Rc::clone(&load);
        sent.push(executor.spawn(async move {
            let outcome = load.send(arrival).await;
            load.figures.borrow_mut().count(outcome);
            load.under_way.set(load.under_way.get() - 1);
        }));
    }
    for request in sent {
        request.await;
    }
}

impl Load {
    async fn send(&self, arrival: Arrival) -> Outcome {
        let patience = Duration::from_millis(self.deadline_ms) + GRACE;
        let sending = async {
            match arrival.work {
                Work::Text => self.text(arrival).await,
                Work::Call => self.call(arrival, patience).await,
            }
        };
        let late = async {
            Timer::after(patience).await;
            Outcome::TimedOut
        };
        smol::future::or(sending, late).await
    }

    fn gateway(&self, arrival: Arrival) -> &str {
        &self.gateways[arrival.number as usize % self.gateways.len()]
    }

    fn since_due(&self, arrival: Arrival) -> Duration {
        self.began.elapsed().saturating_sub(arrival.due)
    }

    async fn call(&self, arrival: Arrival, patience: Duration) -> Outcome {
        let path = format!("/services/{}/load/{}", self.service, arrival.number);
        let Ok(mut request) = build_request("GET", &path, "text/plain", Vec::new()) else {
            return Outcome::Failed;
        };
        self.add_deadline(&mut request);
        match self
            .http
            .send(self.gateway(arrival), request, patience)
            .await
        {
            Ok(answer) if answer.status().is_success() => {
                let took = self.since_due(arrival);
                self.figures.borrow_mut().call.note(took);
                Outcome::Answered
            }
            Ok(answer) => refused(answer.body()),
            Err(error) => of_error(&error),
        }
    }

    async fn text(&self, arrival: Arrival) -> Outcome {
        let prompt = self.prompt(arrival);
        let body = json!({
            "model": self.model,
            "prompt": prompt,
            "max_tokens": self.max_tokens,
            "stream": true,
        });
        let mut request = json_request("POST", "/v1/completions", &body);
        self.add_deadline(&mut request);
        match self.http.stream(self.gateway(arrival), request).await {
            Ok(answer) if answer.response.status().is_success() => {
                self.read(arrival, answer, &prompt).await
            }
            Ok(mut answer) => {
                let mut body = Vec::new();
                while let Ok(Some(chunk)) = answer.next().await {
                    body.extend_from_slice(&chunk);
                }
                refused(&body)
            }
            Err(error) => of_error(&error),
        }
    }

    async fn read(&self, arrival: Arrival, mut answer: StreamedResponse, prompt: &str) -> Outcome {
        let mut stream = TextStream::default();
        let mut last_piece: Option<Instant> = None;
        loop {
            let chunk = match answer.next().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(error) => return of_error(&error),
            };
            if !stream.push(&chunk) {
                continue;
            }
            let now = Instant::now();
            let mut figures = self.figures.borrow_mut();
            match last_piece.replace(now) {
                Some(last) => figures.between_tokens.note(now - last),
                None => figures.first_token.note(self.since_due(arrival)),
            }
        }
        let is_right =
            !self.checks_texts || is_expected_text(&stream.text, prompt, self.max_tokens);
        if !stream.is_done || !is_right {
            return Outcome::Failed;
        }
        let took = self.since_due(arrival);
        self.figures.borrow_mut().text.note(took);
        Outcome::Answered
    }

    fn prompt(&self, arrival: Arrival) -> String {
        let word = |place: usize| format!("w{}-{}-{place}", self.seed, arrival.number);
        let words: Vec<String> = (0..self.prompt_words.max(1)).map(word).collect();
        words.join(" ")
    }

    fn add_deadline<B>(&self, request: &mut hyper::Request<B>) {
        let headers = request.headers_mut();
        headers.insert("garnet-deadline-ms", self.deadline_ms.into());
        headers.insert(
            "garnet-tenant",
            hyper::header::HeaderValue::from_static("load"),
        );
    }
}

/// What a refusal says of a request.
fn refused(body: &[u8]) -> Outcome {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    match &answer["ran"] {
        Value::Bool(false) => Outcome::NotRun,
        _ => Outcome::Failed,
    }
}

fn of_error(error: &HttpError) -> Outcome {
    match error {
        HttpError::NotSent(_)
        | HttpError::Withheld
        | HttpError::Broken(_)
        | HttpError::NoAnswer(_)
        | HttpError::TooLong(_)
        | HttpError::NoRoom(_) => Outcome::Broken,
        HttpError::TimedOut => Outcome::TimedOut,
    }
}
