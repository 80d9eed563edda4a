package jujubeclient_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubehttp"
)

// TestGenerateEnds guards against a request that reached an engine but is reported as not sent, so that callers
// would be told that it certainly hasn't run, and against a broken stream that is reported as finished or refused.
func TestGenerateEnds(t *testing.T) {
	const chunk = "event: chunk\ndata: {\"From\":0,\"To\":2,\"Text\":\"a b \",\"Version\":3}\n\n"
	for _, test := range []struct {
		name, body string
		status     int
		chunks     int
		broken     bool   // whether ErrStreamBroken is expected
		code       string // of ErrEngine
	}{
		{"done", chunk + "event: done\ndata: {\"Tokens\":2,\"Reason\":\"Stop\"}\n\n", 200, 1, false, ""},
		{"no last event", chunk, 200, 1, true, ""},
		{"cut within an event", chunk + "event: done\ndata: {\"Tok", 200, 1, true, ""},
		{"chunk that isn't JSON", "event: chunk\ndata: x\n\n", 200, 0, true, ""},
		{"error event", chunk + "event: error\ndata: {\"Code\":\"TakenOver\"}\n\n", 200, 1, false, model.EngineCodeTakenOver},
		{"refusal", `{"Code":"Overloaded","Message":"full"}`, 503, 0, false, model.EngineCodeOverloaded},
		{"refusal without a code", "<html>", 502, 0, false, model.EngineCodeBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			client := &jujubeclient.EngineClient{HTTP: server.Client()}
			chunks := 0
			done, err := client.Generate(context.Background(), server.Listener.Addr().String(), model.EngineRequest{}, func(model.Chunk) error {
				chunks++
				return nil
			})
			assert.Equal(t, chunks, test.chunks)
			var broken jujubeclient.ErrStreamBroken
			assert.Equal(t, errors.As(err, &broken), test.broken)
			assert.Equal(t, broken.Sent, test.broken)
			var refused jujubeclient.ErrEngine
			assert.Equal(t, errors.As(err, &refused), test.code != "")
			assert.Equal(t, refused.Code, test.code)
			if err == nil {
				assert.Equal(t, done.Tokens, 2)
			}
		})
	}
}

// TestGenerateWithoutEngine guards against a refused connection that is reported as a request that may have run.
func TestGenerateWithoutEngine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client := &jujubeclient.EngineClient{HTTP: &http.Client{}}
	_, err = client.Generate(context.Background(), address, model.EngineRequest{}, nil)
	var broken jujubeclient.ErrStreamBroken
	assert.Assert(t, errors.As(err, &broken))
	assert.Assert(t, !broken.Sent)
}

// TestTrackSend guards against a flag that is already set when the body is wrapped, or that isn't set when the body is
// read.
func TestTrackSend(t *testing.T) {
	body, sent := jujubeclient.TrackSend(strings.NewReader("text"))
	assert.Assert(t, !sent.Load())
	_, err := body.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, sent.Load())
}

// engineCalls holds each kind of call to an endpoint or the instance list.
func engineCalls(t *testing.T) map[string]func(client *jujubeclient.EngineClient, address string) error {
	return map[string]func(client *jujubeclient.EngineClient, address string) error{
		"load": func(client *jujubeclient.EngineClient, address string) error {
			_, err := client.ReadLoad(t.Context(), address)
			return err
		},
		"score": func(client *jujubeclient.EngineClient, address string) error {
			_, err := client.Score(t.Context(), address, model.ScoreRequest{})
			return err
		},
		"streams": func(client *jujubeclient.EngineClient, address string) error {
			_, err := client.ListStreams(t.Context(), address, "p")
			return err
		},
		"cache events": func(client *jujubeclient.EngineClient, address string) error {
			_, err := client.CacheEvents(t.Context(), address, "1")
			return err
		},
		"order": func(client *jujubeclient.EngineClient, address string) error {
			_, err := client.SendOrder(t.Context(), address, model.Order{})
			return err
		},
		"generate": func(client *jujubeclient.EngineClient, address string) error {
			_, err := client.Generate(t.Context(), address, model.EngineRequest{}, func(model.Chunk) error { return nil })
			return err
		},
		"list": func(client *jujubeclient.EngineClient, address string) error {
			list := &jujubeclient.InstanceListClient{HTTP: client.HTTP, URL: "http://" + address}
			_, err := list.Instances(t.Context())
			return err
		},
	}
}

// TestCutResponses guards against a response that counts although its body breaks off: after a value that looks complete, or within a refusal whose
// code isn't known then.
func TestCutResponses(t *testing.T) {
	for name, call := range engineCalls(t) {
		for status, body := range map[int]string{200: "{}", 503: `{"Code":"Overloaded","Ran":"NotRun"}`, 502: "<html>"} {
			if name == "generate" && status == http.StatusOK {
				continue // the last event of a stream tells that it is complete
			}
			address := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				w.WriteHeader(status)
				_, _ = io.WriteString(w, body)
			})
			err := call(&jujubeclient.EngineClient{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}, address)
			isRefusal := errors.As(err, new(jujubeclient.ErrEngine)) || errors.As(err, new(jujubeerror.ErrRefused)) || errors.As(err, new(jujubehttp.ErrStatus))
			assert.Check(t, err != nil && !isRefusal, "%s, status %d: %v", name, status, err)
		}
	}
}

// TestEndlessResponses guards against an endpoint or a list whose response has no end and is kept until the memory is used up.
func TestEndlessResponses(t *testing.T) {
	const maxRead = 64 << 20
	for name, call := range engineCalls(t) {
		for kind, text := range map[string]string{"one string": "x", "one list": "[1,", "one event": "data: x\n", "chunks": "event: chunk\ndata: {}\n\n"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				var sent atomic.Int64
				address := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
					prefix := ""
					if kind == "one string" {
						prefix = `{"A":"`
					}
					_, err := io.WriteString(w, prefix)
					part := []byte(strings.Repeat(text, 4096))
					for err == nil && sent.Load() <= maxRead {
						var n int
						n, err = w.Write(part)
						sent.Add(int64(n))
					}
				})
				err := call(&jujubeclient.EngineClient{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}, address)
				assert.Assert(t, err != nil)
				assert.Assert(t, sent.Load() < maxRead, "%d bytes were sent", sent.Load())
			})
		}
	}
}
