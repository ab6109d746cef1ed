//! Shows a streamed completion, and helpers for the other streams of the trial.

use std::io::Write;

use super::caller::Next;
use super::caller::Prompt;
use super::caller::Tokens;
use super::error::TrialError;
use super::fleet::Fleet;
use super::fleet::LAYERS;
use super::report::Report;
use crate::api::tokenize;
use crate::standin::engine::generate_tokens;

/// The length of a long answer in tokens.
pub(super) const LONG_TOKENS: usize = 120;
/// The limit of the search for a seed that gives an answer of the wanted length.
const SEEDS: u64 = 1000;
/// The prompt of all requests.
const PROMPT: &str = "Write a letter.";

/// Shows that a completion streams correctly through the three stages of the model.
pub(super) async fn show<W>(fleet: &Fleet, report: &mut Report<'_, W>) -> Result<(), TrialError>
where
    W: Write,
{
    report.section("A completion streams through three stages")?;
    let prompt = prompt(60);
    let mut stream = Tokens::open(fleet.caller(0), &prompt).await?;
    report.part("   ")?;
    let text = read_rest(&mut stream, report).await?;
    let whole = text == expected(&prompt);
    report.check("Every token ran every layer once, in order", whole)?;
    Ok(())
}

/// Returns a request whose answer has exactly `limit` tokens.
pub(super) fn prompt(limit: usize) -> Prompt {
    let input = tokenize(PROMPT);
    let is_long = |seed: &u64| generate_tokens(*seed, &input, LAYERS, limit).len() == limit;
    Prompt {
        model: "chat",
        text: PROMPT,
        limit,
        seed: (1..SEEDS).find(is_long).unwrap_or_default(),
        stream: true,
    }
}

/// Returns the text that the stand-in model generates for a prompt.
pub(super) fn expected(prompt: &Prompt) -> String {
    let drawn = generate_tokens(prompt.seed, &tokenize(prompt.text), LAYERS, prompt.limit);
    drawn.into_iter().filter_map(char::from_u32).collect()
}

/// Prints tokens as they arrive until there are `count`, and returns their text.
pub(super) async fn read_some<W>(
    stream: &mut Tokens,
    count: usize,
    report: &mut Report<'_, W>,
) -> Result<String, TrialError>
where
    W: Write,
{
    let mut text = String::new();
    while text.len() < count {
        match stream.next().await? {
            Next::Text(part) => {
                report.part(&part)?;
                text.push_str(&part);
            }
            Next::Done => break,
            Next::Failed(failure) => {
                report.part(&format!(" [{failure}]"))?;
                break;
            }
        }
    }
    Ok(text)
}

/// Prints the tokens of a stream to its end and returns their text.
pub(super) async fn read_rest<W>(
    stream: &mut Tokens,
    report: &mut Report<'_, W>,
) -> Result<String, TrialError>
where
    W: Write,
{
    let text = read_some(stream, usize::MAX, report).await?;
    report.part("\n")?;
    Ok(text)
}
