package jujubemodel

// EngineRequest is the body of POST /v1/generate on an engine: it starts or resumes a stream.
type EngineRequest struct {
	Stream    StreamID
	Model     ModelName
	Prompt    string
	MaxTokens int
	Priority  Priority
	// ResumeFrom is the index of the first token to send. With Resume set, the engine continues a stream that it
	// retains, and responds with 404 and code StreamUnknown if it has no such stream.
	ResumeFrom int  `json:",omitempty"`
	Resume     bool `json:",omitempty"`
	// Timeout is the time remaining until the caller's deadline.
	Timeout Duration
}

// Chunk is the data of an SSE event named "chunk": the tokens [From, To) and the weight version that produced them.
type Chunk struct {
	From    int
	To      int
	Text    string
	Version WeightVersion
}

// EngineDone is the data of the SSE event "done", the last event of a successful stream.
type EngineDone struct {
	Tokens int
	// Reason is "Stop", "Length" or "Cancelled".
	Reason string
	Load   LoadReport
}

// EngineError is the JSON body of an engine's refusal, and the data of the SSE event "error".
type EngineError struct {
	// Code is one of the EngineCode constants.
	Code    string
	Message string
	// Fence is the highest fencing token that the engine has received; set with EngineCodeStaleFence.
	Fence int64 `json:",omitempty"`
}

// Codes of EngineError.
const (
	EngineCodeStreamUnknown = "StreamUnknown"
	EngineCodeOverloaded    = "Overloaded"
	EngineCodeStaleFence    = "StaleFence"
	EngineCodeLeaving       = "Leaving"
	EngineCodeBadRequest    = "BadRequest"
	EngineCodeSwapFailed    = "SwapFailed"
	// EngineCodeTakenOver closes a connection whose stream was resumed on another connection.
	EngineCodeTakenOver = "TakenOver"
)

// EngineStream is one element of the response to GET /v1/streams?Prefix=: a running stream of the engine, or a finished
// one that it retains.
type EngineStream struct {
	Stream   StreamID
	Tokens   int
	Finished bool
}

// CacheEvents is the response to GET /v1/cache-events?After=. Seq starts at the number of the incarnation, so it also
// increases across a crash.
type CacheEvents struct {
	Events []CacheEvent
}

// CancelRequest is the body of POST /v1/streams/cancel.
type CancelRequest struct {
	Stream StreamID
}

// Order is the body of POST /v1/orders: the weight version that the engine must load. An order is absolute and may be
// repeated.
type Order struct {
	Endpoint EndpointID
	Model    ModelName
	Version  WeightVersion
	// Fence is the fencing token of the sender's lease.
	Fence int64
}

// OrderResult is the response to an Order. Accepted means that the swap has begun or that the version is already in use.
type OrderResult struct {
	Accepted bool
	Report   LoadReport
}

// ScoreRequest is the body of POST /v1/score on a scorer.
type ScoreRequest struct {
	Sample StreamID
	Prompt string
	Text   string
}

// ScoreResult is the response to a ScoreRequest.
type ScoreResult struct {
	Sample StreamID
	Score  float64
}
