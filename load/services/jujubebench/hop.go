package jujubebench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/load/services/jujubesite"
)

// HopOptions configures the measurement of the overhead of one hop through an entry instance.
type HopOptions struct {
	// Document is the text of the Vatuwaqa site's environment document.
	Document string
	// Calls is the number of calls of each kind on each path per repetition.
	Calls       int
	Repetitions int
	// Tokens is the length of each generation.
	Tokens int
}

// HopComparison compares the latency of a call through one entry instance with that of the same call made directly to the
// endpoint.
type HopComparison struct {
	Kind string
	// P50 and P99 are ratios of the latency through the instance to the direct latency. AddedP50 and AddedP99 are the
	// differences in microseconds.
	P50      Spread
	P99      Spread
	AddedP50 Spread
	AddedP99 Spread
}

// HopReport is the result of MeasureHop.
type HopReport struct{ Figures []HopComparison }

// Range and precision of the latency histograms.
const (
	minMicroseconds   = 1
	maxMicroseconds   = 60_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
}

// hopMeasurement holds the site and the clients of one measurement.
type hopMeasurement struct {
	options HopOptions
	site    *jujubesite.Site
	client  *http.Client
	engine  *jujubeclient.EngineClient
	entry   *jujubeclient.EntryClient
	lastID  int
}

// MeasureHop alternates between direct calls and calls through one instance, so that both paths are measured under the same
// load of the machine.
func MeasureHop(ctx context.Context, options HopOptions) (HopReport, error) {
	settings := jujubesite.VatuwaqaSettings(options.Document)
	settings.Entries, settings.Engines, settings.Services, settings.Scorers = 1, 1, 1, 1
	settings.Engine.Step = time.Millisecond
	settings.Engine.MedianTokens, settings.Engine.SigmaTokens = 1000, 0
	site, closeSite, err := jujubesite.Start(ctx, settings)
	if err != nil {
		return HopReport{}, err
	}
	defer closeSite()
	client := newClient()
	defer client.CloseIdleConnections()
	h := &hopMeasurement{
		options: options, site: site, client: client, engine: &jujubeclient.EngineClient{HTTP: client},
		entry: &jujubeclient.EntryClient{HTTP: client},
	}
	service, err := h.compare(ctx, "plain service call", h.callDirect, h.callViaEntry)
	if err != nil {
		return HopReport{}, err
	}
	generation, err := h.compare(ctx, fmt.Sprintf("generation of %d tokens", options.Tokens), h.generateDirect, h.generateViaEntry)
	return HopReport{Figures: []HopComparison{service, generation}}, err
}

// newClient returns an HTTP client that keeps enough idle connections for all parallel requests.
func newClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = 8192, 2048
	return &http.Client{Transport: transport}
}

// compare measures one kind of call on both paths.
func (h *hopMeasurement) compare(ctx context.Context, kind string, direct, viaEntry func(ctx context.Context) error) (HopComparison, error) {
	const warmUpCalls = 50
	figure := HopComparison{Kind: kind}
	var p50, p99, added50, added99 []float64
	for range h.options.Repetitions {
		directTimes, entryTimes := newHistogram(), newHistogram()
		for i := range h.options.Calls + warmUpCalls {
			for path, call := range []func(ctx context.Context) error{direct, viaEntry} {
				histogram := []*hdrhistogram.Histogram{directTimes, entryTimes}[path]
				started := time.Now()
				if err := call(ctx); err != nil {
					return figure, errors.Wrap(err, kind)
				}
				if i < warmUpCalls {
					continue
				}
				if err := histogram.RecordValue(max(minMicroseconds, time.Since(started).Microseconds())); err != nil {
					return figure, errors.Wrap(err, kind)
				}
			}
		}
		compareAt := func(quantile float64) (ratio, added float64) {
			a, b := float64(entryTimes.ValueAtQuantile(quantile)), float64(directTimes.ValueAtQuantile(quantile))
			return a / b, a - b
		}
		ratio50, difference50 := compareAt(50)
		ratio99, difference99 := compareAt(99)
		p50, p99 = append(p50, ratio50), append(p99, ratio99)
		added50, added99 = append(added50, difference50), append(added99, difference99)
	}
	figure.P50, figure.P99, figure.AddedP50, figure.AddedP99 = newSpread(p50), newSpread(p99),
		newSpread(added50), newSpread(added99)
	return figure, nil
}

func (h *hopMeasurement) callDirect(ctx context.Context) error {
	return h.get(ctx, "http://"+h.site.Services[0].Address()+"/v1/records")
}

func (h *hopMeasurement) callViaEntry(ctx context.Context) error {
	return h.get(ctx, "http://"+h.site.Addresses()[0]+"/v1/services/"+string(h.site.Settings.Service)+"/v1/records")
}

func (h *hopMeasurement) get(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set(model.HeaderCaller, "hop")
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status %s", response.Status)
	}
	return nil
}

// hopPrompt is the prompt of all generations, so that it is in the engine's KV cache on both paths.
const hopPrompt = "name the fault in the pump log of the second sump and say which part has to be replaced first"

func (h *hopMeasurement) generateDirect(ctx context.Context) error {
	h.lastID++
	done, err := h.engine.Generate(ctx, h.site.Engines[0].Address(), model.EngineRequest{
		Stream: model.StreamID(fmt.Sprintf("direct-%d", h.lastID)), Model: h.site.Settings.Model, Prompt: hopPrompt,
		MaxTokens: h.options.Tokens, Timeout: model.Duration(10 * time.Second),
	}, func(model.Chunk) error { return nil })
	return h.checkTokens(done.Tokens, err)
}

func (h *hopMeasurement) generateViaEntry(ctx context.Context) error {
	h.lastID++
	result, err := h.entry.Generate(ctx, h.site.Addresses()[0], model.GenerateRequest{
		ID: model.RequestID(fmt.Sprintf("hop-%d", h.lastID)), Caller: "hop", Model: h.site.Settings.Model, Prompt: hopPrompt,
		MaxTokens: h.options.Tokens, Timeout: model.Duration(10 * time.Second),
	})
	return h.checkTokens(result.Tokens, err)
}

func (h *hopMeasurement) checkTokens(tokens int, err error) error {
	if err == nil && tokens != h.options.Tokens {
		return errors.Errorf("received %d tokens, expected %d", tokens, h.options.Tokens)
	}
	return err
}

// WriteText writes one line for each kind of call.
func (r HopReport) WriteText(out io.Writer) error {
	for _, f := range r.Figures {
		_, err := fmt.Fprintf(out, "%s, through an instance / straight: p50 %s, p99 %s; added µs: p50 %s, p99 %s\n",
			f.Kind, f.P50, f.P99, f.AddedP50, f.AddedP99)
		if err != nil {
			return err
		}
	}
	return nil
}
