package jujubeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
)

const (
	// maxEngineResponseBytes limits the size of an endpoint's response to a control call. The largest are lists of streams and of cache
	// events.
	maxEngineResponseBytes = 2 << 20
	// maxStreamBytes limits the size of a stream of chunks, some ten times that of the longest text.
	maxStreamBytes = 16 << 20
)

// EngineClient calls model engines, scorers and servers of plain services.
type EngineClient struct {
	HTTP *http.Client
}

// ErrEngine is an engine's refusal, or an error event in a stream.
type ErrEngine struct {
	Code    string
	Message string
	// Status is the HTTP status, or zero for an error event.
	Status int
	// Fence is the highest fencing token that the engine has received; set when it refused an order with a lower one.
	Fence int64
}

// Error returns the code and the message.
func (e ErrEngine) Error() string { return "engine: " + e.Code + ": " + e.Message }

// ErrStreamBroken is returned when Generate doesn't get the stream's last event: there was no connection, the stream
// broke off, an event couldn't be decoded or onChunk returned an error.
type ErrStreamBroken struct {
	// Sent is false when no byte of the request can have reached the engine.
	Sent  bool
	Cause error
}

// Error returns the cause.
func (e ErrStreamBroken) Error() string { return "stream broken: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrStreamBroken) Unwrap() error { return e.Cause }

// sendTracker is a request body that records whether the transport has read from it. The transport reads the body only
// after the connection is established, so an unread body was never sent.
type sendTracker struct {
	io.Reader
	sent *atomic.Bool
}

func (t sendTracker) Read(p []byte) (int, error) {
	t.sent.Store(true)
	return t.Reader.Read(p)
}

// TrackSend wraps a request body. The returned flag becomes true as soon as a byte of the body may have been sent.
func TrackSend(body io.Reader) (io.Reader, *atomic.Bool) {
	sent := new(atomic.Bool)
	return sendTracker{Reader: body, sent: sent}, sent
}

// Generate starts or resumes a stream, calls onChunk for each chunk in order, and returns the stream's last event.
func (c *EngineClient) Generate(ctx context.Context, address string, request model.EngineRequest, onChunk func(model.Chunk) error) (model.EngineDone, error) {
	data, err := json.Marshal(request)
	if err != nil {
		return model.EngineDone{}, errors.Wrap(err, "encode request")
	}
	body, sent := TrackSend(bytes.NewReader(data))
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/generate", body)
	if err != nil {
		return model.EngineDone{}, errors.Wrap(err, "build request")
	}
	httpRequest.ContentLength = int64(len(data))
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := jujubehttp.Do(c.HTTP, httpRequest)
	if err != nil {
		return model.EngineDone{}, errors.WithStack(ErrStreamBroken{Sent: sent.Load(), Cause: err})
	}
	defer func() { _ = response.Body.Close() }()
	var done model.EngineDone
	if response.StatusCode == http.StatusOK {
		done, err = readStream(io.LimitReader(response.Body, maxStreamBytes), onChunk)
	} else {
		err = newErrEngine(response)
	}
	var engineError ErrEngine
	if err != nil && !errors.As(err, &engineError) {
		err = ErrStreamBroken{Sent: true, Cause: err}
	}
	return done, errors.WithStack(err)
}

func readStream(body io.Reader, onChunk func(model.Chunk) error) (model.EngineDone, error) {
	reader := jujubehttp.NewEventReader(body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return model.EngineDone{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return model.EngineDone{}, err
		}
		switch event.Name {
		case "chunk":
			var chunk model.Chunk
			if err := json.Unmarshal(event.Data, &chunk); err != nil {
				return model.EngineDone{}, errors.Wrap(err, "decode chunk")
			}
			if err := onChunk(chunk); err != nil {
				return model.EngineDone{}, err
			}
		case "done":
			var done model.EngineDone
			err := json.Unmarshal(event.Data, &done)
			return done, errors.Wrap(err, "decode done")
		case "error":
			var failure model.EngineError
			if err := json.Unmarshal(event.Data, &failure); err != nil {
				return model.EngineDone{}, errors.Wrap(err, "decode error event")
			}
			return model.EngineDone{}, ErrEngine{Code: failure.Code, Message: failure.Message}
		}
	}
}

// newErrEngine decodes an error response to an ErrEngine. A body without an error code becomes the message of a BadRequest; one that breaks off
// is another error, as the engine may have sent any code.
func newErrEngine(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	if err != nil {
		return errors.Wrapf(err, "read refusal of status %d", response.StatusCode)
	}
	var failure model.EngineError
	if err := json.Unmarshal(data, &failure); err != nil || failure.Code == "" {
		failure = model.EngineError{Code: model.EngineCodeBadRequest, Message: string(data)}
	}
	return errors.WithStack(ErrEngine{Code: failure.Code, Message: failure.Message, Status: response.StatusCode, Fence: failure.Fence})
}

// CancelStream stops a stream. An unknown stream isn't an error.
func (c *EngineClient) CancelStream(ctx context.Context, address string, stream model.StreamID) error {
	return jujubehttp.CallJSONLimited(ctx, c.HTTP, maxEngineResponseBytes, http.MethodPost, "http://"+address+"/v1/streams/cancel", model.CancelRequest{Stream: stream}, nil)
}

// ListStreams returns the streams on an engine whose ids begin with a prefix.
func (c *EngineClient) ListStreams(ctx context.Context, address, prefix string) ([]model.EngineStream, error) {
	var streams []model.EngineStream
	err := jujubehttp.CallJSONLimited(ctx, c.HTTP, maxEngineResponseBytes, http.MethodGet, "http://"+address+"/v1/streams?Prefix="+url.QueryEscape(prefix), nil, &streams)
	return streams, err
}

// ReadLoad returns the load report of an engine, a scorer or a server of a plain service.
func (c *EngineClient) ReadLoad(ctx context.Context, address string) (model.LoadReport, error) {
	var report model.LoadReport
	err := jujubehttp.CallJSONLimited(ctx, c.HTTP, maxEngineResponseBytes, http.MethodGet, "http://"+address+"/v1/load", nil, &report)
	return report, err
}

// SendOrder sends an order to an engine.
func (c *EngineClient) SendOrder(ctx context.Context, address string, order model.Order) (model.OrderResult, error) {
	data, err := json.Marshal(order)
	if err != nil {
		return model.OrderResult{}, errors.Wrap(err, "encode order")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(data))
	if err != nil {
		return model.OrderResult{}, errors.Wrap(err, "build request")
	}
	response, err := jujubehttp.Do(c.HTTP, httpRequest)
	if err != nil {
		return model.OrderResult{}, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return model.OrderResult{}, newErrEngine(response)
	}
	var result model.OrderResult
	err = jujubehttp.DecodeResponse(response.Body, maxEngineResponseBytes, &result)
	return result, err
}

// Score returns a scorer's score for a sample.
func (c *EngineClient) Score(ctx context.Context, address string, request model.ScoreRequest) (model.ScoreResult, error) {
	var result model.ScoreResult
	err := jujubehttp.CallJSONLimited(ctx, c.HTTP, maxEngineResponseBytes, http.MethodPost, "http://"+address+"/v1/score", request, &result)
	return result, err
}

// CacheEvents returns the events of the engine's prefix cache whose Seq is above after, a decimal number.
func (c *EngineClient) CacheEvents(ctx context.Context, address, after string) ([]model.CacheEvent, error) {
	var response model.CacheEvents
	err := jujubehttp.CallJSONLimited(ctx, c.HTTP, maxEngineResponseBytes, http.MethodGet, "http://"+address+"/v1/cache-events?After="+after, nil, &response)
	return response.Events, err
}
