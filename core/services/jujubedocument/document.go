// Package jujubedocument parses and validates the environment document, which defines the trainers, models, services and
// callers of an environment and their limits. It contains no addresses or secrets, so that the same document works
// unchanged in a trial environment and in production.
package jujubedocument

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

// MaxBytes limits the size of a document, because a checkpoint contains the whole document in one log record.
const MaxBytes = 256 << 10

// Document is a validated environment document.
type Document struct {
	Trainers map[model.TrainerID]Trainer   `validate:"dive,keys,name,endkeys"`
	Models   map[model.ModelName]Model     `key:"required" validate:"min=1,dive,keys,name,endkeys"`
	Services map[model.ServiceName]Service `validate:"dive,keys,name,endkeys"`
	// Callers without an entry are unlimited.
	Callers map[model.CallerID]Caller `validate:"dive,keys,name,endkeys"`
}

// Trainer is a trainer and its limits.
type Trainer struct {
	Model model.ModelName `key:"required"`
	// Share is the trainer's share of the model's engines while several trainers wait. The shares of a model's trainers add
	// up to 100% at most.
	Share Percent `key:"required" validate:"gt=0,max=100"`
	// StalenessBound is the highest age of a delivered sample, in weight versions; 0 accepts only the trainer's own version.
	StalenessBound model.WeightVersion `key:"required" validate:"min=0,max=1000"`
	MaxInFlight    int                 `key:"required" validate:"min=1,max=1000000"`
	// Prefer determines what a stream does if only engines with older weights within the bound have free slots: with
	// Freshness it waits for engines with newer weights, with IdleTime it starts, unless the trainer's next step is expected
	// in that time.
	Prefer model.Preference `validate:"omitempty,oneof=Freshness IdleTime"`
	// Scorer is the name of one of Services. If empty, samples are delivered unscored.
	Scorer       model.ServiceName
	StepDeadline time.Duration `key:"required" validate:"min=1s,max=24h"`
}

// Model is a model whose engines the trainers and apps share.
type Model struct {
	// Engines is the planned number of engines. It is only used to check the other limits.
	Engines                int           `key:"required" validate:"min=1,max=100000"`
	MaxInFlightPerEndpoint int           `key:"required" validate:"min=1,max=100000"`
	MaxSwapping            int           `key:"required" validate:"min=1,max=100000"`
	MinServing             int           `key:"required" validate:"min=1,max=100000"`
	SwapTimeout            time.Duration `key:"required" validate:"min=1s,max=1h"`
}

// Service is a plain service or a scorer.
type Service struct {
	MaxInFlightPerEndpoint int           `key:"required" validate:"min=1,max=100000"`
	Timeout                time.Duration `key:"required" validate:"min=1ms,max=1h"`
	// NonIdempotentMethods defaults to POST and PATCH if the key is absent. An empty list means that all calls may be
	// repeated.
	NonIdempotentMethods []string `validate:"unique,dive,oneof=GET HEAD OPTIONS POST PUT PATCH DELETE"`
}

// Caller holds the limits of a caller.
type Caller struct {
	RequestsPerSecond float64 `key:"required" validate:"gt=0,max=1000000"`
	MaxInFlight       int     `key:"required" validate:"min=1,max=1000000"`
}

// Percent is a percentage, written with the sign: "12.5%".
type Percent float64

// UnmarshalText parses a percentage. A number without the sign is refused because 0.5 could mean either half or 0.5%.
func (p *Percent) UnmarshalText(text []byte) error {
	number, ok := strings.CutSuffix(string(text), "%")
	if !ok {
		return errors.New("must be a percentage, such as 25%")
	}
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || value != value {
		return errors.New("must be a percentage, such as 25%")
	}
	*p = Percent(value)
	return nil
}

// String returns the percentage with its sign.
func (p Percent) String() string { return strconv.FormatFloat(float64(p), 'f', -1, 64) + "%" }

// ErrDocument is one problem of a document.
type ErrDocument struct {
	File   string
	Line   int
	Column int
	// Key is the path of the value; empty for the whole document.
	Key    string
	Reason string
}

// Error starts with the position as file:line:column, which editors recognise.
func (e ErrDocument) Error() string {
	position := fmt.Sprintf("%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Key != "" {
		position += e.Key + ": "
	}
	return position + e.Reason
}

// ErrDocuments holds all problems of a document, sorted by position.
type ErrDocuments []ErrDocument

// Error returns the problems, one per line.
func (e ErrDocuments) Error() string {
	lines := make([]string, len(e))
	for i, problem := range e {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap allows errors.As to find an ErrDocument.
func (e ErrDocuments) Unwrap() []error {
	problems := make([]error, len(e))
	for i, problem := range e {
		problems[i] = problem
	}
	return problems
}

// IsErrDocument returns the problems of a document and reports whether an error's chain contains any.
func IsErrDocument(err error) ([]ErrDocument, bool) {
	var problems ErrDocuments
	ok := errors.As(err, &problems)
	return problems, ok
}

// Digest returns the SHA-256 of a document's bytes in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Limits returns the limits that the decision packages use. The calling code sets Revision.
func (d *Document) Limits() model.Limits {
	limits := model.Limits{
		Trainers: make(map[model.TrainerID]model.TrainerLimits, len(d.Trainers)),
		Models:   make(map[model.ModelName]model.ModelLimits, len(d.Models)),
		Services: make(map[model.ServiceName]model.ServiceLimits, len(d.Services)),
		Callers:  make(map[model.CallerID]model.CallerLimits, len(d.Callers)),
	}
	for id, t := range d.Trainers {
		limits.Trainers[id] = model.TrainerLimits{
			Model: t.Model, StalenessBound: t.StalenessBound, Share: float64(t.Share) / 100,
			MaxInFlight: t.MaxInFlight, Prefer: t.Prefer, Scorer: t.Scorer, StepDeadline: t.StepDeadline,
		}
	}
	for name, m := range d.Models {
		limits.Models[name] = model.ModelLimits{
			MaxInFlightPerEndpoint: m.MaxInFlightPerEndpoint, MaxSwapping: m.MaxSwapping,
			MinServing: m.MinServing, SwapTimeout: m.SwapTimeout,
		}
	}
	for name, s := range d.Services {
		limits.Services[name] = model.ServiceLimits{
			MaxInFlightPerEndpoint: s.MaxInFlightPerEndpoint, Timeout: s.Timeout,
			NonIdempotentMethods: append([]string(nil), s.NonIdempotentMethods...),
		}
	}
	for id, c := range d.Callers {
		limits.Callers[id] = model.CallerLimits{RequestsPerSecond: c.RequestsPerSecond, MaxInFlight: c.MaxInFlight}
	}
	return limits
}
