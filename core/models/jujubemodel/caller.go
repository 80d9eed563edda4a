package jujubemodel

// AddressAnswer tells a caller where to connect (GET /v1/addresses?Caller=&DataCentre=).
type AddressAnswer struct {
	// Addresses are in the order of preference.
	Addresses []EntryAddress
	// ValidFor is how long the answer may be kept; instances that it names serve at least that long.
	ValidFor Duration
	// StepParts is over how many instances a trainer should split a step.
	StepParts int
}

// EntryAddress is one entry instance that a caller may use.
type EntryAddress struct {
	Instance   InstanceID
	Address    string
	DataCentre DataCentre
	// KeyPrefix starts the idempotency keys of requests sent to this instance; it is empty for other instances than the
	// one that answers unless it has learned theirs.
	KeyPrefix string `json:",omitempty"`
}

// GenerateRequest asks for one generation (POST /v1/generate).
type GenerateRequest struct {
	ID        RequestID
	Caller    CallerID
	Model     ModelName
	Prompt    string
	MaxTokens int
	// Background lowers the priority below that of trainers.
	Background bool `json:",omitempty"`
	// Timeout is the time the caller will wait for the whole answer.
	Timeout Duration
	// Stream asks for server-sent events; otherwise the answer is one GenerateResult.
	Stream bool `json:",omitempty"`
}

// GenerateResult is the whole answer, or the data of the SSE event "done" of a streamed one.
type GenerateResult struct {
	ID     RequestID
	Text   string `json:",omitempty"`
	Tokens int
	Labels []Label
}

// Label names the weights that produced tokens [From, To).
type Label struct {
	Version WeightVersion
	From    int
	To      int
}

// Ran tells whether a refused request ran on an endpoint.
type Ran string

// Values of Ran. RanNo is given only when no byte of the request can have reached an endpoint.
const (
	RanNo      Ran = "NotRun"
	RanYes     Ran = "Ran"
	RanUnknown Ran = "Unknown"
)

// Refusal is the JSON body of each answer that isn't a success.
type Refusal struct {
	Code    string
	Ran     Ran
	Message string
	// RetryAfter is when to come back; zero means that a repeat won't help.
	RetryAfter Duration
	// Addresses are other instances to use, when this one is leaving.
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

// WeightsAnnounced tells that a trainer has put new weights into the store (POST /v1/weights).
type WeightsAnnounced struct {
	Trainer TrainerID
	Model   ModelName
	Version WeightVersion
}

// InstanceList answers GET /v1/instances of the platform's instance list.
type InstanceList struct {
	Endpoints []Endpoint
	Entries   []Member
}
