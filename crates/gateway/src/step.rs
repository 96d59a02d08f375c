//! The steps of a request, for the log line of one that is abandoned.

use derive_more::Display;

/// What a request in progress waits for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Step {
    /// The request's body.
    #[display("request body")]
    RequestBody,
    /// The store's permission to probe a held prompt part.
    #[display("probe")]
    Probe,
    /// A retry of the budget.
    #[display("retry")]
    Retry,
    /// A runner that holds the adapter.
    #[display("adapter")]
    Adapter,
    /// A slot at a runner that limits its requests, or the end of a pause.
    #[display("slot")]
    Slot,
    /// Room at a runner of a plain service.
    #[display("queue")]
    Queue,
    /// The admission of the prompt.
    #[display("admission")]
    Admission,
    /// A connection to the runner.
    #[display("connection")]
    Connection,
    /// The head of the runner's response.
    #[display("response")]
    Response,
    /// The rest of the response, or the first event of a stream.
    #[display("response body")]
    ResponseBody,
    /// The next event of a stream that is being relayed.
    #[display("event")]
    Event,
}
