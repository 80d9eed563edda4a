package jujubemodel

// EngineRequest starts or resumes a stream on an engine (POST /v1/generate).
type EngineRequest struct {
	Stream    StreamID
	Model     ModelName
	Prompt    string
	MaxTokens int
	Priority  Priority
	// ResumeFrom is the index of the first token wanted. With Resume the engine continues a stream that it holds and
	// answers 404 with code StreamUnknown when it holds none.
	ResumeFrom int  `json:",omitempty"`
	Resume     bool `json:",omitempty"`
	// Timeout is the time that is left until the caller's deadline.
	Timeout Duration
}

// Chunk is the data of an SSE event named "chunk": tokens [From, To) and the weights that produced them.
type Chunk struct {
	From    int
	To      int
	Text    string
	Version WeightVersion
}

// EngineDone is the data of the SSE event "done" that ends a stream.
type EngineDone struct {
	Tokens int
	// Reason is "Stop", "Length" or "Cancelled".
	Reason string
	Load   LoadReport
}

// EngineError is the JSON body of an engine's refusal and the data of the SSE event "error".
type EngineError struct {
	// Code is one of the EngineCode constants.
	Code    string
	Message string
	Fence   int64 `json:",omitempty"`
}

// Codes of EngineError.
const (
	EngineCodeStreamUnknown = "StreamUnknown"
	EngineCodeOverloaded    = "Overloaded"
	EngineCodeStaleFence    = "StaleFence"
	EngineCodeLeaving       = "Leaving"
	EngineCodeBadRequest    = "BadRequest"
	EngineCodeSwapFailed    = "SwapFailed"
	// EngineCodeTakenOver ends a connection whose stream another connection has resumed.
	EngineCodeTakenOver = "TakenOver"
)

// EngineStream is one row of GET /v1/streams?Prefix=: a stream that the engine holds, running or finished.
type EngineStream struct {
	Stream   StreamID
	Tokens   int
	Finished bool
}

// CacheEvents answers GET /v1/cache-events?After=. Seq starts at the incarnation, so that it also grows over a crash.
type CacheEvents struct {
	Events []CacheEvent
}

// CancelRequest is the body of POST /v1/streams/cancel.
type CancelRequest struct {
	Stream StreamID
}

// Order asks an engine to be at a version (POST /v1/orders). It is absolute and may be repeated.
type Order struct {
	Endpoint EndpointID
	Model    ModelName
	Version  WeightVersion
	// Fence is the fencing number of the orderer's lease.
	Fence int64
}

// OrderResult answers an order. Accepted means that the swap has begun or that the version already serves.
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

// ScoreResult answers a ScoreRequest.
type ScoreResult struct {
	Sample StreamID
	Score  float64
}
