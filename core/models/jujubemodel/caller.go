package jujubemodel

// AddressAnswer is the response to GET /v1/addresses?Caller=&DataCentre=: the instances that a caller should connect to.
type AddressAnswer struct {
	// Addresses is sorted by preference, the best one first.
	Addresses []EntryAddress
	// ValidFor is how long a caller may cache the response. Every instance in it accepts requests at least that long.
	ValidFor Duration
	// StepParts is the number of instances that a trainer should split a step over.
	StepParts int
}

// EntryAddress is the address of one entry instance that a caller may use.
type EntryAddress struct {
	Instance   InstanceID
	Address    string
	DataCentre DataCentre
	// KeyPrefix is the prefix of the idempotency keys of requests sent to this instance. The responding instance derives it
	// from the incarnation in its own record of the member.
	KeyPrefix string `json:",omitempty"`
}

// GenerateRequest is the body of POST /v1/generate on an entry instance: one generation.
type GenerateRequest struct {
	ID        RequestID
	Caller    CallerID
	Model     ModelName
	Prompt    string
	MaxTokens int
	// Background lowers the priority below that of trainers.
	Background bool `json:",omitempty"`
	// Timeout is how long the caller waits for the complete response.
	Timeout Duration
	// Stream requests server-sent events; without it the response is one GenerateResult.
	Stream bool `json:",omitempty"`
}

// GenerateResult is the response to a GenerateRequest, or the data of the SSE event "done" when the response is streamed.
type GenerateResult struct {
	ID     RequestID
	Text   string `json:",omitempty"`
	Tokens int
	Labels []Label
}

// Label is the weight version that produced the tokens [From, To).
type Label struct {
	Version WeightVersion
	From    int
	To      int
}

// Ran reports whether a refused request ran on an endpoint.
type Ran string

// Values of Ran. RanNo is only used when no byte of the request can have reached an endpoint.
const (
	RanNo      Ran = "NotRun"
	RanYes     Ran = "Ran"
	RanUnknown Ran = "Unknown"
)

// Refusal is the JSON body of every response that isn't a success.
type Refusal struct {
	Code    string
	Ran     Ran
	Message string
	// RetryAfter is the delay before the caller may retry; zero means that a retry won't succeed.
	RetryAfter Duration
	// Addresses lists other instances to use when this one is leaving.
	Addresses []EntryAddress `json:",omitempty"`
}

// Headers of calls to plain services (ANY /v1/services/{service}/...) and of refusals.
const (
	HeaderCaller         = "Jujube-Caller"
	HeaderTimeout        = "Jujube-Timeout"
	HeaderNonIdempotent  = "Jujube-Non-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRan            = "Jujube-Ran"
	HeaderRepeated       = "Jujube-Repeated"
)

// WeightsAnnounced is the body of POST /v1/weights: a trainer has written new weights to the weight store.
type WeightsAnnounced struct {
	Trainer TrainerID
	Model   ModelName
	Version WeightVersion
}

// InstanceList is the response to GET /v1/instances of the platform's instance list.
type InstanceList struct {
	Endpoints []Endpoint
	Entries   []Member
}
